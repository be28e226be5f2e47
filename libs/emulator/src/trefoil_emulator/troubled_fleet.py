"""Simulation of request cores under faults, with nested calls.

Targets refuse requests, disconnect before the answer and call another
service; hosts pause, restart and join. Extra arrivals are counted per service
over all hosts, a total that no single host can observe.
"""

import dataclasses
import heapq
import typing

from trefoil_fleet import items as item_store
from trefoil_fleet import records as record_store
from trefoil_requests import attribution
from trefoil_requests import call as calls
from trefoil_requests import effects
from trefoil_requests import notices
from trefoil_requests import routing
from trefoil_requests import target_side
from trefoil_wire import messages

from . import arrivals
from . import core_fleet

RETRY_RATIO = 0.2
NOT_RUN_HEADER = b"X-Trefoil-Not-Run: 1\r\n"
LOCAL = target_side.LOCAL
REFUSED_STATUS = 503
REFUSED_MS = 1.0
# Time until peers consider a paused host unresponsive and close its links.
UNRESPONSIVE_AFTER_MS = 350.0
CLOSE_AFTER_MS = 1150.0


@dataclasses.dataclass(slots=True)
class Caller(core_fleet.Caller):
    """An external caller, or a target that makes a nested call.

    Args:
        service: The called service.
        internal: Whether the caller is a target.
        repeat: Whether the run that makes the call is a repeat.
    """

    service: str = ""
    internal: bool = False
    repeat: bool = False


@dataclasses.dataclass(slots=True)
class Behaviour:
    """Current behaviour of the targets of a service.

    Args:
        refuse_share: Share of arrivals that are refused.
        disconnect_share: Share of runs whose connection breaks before the
            answer is complete.
        slowdown: Factor on the duration of requests.
    """

    refuse_share: float = 0.0
    disconnect_share: float = 0.0
    slowdown: float = 1.0


@dataclasses.dataclass(slots=True)
class Service:
    """A service of the fleet.

    Args:
        name: Name of the service.
        hosts: Number of its targets, each on a host of its own.
        kinds: Kinds of requests from external callers.
        internal: Kinds of requests from targets of other services.
    """

    name: str
    hosts: int
    kinds: list[core_fleet.RequestKind]
    internal: list[core_fleet.RequestKind] = dataclasses.field(
        default_factory=list
    )


@dataclasses.dataclass(slots=True)
class NestedCall:
    """A call to another service that runs of some kind make.

    Args:
        kind: Kind of the nested request.
        service: The called service.
        share: Share of runs that make the call.
    """

    kind: core_fleet.RequestKind
    service: str
    share: float


