"""Simulated proxies: complete engines, links and targets in one process.

Proxies, each with one target, are connected by simulated links. As with TCP,
a connection delivers its messages in order, without loss or duplicates, but
may break at any time.
"""

import random
import typing

from trefoil_daemon import announcements
from trefoil_daemon import proxy_process
from trefoil_fleet import items as item_store
from trefoil_model import clock as clocks
from trefoil_model import effects as common
from trefoil_requests import call as calls
from trefoil_requests import effects as request_effects
from trefoil_requests import ledger as ledgers
from trefoil_settings import settings as setting_store
from trefoil_wire import messages

HOSTS = ("h1", "h2", "h3", "h4")
DOMAIN = "ariana"


def configuration(
    versions: dict[str, int], timeout_ms: int = 2000
) -> item_store.Items:
    """Return a configuration with one service and two routes."""
    items = item_store.Items()
    service = messages.Service("tables", ["pay"], "v1", 0.2)
    items.set(1, item_store.SERVICE + "tables", service)
    shares = [messages.VersionShare(v, p) for v, p in versions.items()]
    items.set(
        1,
        item_store.SHARES + "tables",
        messages.Shares("tables", shares, ""),
    )
    for name, prefix, repeat in (
        ("read", "/read", messages.Repeat.ANY),
        ("pay", "/pay", messages.Repeat.ONCE),
    ):
        route = messages.Route(
            name, "*", prefix, [], "tables", "pay", "t", timeout_ms, repeat
        )
        items.set(1, item_store.ROUTE + name, route)
    return items


class NetDriver:
    """Executes one proxy's effects in the simulated network."""

    def __init__(self, net: "ProxyNet", host: str) -> None:
        self.net = net
        self.host = host
        self.finals: dict[int, calls.Final] = {}
        self.doubled = False
        self.dispatched: dict[int, request_effects.Dispatch] = {}
        self.notes: list[common.Note] = []

    def link_send(self, host: str, message: typing.Any) -> None:
        """Deliver crash notices; other fleet messages are dropped."""
        if isinstance(message, messages.CrashNotice):
            self.net.flood(self.host, host, message)

    def dial(self, host: str, address: str) -> None:
        """Ignore."""

    def close_link(self, host: str) -> None:
        """Ignore."""

    def probe(self, host: str, address: str) -> None:
        """Ignore."""

    def request_send(
        self, host: str, address: str, message: typing.Any
    ) -> bool:
        """Send on the connection to a peer."""
        return self.net.send(self.host, host, message)

    def reply(self, origin: str, message: typing.Any) -> None:
        """Reply on the connection on which a message arrived."""
        self.net.send_back(self.host, origin, message)

    def finish(self, final: calls.Final) -> None:
        """Record a final answer, and whether the call already had one."""
        self.doubled |= final.call_id in self.finals
        self.finals[final.call_id] = final

    def dispatch(self, effect: request_effects.Dispatch) -> None:
        """Start a request on the target."""
        self.dispatched[effect.request.request_id] = effect
        name = effect.request.body.decode()
        self.net.runs[name] = self.net.runs.get(name, 0) + 1

    def abort(self, request_id: int) -> None:
        """Abort a request on the target."""
        self.dispatched.pop(request_id, None)

    def check_target(self, effect: request_effects.CheckTarget) -> None:
        """Report that the target accepts no connections: it crashed."""
        process = self.net.processes[self.host]
        process.target_checked(effect.target, False)

    def limit_callers(self, limits: messages.CallerLimits) -> None:
        """Ignore."""

    def note(self, note: common.Note) -> None:
        """Record a log line."""
        self.notes.append(note)

    def count(self, count: common.Count) -> None:
        """Ignore."""

    def observe(self, effect: request_effects.Observe) -> None:
        """Ignore."""


