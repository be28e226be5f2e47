"""The request cores of a small fleet, driven without a socket.

Callers come at random to entry cores; requests go through the targets'
cores to targets that take a drawn time. Time is counted, not waited for, so
a minute of an overload is played in a few seconds, and the same each time.
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
class Kind:
    """A kind of request.

    Args:
        name: Its route.
        per_s: How many come in a second, at all proxies.
        work_ms: Its mean time on a target of speed 1.
        aim_ms: Time within which an answer is worth its full credit.
        patience_ms: How long its caller waits, returns included.
        timeout_ms: The route's time limit.
        priority: The route's rank.
        spread: Standard deviation of the time, as a part of its mean.
        answer_bytes: Length of its answers.
        body_bytes: Length of its requests' bodies.
    """

    name: str
    per_s: float
    work_ms: float
    aim_ms: int
    patience_ms: int
    timeout_ms: int
    priority: int = 0
    spread: float = 0.8
    answer_bytes: int = 0
    body_bytes: int = 0


@dataclasses.dataclass(slots=True)
class Caller:
    """A caller and what became of its request."""

    kind: Kind
    born_ms: float
    work_ms: float
    returns: int = 0
    took_ms: float = 0.0
    status: int = 0


@dataclasses.dataclass(slots=True)
class Way:
    """One direction of a host's link; messages pass it in order.

    Args:
        bytes_a_ms: What it carries; 0 for a wide one.
        free_ms: When what was sent before is through.
    """

    bytes_a_ms: float = 0.0
    free_ms: float = 0.0

    def pass_through(self, size: int, now_ms: float) -> tuple[float, float]:
        """Return when a message begins to pass and when it is through."""
        if not self.bytes_a_ms:
            return now_ms, now_ms
        begins_ms = max(self.free_ms, now_ms)
        self.free_ms = begins_ms + size / self.bytes_a_ms
        return begins_ms, self.free_ms


@dataclasses.dataclass(slots=True)
class Host:
    """A proxy's cores and the target beside them.

    Args:
        name: Its name.
        domain: Its failure domain.
        slow: How many times longer its target takes; ``NO_TARGET`` where
            there is none.
        entry: The core of its callers' requests.
        targets: The core before its target.
        version: Its target's version.
        way_out: Its link, for what it sends.
        way_in: Its link, for what it gets.
    """

    name: str
    domain: str
    slow: float
    entry: entries.Entry
    targets: target_side.TargetSide
    version: str = VERSION
    runs: dict[int, bool] = dataclasses.field(default_factory=dict)
    calls: dict[int, Caller] = dataclasses.field(default_factory=dict)
    way_out: Way = dataclasses.field(default_factory=Way)
    way_in: Way = dataclasses.field(default_factory=Way)


class CoreFleet:
    """Hosts, their callers, and the time between them.

    Args:
        slows: How many times longer each target takes; one host for each.
        domains: How many failure domains the hosts are in, by turns.
        slots: Slots of each target.
        kinds: What callers ask for.
        returns: How often a caller that was refused comes back.
        seed: Seeds every draw.
        trial: Hosts whose targets have a new version, at the end of the
            list.
        trial_permille: The new version's share, in a move that runs.
        link_bytes_a_ms: What each host's way out carries; 0 for a wide one.
        in_bytes_a_ms: What each host's way in carries; 0 for a wide one.
        callers_only: How many more hosts there are, without a target.
    """

    def __init__(
        self,
        slows: list[float],
        *,
        domains: int,
        slots: int,
        kinds: list[Kind],
        returns: int = 2,
        seed: int = 1,
        trial: int = 0,
        trial_permille: int = 0,
        link_bytes_a_ms: float = 0.0,
        in_bytes_a_ms: float = 0.0,
        callers_only: int = 0,
    ) -> None:
        self.rng = random.Random(seed)
        self.link_bytes_a_ms = link_bytes_a_ms
        self.in_bytes_a_ms = in_bytes_a_ms
        self.kinds = kinds
        self.returns = returns
        self.numbers = itertools.count(1)
        self.events: list[tuple[float, int, typing.Any]] = []
        self.now_ms = 0.0
        self.callers: list[Caller] = []
        self.sent = 0
        self.sent_far = 0
        self.far_bytes = 0
        self.sent_away = 0
        self.asked = 0
        self.ran: collections.Counter[str] = collections.Counter()
        self.hosts = {
            f"h{number}": self._make(
                f"h{number}", f"d{number % domains}", slow
            )
            for number, slow in enumerate(slows)
        }
        for host in list(self.hosts.values())[len(slows) - trial :]:
            host.version = NEW_VERSION
        for number in range(callers_only):
            name = f"c{number}"
            domain = f"d{number % domains}"
            self.hosts[name] = self._make(name, domain, NO_TARGET)
        self.trial_permille = trial_permille
        self._configure(slots)

    def _make(self, name: str, domain: str, slow: float) -> Host:
        quarantine = quarantines.Quarantine()
        ledger = ledgers.Ledger(name, 1, 0, 0)
        targets = target_side.TargetSide(quarantine, self.rng)
        return Host(
            name,
            domain,
            slow,
            entries.Entry(
                name,
                domain,
                ledger=ledger,
                quarantine=quarantine,
                targets=targets,
                rng=self.rng,
            ),
            targets,
            way_out=Way(self.link_bytes_a_ms),
            way_in=Way(self.in_bytes_a_ms),
        )

    def _configure(self, slots: int) -> None:
        items = item_store.Items()
        items.set(
            1,
            item_store.SERVICE + SERVICE,
            messages.Service(SERVICE, [], VERSION, retry_budget=0.2),
        )
        shares = shares_of(self.trial_permille)
        items.set(1, item_store.SHARES + SERVICE, shares)
        for kind in self.kinds:
            items.set(1, item_store.ROUTE + kind.name, route_of(kind))
        known = record_store.Records()
        for host in self.hosts.values():
            record = record_of(host, slots)
            known.put(record, 0)
            for target in record.targets:
                host.targets.put_target(target, 1, 0)
        for host in self.hosts.values():
            host.entry.put_in_force(routing.RouteTable(items))
            host.entry.records_changed(known, 0)

    # Playing

    def play(self, lasts_ms: int, load: float = 1.0) -> typing.Self:
        """Let callers come for a while, then let the last ones end.

        Args:
            lasts_ms: How long they come.
            load: How many times the kinds' rates.
        """
        for kind in self.kinds:
            self._draw_callers(kind, load, lasts_ms)
        longest_ms = max(kind.patience_ms for kind in self.kinds)
        for at_ms in range(0, lasts_ms + longest_ms, TICK_MS):
            self._at(at_ms, self._tick)
        while self.events:
            self.now_ms, _, what = heapq.heappop(self.events)
            what()
        return self

    def credit(self, late_worth: float, kind: str = "") -> float:
        """Return the part of the callers' credit that was earned."""
        found = [c for c in self.callers if kind in ("", c.kind.name)]
        earned = sum(_credit(caller, late_worth) for caller in found)
        return earned / len(found)

    @property
    def far_share(self) -> float:
        """Return the part of all sends that left their failure domain."""
        return self.sent_far / self.sent

    def _draw_callers(self, kind: Kind, load: float, lasts_ms: int) -> None:
        sigma = math.sqrt(math.log(1 + kind.spread**2))
        at_ms = 0.0
        while at_ms < lasts_ms:
            at_ms += self.rng.expovariate(load * kind.per_s / 1000)
            work_ms = self.rng.lognormvariate(
                math.log(kind.work_ms) - sigma**2 / 2, sigma
            )
            caller = Caller(kind, at_ms, work_ms)
            self.callers.append(caller)
            self._at(at_ms, lambda c=caller: self._arrive(c))

    def _at(self, at_ms: float, what: typing.Callable[[], None]) -> None:
        heapq.heappush(self.events, (at_ms, next(self.numbers), what))

    def _arrive(self, caller: Caller) -> None:
        self.asked += 1
        host = self.rng.choice(list(self.hosts.values()))
        number = next(self.numbers)
        host.calls[number] = caller
        left_ms = int(caller.born_ms + caller.kind.patience_ms - self.now_ms)
        call = calls.Call(
            number,
            "GET",
            "any",
            f"/{caller.kind.name}/{number}",
            deadline_ms=max(left_ms, 1),
            body=bytes(caller.kind.body_bytes),
        )
        self._carry(host, host.entry.start(call, int(self.now_ms), self._us()))

    def _us(self) -> int:
        return int(self.now_ms * 1000)

    def _tick(self) -> None:
        now_ms = int(self.now_ms)
        for host in self.hosts.values():
            self._carry(host, host.targets.tick(now_ms))
            self._carry(host, host.entry.tick(now_ms, self._us()))

    def _carry(self, host: Host, found: list[typing.Any]) -> None:
        for effect in found:
            match effect:
                case effects.Forward():
                    self._forward(host, effect)
                case effects.Dispatch():
                    self._run(host, effect.request)
                case effects.Reply():
                    self._reply(host, effect)
                case bodies.ChunkRequest():
                    self._pull(host, effect)
                case effects.Send(message=messages.BodyPiece() as piece):
                    self._give_piece(host, effect.host, piece)
                case effects.Send(message=messages.Cancel() as cancel):
                    self._cancel(host, effect.host, cancel)
                case effects.Abort():
                    host.runs.pop(effect.dispatch_id, None)
                case effects.Finish():
                    self._finish(host, effect.final)

    def _forward(self, host: Host, effect: effects.Forward) -> None:
        there = self.hosts[effect.host]
        self.sent += 1
        self.sent_far += host.domain != there.domain
        self.sent_away += host is not there

        def come() -> None:
            found = there.targets.on_request(
                host.name, effect.request, int(self.now_ms)
            )
            self._carry(there, found)

        if host is there:
            self._at(self.now_ms, come)
        else:
            self._travel(host, there, effect.request, come)

    def _travel(
        self,
        host: Host,
        there: Host,
        message: typing.Any,
        come: typing.Callable[[], None],
    ) -> None:
        """Let a message come to a host, through both links."""
        if host is there:
            self._at(self.now_ms + HOP_MS, come)
            return
        size = len(frames.encode(message))
        if host.domain != there.domain:
            self.far_bytes += size
        begins_ms, left_ms = host.way_out.pass_through(size, self.now_ms)

        def enter() -> None:
            _, came_ms = there.way_in.pass_through(size, self.now_ms)
            self._at(max(left_ms, came_ms) + HOP_MS, come)

        self._at(begins_ms, enter)

    def _pull(self, host: Host, ask: bodies.ChunkRequest) -> None:
        origin = self.hosts[ask.origin]

        def come() -> None:
            self._carry(origin, origin.entry.on_body_pull(ask.pull))

        self._travel(host, origin, ask.pull, come)

    def _give_piece(
        self, host: Host, name: str, piece: messages.BodyPiece
    ) -> None:
        there = self.hosts[name]

        def come() -> None:
            found = there.targets.on_body_chunk(piece, int(self.now_ms))
            self._carry(there, found)

        self._travel(host, there, piece, come)

    def _run(self, host: Host, request: messages.Request) -> None:
        caller = self._caller_of(request)
        took_ms = caller.work_ms * host.slow
        host.runs[request.request_id] = True
        self.ran[host.version] += 1

        def end() -> None:
            if not host.runs.pop(request.request_id, False):
                return
            answer = messages.Answer(
                request_id=request.request_id,
                status=OK,
                ran=True,
                service_us=int(took_ms * 1000),
                body=bytes(caller.kind.answer_bytes),
            )
            found = host.targets.on_target_answer(answer, int(self.now_ms))
            self._carry(host, found)

        self._at(self.now_ms + took_ms, end)

    def _caller_of(self, request: messages.Request) -> Caller:
        number = int(request.path.rpartition("/")[2])
        for host in self.hosts.values():
            if number in host.calls:
                return host.calls[number]
        # Its caller has its answer: another attempt was sooner.
        return Caller(self.kinds[0], self.now_ms, self.kinds[0].work_ms)

    def _reply(self, there: Host, effect: effects.Reply) -> None:
        host = self.hosts[effect.origin]

        def come() -> None:
            found = host.entry.on_answer(
                effect.answer, int(self.now_ms), self._us()
            )
            self._carry(host, found)

        self._travel(there, host, effect.answer, come)

    def _cancel(self, host: Host, name: str, cancel: messages.Cancel) -> None:
        there = self.hosts[name]

        def come() -> None:
            found = there.targets.on_cancel(
                cancel.request_id, int(self.now_ms)
            )
            self._carry(there, found)

        self._travel(host, there, cancel, come)

    def _finish(self, host: Host, final: calls.Final) -> None:
        caller = host.calls.pop(final.call_id)
        caller.status = final.status
        caller.took_ms = self.now_ms - caller.born_ms
        left_ms = caller.born_ms + caller.kind.patience_ms - self.now_ms
        again = caller.returns < self.returns and left_ms > 0
        if final.status != OK and again:
            caller.returns += 1
            wait_ms = min(max(final.retry_after_ms, 1), left_ms / 3)
            self._at(self.now_ms + wait_ms, lambda: self._arrive(caller))


def _credit(caller: Caller, late_worth: float) -> float:
    if caller.status != OK or caller.took_ms > caller.kind.patience_ms:
        return 0.0
    return 1.0 if caller.took_ms <= caller.kind.aim_ms else late_worth


def shares_of(trial_permille: int) -> messages.Shares:
    """Return the split between the versions, with a move if both get some."""
    old = messages.VersionShare(VERSION, 1000 - trial_permille)
    if not trial_permille:
        return messages.Shares(SERVICE, [old], "")
    new = messages.VersionShare(NEW_VERSION, trial_permille)
    return messages.Shares(SERVICE, [old, new], "a-move")


def route_of(kind: Kind) -> messages.Route:
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
        latency_aim_ms=kind.aim_ms,
    )


def record_of(host: Host, slots: int) -> messages.HostRecord:
    """Return what other hosts know of a host and its target."""
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
        [target] if host.slow != NO_TARGET else [],
    )