class FaultyFleet(core_fleet.CoreFleet):
    """Simulated hosts of several services, one target each, with faults.

    Args:
        services: The services.
        nested: Nested calls by the kind whose runs make them.
        slack: Repeats that a service may get on top of the ratio, for all
            hosts together.
        slots: Slots of each target.
        seed: Seed of the random generator.
    """

    def __init__(
        self,
        services: list[Service],
        nested: dict[str, NestedCall],
        *,
        slack: float,
        slots: int = 12,
        seed: int = 1,
    ) -> None:
        self.services = services
        self.nested = nested
        self.slack = slack
        self.slots = slots
        self.load = 1.0
        self.arrivals = {
            service.name: arrivals.Arrivals(RETRY_RATIO, slack)
            for service in services
        }
        self.behaviour = {service.name: Behaviour() for service in services}
        self.service_of: dict[str, str] = {}
        self.known: dict[str, record_store.Records] = {}
        self.attempts: dict[int, Caller] = {}
        self.paused: dict[str, list[typing.Callable[[], None]]] = {}
        super().__init__([], domains=1, slots=slots, kinds=[], seed=seed)
        for service in services:
            for _ in range(service.hosts):
                self.join(service.name)
            for kind in service.kinds:
                self._schedule_caller(service.name, kind)
        self._tick()

    def _configure(self, slots: int) -> None:
        self.items = item_store.Items()
        for service in self.services:
            self._put_service(service.name)
            for kind in service.kinds + service.internal:
                route = core_fleet.route_of(kind)
                route.service_name = service.name
                self.items.set(1, item_store.ROUTE + kind.name, route)

    def _put_service(self, name: str) -> None:
        service = messages.Service(
            name, [], core_fleet.VERSION, retry_budget=RETRY_RATIO
        )
        share = messages.VersionShare(core_fleet.VERSION, 1000)
        self.items.set(1, item_store.SERVICE + name, service)
        self.items.set(
            1, item_store.SHARES + name, messages.Shares(name, [share], "")
        )

    # Hosts

    def join(self, service: str, known_share: float = 1.0) -> str:
        """Add a host.

        Args:
            service: The service of its target.
            known_share: Share of the other hosts that exchange records with
                it.

        Returns:
            The name of the host.
        """
        name = f"{service}{len(self.service_of)}"
        others = [o for o in self.hosts if self.rng.random() < known_share]
        self.service_of[name] = service
        self.known[name] = record_store.Records()
        self.hosts[name] = self._make_host(name, "d", 1.0)
        self._exchange_records(name, others)
        self._start_host(name)
        for other in others:
            self._apply_records(other)
        return name

    def _exchange_records(self, name: str, others: list[str]) -> None:
        record = core_fleet.record_of(self.hosts[name], self.slots)
        record.targets[0].service_name = self.service_of[name]
        self.known[name].put(record, 0)
        for other in others:
            self.known[other].put(record, 0)
            self.known[name].put(self.known[other].get(other), 0)

    def _start_host(self, name: str) -> None:
        host = self.hosts[name]
        record = self.known[name].get(name)
        host.entry.put_in_force(routing.RouteTable(self.items))
        host.targets.put_target(record.targets[0], 1, 0)
        self._apply_records(name)

    def _apply_records(self, name: str) -> None:
        known = self.known[name]
        host = self.hosts[name]
        host.entry.records_changed(known, int(self.now_ms))
        host.entry.retry_budgets.set_reserve(
            self.slack / (len(known.by_host) + 1)
        )
        host.targets.origins.hosts = attribution.hosts_by_services(
            [target.service_name for target in record.targets]
            for record in known.present()
        )

    def restart(self, name: str) -> None:
        """Kill and restart a host's proxy.

        Its target keeps running, but its current requests are aborted.
        """
        self.resume(name)
        old = self.hosts[name]
        old.runs.clear()
        self.hosts[name] = self._make_host(name, "d", 1.0)
        self._start_host(name)
        for other in self.hosts:
            if other != name:
                self._break_links(other, name)
        for caller in old.calls.values():
            self._retry(caller, REFUSED_MS)

    def _break_links(self, name: str, peer: str) -> None:
        """Fail a host's requests to a peer, and cancel those from the peer."""
        host = self.hosts[name]
        now_ms = int(self.now_ms)
        for live in list(host.entry.live.values()):
            for attempt in (live.attempt, live.hedge):
                if attempt and attempt.endpoint and attempt.request_id:
                    if attempt.endpoint.host == peer:
                        new_effects = host.entry.on_lost(
                            attempt.request_id, now_ms, self._now_us()
                        )
                        self._apply(host, new_effects)
        for running in list(host.targets.running.values()):
            if running.origin == peer:
                request_id = running.request.request_id
                self._apply(host, host.targets.on_cancel(request_id, now_ms))

    def pause(self, name: str, duration_ms: float) -> None:
        """Pause a host.

        If the pause lasts, other hosts first mark it as unresponsive and
        then close their links to it.

        Args:
            name: Name of the host; nothing happens if it is paused already.
            duration_ms: Time until it resumes.
        """
        if name in self.paused:
            return
        self.paused[name] = []
        for other in self.hosts:
            if other != name:
                self._schedule_after(
                    UNRESPONSIVE_AFTER_MS,
                    lambda o=other: self._mark_unresponsive(o, name),
                )
                self._schedule_after(
                    CLOSE_AFTER_MS, lambda o=other: self._close_links(o, name)
                )
        self._schedule_after(duration_ms, lambda: self.resume(name))

    def _mark_unresponsive(self, name: str, peer: str) -> None:
        if peer in self.paused:
            host = self.hosts[name]
            new_effects = host.entry.set_unresponsive(
                peer, True, int(self.now_ms), self._now_us()
            )
            self._apply(host, new_effects)

    def _close_links(self, name: str, peer: str) -> None:
        if peer in self.paused:
            self._break_links(name, peer)
            self._deliver(peer, lambda: self._break_links(peer, name))

    def resume(self, name: str) -> None:
        """Resume a host and deliver what was queued during its pause."""
        now_ms = int(self.now_ms)
        for action in self.paused.pop(name, []):
            action()
        for host in list(self.hosts.values()):
            new_effects = host.entry.set_unresponsive(
                name, False, now_ms, self._now_us()
            )
            self._apply(host, new_effects)

    def _deliver(self, name: str, action: typing.Callable[[], None]) -> None:
        """Run an action on a host now, or when it resumes."""
        if name in self.paused:
            self.paused[name].append(action)
        else:
            action()

    # Time

    def run(self, duration_ms: float) -> None:
        """Simulate events for some time."""
        until_ms = self.now_ms + duration_ms
        while self.events and self.events[0][0] <= until_ms:
            self.now_ms, _, action = heapq.heappop(self.events)
            action()
        self.now_ms = until_ms

    def worst_window(self) -> dict[str, arrivals.BudgetWindow]:
        """Return the window with the largest excess for each service."""
        return {
            name: service_arrivals.worst_window()
            for name, service_arrivals in self.arrivals.items()
        }

    def _schedule_after(
        self, wait_ms: float, action: typing.Callable[[], None]
    ) -> None:
        self._schedule(self.now_ms + wait_ms, action)

    def _tick(self) -> None:
        now_ms = int(self.now_ms)
        for name in list(self.hosts):
            if name not in self.paused:
                host = self.hosts[name]
                self._apply(host, host.targets.tick(now_ms))
                self._apply(host, host.entry.tick(now_ms, self._now_us()))
        self._schedule_after(core_fleet.TICK_MS, self._tick)

    # Callers

    def _schedule_caller(
        self, service: str, kind: core_fleet.RequestKind
    ) -> None:
        wait_ms = self.rng.expovariate(self.load * kind.rate_per_s / 1000)

        def arrive() -> None:
            self._send_request(self._make_caller(service, kind))
            self._schedule_caller(service, kind)

        self._schedule_after(wait_ms, arrive)

    def _make_caller(
        self, service: str, kind: core_fleet.RequestKind
    ) -> Caller:
        work_ms = self.rng.expovariate(1 / kind.work_ms)
        return Caller(kind, self.now_ms, work_ms, service=service)

    def _send_request(self, caller: Caller, name: str = "") -> None:
        """Send a caller's request to a host; a random one by default."""
        name = name or self.rng.choice(list(self.hosts))
        number = next(self.numbers)
        self.attempts[number] = caller
        if not caller.repeat:
            self.arrivals[caller.service].record_request(self.now_ms)
        remaining_ms = int(
            caller.created_ms + caller.kind.caller_timeout_ms - self.now_ms
        )
        call = calls.Call(
            number,
            "GET",
            "any",
            f"/{caller.kind.name}/{number}",
            deadline_ms=max(remaining_ms, 1),
        )

        def deliver() -> None:
            host = self.hosts[name]
            host.calls[number] = caller
            new_effects = host.entry.start(
                call, int(self.now_ms), self._now_us()
            )
            self._apply(host, new_effects)

        self._deliver(name, deliver)

    def _finish_call(self, host: core_fleet.Host, final: calls.Final) -> None:
        caller = host.calls.pop(final.call_id, None)
        if caller is not None:
            caller.status = final.status
            if final.status != core_fleet.OK:
                self._retry(caller, max(final.retry_after_ms, 1))

    def _retry(self, caller: Caller, wait_ms: float) -> None:
        remaining_ms = (
            caller.created_ms + caller.kind.caller_timeout_ms - self.now_ms
        )
        if (
            caller.internal
            or caller.retries >= self.retries
            or remaining_ms <= 0
        ):
            return
        caller.retries += 1
        self._schedule_after(
            min(wait_ms, remaining_ms / 3), lambda: self._send_request(caller)
        )

    # Between the hosts

    def _apply(
        self, host: core_fleet.Host, new_effects: list[typing.Any]
    ) -> None:
        super()._apply(host, new_effects)
        for effect in new_effects:
            match effect:
                case effects.CheckTarget():
                    self._confirm_target(host.name, effect.target)
                case effects.RepeatArrived():
                    self._report_repeat(host.name, effect)

    def _report_repeat(self, name: str, effect: effects.RepeatArrived) -> None:
        origin = name if effect.origin == LOCAL else effect.origin

        def deliver() -> None:
            entry = self.hosts[origin].entry
            entry.on_repeat_arrived(effect.request_id)

        self._hop(name, origin, deliver)

    def _confirm_target(self, name: str, target: str) -> None:
        def report() -> None:
            host = self.hosts[name]
            self._apply(host, host.targets.on_target_checked(target, True))

        self._schedule_after(REFUSED_MS, lambda: self._deliver(name, report))

    def _forward_request(
        self, host: core_fleet.Host, effect: effects.Forward
    ) -> None:
        def deliver() -> None:
            receiver = self.hosts[effect.host]
            origin = host.name if host.name != receiver.name else LOCAL
            new_effects = receiver.targets.on_request(
                origin, effect.request, int(self.now_ms)
            )
            self._apply(receiver, new_effects)

        self._hop(host.name, effect.host, deliver)

    def _hop(
        self, sender: str, receiver: str, action: typing.Callable[[], None]
    ) -> None:
        hop_ms = 0.0 if sender == receiver else core_fleet.HOP_MS
        self._schedule_after(hop_ms, lambda: self._deliver(receiver, action))

    def _send_answer(
        self, host: core_fleet.Host, effect: effects.Reply
    ) -> None:
        name = host.name if effect.origin == LOCAL else effect.origin

        def deliver() -> None:
            origin = self.hosts[name]
            new_effects = origin.entry.on_answer(
                effect.answer, int(self.now_ms), self._now_us()
            )
            self._apply(origin, new_effects)

        self._hop(host.name, name, deliver)

    def _send_cancel(
        self, host: core_fleet.Host, name: str, cancel: messages.Cancel
    ) -> None:
        def deliver() -> None:
            receiver = self.hosts[name]
            new_effects = receiver.targets.on_cancel(
                cancel.request_id, int(self.now_ms)
            )
            self._apply(receiver, new_effects)

        self._schedule_after(
            core_fleet.HOP_MS, lambda: self._deliver(name, deliver)
        )

    # Targets

    def _run_request(
        self, host: core_fleet.Host, request: messages.Request
    ) -> None:
        number = int(request.path.rpartition("/")[2])
        caller = self.attempts[number]
        is_extra = self.arrivals[caller.service].record_arrival(
            number, caller.repeat, self.now_ms
        )
        behaviour = self.behaviour[caller.service]
        host.runs[request.request_id] = True
        if self.rng.random() < behaviour.refuse_share:
            self._schedule_end(
                host, request, REFUSED_MS, REFUSED_STATUS, NOT_RUN_HEADER
            )
            return
        duration_ms = caller.work_ms * behaviour.slowdown
        nested = self.nested.get(caller.kind.name)
        if nested is not None and self.rng.random() < nested.share:
            wait_ms = self.rng.uniform(0, duration_ms)
            self._schedule_nested_call(
                host, request.request_id, nested, wait_ms, is_extra
            )
        status = (
            0
            if self.rng.random() < behaviour.disconnect_share
            else core_fleet.OK
        )
        self._schedule_end(host, request, duration_ms, status, b"")

    def _notice(
        self, host: core_fleet.Host, request: messages.Request
    ) -> notices.Notice:
        """Return what a host's target states in its answer to a request."""
        return notices.NONE

    def _schedule_nested_call(
        self,
        host: core_fleet.Host,
        request_id: int,
        nested: NestedCall,
        wait_ms: float,
        repeat: bool,
    ) -> None:
        """Schedule a nested call; it is skipped if the run has ended."""

        def start() -> None:
            if host.runs.get(request_id):
                caller = self._make_caller(nested.service, nested.kind)
                caller.internal = True
                caller.repeat = repeat
                self._send_request(caller, host.name)

        self._schedule_after(wait_ms, start)

    def _schedule_end(
        self,
        host: core_fleet.Host,
        request: messages.Request,
        duration_ms: float,
        status: int,
        headers: bytes,
    ) -> None:
        """Schedule the end of a run; a status of 0 means a disconnect."""

        def report(notice: notices.Notice) -> None:
            now_ms = int(self.now_ms)
            if not status:
                new_effects = host.targets.on_target_disconnected(
                    request.request_id, now_ms
                )
            else:
                answer = messages.Answer(
                    request_id=request.request_id,
                    status=status,
                    headers=headers,
                    ran=True,
                    service_us=int(duration_ms * 1000),
                )
                new_effects = host.targets.on_target_answer(
                    answer, now_ms, notice
                )
            self._apply(host, new_effects)

        def end() -> None:
            if host.runs.pop(request.request_id, False):
                notice = self._notice(host, request)
                self._deliver(host.name, lambda: report(notice))

        self._schedule_after(duration_ms, end)
