"""Whole proxies driven through the facade, without a socket.

Four proxies, each with one target, are joined by links that lose, cross and
repeat nothing within a connection but break at any time, as TCP does.
"""

import random
import typing

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from trefoil_daemon import announcements
from trefoil_daemon import proxy_process
from trefoil_fleet import items as item_store
from trefoil_model import clock as clocks
from trefoil_model import effects as common
from trefoil_requests import budget
from trefoil_requests import call as calls
from trefoil_requests import effects as request_effects
from trefoil_requests import entry as entries
from trefoil_requests import ledger as ledgers
from trefoil_settings import settings as setting_store
from trefoil_wire import messages

HOSTS = ["h1", "h2", "h3", "h4"]
DOMAIN = "ariana"


def configuration(versions: dict[str, int]) -> item_store.Items:
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
            name, "*", prefix, [], "tables", "pay", "t", 2000, repeat
        )
        items.set(1, item_store.ROUTE + name, route)
    return items


class Driver:
    """Carries one proxy's effects into the net."""

    def __init__(self, net: "Net", host: str) -> None:
        self.net = net
        self.host = host
        self.finals: dict[int, calls.Final] = {}
        self.doubled = False
        self.dispatched: dict[int, request_effects.Dispatch] = {}
        self.notes: list[common.Note] = []

    def link_send(self, host: str, message: typing.Any) -> None:
        """Drop fleet messages; only floods matter here."""
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
        """Send back on the connection that a message came by."""
        self.net.send_back(self.host, origin, message)

    def finish(self, final: calls.Final) -> None:
        """Keep a final answer; a call gets only one."""
        self.doubled |= final.call_id in self.finals
        self.finals[final.call_id] = final

    def dispatch(self, effect: request_effects.Dispatch) -> None:
        """Start a request on the target."""
        self.dispatched[effect.request.request_id] = effect
        name = effect.request.body.decode()
        self.net.runs[name] = self.net.runs.get(name, 0) + 1

    def abort(self, request_id: int) -> None:
        """Close the connection under a request."""
        self.dispatched.pop(request_id, None)

    def check_target(self, effect: request_effects.CheckTarget) -> None:
        """Tell that the target takes no connections: it crashed."""
        process = self.net.processes[self.host]
        process.target_checked(effect.target, False)

    def limit_callers(self, limits: messages.CallerLimits) -> None:
        """Ignore."""

    def note(self, note: common.Note) -> None:
        """Keep a log line."""
        self.notes.append(note)

    def count(self, count: common.Count) -> None:
        """Ignore."""

    def observe(self, effect: request_effects.Observe) -> None:
        """Ignore."""


