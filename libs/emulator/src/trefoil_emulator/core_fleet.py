"""Discrete-event simulation of the request cores of a small fleet.

Callers arrive at random at the entry cores; requests pass the target-side
cores and run on targets for a random duration. The clock is simulated, so a
minute of overload takes a few seconds, and a seed reproduces a run.
"""

import collections
import dataclasses
import heapq
import itertools
import math
import random
import typing

from trefoil_fleet import items as item_store
from trefoil_fleet import records as record_store
from trefoil_requests import bodies
from trefoil_requests import call as calls
from trefoil_requests import effects
from trefoil_requests import entry as entries
from trefoil_requests import ledger as ledgers
from trefoil_requests import quarantine as quarantines
from trefoil_requests import routing
from trefoil_requests import target_side
from trefoil_wire import frames
from trefoil_wire import messages

HOP_MS = 1.0
TICK_MS = 20
SERVICE = "s"
VERSION = "v1"
NEW_VERSION = "v2"
OK = 200
NO_TARGET = 0.0


@dataclasses.dataclass(slots=True)
class RequestKind:
    """A kind of request; each has a route of its own.

    Args:
        name: Name of the route.
        rate_per_s: Arrival rate of callers at all proxies together.
        work_ms: Mean duration on a target with a slowdown of 1.
        latency_target_ms: Latency up to which an answer earns full credit.
        caller_timeout_ms: How long a caller waits in total, retries
            included.
        timeout_ms: Timeout of the route.
        priority: Priority of the route.
        variation: Standard deviation of the duration divided by its mean.
        answer_bytes: Length of an answer's body.
        body_bytes: Length of a request's body.
    """

    name: str
    rate_per_s: float
    work_ms: float
    latency_target_ms: int
    caller_timeout_ms: int
    timeout_ms: int
    priority: int = 0
    variation: float = 0.8
    answer_bytes: int = 0
    body_bytes: int = 0


@dataclasses.dataclass(slots=True)
class Caller:
    """A caller and the outcome of its request.

    Args:
        kind: What it requests.
        created_ms: When its first attempt starts.
        work_ms: Duration of its request on a target with a slowdown of 1.
        retries: Attempts after the first.
        latency_ms: Time from the first attempt to the last answer.
        status: Status of the last answer; 0 before the first one.
    """

    kind: RequestKind
    created_ms: float
    work_ms: float
    retries: int = 0
    latency_ms: float = 0.0
    status: int = 0


@dataclasses.dataclass(slots=True)
class LinkDirection:
    """One direction of a host's link; transmits messages in order.

    Args:
        bytes_per_ms: Bandwidth; 0 if unlimited.
        free_at_ms: When the last queued message has been transmitted.
    """

    bytes_per_ms: float = 0.0
    free_at_ms: float = 0.0

    def transmit(self, size: int, now_ms: float) -> tuple[float, float]:
        """Queue a message for transmission.

        Args:
            size: Length of the message in bytes.
            now_ms: Current time.

        Returns:
            When its transmission starts and when it ends.
        """
        if not self.bytes_per_ms:
            return now_ms, now_ms
        start_ms = max(self.free_at_ms, now_ms)
        self.free_at_ms = start_ms + size / self.bytes_per_ms
        return start_ms, self.free_at_ms


@dataclasses.dataclass(slots=True)
class Host:
    """The cores of a proxy and the target on its host.

    Args:
        name: Name of the host.
        domain: Its failure domain.
        slowdown: Factor on the duration of requests on its target;
            ``NO_TARGET`` for a host without one.
        entry: Core that handles its callers' requests.
        targets: Core that admits requests to its target.
        version: Version of its target.
        runs: Requests that run on its target, by request id.
        calls: Callers that wait for an answer, by call id.
        uplink: Link for outgoing messages.
        downlink: Link for incoming messages.
    """

    name: str
    domain: str
    slowdown: float
    entry: entries.Entry
    targets: target_side.TargetSide
    version: str = VERSION
    runs: dict[int, bool] = dataclasses.field(default_factory=dict)
    calls: dict[int, Caller] = dataclasses.field(default_factory=dict)
    uplink: LinkDirection = dataclasses.field(default_factory=LinkDirection)
    downlink: LinkDirection = dataclasses.field(default_factory=LinkDirection)