class ProxyNet:
    """A simulated network of proxies and their targets.

    Args:
        seed: Seed of the random generator.
        hosts: Names of the hosts.
        timeout_ms: Time limit of the routes.
        grace_ms: How long after a request to leave a proxy is killed.
        linger_ms: How long a leaving proxy goes on taking requests.
    """

    def __init__(
        self,
        seed: int = 1,
        hosts: typing.Sequence[str] = HOSTS,
        *,
        timeout_ms: int = 2000,
        grace_ms: int = 1000,
        linger_ms: int = 0,
    ) -> None:
        self.timeout_ms = timeout_ms
        self.grace_ms = grace_ms
        self.linger_ms = linger_ms
        self.rng = random.Random(seed)
        self.clock = clocks.PausedClock(1_700_000_000_000)
        self.hosts = hosts
        self.items = configuration({"v1": 1000}, timeout_ms)
        self.drivers: dict[str, NetDriver] = {}
        self.processes: dict[str, proxy_process.ProxyProcess] = {}
        self.connections: dict[tuple[str, str], int] = {}
        self.last_connection = 0
        self.wire: list[tuple[str, str, int, bool, typing.Any]] = []
        self.outstanding: dict[int, tuple[str, int]] = {}
        self.runs: dict[str, int] = {}
        self.cut: set[str] = set()
        self.last_call_id = 0
        self.boots = 0
        for host in hosts:
            self.boot(host)
        self.clock.advance(1)

    def boot(self, host: str) -> None:
        """Start a proxy without any state and announce its target."""
        self.break_host(host)
        self.boots += 1
        proxy_settings = setting_store.ProxySettings(
            host=host,
            domain=DOMAIN,
            region="r",
            callers="",
            peers="",
            admin="",
            controls={"c1": "c1:1"},
            seeds={},
            statsd="",
            log_level="info",
            max_body_mib=1,
            lease_ms=3_600_000,
            grace_ms=self.grace_ms,
            linger_ms=self.linger_ms,
        )
        self.drivers[host] = NetDriver(self, host)
        process = proxy_process.ProxyProcess(
            proxy_settings,
            peers_address=f"{host}:1",
            driver=self.drivers[host],
            clock=self.clock,
            rng=self.rng,
        )
        self.processes[host] = process
        self.announce_target(host)
        process.node.config.in_force = self.items
        process.put_in_force(self.items)

    def announce_target(self, host: str) -> None:
        """Announce a host's target."""
        record = messages.TargetRecord(
            f"t-{host}",
            "tables",
            "v1",
            ["pay"],
            2,
            messages.TargetState.READY,
        )
        announcement = announcements.Announcement(record, 1)
        self.processes[host].announce(announcement)
        self.share_records()

    def share_records(self) -> None:
        """Give every proxy the records of all others."""
        now_ms = self.clock.now_ms()
        for one in self.processes.values():
            for other in self.processes.values():
                record = other.node.members.record
                one.node.members.records.put(record, now_ms)
            one.records_changed()

    # Connections

    def send(self, source: str, destination: str, message: typing.Any) -> bool:
        """Send on the connection from one proxy to another."""
        if (source in self.cut) != (destination in self.cut):
            return False
        pair = (source, destination)
        if pair not in self.connections:
            self.last_connection += 1
            self.connections[pair] = self.last_connection
        number = self.connections[pair]
        if isinstance(message, messages.Request):
            self.outstanding[message.request_id] = (source, number)
        self.wire.append((source, destination, number, False, message))
        return True

    def send_back(self, host: str, origin: str, message: typing.Any) -> None:
        """Reply on the connection on which a message arrived."""
        source, _, number = origin.partition("#")
        if self.connections.get((source, host)) == int(number):
            self.wire.append((host, source, int(number), True, message))

    def flood(
        self, source: str, destination: str, message: typing.Any
    ) -> None:
        """Deliver a fleet message immediately."""
        if (source in self.cut) == (destination in self.cut):
            self.processes[destination].link_message(source, message)

    def break_pair(self, pair: tuple[str, str]) -> None:
        """Break a connection and notify both ends."""
        number = self.connections.pop(pair)
        source, destination = pair
        lost = [
            request_id
            for request_id, connection in self.outstanding.items()
            if connection == (source, number)
        ]
        for request_id in lost:
            del self.outstanding[request_id]
        if destination in self.processes:
            self.processes[destination].origin_lost(f"{source}#{number}")
        if source in self.processes and lost:
            self.processes[source].requests_lost([], lost)

    def break_host(self, host: str) -> None:
        """Remove a proxy and break all its connections."""
        self.processes.pop(host, None)
        for pair in [pair for pair in self.connections if host in pair]:
            self.break_pair(pair)

    def deliver(self, index: int) -> None:
        """Deliver the first message of one connection."""
        if not self.wire:
            return
        chosen = self.wire[index % len(self.wire)]
        first = next(sent for sent in self.wire if sent[:4] == chosen[:4])
        self.wire.remove(first)
        source, destination, number, is_reply, message = first
        pair = (destination, source) if is_reply else (source, destination)
        if self.connections.get(pair) != number:
            return
        if (source in self.cut) != (destination in self.cut):
            return
        if isinstance(message, messages.Answer):
            self.outstanding.pop(message.request_id, None)
        origin = f"{source}#{number}"
        self.processes[destination].request_message(origin, message)

    def deliver_all(self) -> None:
        """Deliver all messages."""
        for _ in range(500):
            if not self.wire:
                return
            self.deliver(0)

    def advance(self, by_ms: int) -> None:
        """Advance the clock and tick all proxies."""
        self.clock.advance(by_ms)
        for process in list(self.processes.values()):
            process.tick()

    # Callers and targets

    def call(self, host: str, path: str, name: str, key: str = "") -> int:
        """Send a caller's request; return its call id."""
        self.last_call_id += 1
        self.processes[host].call(
            calls.Call(
                self.last_call_id,
                "POST",
                "x",
                path,
                body=name.encode(),
                key=key,
            )
        )
        return self.last_call_id

    def add_retry_tokens(self, host: str) -> None:
        """Fill a proxy's retry budget, which is empty after its start."""
        self.processes[host].entry.retry_budgets.budgets["tables"].tokens = 5.0

    def final(self, host: str, call_id: int) -> calls.Final | None:
        """Return a call's final answer."""
        return self.drivers[host].finals.get(call_id)

    def running(self) -> list[tuple[str, int]]:
        """Return the host and id of each request running on a target."""
        return [
            (host, request_id)
            for host, driver in self.drivers.items()
            for request_id in driver.dispatched
        ]

    def target_answers(self, host: str, request_id: int) -> None:
        """Answer a request at its target."""
        effect = self.drivers[host].dispatched.pop(request_id)
        self.processes[host].target_answered(
            messages.Answer(
                request_id=request_id,
                status=200,
                reason="OK",
                headers=b"",
                body=effect.request.body,
                ran=True,
            )
        )

    def target_breaks(self, host: str, request_id: int) -> None:
        """Break a target's connection during a request."""
        self.drivers[host].dispatched.pop(request_id)
        self.processes[host].target_disconnected(request_id)

    def fresh_key(
        self, name: str, ahead_ms: int = ledgers.MAX_DATE_AHEAD_MS
    ) -> str:
        """Return a key that contains its time of issue, by a fast clock."""
        return f"{self.clock.wall_ms() + ahead_ms}-{name}"
