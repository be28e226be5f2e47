"""Request core for the targets of one host: slots, drains and crashes.

Only this proxy opens connections to its targets. It therefore knows exactly
which slots are in use, and a refused request certainly did not run.
"""

import collections
import collections.abc
import copy
import dataclasses
import random
import typing

from trefoil_model import effects as common
from trefoil_wire import messages

from . import admission
from . import attribution
from . import bodies
from . import effects
from . import held_memory
from . import notices
from . import occupancy as occupancies
from . import pace as processing_times
from . import quarantine as quarantines
from . import rate_limit as rate_limits
from . import warmup as warmups

# Address of this proxy as the origin of requests that it sends to itself.
LOCAL = "local"
RECENT_REQUESTS = 4096
DEFAULT_RETRY_MS = 100
MIN_RETRY_MS = 20
# ``repeat_permille`` of a request that its entry proxy sent before and that is
# therefore certainly a repeat.
CERTAIN_PERMILLE = 1000
NOT_RUN_HEADER = b"x-trefoil-not-run"
EVACUATED = "the failure domain is evacuated"
HOST_LEAVES = "the host is leaving"
LIMITED = "the target's rate limit is used up"
TOO_LITTLE_MEMORY = "too little memory for its body"
# Shorter bodies are not counted; the queues of targets bound their number.
COUNTED_BODY_BYTES = 4096
# Status of an answer from another target that now uses the same address.
MISDIRECTED = 421


@dataclasses.dataclass(slots=True)
class LocalTarget:
    """A target of this host.

    Args:
        record: Its latest announcement.
        port: Port on which it takes requests.
        slots: Admission control of its slots.
        draining: Whether it gets no new requests.
        advertised: Its state in its last advertised record.
        advertised_limit: The rate limit in that record, None for none.
        processing_time: Mean run time of its requests.
        occupancy: Its load since its last log line.
        leaving: Whether it stated in an answer that it is leaving.
        removed: Whether it is gone but for the requests that still run.
        sent: Number of requests sent to it.
    """

    record: messages.TargetRecord
    port: int
    slots: admission.AdmissionController
    draining: bool = False
    advertised: int = messages.TargetState.READY
    advertised_limit: float | None = None
    processing_time: processing_times.ProcessingTime = dataclasses.field(
        default_factory=processing_times.ProcessingTime
    )
    occupancy: occupancies.Occupancy = dataclasses.field(init=False)
    leaving: bool = False
    removed: bool = False
    sent: int = 0

    def __post_init__(self) -> None:
        self.occupancy = occupancies.Occupancy(self.record.name)

    def is_cold(self, now_ms: int) -> bool:
        """Return whether it is, or may be, slow because it just started."""
        if self.slots.warmup.is_cold(now_ms):
            return True
        return self.record.state == messages.TargetState.COLD

    def state(self, now_ms: int) -> int:
        """Return its state as other proxies should see it."""
        if self.draining:
            return messages.TargetState.DRAINING
        if self.is_cold(now_ms):
            return messages.TargetState.COLD
        return messages.TargetState.READY

    def advertised_record(self, now_ms: int) -> messages.TargetRecord:
        """Return its record as sent to other proxies."""
        advertised = copy.copy(self.record)
        advertised.usual_us = self.processing_time.report()
        self.advertised = self.state(now_ms)
        advertised.state = self.advertised
        self.advertised_limit = self.slots.rate_limit.per_s
        advertised.limit_per_s = self.advertised_limit
        if self.advertised == messages.TargetState.COLD:
            limit = self.slots.warmup.limit
            advertised.cold_per_s = limit.per_s if limit else 0.0
        return advertised


@dataclasses.dataclass(slots=True)
class TrackedRequest:
    """A request that is queued at or running on a local target.

    Args:
        origin: Address of the entry proxy, which gets the reply.
        request: The request.
        target: Name of its target.
        received_ms: When it was received.
        deadline_at_ms: Until when it may wait, then until when it may run.
        run_until_ms: When its caller stops waiting, whatever this host does.
        dispatched_ms: When it was sent to its target; -1 until then.
        calls: Estimated number of calls that its run has made.
    """

    origin: str
    request: messages.Request
    target: str
    received_ms: int
    deadline_at_ms: int
    run_until_ms: int
    dispatched_ms: int = -1
    calls: float = 0.0

    @property
    def is_dispatched(self) -> bool:
        """Return whether it was sent to its target."""
        return self.dispatched_ms >= 0

    @property
    def waits_since_ms(self) -> int:
        """Return when it was sent to its target, or else received."""
        return self.dispatched_ms if self.is_dispatched else self.received_ms

    @property
    def route(self) -> str:
        """Return the name of its route."""
        return self.request.route

    @property
    def repeat(self) -> float:
        """Return the probability that its run is a repeat."""
        return (self.request.repeat_permille or 0) / 1000


