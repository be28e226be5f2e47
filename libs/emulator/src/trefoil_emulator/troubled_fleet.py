"""A fleet of request cores in trouble, with targets that call others.

Targets refuse, break answers off and call another service; hosts stand still,
restart and join. What each service's targets see beyond the first arrival of
a request is added up over all hosts, as no host can.
"""

import dataclasses
import heapq
import typing

from trefoil_fleet import items as item_store
from trefoil_fleet import records as record_store
from trefoil_requests import attribution
from trefoil_requests import call as calls
from trefoil_requests import effects
from trefoil_requests import routing
from trefoil_requests import target_side
from trefoil_wire import messages

from . import arrivals
from . import core_fleet

RATIO = 0.2
NOT_RUN = b"X-Trefoil-Not-Run: 1\r\n"
LOCAL = target_side.LOCAL
REFUSED = 503
REFUSED_MS = 1.0
# When a peer that answers nothing is doubted, and when its link is closed.
DOUBT_MS = 350.0
CLOSE_MS = 1150.0


@dataclasses.dataclass(slots=True)
class Caller(core_fleet.Caller):
    """A caller, or a target that calls another.

    Args:
        service: The service that is asked.
        inner: Whether it is a target.
        repeat: Whether the run that calls was a repeat.
    """

    service: str = ""
    inner: bool = False
    repeat: bool = False


@dataclasses.dataclass(slots=True)
class Behaviour:
    """How the targets of a service behave now.

    Args:
        refusing: Part of the arrivals that they refuse.
        breaking: Part of the runs whose answer breaks off.
        slow: How many times longer they take.
    """

    refusing: float = 0.0
    breaking: float = 0.0
    slow: float = 1.0


@dataclasses.dataclass(slots=True)
class Service:
    """A service of the fleet.

    Args:
        name: Its name.
        hosts: How many targets it has, each on a host of its own.
        kinds: What callers ask it for.
        inner: What targets of other services ask it for.
    """

    name: str
    hosts: int
    kinds: list[core_fleet.Kind]
    inner: list[core_fleet.Kind] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class Calling:
    """What the runs of a kind ask another service for.

    Args:
        kind: What they ask for.
        service: The service.
        share: Part of the runs that do.
    """

    kind: core_fleet.Kind
    service: str
    share: float