class CoreFleet:
    """Simulated hosts, links and callers.

    ``forwards`` counts requests passed to a target's host,
    ``remote_forwards`` those passed to another host,
    ``cross_domain_forwards`` those passed to another failure domain, and
    ``ran`` the runs by version of the target.

    Args:
        slowdowns: Factor on the duration of requests for each target; one
            host is created for each.
        domains: Number of failure domains; hosts are assigned round-robin.
        slots: Slots of each target.
        kinds: Kinds of requests that callers make.
        retries: How often a caller retries after a failure.
        seed: Seed of the random generator.
        new_version_hosts: How many hosts, at the end of the list, have a
            target of the new version.
        new_version_permille: Share of the new version in a running move; 0
            for no move.
        uplink_bytes_per_ms: Bandwidth of each host's uplink; 0 if
            unlimited.
        downlink_bytes_per_ms: Bandwidth of each host's downlink; 0 if
            unlimited.
        hosts_without_target: How many hosts without a target are added.
    """

    def __init__(
        self,
        slowdowns: list[float],
        *,
        domains: int,
        slots: int,
        kinds: list[RequestKind],
        retries: int = 2,
        seed: int = 1,
        new_version_hosts: int = 0,
        new_version_permille: int = 0,
        uplink_bytes_per_ms: float = 0.0,
        downlink_bytes_per_ms: float = 0.0,
        hosts_without_target: int = 0,
    ) -> None:
        self.rng = random.Random(seed)
        self.uplink_bytes_per_ms = uplink_bytes_per_ms
        self.downlink_bytes_per_ms = downlink_bytes_per_ms
        self.kinds = kinds
        self.retries = retries
        self.numbers = itertools.count(1)
        self.events: list[tuple[float, int, typing.Any]] = []
        self.now_ms = 0.0
        self.callers: list[Caller] = []
        self.forwards = 0
        self.cross_domain_forwards = 0
        self.cross_domain_bytes = 0
        self.remote_forwards = 0
        self.calls_started = 0
        self.ran: collections.Counter[str] = collections.Counter()
        self.hosts = {
            f"h{number}": self._make_host(
                f"h{number}", f"d{number % domains}", slowdown
            )
            for number, slowdown in enumerate(slowdowns)
        }
        for host in list(self.hosts.values())[
            len(slowdowns) - new_version_hosts :
        ]:
            host.version = NEW_VERSION
        for number in range(hosts_without_target):
            name = f"c{number}"
            domain = f"d{number % domains}"
            self.hosts[name] = self._make_host(name, domain, NO_TARGET)
        self.new_version_permille = new_version_permille
        self._configure(slots)

    def _make_host(self, name: str, domain: str, slowdown: float) -> Host:
        quarantine = quarantines.Quarantine()
        ledger = ledgers.Ledger(name, 1, 0, 0)
        targets = target_side.TargetSide(quarantine, self.rng)
        return Host(
            name,
            domain,
            slowdown,
            entries.Entry(
                name,
                domain,
                ledger=ledger,
                quarantine=quarantine,
                targets=targets,
                rng=self.rng,
            ),
            targets,
            uplink=LinkDirection(self.uplink_bytes_per_ms),
            downlink=LinkDirection(self.downlink_bytes_per_ms),
        )

    def _configure(self, slots: int) -> None:
        items = item_store.Items()
        items.set(
            1,
            item_store.SERVICE + SERVICE,
            messages.Service(SERVICE, [], VERSION, retry_budget=0.2),
        )
        shares = shares_of(self.new_version_permille)
        items.set(1, item_store.SHARES + SERVICE, shares)
        for kind in self.kinds:
            items.set(1, item_store.ROUTE + kind.name, route_of(kind))
        records = record_store.Records()
        for host in self.hosts.values():
            record = record_of(host, slots)
            records.put(record, 0)
            for target in record.targets:
                host.targets.put_target(target, 1, 0)
        for host in self.hosts.values():
            host.entry.put_in_force(routing.RouteTable(items))
            host.entry.records_changed(records, 0)

    # Simulation

    def simulate(self, duration_ms: int, load: float = 1.0) -> typing.Self:
        """Simulate arrivals for some time, and run until the last call ends.

        Args:
            duration_ms: How long callers arrive.
            load: Factor on the arrival rates of the kinds.

        Returns:
            The fleet.
        """
        for kind in self.kinds:
            self._draw_callers(kind, load, duration_ms)
        max_timeout_ms = max(kind.caller_timeout_ms for kind in self.kinds)
        for at_ms in range(0, duration_ms + max_timeout_ms, TICK_MS):
            self._schedule(at_ms, self._tick)
        self._run_events()
        return self

    def _run_events(self) -> None:
        while self.events:
            self.now_ms, _, action = heapq.heappop(self.events)
            action()

    def credit(self, late_credit: float, kind: str = "") -> float:
        """Return the share of the possible credit that answers earned.

        Args:
            late_credit: Credit of an answer after its latency target.
            kind: Name of the kind that is counted; empty for all.
        """
        matching = [c for c in self.callers if kind in ("", c.kind.name)]
        earned = sum(_credit(caller, late_credit) for caller in matching)
        return earned / len(matching)

    @property
    def cross_domain_share(self) -> float:
        """Return the share of forwards to another failure domain."""
        return self.cross_domain_forwards / self.forwards

    def _draw_callers(
        self, kind: RequestKind, load: float, duration_ms: int
    ) -> None:
        sigma = math.sqrt(math.log(1 + kind.variation**2))
        at_ms = 0.0
        while at_ms < duration_ms:
            at_ms += self.rng.expovariate(load * kind.rate_per_s / 1000)
            work_ms = self.rng.lognormvariate(
                math.log(kind.work_ms) - sigma**2 / 2, sigma
            )
            caller = Caller(kind, at_ms, work_ms)
            self.callers.append(caller)
            self._schedule(at_ms, lambda c=caller: self._start_call(c))

    def _schedule(
        self, at_ms: float, action: typing.Callable[[], None]
    ) -> None:
        heapq.heappush(self.events, (at_ms, next(self.numbers), action))

    def _start_call(self, caller: Caller) -> None:
        self.calls_started += 1
        host = self.rng.choice(list(self.hosts.values()))
        number = next(self.numbers)
        host.calls[number] = caller
        remaining_ms = int(
            caller.created_ms + caller.kind.caller_timeout_ms - self.now_ms
        )
        call = calls.Call(
            number,
            "GET",
            "any",
            f"/{caller.kind.name}/{number}",
            deadline_ms=max(remaining_ms, 1),
            body=bytes(caller.kind.body_bytes),
        )
        self._apply(
            host, host.entry.start(call, int(self.now_ms), self._now_us())
        )

    def _now_us(self) -> int:
        return int(self.now_ms * 1000)

    def _tick(self) -> None:
        now_ms = int(self.now_ms)
        for host in self.hosts.values():
            self._apply(host, host.targets.tick(now_ms))
            self._apply(host, host.entry.tick(now_ms, self._now_us()))

    def _apply(self, host: Host, new_effects: list[typing.Any]) -> None:
        for effect in new_effects:
            match effect:
                case effects.Forward():
                    self._forward_request(host, effect)
                case effects.Dispatch():
                    self._run_request(host, effect.request)
                case effects.Reply():
                    self._send_answer(host, effect)
                case bodies.ChunkRequest():
                    self._request_chunk(host, effect)
                case effects.Send(message=messages.BodyPiece() as chunk):
                    self._send_chunk(host, effect.host, chunk)
                case effects.Send(message=messages.Cancel() as cancel):
                    self._send_cancel(host, effect.host, cancel)
                case effects.Abort():
                    host.runs.pop(effect.dispatch_id, None)
                case effects.Finish():
                    self._finish_call(host, effect.final)

    def _forward_request(self, host: Host, effect: effects.Forward) -> None:
        receiver = self.hosts[effect.host]
        self.forwards += 1
        self.cross_domain_forwards += host.domain != receiver.domain
        self.remote_forwards += host is not receiver

        def deliver() -> None:
            new_effects = receiver.targets.on_request(
                host.name, effect.request, int(self.now_ms)
            )
            self._apply(receiver, new_effects)

        if host is receiver:
            self._schedule(self.now_ms, deliver)
        else:
            self._transmit(host, receiver, effect.request, deliver)

    def _transmit(
        self,
        sender: Host,
        receiver: Host,
        message: typing.Any,
        deliver: typing.Callable[[], None],
    ) -> None:
        """Transmit a message through the sender's and receiver's links."""
        if sender is receiver:
            self._schedule(self.now_ms + HOP_MS, deliver)
            return
        size = len(frames.encode(message))
        if sender.domain != receiver.domain:
            self.cross_domain_bytes += size
        start_ms, sent_ms = sender.uplink.transmit(size, self.now_ms)

        def enter_downlink() -> None:
            _, received_ms = receiver.downlink.transmit(size, self.now_ms)
            self._schedule(max(sent_ms, received_ms) + HOP_MS, deliver)

        self._schedule(start_ms, enter_downlink)

    def _request_chunk(
        self, host: Host, chunk_request: bodies.ChunkRequest
    ) -> None:
        origin = self.hosts[chunk_request.origin]

        def deliver() -> None:
            self._apply(origin, origin.entry.on_body_pull(chunk_request.pull))

        self._transmit(host, origin, chunk_request.pull, deliver)

    def _send_chunk(
        self, host: Host, name: str, chunk: messages.BodyPiece
    ) -> None:
        receiver = self.hosts[name]

        def deliver() -> None:
            new_effects = receiver.targets.on_body_chunk(
                chunk, int(self.now_ms)
            )
            self._apply(receiver, new_effects)

        self._transmit(host, receiver, chunk, deliver)

    def _run_request(self, host: Host, request: messages.Request) -> None:
        caller = self._caller_of(request)
        duration_ms = caller.work_ms * host.slowdown
        host.runs[request.request_id] = True
        self.ran[host.version] += 1

        def end() -> None:
            if not host.runs.pop(request.request_id, False):
                return
            answer = messages.Answer(
                request_id=request.request_id,
                status=OK,
                ran=True,
                service_us=int(duration_ms * 1000),
                body=bytes(caller.kind.answer_bytes),
            )
            new_effects = host.targets.on_target_answer(
                answer, int(self.now_ms)
            )
            self._apply(host, new_effects)

        self._schedule(self.now_ms + duration_ms, end)

    def _caller_of(self, request: messages.Request) -> Caller:
        number = int(request.path.rpartition("/")[2])
        for host in self.hosts.values():
            if number in host.calls:
                return host.calls[number]
        # The call has ended: another attempt was answered first.
        return Caller(self.kinds[0], self.now_ms, self.kinds[0].work_ms)

    def _send_answer(self, host: Host, effect: effects.Reply) -> None:
        origin = self.hosts[effect.origin]

        def deliver() -> None:
            new_effects = origin.entry.on_answer(
                effect.answer, int(self.now_ms), self._now_us()
            )
            self._apply(origin, new_effects)

        self._transmit(host, origin, effect.answer, deliver)

    def _send_cancel(
        self, host: Host, name: str, cancel: messages.Cancel
    ) -> None:
        receiver = self.hosts[name]

        def deliver() -> None:
            new_effects = receiver.targets.on_cancel(
                cancel.request_id, int(self.now_ms)
            )
            self._apply(receiver, new_effects)

        self._transmit(host, receiver, cancel, deliver)

    def _finish_call(self, host: Host, final: calls.Final) -> None:
        caller = host.calls.pop(final.call_id)
        caller.status = final.status
        caller.latency_ms = self.now_ms - caller.created_ms
        remaining_ms = (
            caller.created_ms + caller.kind.caller_timeout_ms - self.now_ms
        )
        may_retry = caller.retries < self.retries and remaining_ms > 0
        if final.status != OK and may_retry:
            caller.retries += 1
            wait_ms = min(max(final.retry_after_ms, 1), remaining_ms / 3)
            self._schedule(
                self.now_ms + wait_ms, lambda: self._start_call(caller)
            )