@dataclasses.dataclass(slots=True)
class Crash:
    """Requests whose connections broke within one crash window.

    Args:
        first_break_ms: When the first connection broke.
        requests: The requests that were running.
        check_pending: Whether the target is being checked for a crash.
    """

    first_break_ms: int
    requests: list[TrackedRequest]
    check_pending: bool = False


class TargetSide:
    """The core that admits requests to the targets of this host.

    Args:
        quarantine: Requests known to crash targets.
        rng: Source of the ids of crash notices.
        not_run_header: Header with which a target reports that it did not
            run a request.
        memory: The account of what the process holds; one of its own by
            default.

    ``bodies_held`` counts the bodies that came from other hosts, by request.
    """

    __slots__ = (
        "not_run_header",
        "now_ms",
        "quarantine",
        "rng",
        "targets",
        "running",
        "incoming_bodies",
        "recent",
        "crashes",
        "leaving",
        "ends_at_ms",
        "evacuated",
        "limits",
        "account_weights",
        "origins",
        "parents",
        "memory",
        "bodies_held",
        "pending_effects",
    )

    def __init__(
        self,
        quarantine: quarantines.Quarantine,
        rng: random.Random,
        not_run_header: bytes = NOT_RUN_HEADER,
        memory: held_memory.HeldMemory | None = None,
    ) -> None:
        self.memory = memory or held_memory.HeldMemory.from_memory()
        self.bodies_held: dict[int, held_memory.Holding] = {}
        self.not_run_header = not_run_header + b":"
        self.now_ms = 0
        self.quarantine = quarantine
        self.rng = rng
        self.targets: dict[str, LocalTarget] = {}
        self.running: dict[int, TrackedRequest] = {}
        self.incoming_bodies = bodies.IncomingBodies()
        self.recent: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self.crashes: dict[str, Crash] = {}
        self.leaving = False
        self.ends_at_ms = 0
        self.evacuated = False
        self.limits: dict[str, warmups.Limit] = {}
        self.account_weights: dict[str, float] = {}
        self.origins = attribution.Origins()
        self.parents = attribution.Parents()
        self.pending_effects: list[typing.Any] = []

    # Targets

    @property
    def services_key(self) -> str:
        """Return the key for the set of services of this host's targets."""
        return attribution.services_key(
            target.record.service_name for target in self.targets.values()
        )

    def repeat_share(self, share: float) -> float:
        """Return the probability that a new request is a call of a repeat.

        Args:
            share: Probability that it is a call of a local run at all.
        """
        dispatched = [
            tracked
            for tracked in self.running.values()
            if tracked.is_dispatched
        ]
        return self.parents.repeat_share(dispatched, share)

    def set_cold_limits(
        self, limits: dict[str, warmups.Limit], now_ms: int
    ) -> None:
        """Set the rate limits of cold targets, by service."""
        self.limits = limits
        for target in self.targets.values():
            service = target.record.service_name
            target.slots.warmup.set_limit(limits.get(service), now_ms)

    def set_account_weights(self, weights: dict[str, float]) -> None:
        """Set the weights by which accounts share the slots of targets."""
        self.account_weights = weights
        for target in self.targets.values():
            target.slots.shares.set_weights(weights)

    def put_target(
        self,
        record: messages.TargetRecord,
        port: int,
        now_ms: int,
        warmup_left_ms: int = 0,
    ) -> list[typing.Any]:
        """Add or update a target from its announcement.

        Args:
            record: Its announcement.
            port: Port on which it takes requests.
            now_ms: The time on the runtime's clock.
            warmup_left_ms: How much longer it is cold, 0 if not announced.
        """
        self.now_ms = now_ms
        known = self.targets.get(record.name)
        draining = record.state == messages.TargetState.DRAINING
        limit = self.limits.get(record.service_name)
        if record.state == messages.TargetState.COLD and limit is not None:
            # A target may announce that it is cold but not for how long.
            warmup_left_ms = warmup_left_ms or limit.lasts_ms
        if known is None:
            warmup = warmups.Warmup(limit)
            warmup.announce(warmup_left_ms, now_ms)
            slots = admission.AdmissionController(record.slots, warmup)
            slots.shares.set_weights(self.account_weights)
            self.targets[record.name] = LocalTarget(
                record, port, slots, draining
            )
            return []
        known.slots.warmup.announce(warmup_left_ms, now_ms)
        if record.started_ms is None:
            record.started_ms = known.record.started_ms
        if record.started_ms != known.record.started_ms:
            known.slots.rate_limit = rate_limits.RateLimit()
            known.leaving = False
        known.record = record
        known.port = port
        known.removed = False
        known.slots.slots = record.slots
        known.slots.shares.slots = record.slots
        # An announcement may have been sent before the answer that stated the
        # departure.
        known.draining = draining or known.leaving
        if known.draining:
            self._refuse_waiting(record.name, "the target is draining", now_ms)
        return self._flush()

    def keep_routes(self, names: collections.abc.Container[str]) -> None:
        """Remove the statistics of routes that are no longer in force."""
        self.origins.keep_only(names)
        self.parents.keep_only(names)

    def remove_target(self, name: str, now_ms: int) -> list[typing.Any]:
        """Remove a target; requests that run on it are completed."""
        self.now_ms = now_ms
        target = self.targets.get(name)
        if target is None:
            return []
        target.draining = True
        target.removed = True
        self._refuse_waiting(name, "the target left", now_ms)
        if not target.slots.running:
            self.targets.pop(name, None)
        return self._flush()

    def evacuate(self, evacuated: bool, now_ms: int) -> list[typing.Any]:
        """Stop or resume sending requests to the targets of this host.

        Running requests are completed. Waiting requests are refused, also if
        their entry proxy has not received the evacuation yet.
        """
        self.now_ms = now_ms
        self.evacuated = evacuated
        for name in list(self.targets):
            if evacuated:
                self._refuse_waiting(name, EVACUATED, now_ms)
            else:
                self._assume_cold(name, now_ms)
        return self._flush()

    def _assume_cold(self, name: str, now_ms: int) -> None:
        """Assume that a target is cold until it has been asked.

        It may have become cold without announcing it, and an announcement
        from before that may still be in flight.
        """
        target = self.targets[name]
        if target.slots.warmup.limit is not None:
            target.slots.warmup.assume_cold(now_ms)
            service = target.record.service_name
            self.pending_effects.append(
                effects.CheckWarmup(name, target.port, service)
            )

    def on_warmup(self, name: str, left_ms: int, now_ms: int) -> None:
        """Set how much longer a target is cold, as it replied."""
        target = self.targets.get(name)
        if target is not None:
            target.slots.warmup.set_remaining(left_ms, now_ms)

    def _refuse_waiting(self, name: str, reason: str, now_ms: int) -> None:
        """Refuse the requests of a target that wait for a slot or a body.

        Both waits can take seconds, and a target that leaves must not get a
        request after them. The requests have not run, so their entry proxies
        may send them to other targets.
        """
        slots = self.targets[name].slots
        for tracked in self._waiting_at(name):
            slots.withdraw(tracked.request.request_id)
            self._remove(tracked.request.request_id, now_ms)
            self._refuse(tracked, reason)

    def busy(self, name: str) -> int:
        """Return the number of requests that run on a target."""
        target = self.targets.get(name)
        return target.slots.running if target else 0

    def has_figures_to_report(self) -> bool:
        """Return whether a processing time or a rate limit has changed."""
        return any(
            target.processing_time.should_report
            or target.slots.rate_limit.per_s != target.advertised_limit
            for target in self.targets.values()
        )

    def has_state_changed(self, now_ms: int) -> bool:
        """Return whether a target's state differs from its last record."""
        return any(
            target.state(now_ms) != target.advertised
            for target in self.targets.values()
        )

    def advertised_record(
        self, name: str, now_ms: int
    ) -> messages.TargetRecord | None:
        """Return a target's record as sent to other proxies."""
        target = self.targets.get(name)
        return target.advertised_record(now_ms) if target is not None else None

    # Requests

    def on_request(
        self, origin: str, request: messages.Request, now_ms: int
    ) -> list[typing.Any]:
        """Receive a request from an entry proxy.

        Args:
            origin: Address of the ``Reply``.
            request: The request.
            now_ms: The time on the runtime's clock.
        """
        self.now_ms = now_ms
        if request.request_id in self.recent:
            # A request that is delivered twice must not run twice.
            return []
        self._remember(request.request_id)
        self.origins.note(request.route, request.services_key or "")
        run_until_ms = deadline_at_ms = now_ms + request.deadline_ms
        if self.ends_at_ms:
            deadline_at_ms = min(deadline_at_ms, self.ends_at_ms)
        tracked = TrackedRequest(
            origin,
            request,
            request.target,
            received_ms=now_ms,
            deadline_at_ms=deadline_at_ms,
            run_until_ms=run_until_ms,
        )
        reason = self._refusal_reason(request)
        if reason:
            self._refuse(tracked, reason)
            return self._flush()
        if self.quarantine.refuses(request.fingerprint, now_ms):
            self._refuse(tracked, "quarantined", status=422)
            return self._flush()
        limit = self.targets[request.target].slots.rate_limit
        limit.adopt(request.limit_per_s, now_ms)
        self._admit(tracked, now_ms)
        return self._flush()

    def _refusal_reason(self, request: messages.Request) -> str:
        target = self.targets.get(request.target)
        if self.leaving:
            return HOST_LEAVES
        if self.evacuated:
            return EVACUATED
        if target is None:
            return "the target is not here"
        if self._would_outlast_host(target, request.route):
            return HOST_LEAVES
        if target.draining:
            return "the target is draining"
        if target.record.version != request.version:
            # The target was updated while the request was in flight. Running
            # it would give the version traffic beyond its share in the move.
            return "the target has another version"
        return ""

    def _would_outlast_host(self, target: LocalTarget, route: str) -> bool:
        """Return whether a run would usually end after this process."""
        if not self.ends_at_ms:
            return False
        ends_at_ms = self.now_ms + target.slots.run_time(route).mean_ms
        return ends_at_ms > self.ends_at_ms

    # Shutdown

    def leave(self, ends_at_ms: int, now_ms: int) -> list[typing.Any]:
        """Let no request wait longer than this process can answer it.

        Running requests go on. Requests that are not expected to be answered
        by then are refused at once, so that they can go to other hosts.

        Args:
            ends_at_ms: Until when this process answers requests.
            now_ms: The time on the runtime's clock.
        """
        self.now_ms = now_ms
        self.ends_at_ms = ends_at_ms
        for name, target in self.targets.items():
            for tracked in self._waiting_at(name):
                self._shorten(tracked, ends_at_ms)
            self._refuse_hopeless(target)
        return self._flush()

    def on_deadline_update(
        self, update: messages.DeadlineUpdate, now_ms: int
    ) -> list[typing.Any]:
        """Let a request wait no longer than its entry proxy can answer it.

        One that runs goes on: its entry proxy passes a late answer on for as
        long as it can.
        """
        self.now_ms = now_ms
        tracked = self.running.get(update.request_id)
        if tracked is None or tracked.is_dispatched:
            return []
        deadline_at_ms = now_ms + update.deadline_ms
        tracked.run_until_ms = min(tracked.run_until_ms, deadline_at_ms)
        self._shorten(tracked, deadline_at_ms)
        self._refuse_hopeless(self.targets[tracked.target])
        return self._flush()

    def _waiting_at(self, name: str) -> list[TrackedRequest]:
        """Return the requests for a target that it does not have yet."""
        return [
            tracked
            for tracked in self.running.values()
            if tracked.target == name and not tracked.is_dispatched
        ]

    def _shorten(self, tracked: TrackedRequest, deadline_at_ms: int) -> None:
        tracked.deadline_at_ms = min(tracked.deadline_at_ms, deadline_at_ms)
        slots = self.targets[tracked.target].slots
        slots.shorten(tracked.request.request_id, tracked.deadline_at_ms)

    def _refuse_hopeless(self, target: LocalTarget) -> None:
        """Refuse the queued requests that would be answered too late."""
        now_ms = self.now_ms
        for request_id in target.slots.hopeless(now_ms):
            self._refuse(
                self._remove(request_id, now_ms),
                "no slot in time",
                wait_ms=max(int(target.slots.wait_ms(now_ms)), MIN_RETRY_MS),
            )

    # Admission

    def _admit(self, tracked: TrackedRequest, now_ms: int) -> None:
        """Admit a request, after its body if that is sent separately.

        A slot is taken only once the body is complete. If slots were held
        while bodies are in transfer, a target could be idle with no slot free.
        """
        if not self._may_hold_body(tracked, now_ms):
            self._refuse(
                tracked,
                TOO_LITTLE_MEMORY,
                wait_ms=held_memory.RETRY_AFTER_MS,
                full=True,
            )
        elif tracked.request.body_bytes:
            self._admit_body(tracked, now_ms)
        else:
            self._admit_run(tracked, now_ms)

    def _may_hold_body(self, tracked: TrackedRequest, now_ms: int) -> bool:
        """Return whether there is memory for a body of another host.

        The body of a caller of this host is counted with its connection.
        """
        request = tracked.request
        size = request.body_bytes or len(request.body or b"")
        if tracked.origin == LOCAL or size < COUNTED_BODY_BYTES:
            return True
        holding = held_memory.Holding(self, waits_for_peer=False)
        claimed = self.memory.claim(holding, size, now_ms)
        if isinstance(claimed, held_memory.Refused):
            return False
        self.bodies_held[request.request_id] = holding
        self.pending_effects += [
            effects.ReleaseMemory(other) for other in claimed.released
        ]
        return True

    def _forget_body(self, request_id: int) -> None:
        holding = self.bodies_held.pop(request_id, None)
        if holding is not None:
            self.memory.drop(holding)

    def release(self, holding: held_memory.Holding) -> None:
        """Do nothing: what was admitted is not given up for others."""

    def _admit_body(self, tracked: TrackedRequest, now_ms: int) -> None:
        """Request a body if its request can run in time, or refuse at once.

        A refusal before any byte of the body is sent lets the request go to
        another host or its caller retry.
        """
        request = tracked.request
        estimate = self._estimate(tracked, now_ms)
        if not self._may_request_body(tracked, estimate):
            self._refuse(
                tracked,
                "its body can't come in time",
                wait_ms=self._link_free_in_ms(),
                full=True,
            )
            return
        self.running[request.request_id] = tracked
        self.pending_effects += self.incoming_bodies.add(
            request.request_id,
            tracked.origin,
            request.body_bytes,
            now_ms + estimate.latency_target_ms - estimate.safe_run_ms,
            now_ms,
        )

    def _may_request_body(
        self, tracked: TrackedRequest, estimate: bodies.BodyEstimate
    ) -> bool:
        """Return whether a body may be requested.

        As with slots, a request that can still go to another host does not
        wait here: the refusal carries the load of this host, and the entry
        proxy selects a free one.
        """
        if not tracked.request.settled:
            is_busy = self.incoming_bodies.is_busy(self.now_ms)
            return not is_busy and estimate.starts_at_once
        return estimate.meets_latency_target or estimate.meets_deadline

    def _link_free_in_ms(self) -> int:
        """Return the expected time until the link is idle."""
        return max(self.incoming_bodies.expected_deferred_ms(), MIN_RETRY_MS)

    def _estimate(
        self, tracked: TrackedRequest, now_ms: int
    ) -> bodies.BodyEstimate:
        request = tracked.request
        size = request.body_bytes
        slots = self.targets[tracked.target].slots
        run_time = slots.run_time(request.route)
        return bodies.BodyEstimate(
            body_ms=self.incoming_bodies.expected_ms(now_ms, size),
            deferred_ms=self.incoming_bodies.expected_deferred_ms(size),
            slot_ms=slots.expected_wait_ms(_queued_request(tracked), now_ms),
            run_ms=run_time.mean_ms,
            safe_run_ms=run_time.safe_ms,
            latency_target_ms=request.aim_ms or request.deadline_ms,
            deadline_ms=tracked.deadline_at_ms - now_ms - admission.REPLY_MS,
        )

    def _admit_run(self, tracked: TrackedRequest, now_ms: int) -> None:
        request = tracked.request
        decision = self.targets[tracked.target].slots.offer(
            _queued_request(tracked), now_ms, may_queue=bool(request.settled)
        )
        match decision:
            case admission.Admitted():
                self.running[request.request_id] = tracked
                self._dispatch(tracked, now_ms)
            case admission.Queued():
                self.running[request.request_id] = tracked
                if decision.evicted:
                    self._refuse_evicted(decision.evicted, now_ms)
            case admission.Refused():
                self.running.pop(request.request_id, None)
                self._refuse(
                    tracked,
                    LIMITED if decision.limited else "no slot in time",
                    wait_ms=decision.retry_after_ms,
                    full=True,
                )

    def _refuse_evicted(self, request_id: int, now_ms: int) -> None:
        tracked = self._remove(request_id, now_ms)
        slots = self.targets[tracked.target].slots
        self._refuse(
            tracked,
            "a more urgent request took its place",
            wait_ms=max(int(slots.wait_ms(now_ms)), 1),
        )

    def _remove(self, request_id: int, now_ms: int) -> TrackedRequest:
        """Remove a request and its body."""
        self._forget_body(request_id)
        if self.incoming_bodies.waits_for(request_id):
            self.pending_effects += self.incoming_bodies.remove(
                request_id, now_ms
            )
        return self.running.pop(request_id)

    def on_body_chunk(
        self, chunk: messages.BodyPiece, now_ms: int
    ) -> list[typing.Any]:
        """Receive a chunk of a body; admit the request after the last one."""
        self.now_ms = now_ms
        complete, chunk_requests = self.incoming_bodies.receive(chunk, now_ms)
        self.pending_effects += chunk_requests
        tracked = self.running.get(chunk.request_id)
        if complete is not None and tracked is not None:
            tracked.request.body = complete
            # The transfer would be wasted if the request went elsewhere.
            tracked.request.settled = True
            occupancy = self.targets[tracked.target].occupancy
            occupancy.body_came(now_ms - tracked.received_ms)
            self._admit_run(tracked, now_ms)
        return self._flush()

    def _dispatch(self, tracked: TrackedRequest, now_ms: int) -> None:
        """Send a request that has a slot to its target.

        A run is not bound by the end of this process: its entry proxy then
        sees a broken link, and may repeat what may be repeated.
        """
        tracked.dispatched_ms = now_ms
        tracked.deadline_at_ms = tracked.run_until_ms
        if tracked.request.repeat_permille == CERTAIN_PERMILLE:
            request_id = tracked.request.request_id
            self.pending_effects.append(
                effects.RepeatArrived(tracked.origin, request_id)
            )
        target = self.targets[tracked.target]
        target.sent += 1
        self.pending_effects.append(
            effects.Dispatch(
                tracked.target,
                target.port,
                tracked.request,
                tracked.deadline_at_ms,
            )
        )

    def on_cancel(self, request_id: int, now_ms: int) -> list[typing.Any]:
        """Cancel a request whose caller disconnected."""
        self.now_ms = now_ms
        tracked = self.running.get(request_id)
        if tracked is None:
            return []
        if tracked.is_dispatched:
            self.pending_effects.append(effects.Abort(request_id))
            self._release(tracked, now_ms)
        else:
            self.targets[tracked.target].slots.withdraw(request_id)
            self._remove(request_id, now_ms)
        return self._flush()

    def on_entry_lost(
        self, request_ids: collections.abc.Iterable[int], now_ms: int
    ) -> list[typing.Any]:
        """Cancel the requests of an entry proxy that is gone.

        Those that wait go first: a slot that becomes free would else start
        one whose answer nobody can get.
        """
        lost = [
            self.running[request_id]
            for request_id in request_ids
            if request_id in self.running
        ]
        lost.sort(key=lambda tracked: tracked.is_dispatched)
        due = []
        for tracked in lost:
            self._note(
                "target.abandoned",
                tracked,
                dispatched=tracked.is_dispatched,
                waited_ms=now_ms - tracked.waits_since_ms,
            )
            due += self.on_cancel(tracked.request.request_id, now_ms)
        return due

    # Events from targets

    def on_target_answer(
        self,
        answer: messages.Answer,
        now_ms: int,
        notice: notices.Notice = notices.NONE,
    ) -> list[typing.Any]:
        """Process the complete answer of a target.

        Args:
            answer: The answer.
            now_ms: The time on the runtime's clock.
            notice: What the target states about itself in it.
        """
        self.now_ms = now_ms
        tracked = self.running.get(answer.request_id)
        if tracked is None:
            return []
        declared_not_run = (
            self.not_run_header in (answer.headers or b"").lower()
        )
        shed = declared_not_run or answer.status == MISDIRECTED
        answer.ran = not shed
        answer.shed = shed
        if answer.status != MISDIRECTED:
            self._hear(tracked, notice)
        if not shed:
            self._record_processing_time(tracked, answer)
        self._release(tracked, now_ms, completed=not shed)
        answer.called_permille = self._called_permille(tracked.request)
        self._reply(tracked, answer)
        return self._flush()

    def _hear(self, tracked: TrackedRequest, notice: notices.Notice) -> None:
        """Record what a target states about itself in an answer."""
        target = self.targets.get(tracked.target)
        if target is None:
            return
        if notice.malformed_limit:
            stated = notice.malformed_limit
            self._note("target.limit_malformed", tracked, stated=stated)
        limit = target.slots.rate_limit
        if limit.hear(notice, tracked.dispatched_ms, self.now_ms):
            self._note(
                "target.limit",
                tracked,
                per_s=limit.per_s,
                sent_before=target.sent,
            )
        if notice.leaving and not target.leaving:
            self._note("target.leaving", tracked)
            target.leaving = True
            target.draining = True
            self._refuse_waiting(
                tracked.target, "the target is leaving", self.now_ms
            )

    def _reply(self, tracked: TrackedRequest, answer: messages.Answer) -> None:
        """Send an answer with the current load to its entry proxy."""
        target = self.targets.get(tracked.target)
        if target is not None:
            limit = target.slots.rate_limit
            answer.limit_per_s = limit.per_s
            if limit.per_s is not None:
                queued = len(target.slots.queue)
                answer.limit_wait_ms = limit.turn_ms(queued, self.now_ms)
            answer.leaving = target.leaving or None
        answer.load = self._load_of(tracked.target)
        answer.body_wait_ms = self.incoming_bodies.expected_ms(self.now_ms)
        answer.held_ms = self.now_ms - tracked.received_ms
        self.pending_effects.append(effects.Reply(tracked.origin, answer))

    def _called_permille(self, request: messages.Request) -> int:
        """Return the share of such requests that are calls of targets.

        Only calls by targets on the host of the entry proxy count; the unit is
        1/1000.
        """
        share = self.origins.call_share(
            request.route, request.services_key or ""
        )
        return int(1000 * share)

    def _record_processing_time(
        self, tracked: TrackedRequest, answer: messages.Answer
    ) -> None:
        """Add an answer to its target's processing time and report that."""
        target = self.targets.get(tracked.target)
        if target is None:
            return
        if answer.service_us and not target.is_cold(self.now_ms):
            # A cold target is slow for seconds; its state is reported instead.
            target.processing_time.add(answer.service_us)
        answer.usual_us = target.processing_time.usual_us

    def on_target_unsent(
        self, request_id: int, now_ms: int
    ) -> list[typing.Any]:
        """Handle a request of which no byte reached its target."""
        self.now_ms = now_ms
        tracked = self.running.get(request_id)
        if tracked is not None:
            self._release(tracked, now_ms)
            self._refuse(tracked, "the target does not accept connections")
        return self._flush()

    def on_target_silent(
        self, request_id: int, waited_ms: int
    ) -> list[typing.Any]:
        """Log a request that is left at work on a suspect connection."""
        tracked = self.running.get(request_id)
        if tracked is not None:
            self._note("target.silent", tracked, waited_ms=waited_ms)
        return self._flush()

    def on_target_disconnected(
        self, request_id: int, now_ms: int
    ) -> list[typing.Any]:
        """Handle a connection that broke before the answer was complete.

        When a target crashes, its connections break within milliseconds of
        each other. Breaks within ``CRASH_WINDOW_MS`` are reported as one
        crash, with all requests that may have caused it.
        """
        self.now_ms = now_ms
        tracked = self.running.get(request_id)
        if tracked is None:
            return []
        self._release(tracked, now_ms)
        crash = self.crashes.setdefault(tracked.target, Crash(now_ms, []))
        crash.requests.append(tracked)
        return self._flush()

    def tick(self, now_ms: int) -> list[typing.Any]:
        """Expire requests, start queued ones, report crashes and load."""
        self.now_ms = now_ms
        for target in list(self.targets.values()):
            for request_id in target.slots.expired(now_ms):
                self._refuse(
                    self._remove(request_id, now_ms),
                    "no slot in time",
                    wait_ms=max(int(target.slots.wait_ms(now_ms)), 1),
                )
            self._start_waiting(target, now_ms)
        for tracked in list(self.running.values()):
            self._expire(tracked, now_ms)
        self.pending_effects += self.incoming_bodies.tick(now_ms)
        for name, crash in list(self.crashes.items()):
            if now_ms - crash.first_break_ms >= quarantines.CRASH_WINDOW_MS:
                self._check_crash(name, crash)
        for target in self.targets.values():
            moment = self._moment(target)
            self.pending_effects += target.occupancy.tell(moment, now_ms)
        return self._flush()

    def _moment(self, target: LocalTarget) -> occupancies.Moment:
        """Return the current load of a target and of this host's link."""
        return occupancies.Moment(
            slots=target.slots.slots,
            running=target.slots.running,
            queued=len(target.slots.queue),
            bodies=len(self.incoming_bodies.waiting),
            body_wait_ms=self.incoming_bodies.expected_ms(self.now_ms),
        )

    def _expire(self, tracked: TrackedRequest, now_ms: int) -> None:
        """End a request past its deadline or whose body is too late."""
        if tracked.is_dispatched:
            if now_ms >= tracked.deadline_at_ms:
                self._time_out(tracked, now_ms)
        elif self._is_body_too_late(tracked, now_ms):
            self._remove(tracked.request.request_id, now_ms)
            self._refuse(
                tracked,
                "its body did not come in time",
                wait_ms=self._link_free_in_ms(),
            )

    def _is_body_too_late(self, tracked: TrackedRequest, now_ms: int) -> bool:
        """Return whether a requested body cannot be complete in time.

        A deferred body waits until the link is idle. If it were kept until
        its deadline, its caller would have no time left to retry.
        """
        request_id = tracked.request.request_id
        if not self.incoming_bodies.waits_for(request_id):
            return False
        run_time = self.targets[tracked.target].slots.run_time(tracked.route)
        starts_ms = now_ms
        if self.incoming_bodies.is_deferred(request_id, now_ms):
            starts_ms += self.incoming_bodies.expected_deferred_ms()
        ends_ms = starts_ms + max(run_time.mean_ms, admission.REPLY_MS)
        return ends_ms > tracked.deadline_at_ms

    def _check_crash(self, name: str, crash: Crash) -> None:
        """Check whether a target crashed or only closed connections.

        Without the check, a running target that closes the connection of one
        request in fifty would get its callers' requests quarantined by the
        whole fleet as the cause of crashes.
        """
        target = self.targets.get(name)
        if target is None:
            del self.crashes[name]
            self._report_crash(crash)
        elif not crash.check_pending:
            crash.check_pending = True
            self.pending_effects.append(effects.CheckTarget(name, target.port))

    def on_target_checked(self, name: str, accepts: bool) -> list[typing.Any]:
        """Process the check of a target whose connections broke.

        Args:
            name: Name of the target.
            accepts: Whether it accepts new connections.
        """
        crash = self.crashes.pop(name, None)
        if crash is not None and accepts:
            self._report_broken(crash)
        elif crash is not None:
            self._report_crash(crash)
        return self._flush()

    def _report_broken(self, crash: Crash) -> None:
        for tracked in crash.requests:
            self._note("target.broke_off", tracked)
            answer = messages.Answer(
                request_id=tracked.request.request_id,
                status=502,
                reason="the target broke its answer off",
                ran=True,
                unusable=True,
            )
            self._reply(tracked, answer)

    def _time_out(self, tracked: TrackedRequest, now_ms: int) -> None:
        request_id = tracked.request.request_id
        self.pending_effects.append(effects.Abort(request_id))
        self._note(
            "target.timed_out", tracked, ran_ms=now_ms - tracked.dispatched_ms
        )
        self._release(tracked, now_ms)
        self._reply(
            tracked,
            messages.Answer(
                request_id=request_id,
                status=504,
                reason="the target did not answer in time",
                ran=True,
            ),
        )

    def _report_crash(self, crash: Crash) -> None:
        ran_ms: dict[int, int] = {}
        for tracked in crash.requests:
            fingerprint = tracked.request.fingerprint
            run_ms = max(crash.first_break_ms - tracked.dispatched_ms, 0)
            ran_ms[fingerprint] = max(run_ms, ran_ms.get(fingerprint, 0))
        sole = len(crash.requests) == 1
        notice = messages.CrashNotice(
            notice_id=self.rng.getrandbits(62),
            fingerprints=list(ran_ms),
            age_ms=self.now_ms - crash.first_break_ms,
            cleared=False,
            ran_ms=list(ran_ms.values()),
        )
        self.quarantine.receive(notice, self.now_ms)
        self.pending_effects.append(effects.BroadcastNotice(notice))
        for tracked in crash.requests:
            self._note("target.crashed", tracked, sole=sole)
            answer = messages.Answer(
                request_id=tracked.request.request_id,
                status=502,
                reason="the target broke off",
                ran=True,
                crashed=True,
                sole=sole,
            )
            self._reply(tracked, answer)

    # Shared helpers

    def _release(
        self, tracked: TrackedRequest, now_ms: int, *, completed: bool = False
    ) -> None:
        request_id = tracked.request.request_id
        if request_id in self.running:
            self._remove(request_id, now_ms)
        target = self.targets.get(tracked.target)
        if target is None:
            return
        took_ms = now_ms - tracked.dispatched_ms if completed else None
        if completed:
            self.parents.ended(tracked)
        target.slots.finished(took_ms, tracked.request.route)
        self._start_waiting(target, now_ms)
        if target.removed and not target.slots.running:
            self.targets.pop(tracked.target, None)

    def _start_waiting(self, target: LocalTarget, now_ms: int) -> None:
        """Dispatch the queued requests that a target may get now."""
        request_id = target.slots.next_admitted(now_ms)
        while request_id is not None:
            self._dispatch(self.running[request_id], now_ms)
            request_id = target.slots.next_admitted(now_ms)

    def _refuse(
        self,
        tracked: TrackedRequest,
        reason: str,
        *,
        status: int = 503,
        wait_ms: int = DEFAULT_RETRY_MS,
        full: bool = False,
    ) -> None:
        self._forget_body(tracked.request.request_id)
        answer = messages.Answer(
            request_id=tracked.request.request_id,
            status=status,
            reason=reason,
            ran=False,
            retry_after_ms=wait_ms,
            full=full,
        )
        self._reply(tracked, answer)
        target = self.targets.get(tracked.target)
        if target is not None:
            target.occupancy.refuse(reason)
        if not full or tracked.request.settled:
            self._note("target.refused", tracked, why=reason, wait_ms=wait_ms)

    def _note(
        self, event: str, tracked: TrackedRequest, **fields: typing.Any
    ) -> None:
        """Log an event of a request under the id that its caller gave."""
        target = self.targets.get(tracked.target)
        slots = target.slots if target is not None else None
        self.pending_effects.append(
            common.Note(
                event,
                {
                    "id": tracked.request.caller_id
                    or tracked.request.request_id,
                    "target": tracked.target,
                    "from": tracked.origin,
                    "running": slots.running if slots else 0,
                    "queued": len(slots.queue) if slots else 0,
                }
                | fields,
            )
        )

    def _load_of(self, name: str) -> int:
        target = self.targets.get(name)
        return target.slots.load if target is not None else -1

    def _remember(self, request_id: int) -> None:
        self.recent[request_id] = None
        if len(self.recent) > RECENT_REQUESTS:
            self.recent.popitem(last=False)

    def _flush(self) -> list[typing.Any]:
        pending_effects = self.pending_effects
        self.pending_effects = []
        return pending_effects


def _queued_request(tracked: TrackedRequest) -> admission.QueuedRequest:
    """Return a request in the form that admission control queues."""
    request = tracked.request
    return admission.QueuedRequest(
        request.request_id,
        tracked.deadline_at_ms,
        tracked.received_ms + request.aim_ms if request.aim_ms else 0,
        request.priority or 0,
        request.route,
        request.route_priority or 0,
        request.account or "",
    )