class Net:
    """Proxies and the connections between them."""

    def __init__(self, seed: int = 1, hosts: list[str] = HOSTS) -> None:
        self.rng = random.Random(seed)
        self.clock = clocks.PausedClock(1_700_000_000_000)
        self.hosts = hosts
        self.items = configuration({"v1": 1000})
        self.carriers: dict[str, Driver] = {}
        self.processes: dict[str, proxy_process.ProxyProcess] = {}
        self.connections: dict[tuple[str, str], int] = {}
        self.numbers = 0
        self.wire: list[tuple[str, str, int, bool, typing.Any]] = []
        self.outstanding: dict[int, tuple[str, int]] = {}
        self.runs: dict[str, int] = {}
        self.cut: set[str] = set()
        self.call_ids = 0
        self.lives = 0
        for host in hosts:
            self.boot(host)

    def boot(self, host: str) -> None:
        """Start a proxy with an empty memory, its target announced."""
        self.break_host(host)
        self.lives += 1
        settings_made = setting_store.ProxySettings(
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
            grace_ms=1000,
        )
        self.carriers[host] = Driver(self, host)
        process = proxy_process.ProxyProcess(
            settings_made,
            peers_address=f"{host}:1",
            driver=self.carriers[host],
            clock=self.clock,
            rng=self.rng,
        )
        self.processes[host] = process
        self.boot_target(host)
        process.node.config.in_force = self.items
        process.put_in_force(self.items)

    def boot_target(self, host: str) -> None:
        """Let a host's target announce itself."""
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
        """Let every proxy know every other's record."""
        now_ms = self.clock.now_ms()
        for one in self.processes.values():
            for other in self.processes.values():
                record = other.node.members.record
                one.node.members.records.put(record, now_ms)
            one.records_changed()

    # Connections

    def send(self, source: str, target: str, message: typing.Any) -> bool:
        """Send on the connection from one proxy to another."""
        if (source in self.cut) != (target in self.cut):
            return False
        pair = (source, target)
        if pair not in self.connections:
            self.numbers += 1
            self.connections[pair] = self.numbers
        number = self.connections[pair]
        if isinstance(message, messages.Request):
            self.outstanding[message.request_id] = (source, number)
        self.wire.append((source, target, number, False, message))
        return True

    def send_back(self, host: str, origin: str, message: typing.Any) -> None:
        """Answer on the connection that a message came by."""
        source, _, number = origin.partition("#")
        if self.connections.get((source, host)) == int(number):
            self.wire.append((host, source, int(number), True, message))

    def flood(self, source: str, target: str, message: typing.Any) -> None:
        """Deliver a fleet message at once."""
        if (source in self.cut) == (target in self.cut):
            self.processes[target].link_message(source, message)

    def break_pair(self, pair: tuple[str, str]) -> None:
        """Break a connection; both ends learn of it."""
        number = self.connections.pop(pair)
        source, target = pair
        lost = [
            request_id
            for request_id, carried in self.outstanding.items()
            if carried == (source, number)
        ]
        for request_id in lost:
            del self.outstanding[request_id]
        if target in self.processes:
            self.processes[target].origin_lost(f"{source}#{number}")
        if source in self.processes and lost:
            self.processes[source].requests_lost([], lost)

    def break_host(self, host: str) -> None:
        """Break all connections of a proxy that dies."""
        self.processes.pop(host, None)
        for pair in [pair for pair in self.connections if host in pair]:
            self.break_pair(pair)

    def deliver(self, at: int) -> None:
        """Let the first message of some connection arrive."""
        if not self.wire:
            return
        chosen = self.wire[at % len(self.wire)]
        first = next(w for w in self.wire if w[:4] == chosen[:4])
        self.wire.remove(first)
        source, target, number, back, message = first
        pair = (target, source) if back else (source, target)
        if self.connections.get(pair) != number:
            return
        if (source in self.cut) != (target in self.cut):
            return
        if isinstance(message, messages.Answer):
            self.outstanding.pop(message.request_id, None)
        origin = f"{source}#{number}"
        self.processes[target].request_message(origin, message)

    def settle(self) -> None:
        """Deliver everything."""
        for _ in range(500):
            if not self.wire:
                return
            self.deliver(0)

    def advance(self, by_ms: int) -> None:
        """Let time pass for all proxies."""
        self.clock.advance(by_ms)
        for process in list(self.processes.values()):
            process.tick()

    # Callers and targets

    def call(self, host: str, path: str, name: str, key: str = "") -> int:
        """Send a caller's request; return its number."""
        self.call_ids += 1
        self.processes[host].call(
            calls.Call(
                self.call_ids, "POST", "x", path, body=name.encode(), key=key
            )
        )
        return self.call_ids

    def let_repeat(self, host: str) -> None:
        """Give a proxy some repeats; a start has saved none."""
        self.processes[host].entry.accounting.budgets["tables"].tokens = 5.0

    def final(self, host: str, call_id: int) -> calls.Final | None:
        """Return a call's final answer."""
        return self.carriers[host].finals.get(call_id)

    def running(self) -> list[tuple[str, int]]:
        """Return what runs on targets, by host and request."""
        return [
            (host, request_id)
            for host, driver in self.carriers.items()
            for request_id in driver.dispatched
        ]

    def target_answers(self, host: str, request_id: int) -> None:
        """Let a target answer."""
        effect = self.carriers[host].dispatched.pop(request_id)
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
        """Let a target's connection break under a request."""
        self.carriers[host].dispatched.pop(request_id)
        self.processes[host].target_broke(request_id)

    def fresh_key(self, name: str) -> str:
        """Return a key that tells when it was issued."""
        return f"{self.clock.wall_ms() + 2 * ledgers.MAX_CLOCK_SKEW_MS}-{name}"


def test_a_call_is_answered_by_its_target() -> None:
    net = Net()
    number = net.call("h1", "/read", "a")
    net.settle()
    ((host, request_id),) = net.running()
    net.target_answers(host, request_id)
    net.settle()
    final = net.final("h1", number)
    assert (final.status, final.body, final.own) == (200, b"a", False)