def _credit(caller: Caller, late_credit: float) -> float:
    if (
        caller.status != OK
        or caller.latency_ms > caller.kind.caller_timeout_ms
    ):
        return 0.0
    return (
        1.0
        if caller.latency_ms <= caller.kind.latency_target_ms
        else late_credit
    )


def shares_of(new_version_permille: int) -> messages.Shares:
    """Return the shares of both versions; a move runs if both have one."""
    old = messages.VersionShare(VERSION, 1000 - new_version_permille)
    if not new_version_permille:
        return messages.Shares(SERVICE, [old], "")
    new = messages.VersionShare(NEW_VERSION, new_version_permille)
    return messages.Shares(SERVICE, [old, new], "a-move")


def route_of(kind: RequestKind) -> messages.Route:
    """Return the route of a kind of request."""
    return messages.Route(
        name=kind.name,
        host="*",
        prefix=f"/{kind.name}/",
        methods=[],
        service_name=SERVICE,
        resource="",
        tenant=kind.name,
        timeout_ms=kind.timeout_ms,
        repeat=messages.Repeat.ANY,
        backends=[],
        priority=kind.priority,
        max_attempts=3,
        latency_aim_ms=kind.latency_target_ms,
    )


def record_of(host: Host, slots: int) -> messages.HostRecord:
    """Return the record that a host announces of itself and its target."""
    target = messages.TargetRecord(
        name=f"t-{host.name}",
        service_name=SERVICE,
        version=host.version,
        resources=[],
        slots=slots,
        state=messages.TargetState.READY,
        tells_warmup=True,
    )
    return messages.HostRecord(
        host.name,
        host.domain,
        "r",
        f"{host.name}:1",
        1,
        1,
        messages.HostState.ALIVE,
        [target] if host.slowdown != NO_TARGET else [],
    )