class TroubledFleet(core_fleet.CoreFleet):
    """Hosts of several services, one target each, and what befalls them.

    Args:
        services: The services.
        calling: What runs ask other services for, by kind.
        slack: Repeats that a service may get besides its ratio, all hosts
            together.
        slots: Slots of each target.
        seed: Seeds every draw.
    """

    def __init__(
        self,
        services: list[Service],
        calling: dict[str, Calling],
        *,
        slack: float,
        slots: int = 12,
        seed: int = 1,
    ) -> None:
        self.services = services
        self.calling = calling
        self.slack = slack
        self.slots = slots
        self.load = 1.0
        self.arrivals = {
            service.name: arrivals.Arrivals(RATIO, slack)
            for service in services
        }
        self.behaviour = {service.name: Behaviour() for service in services}
        self.service_of: dict[str, str] = {}
        self.known: dict[str, record_store.Records] = {}
        self.attempts: dict[int, Caller] = {}
        self.frozen: dict[str, list[typing.Callable[[], None]]] = {}
        super().__init__([], domains=1, slots=slots, kinds=[], seed=seed)
        for service in services:
            for _ in range(service.hosts):
                self.join(service.name)
            for kind in service.kinds:
                self._await_caller(service.name, kind)
        self._tick()

    def _configure(self, slots: int) -> None:
        self.items = item_store.Items()
        for service in self.services:
            self._put_service(service.name)
            for kind in service.kinds + service.inner:
                route = core_fleet.route_of(kind)
                route.service_name = service.name
                self.items.set(1, item_store.ROUTE + kind.name, route)

    def _put_service(self, name: str) -> None:
        found = messages.Service(
            name, [], core_fleet.VERSION, retry_budget=RATIO
        )
        share = messages.VersionShare(core_fleet.VERSION, 1000)
        self.items.set(1, item_store.SERVICE + name, found)
        self.items.set(
            1, item_store.SHARES + name, messages.Shares(name, [share], "")
        )

    # Hosts

    def join(self, service: str, known_to: float = 1.0) -> str:
        """Add a host.

        Args:
            service: The service of its target.
            known_to: The part of the others that hear of it.
        """
        name = f"{service}{len(self.service_of)}"
        others = [o for o in self.hosts if self.rng.random() < known_to]
        self.service_of[name] = service
        self.known[name] = record_store.Records()
        self.hosts[name] = self._make(name, "d", 1.0)
        self._introduce(name, others)
        self._boot(name)
        for other in others:
            self._learn(other)
        return name

    def _introduce(self, name: str, others: list[str]) -> None:
        record = core_fleet.record_of(self.hosts[name], self.slots)
        record.targets[0].service_name = self.service_of[name]
        self.known[name].put(record, 0)
        for other in others:
            self.known[other].put(record, 0)
            self.known[name].put(self.known[other].get(other), 0)

    def _boot(self, name: str) -> None:
        host = self.hosts[name]
        record = self.known[name].get(name)
        host.entry.put_in_force(routing.RouteTable(self.items))
        host.targets.put_target(record.targets[0], 1, 0)
        self._learn(name)

    def _learn(self, name: str) -> None:
        known = self.known[name]
        host = self.hosts[name]
        host.entry.records_changed(known, int(self.now_ms))
        host.entry.accounting.set_reserve(
            self.slack / (len(known.by_host) + 1)
        )
        host.targets.origins.hosts = attribution.hosts_by_services(
            [target.service_name for target in record.targets]
            for record in known.present()
        )

    def restart(self, name: str) -> None:
        """Kill a host's proxy and start it again; its target lives on."""
        self.thaw(name)
        old = self.hosts[name]
        old.runs.clear()
        self.hosts[name] = self._make(name, "d", 1.0)
        self._boot(name)
        for other in self.hosts:
            if other != name:
                self._break_links(other, name)
        for caller in old.calls.values():
            self._come_back(caller, REFUSED_MS)

    def _break_links(self, name: str, peer: str) -> None:
        """Let a host lose what it asked of a peer, and what that asked."""
        host = self.hosts[name]
        now_ms = int(self.now_ms)
        for live in list(host.entry.live.values()):
            for attempt in (live.attempt, live.hedge):
                if attempt and attempt.endpoint and attempt.request_id:
                    if attempt.endpoint.host == peer:
                        found = host.entry.on_lost(
                            attempt.request_id, now_ms, self._us()
                        )
                        self._carry(host, found)
        for running in list(host.targets.running.values()):
            if running.origin == peer:
                request_id = running.request.request_id
                self._carry(host, host.targets.on_cancel(request_id, now_ms))

    def freeze(self, name: str, for_ms: float) -> None:
        """Let a host stand still; others doubt it, then close their links."""
        if name in self.frozen:
            return
        self.frozen[name] = []
        for other in self.hosts:
            if other != name:
                self._after(DOUBT_MS, lambda o=other: self._doubt(o, name))
                self._after(CLOSE_MS, lambda o=other: self._close(o, name))
        self._after(for_ms, lambda: self.thaw(name))

    def _doubt(self, name: str, peer: str) -> None:
        if peer in self.frozen:
            host = self.hosts[name]
            found = host.entry.set_unresponsive(
                peer, True, int(self.now_ms), self._us()
            )
            self._carry(host, found)

    def _close(self, name: str, peer: str) -> None:
        if peer in self.frozen:
            self._break_links(name, peer)
            self._send(peer, lambda: self._break_links(peer, name))

    def thaw(self, name: str) -> None:
        """Let a host go on, with what came while it stood still."""
        now_ms = int(self.now_ms)
        for what in self.frozen.pop(name, []):
            what()
        for host in list(self.hosts.values()):
            found = host.entry.set_unresponsive(
                name, False, now_ms, self._us()
            )
            self._carry(host, found)

    def _send(self, name: str, what: typing.Callable[[], None]) -> None:
        """Let something come to a host, once it does not stand still."""
        if name in self.frozen:
            self.frozen[name].append(what)
        else:
            what()

    # Time

    def run(self, lasts_ms: float) -> None:
        """Let time pass."""
        until_ms = self.now_ms + lasts_ms
        while self.events and self.events[0][0] <= until_ms:
            self.now_ms, _, what = heapq.heappop(self.events)
            what()
        self.now_ms = until_ms

    def worst(self) -> dict[str, arrivals.Excess]:
        """Return each service's worst window."""
        return {name: found.worst() for name, found in self.arrivals.items()}

    def _after(self, wait_ms: float, what: typing.Callable[[], None]) -> None:
        self._at(self.now_ms + wait_ms, what)

    def _tick(self) -> None:
        now_ms = int(self.now_ms)
        for name in list(self.hosts):
            if name not in self.frozen:
                host = self.hosts[name]
                self._carry(host, host.targets.tick(now_ms))
                self._carry(host, host.entry.tick(now_ms, self._us()))
        self._after(core_fleet.TICK_MS, self._tick)

    # Callers

    def _await_caller(self, service: str, kind: core_fleet.Kind) -> None:
        wait_ms = self.rng.expovariate(self.load * kind.per_s / 1000)

        def come() -> None:
            self._ask(self._caller(service, kind))
            self._await_caller(service, kind)

        self._after(wait_ms, come)

    def _caller(self, service: str, kind: core_fleet.Kind) -> Caller:
        work_ms = self.rng.expovariate(1 / kind.work_ms)
        return Caller(kind, self.now_ms, work_ms, service=service)

    def _ask(self, caller: Caller, name: str = "") -> None:
        """Send a caller's request, at any host unless one is named."""
        name = name or self.rng.choice(list(self.hosts))
        number = next(self.numbers)
        self.attempts[number] = caller
        if not caller.repeat:
            self.arrivals[caller.service].request(self.now_ms)
        left_ms = int(caller.born_ms + caller.kind.patience_ms - self.now_ms)
        call = calls.Call(
            number,
            "GET",
            "any",
            f"/{caller.kind.name}/{number}",
            deadline_ms=max(left_ms, 1),
        )

        def come() -> None:
            host = self.hosts[name]
            host.calls[number] = caller
            found = host.entry.start(call, int(self.now_ms), self._us())
            self._carry(host, found)

        self._send(name, come)

    def _finish(self, host: core_fleet.Host, final: calls.Final) -> None:
        caller = host.calls.pop(final.call_id, None)
        if caller is not None:
            caller.status = final.status
            if final.status != core_fleet.OK:
                self._come_back(caller, max(final.retry_after_ms, 1))

    def _come_back(self, caller: Caller, wait_ms: float) -> None:
        left_ms = caller.born_ms + caller.kind.patience_ms - self.now_ms
        if caller.inner or caller.returns >= self.returns or left_ms <= 0:
            return
        caller.returns += 1
        self._after(min(wait_ms, left_ms / 3), lambda: self._ask(caller))

    # Between the hosts

    def _carry(self, host: core_fleet.Host, found: list[typing.Any]) -> None:
        super()._carry(host, found)
        for effect in found:
            match effect:
                case effects.CheckTarget():
                    self._accepts(host.name, effect.target)
                case effects.RepeatArrived():
                    self._tell_arrived(host.name, effect)

    def _tell_arrived(self, there: str, effect: effects.RepeatArrived) -> None:
        name = there if effect.origin == LOCAL else effect.origin

        def come() -> None:
            entry = self.hosts[name].entry
            entry.on_repeat_arrived(effect.request_id)

        self._hop(there, name, come)

    def _accepts(self, name: str, target: str) -> None:
        def told() -> None:
            host = self.hosts[name]
            self._carry(host, host.targets.on_target_checked(target, True))

        self._after(REFUSED_MS, lambda: self._send(name, told))

    def _forward(self, host: core_fleet.Host, effect: effects.Forward) -> None:
        def come() -> None:
            there = self.hosts[effect.host]
            origin = host.name if host.name != there.name else LOCAL
            found = there.targets.on_request(
                origin, effect.request, int(self.now_ms)
            )
            self._carry(there, found)

        self._hop(host.name, effect.host, come)

    def _hop(
        self, name: str, there: str, what: typing.Callable[[], None]
    ) -> None:
        hop_ms = 0.0 if name == there else core_fleet.HOP_MS
        self._after(hop_ms, lambda: self._send(there, what))

    def _reply(self, there: core_fleet.Host, effect: effects.Reply) -> None:
        name = there.name if effect.origin == LOCAL else effect.origin

        def come() -> None:
            host = self.hosts[name]
            found = host.entry.on_answer(
                effect.answer, int(self.now_ms), self._us()
            )
            self._carry(host, found)

        self._hop(there.name, name, come)

    def _cancel(
        self, host: core_fleet.Host, name: str, cancel: messages.Cancel
    ) -> None:
        def come() -> None:
            there = self.hosts[name]
            found = there.targets.on_cancel(
                cancel.request_id, int(self.now_ms)
            )
            self._carry(there, found)

        self._after(core_fleet.HOP_MS, lambda: self._send(name, come))

    # Targets

    def _run(self, host: core_fleet.Host, request: messages.Request) -> None:
        number = int(request.path.rpartition("/")[2])
        caller = self.attempts[number]
        beyond = self.arrivals[caller.service].arrival(
            number, caller.repeat, self.now_ms
        )
        now = self.behaviour[caller.service]
        host.runs[request.request_id] = True
        if self.rng.random() < now.refusing:
            self._end(host, request, REFUSED_MS, REFUSED, NOT_RUN)
            return
        took_ms = caller.work_ms * now.slow
        calling = self.calling.get(caller.kind.name)
        if calling is not None and self.rng.random() < calling.share:
            wait_ms = self.rng.uniform(0, took_ms)
            self._call(host, request.request_id, calling, wait_ms, beyond)
        status = 0 if self.rng.random() < now.breaking else core_fleet.OK
        self._end(host, request, took_ms, status, b"")

    def _call(
        self,
        host: core_fleet.Host,
        request_id: int,
        calling: Calling,
        wait_ms: float,
        repeat: bool,
    ) -> None:
        """Let a run call another service, if it still runs by then."""

        def come() -> None:
            if host.runs.get(request_id):
                caller = self._caller(calling.service, calling.kind)
                caller.inner = True
                caller.repeat = repeat
                self._ask(caller, host.name)

        self._after(wait_ms, come)

    def _end(
        self,
        host: core_fleet.Host,
        request: messages.Request,
        took_ms: float,
        status: int,
        headers: bytes,
    ) -> None:
        """Let a run end; a status of 0 breaks its answer off."""

        def told() -> None:
            now_ms = int(self.now_ms)
            if not status:
                found = host.targets.on_target_disconnected(
                    request.request_id, now_ms
                )
            else:
                answer = messages.Answer(
                    request_id=request.request_id,
                    status=status,
                    headers=headers,
                    ran=True,
                    service_us=int(took_ms * 1000),
                )
                found = host.targets.on_target_answer(answer, now_ms)
            self._carry(host, found)

        def end() -> None:
            if host.runs.pop(request.request_id, False):
                self._send(host.name, told)

        self._after(took_ms, end)