def test_answers_that_cross_reach_their_own_callers() -> None:
    """Twelve callers ask at once; targets answer in any order."""
    net = Net()
    numbers = {net.call("h1", "/read", f"n{n}"): f"n{n}" for n in range(7)}
    net.settle()
    waiting = net.running()
    net.rng.shuffle(waiting)
    for host, request_id in waiting:
        net.target_answers(host, request_id)
    while net.wire:
        net.deliver(net.rng.randrange(100))
    for number, name in numbers.items():
        assert net.final("h1", number).body == name.encode()


def test_a_late_answer_is_dropped() -> None:
    """The deadline passes, the caller is told, then the answer comes."""
    net = Net()
    number = net.call("h1", "/pay", "a")
    net.settle()
    running = net.running()
    net.advance(2100)
    final = net.final("h1", number)
    assert (final.status, final.ran) == (504, True)
    for host, request_id in running:
        if request_id in net.carriers[host].dispatched:
            net.target_answers(host, request_id)
    net.settle()
    assert net.final("h1", number) is final
    assert not net.carriers["h1"].doubled


@pytest.mark.parametrize(
    ("path", "expected_runs", "status"), [("/read", 2, 200), ("/pay", 1, 502)]
)
def test_a_lost_host_is_retried_only_where_that_is_safe(
    path: str, expected_runs: int, status: int
) -> None:
    """The link to the target's host breaks with the request on it.

    Nobody knows whether it ran. A route that may be repeated goes to
    another target; a once-only one is answered so, at once.
    """
    net = Net()
    # The entry's own target is drained so that the request must travel.
    net.processes["h1"].target_leaves("t-h1", "test")
    net.share_records()
    net.let_repeat("h1")
    number = net.call("h1", path, "a")
    net.settle()
    ((host, _),) = net.running()
    net.break_pair(("h1", host))
    net.settle()
    for target_host, request_id in net.running():
        net.target_answers(target_host, request_id)
    net.settle()
    assert net.runs["a"] == expected_runs
    assert net.final("h1", number).status == status


def test_a_callers_cancel_frees_the_slot() -> None:
    net = Net()
    number = net.call("h1", "/pay", "a")
    net.settle()
    ((host, _),) = net.running()
    net.processes["h1"].caller_gone(number)
    net.settle()
    assert net.running() == []
    assert net.processes[host].targets.busy(f"t-{host}") == 0


def test_a_dead_entry_proxy_frees_its_slots() -> None:
    net = Net()
    net.processes["h1"].target_leaves("t-h1", "test")
    net.share_records()
    net.call("h1", "/read", "a")
    net.settle()
    ((host, _),) = net.running()
    net.break_host("h1")
    assert net.processes[host].targets.busy(f"t-{host}") == 0


def test_a_resend_by_another_proxy_gets_the_first_answer() -> None:
    """The caller's answer is lost; it sends again through another proxy."""
    net = Net()
    key = net.fresh_key("k")
    net.call("h1", "/pay", "a", key)
    net.settle()
    ((host, request_id),) = net.running()
    net.target_answers(host, request_id)
    net.settle()
    again = net.call("h2", "/pay", "a", key)
    net.settle()
    assert net.runs["a"] == 1
    final = net.final("h2", again)
    assert (final.status, final.body) == (200, b"a")


def test_a_resend_while_the_first_runs_is_told_so() -> None:
    net = Net()
    key = net.fresh_key("k")
    net.call("h1", "/pay", "a", key)
    net.settle()
    again = net.call("h2", "/pay", "a", key)
    net.settle()
    assert net.runs["a"] == 1
    assert net.final("h2", again).status == 409


def test_a_key_whose_fate_cannot_be_known_is_refused() -> None:
    """Two of a key's three keepers restart, then the caller sends again.

    The first may have run under a claim that they forgot. They abstain, so
    the resend is refused and says why; it does not run.
    """
    net = Net(hosts=["h1", "h2", "h3"])
    key = net.fresh_key("k")
    net.call("h1", "/pay", "a", key)
    net.settle()
    net.clock.advance(60_000)
    for host in ("h1", "h2"):
        net.boot(host)
    for number in ("h1", "h2", "h3"):
        again = net.call(number, "/pay", "a", key)
        net.settle()
        net.advance(500)
        net.settle()
        assert net.final(number, again).status in (409, 503)
    assert net.runs["a"] == 1


def test_a_keeper_that_restarts_gets_its_keys_back() -> None:
    """Keepers restart one after the other, as in a rolling restart.

    Each pulls what the others hold before it vouches again, so a resend
    is known even when every keeper has restarted since.
    """
    net = Net(hosts=["h1", "h2", "h3"])
    net.advance(ledgers.RETENTION_MS)
    key = "untimed"
    net.call("h1", "/pay", "a", key)
    net.settle()
    ((host, request_id),) = net.running()
    net.target_answers(host, request_id)
    net.settle()
    for host in ("h1", "h2", "h3"):
        net.boot(host)
        for _ in range(4):
            net.advance(500)
            net.settle()
    again = net.call("h2", "/pay", "a", key)
    net.settle()
    assert net.final("h2", again).body == b"a"
    net.call("h2", "/pay", "b", "another")
    net.settle()
    assert net.runs == {"a": 1, "b": 1}


def test_a_refused_claim_can_be_sent_again() -> None:
    """The target's proxy refuses; the request did not run.

    The key is given back, else the caller's resend would be told "ran".
    """
    net = Net()
    for process in net.processes.values():
        process.targets.leaving = True
    key = net.fresh_key("k")
    first = net.call("h1", "/pay", "a", key)
    net.settle()
    assert net.final("h1", first).ran is False
    for process in net.processes.values():
        process.targets.leaving = False
    net.advance(200)
    net.call("h2", "/pay", "a", key)
    net.settle()
    assert net.runs == {"a": 1}


def test_a_request_that_crashes_targets_is_refused_after_the_second() -> None:
    """A caller sends a poison request again and again.

    Each target that runs it dies. After the second crash no proxy lets it
    near a third target, whichever proxy it comes through.
    """
    net = Net()
    for host in HOSTS:
        for peer in HOSTS:
            if peer != host:
                process = net.processes[host]
                process.node.links[peer] = None
    statuses = []
    for host in ("h1", "h2", "h3", "h4"):
        number = net.call(host, "/pay", "poison")
        net.settle()
        for target_host, request_id in net.running():
            net.target_breaks(target_host, request_id)
        for process in net.processes.values():
            process.perform(process.targets.tick(net.clock.advance(60)))
        net.settle()
        statuses.append(net.final(host, number).status)
    assert net.runs["poison"] == 2
    assert statuses == [502, 502, 422, 422]


def test_innocent_requests_are_cleared_by_success() -> None:
    """A common request happens to run in two crashes.

    It succeeds elsewhere in between, which clears it.
    """
    net = Net()
    process = net.processes["h1"]
    now_ms = net.clock.now_ms()
    call = calls.Call(9, "POST", "x", "/read", body=b"a")
    prints = [call.fingerprint(), 1]
    first = messages.CrashNotice(1, prints, 0, False)
    process.quarantine.receive(first, now_ms)
    net.call("h1", "/read", "a")
    net.settle()
    for host, request_id in net.running():
        net.target_answers(host, request_id)
    net.settle()
    second = messages.CrashNotice(2, prints, 0, False)
    process.quarantine.receive(second, now_ms)
    assert not process.quarantine.refuses(call.fingerprint(), now_ms)
    assert process.quarantine.refuses(1, now_ms)


def test_no_route_leads_to_a_resource_that_no_target_holds() -> None:
    net = Net(hosts=["h1", "h2"])
    for host in ("h1", "h2"):
        record = messages.TargetRecord(
            f"t-{host}",
            "tables",
            "v1",
            ["list"],
            2,
            messages.TargetState.READY,
        )
        announcement = announcements.Announcement(record, 1)
        net.processes[host].announce(announcement)
    net.share_records()
    number = net.call("h1", "/pay", "a")
    net.settle()
    final = net.final("h1", number)
    assert (final.status, final.ran, net.runs) == (503, False, {})


def test_a_dead_target_leaves_before_its_lease() -> None:
    """A target dies; connections to it are refused, its lease runs on.

    Requests led to it meanwhile spend the retry budget and callers see
    refusals though other targets are free.
    """
    net = Net(hosts=["h1", "h2"])
    for n in range(40):
        net.call("h1", "/read", f"n{n}")
        net.settle()
        for host, request_id in net.running():
            if host == "h1":
                net.carriers["h1"].dispatched.pop(request_id)
                net.processes["h1"].target_unsent(request_id)
                net.share_records()
            else:
                net.target_answers(host, request_id)
        net.settle()
        for host, request_id in net.running():
            net.target_answers(host, request_id)
        net.settle()
    finals = net.carriers["h1"].finals.values()
    assert [f.status for f in finals] == [200] * 40
    assert net.processes["h1"].announced.records() == []


def test_a_crossed_update_never_runs_on_the_wrong_version() -> None:
    """A target is replaced by another version under the same name.

    The entry proxy has not heard of it yet. The target's own proxy has the
    last word: it refuses, and the request goes where its version is.
    """
    net = Net(hosts=["h1", "h2", "h3"])
    net.processes["h1"].target_leaves("t-h1", "test")
    net.share_records()
    record = messages.TargetRecord(
        "t-h2", "tables", "v2", ["pay"], 2, messages.TargetState.READY
    )
    net.processes["h2"].announce(announcements.Announcement(record, 1))
    for n in range(8):
        net.call("h1", "/pay", f"n{n}")
    net.settle()
    assert {host for host, _ in net.running()} == {"h3"}


def test_a_leaving_proxy_cuts_nothing_and_takes_nothing() -> None:
    """SIGTERM comes while a payment runs.

    The payment ends with its answer; a new request is told "not run".
    """
    net = Net(hosts=["h1", "h2"])
    number = net.call("h1", "/pay", "a")
    net.settle()
    net.processes["h1"].leave()
    late = net.call("h1", "/pay", "b")
    assert net.final("h1", late).ran is False
    assert not net.processes["h1"].idle
    ((host, request_id),) = net.running()
    net.target_answers(host, request_id)
    net.settle()
    assert net.final("h1", number).status == 200
    assert net.processes["h1"].idle


LARGE = b"x" * 40_000


def uploads(net: Net, path: str = "/pay") -> int:
    """Let h1's caller send a large body; only h2 has a target."""
    net.processes["h1"].target_leaves("t-h1", "test")
    net.share_records()
    net.call_ids += 1
    call = calls.Call(
        net.call_ids, "POST", "x", path, body=LARGE, deadline_ms=2000
    )
    net.processes["h1"].call(call)
    return net.call_ids


def test_a_large_body_follows_when_it_is_asked_for() -> None:
    """The target's proxy takes the request first, then the body comes."""
    net = Net(hosts=["h1", "h2"])
    number = uploads(net)
    net.settle()
    ((host, request_id),) = net.running()
    effect = net.carriers[host].dispatched[request_id]
    assert (host, effect.request.body) == ("h2", LARGE)
    net.target_answers(host, request_id)
    net.settle()
    assert net.final("h1", number).status == 200


def no_piece(
    entry: entries.Entry, pull: messages.BodyPull
) -> list[typing.Any]:
    """Send nothing."""
    return []


def test_both_attempts_of_a_hedged_call_get_its_body() -> None:
    """A read with a large body is asked for at two hosts at once."""
    net = Net(hosts=["h1", "h2", "h3"])
    uploads(net, "/read")
    net.settle()
    ((first, _),) = net.running()
    net.let_repeat("h1")
    net.processes["h1"].set_peer_unresponsive(first, True)
    net.settle()
    bodies = {
        host: effect.request.body
        for host, driver in net.carriers.items()
        for effect in driver.dispatched.values()
    }
    assert bodies == {"h2": LARGE, "h3": LARGE}


def test_a_body_goes_where_the_link_is_free() -> None:
    """The link to one host is taken for longer than the caller waits.

    It says so before a byte of the body is sent, and the request goes to
    the next host; the one after it goes there at once.
    """
    net = Net(hosts=["h1", "h2", "h3"])
    incoming_bodies = net.processes["h2"].targets.incoming_bodies
    incoming_bodies.add(99, "x", 10_000_000, 0, net.clock.now_ms())
    incoming_bodies.bytes_per_ms = 700
    net.processes["h3"].target_leaves("t-h3", "test")
    number = uploads(net)
    net.boot_target("h3")
    net.settle()
    assert [host for host, _ in net.running()] == ["h3"]
    target_stats = net.processes["h1"].entry.balancer.target_stats("h2/t-h2")
    assert target_stats.bodies_busy_until_ms > net.clock.now_ms() + 10_000
    uploads(net)
    net.settle()
    assert [host for host, _ in net.running()] == ["h3", "h3"]
    assert number not in net.carriers["h1"].finals


def test_a_body_that_never_comes_costs_no_run(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The link breaks between the request and its body.

    The request did not run: it never takes a slot, its place among the
    bodies is given back, and the caller is told so in time.
    """
    monkeypatch.setattr(entries.Entry, "on_body_pull", no_piece)
    net = Net(hosts=["h1", "h2"])
    number = uploads(net)
    net.settle()
    assert net.running() == []
    targets = net.processes["h2"].targets
    assert (targets.busy("t-h2"), len(targets.incoming_bodies.waiting)) == (
        0,
        1,
    )
    net.clock.advance(1950)
    net.processes["h2"].tick()
    net.settle()
    final = net.final("h1", number)
    assert (final.status, final.ran) == (503, False)
    assert (targets.busy("t-h2"), len(targets.incoming_bodies.waiting)) == (
        0,
        0,
    )


def test_a_caller_that_leaves_stops_its_body(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(entries.Entry, "on_body_pull", no_piece)
    net = Net(hosts=["h1", "h2"])
    number = uploads(net)
    net.settle()
    net.processes["h1"].caller_gone(number)
    net.settle()
    target_side = net.processes["h2"].targets
    assert target_side.busy("t-h2") == 0
    assert target_side.incoming_bodies.waiting == {}


def started_early(net: Net, deadline_ms: int) -> calls.Call:
    """Let a caller come to a proxy that has no configuration yet."""
    process = net.processes["h1"]
    process.entry.placement.table = None
    call = calls.Call(
        1, "GET", "x", "/read", body=b"a", deadline_ms=deadline_ms
    )
    process.call(call)
    return call


def test_a_caller_that_comes_early_is_served_in_time() -> None:
    """All proxies start at once and their callers are there already.

    Refused for 0.3 s until the proof comes, callers were back after their
    answer would have been in time. They wait, and what is left of their
    time goes with the request.
    """
    net = Net(hosts=["h1"])
    started_early(net, 1500)
    net.clock.advance(300)
    net.processes["h1"].tick()
    assert net.carriers["h1"].finals == {}
    net.processes["h1"].put_in_force(net.items)
    net.settle()
    ((host, request_id),) = net.running()
    effect = net.carriers[host].dispatched[request_id]
    assert effect.request.deadline_ms == 1200
    net.target_answers(host, request_id)
    net.settle()
    assert net.final("h1", 1).status == 200


@pytest.mark.parametrize(
    ("deadline_ms", "waits_ms"), [(400, 100), (1500, 375), (5000, 400)]
)
def test_a_caller_that_comes_too_early_is_told_to_come_back(
    deadline_ms: int, waits_ms: int
) -> None:
    """No proof comes; nobody is held for more than a part of its time."""
    net = Net(hosts=["h1"])
    started_early(net, deadline_ms)
    net.clock.advance(waits_ms - 1)
    net.processes["h1"].tick()
    assert net.carriers["h1"].finals == {}
    net.clock.advance(1)
    net.processes["h1"].tick()
    final = net.final("h1", 1)
    assert (final.status, final.ran) == (503, False)
    assert final.retry_after_ms > 0
    assert net.processes["h1"].idle


def test_an_early_caller_that_left_is_forgotten() -> None:
    net = Net(hosts=["h1"])
    started_early(net, 1500)
    net.processes["h1"].caller_gone(1)
    net.processes["h1"].put_in_force(net.items)
    net.settle()
    assert net.running() == []


def test_a_version_is_judged_by_its_own_time() -> None:
    """A good version's one target is full for a moment, and calls wait.

    Counted as its own time the wait made it look slower than the old one,
    and the move was taken back. What callers wait still shows in metrics.
    """
    net = Net(hosts=["h1"])
    seen: list[request_effects.Observe] = []
    net.carriers["h1"].observe = seen.append
    for name in ("a", "b", "c"):
        net.call("h1", "/read", name)
    net.settle()
    for _ in range(3):
        net.clock.advance(100)
        host, request_id = net.running()[0]
        answer = messages.Answer(
            request_id=request_id, status=200, ran=True, service_us=100_000
        )
        net.carriers[host].dispatched.pop(request_id)
        net.processes[host].target_answered(answer)
        net.settle()
    assert [effect.run_us for effect in seen] == [100_000] * 3
    assert seen[-1].latency_us == 300_000


def test_a_doubted_host_gets_nothing_and_its_reads_go_elsewhere() -> None:
    """A cut comes between two hosts under a read and a payment.

    The read is asked for once more at the caller's own host at once; the
    payment may have run and is not. New calls stay away until the peer
    answers again.
    """
    net = Net(hosts=["h1", "h2"])
    process = net.processes["h1"]
    process.target_leaves("t-h1", "test")
    net.share_records()
    net.call("h1", "/read", "a")
    net.call("h1", "/pay", "b")
    net.settle()
    assert [host for host, _ in net.running()] == ["h2", "h2"]
    net.boot_target("h1")
    net.let_repeat("h1")
    # Slower than the doubted one by far, and still the one that answers.
    process.entry.balancer.target_stats("h1/t-h1").latency_us = 1_500_000
    process.entry.balancer.target_stats("h2/t-h2").latency_us = 10_000
    process.set_peer_unresponsive("h2", True)
    net.call("h1", "/pay", "c")
    net.settle()
    assert net.runs == {"a": 2, "b": 1, "c": 1}
    assert len(net.processes["h2"].targets.recent) == 2
    assert sorted(host for host, _ in net.running()) == ["h1"] * 2 + ["h2"] * 2
    process.set_peer_unresponsive("h2", False)
    assert process.entry.balancer.unresponsive == set()


def test_a_lingering_proxy_serves_its_target_to_others() -> None:
    """A proxy is told to leave; its target goes on running.

    For as long as it lingered nobody could reach that target, a quarter of
    a service of four. Now others reach it until shortly before the end, and
    nothing is refused or cut when they are sent elsewhere.
    """
    net = Net(hosts=["h1", "h2"])
    process = net.processes["h1"]
    process.settings.linger_ms = 3000
    process.leave()
    net.share_records()
    assert "h1/t-h1" in net.processes["h2"].entry.placement.endpoints.by_key
    net.processes["h2"].target_leaves("t-h2", "test")
    net.share_records()
    early = net.call("h2", "/pay", "a")
    net.settle()
    ((host, request_id),) = net.running()
    assert host == "h1"
    net.clock.advance(3000 - proxy_process.HAND_OVER_MS)
    process.tick()
    net.share_records()
    assert not net.processes["h2"].entry.placement.endpoints.by_key
    net.target_answers(host, request_id)
    net.settle()
    assert net.final("h2", early).status == 200


def evacuate(net: Net, host: str, evacuated: bool) -> None:
    """Let a proxy learn that the domain is evacuated, or taken back."""
    process = net.processes[host]
    items = process.node.config.in_force.copy()
    key = item_store.EVACUATION + DOMAIN
    if evacuated:
        items.set(
            items.revision + 1, key, messages.Evacuation(DOMAIN, "ann", 0)
        )
    else:
        items.delete(items.revision + 1, key)
    process.node.config.in_force = items
    process.put_in_force(items)


def test_an_evacuated_domain_gets_nothing_from_any_proxy() -> None:
    """One proxy knows it, the other does not yet; the target is the first's.

    What the second sends is refused as not run, so its caller is told the
    truth and when to come back.
    """
    net = Net(hosts=["h1", "h2"])
    net.processes["h2"].target_leaves("t-h2", "test")
    net.share_records()
    evacuate(net, "h1", True)
    number = net.call("h2", "/pay", "a")
    net.settle()
    final = net.final("h2", number)
    assert (final.status, final.ran) == (503, False)
    assert final.retry_after_ms > 0
    evacuate(net, "h2", True)
    assert not net.processes["h2"].entry.placement.endpoints.by_key
    assert net.running() == []
    for host in net.hosts:
        evacuate(net, host, False)
    net.call("h2", "/pay", "b")
    net.settle()
    assert [host for host, _ in net.running()] == ["h1"]


def test_a_shutdown_waits_for_what_its_target_runs() -> None:
    """A proxy ended at 5.5 s of 10 and cut a request that still ran."""
    net = Net(hosts=["h1"])
    process = net.processes["h1"]
    process.settings.grace_ms = 10_000
    net.call("h1", "/pay", "a")
    process.leave()
    net.clock.advance(10_000 - proxy_process.END_MARGIN_MS - 1)
    assert not process.may_end()
    net.clock.advance(1)
    assert process.may_end()


def test_an_idle_shutdown_ends_early() -> None:
    """A restart in turn would else take each proxy away for its grace."""
    net = Net(hosts=["h1"])
    process = net.processes["h1"]
    process.settings.grace_ms = 10_000
    process.leave()
    assert not process.may_end()
    net.clock.advance(proxy_process.LEAST_LEAVE_MS)
    assert process.may_end()


def test_retries_do_not_multiply_along_a_chain() -> None:
    """A call that a proxy before retries already is not retried here."""
    net = Net(hosts=["h1"])
    net.processes["h1"].targets.leaving = True
    call = calls.Call(1, "POST", "x", "/read", body=b"a", retried=True)
    net.processes["h1"].call(call)
    net.settle()
    assert net.final("h1", 1).status == 503
    assert (
        net.processes["h1"]
        .entry.balancer.target_stats("h1/t-h1")
        .consecutive_losses
        == 0
    )
    made = net.processes["h1"].entry.accounting.budgets["tables"]
    assert made.tokens == -budget.CALL_PRICE
    assert made.spent[budget.Cause.CALLED] == 1


@pytest.mark.parametrize(
    ("retried", "runs", "status"), [(False, 2, 200), (True, 1, 502)]
)
def test_a_lost_call_of_a_chain_is_retried_at_one_level(
    retried: bool, runs: int, status: int
) -> None:
    """The link breaks under a call that may be repeated.

    Its caller is a target whose own request is a retry already. Retried at
    each level of a chain of 19, one loss would become half a million calls.
    """
    net = Net()
    net.processes["h1"].target_leaves("t-h1", "test")
    net.share_records()
    net.let_repeat("h1")
    call = calls.Call(
        1, "GET", "x", "/read", headers=b"", body=b"a", retried=retried
    )
    net.processes["h1"].call(call)
    net.settle()
    ((host, _),) = net.running()
    net.break_pair(("h1", host))
    net.settle()
    for target_host, request_id in net.running():
        net.target_answers(target_host, request_id)
    net.settle()
    assert net.runs["a"] == runs
    assert net.final("h1", 1).status == status


class AtMostOnce(stateful.RuleBasedStateMachine):
    """A once-only request with a key never runs twice."""

    hosts = st.sampled_from(HOSTS)
    names = st.sampled_from(["a", "b", "c"])

    @stateful.initialize(seed=st.integers(0, 1 << 30), old=st.booleans())
    def begin(self, seed: int, old: bool) -> None:
        self.net = Net(seed)
        self.keys: dict[str, str] = {}
        if old:
            self.net.advance(ledgers.RETENTION_MS)

    @stateful.rule(host=hosts, name=names, timed=st.booleans())
    def a_caller_sends(self, host: str, name: str, timed: bool) -> None:
        """The same name always goes with the same key."""
        if host not in self.net.processes:
            return
        key = self.keys.setdefault(
            name, self.net.fresh_key(name) if timed else name
        )
        self.net.call(host, "/pay", name, key)

    @stateful.rule(at=st.integers(0, 200))
    def a_message_arrives(self, at: int) -> None:
        self.net.deliver(at)

    @stateful.rule()
    def all_arrive(self) -> None:
        self.net.settle()

    @stateful.rule(at=st.integers(0, 50), breaks=st.booleans())
    def a_target_ends(self, at: int, breaks: bool) -> None:
        running = self.net.running()
        if not running:
            return
        host, request_id = running[at % len(running)]
        if host not in self.net.processes:
            return
        if breaks:
            self.net.target_breaks(host, request_id)
        else:
            self.net.target_answers(host, request_id)

    @stateful.rule(by_ms=st.sampled_from([20, 300, 2500]))
    def time_passes(self, by_ms: int) -> None:
        self.net.advance(by_ms)

    @stateful.rule(host=hosts)
    def a_proxy_restarts(self, host: str) -> None:
        self.net.boot(host)

    @stateful.rule(host=hosts)
    def a_host_is_cut_off(self, host: str) -> None:
        self.net.cut = {host}

    @stateful.rule()
    def the_cut_heals(self) -> None:
        self.net.cut = set()

    @stateful.rule(at=st.integers(0, 50))
    def a_connection_breaks(self, at: int) -> None:
        pairs = sorted(self.net.connections)
        if pairs:
            self.net.break_pair(pairs[at % len(pairs)])

    @stateful.invariant()
    def nothing_runs_twice(self) -> None:
        if hasattr(self, "net"):
            for name, runs in self.net.runs.items():
                assert runs <= 1, name

    @stateful.invariant()
    def one_final_a_call(self) -> None:
        if hasattr(self, "net"):
            for driver in self.net.carriers.values():
                assert not driver.doubled


TestAtMostOnce = AtMostOnce.TestCase
TestAtMostOnce.settings = settings(max_examples=150, stateful_step_count=50)
