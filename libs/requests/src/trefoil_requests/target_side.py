"""The core before the targets of one host: slots, drains, crashes.

This proxy alone opens connections to its targets, so it knows the slots in
use exactly, and its refusal means that the request truly did not run.
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
from . import occupancy as occupancies
from . import processing_time as processing_times
from . import quarantine as quarantines
from . import warmup as warmups

# The origin of what this host's own proxy forwards.
LOCAL = "local"
CRASH_WINDOW_MS = 50
RECENT_REQUESTS = 4096
DEFAULT_RETRY_MS = 100
MIN_RETRY_MS = 20
# A request that is surely a repeat, since its entry proxy sent it before.
CERTAIN_PERMILLE = 1000
NOT_RUN_HEADER = b"x-trefoil-not-run"
EVACUATED = "the failure domain is evacuated"
# A target at a reused address that is not the one named answers this.
MISDIRECTED = 421


@dataclasses.dataclass(slots=True)
class LocalTarget:
    """A target of this host."""

    record: messages.TargetRecord
    port: int
    slots: admission.AdmissionController
    draining: bool = False
    advertised_cold: bool = False
    processing_time: processing_times.ProcessingTime = dataclasses.field(
        default_factory=processing_times.ProcessingTime
    )
    occupancy: occupancies.Occupancy = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        self.occupancy = occupancies.Occupancy(self.record.name)

    def is_cold(self, now_ms: int) -> bool:
        """Tell whether it is slow since it started, or may be."""
        if self.slots.warmup.is_cold(now_ms):
            return True
        return self.record.state == messages.TargetState.COLD

    def advertised_record(self, now_ms: int) -> messages.TargetRecord:
        """Return its record as other proxies learn it."""
        advertised = copy.copy(self.record)
        advertised.usual_us = self.processing_time.report()
        self.advertised_cold = self.is_cold(now_ms)
        if self.draining:
            return advertised
        advertised.state = messages.TargetState.READY
        if self.advertised_cold:
            advertised.state = messages.TargetState.COLD
            limit = self.slots.warmup.limit
            advertised.cold_per_s = limit.per_s if limit else 0.0
        return advertised


@dataclasses.dataclass(slots=True)
class TrackedRequest:
    """A request that is queued at or running on a local target."""

    origin: str
    request: messages.Request
    target: str
    received_ms: int
    deadline_at_ms: int
    dispatched_ms: int = -1
    calls: float = 0.0

    @property
    def is_dispatched(self) -> bool:
        """Tell whether its target has it."""
        return self.dispatched_ms >= 0

    @property
    def route(self) -> str:
        """Return the request's route."""
        return self.request.route

    @property
    def repeat(self) -> float:
        """Return how likely the target's run of it is a repeat."""
        return (self.request.repeat_permille or 0) / 1000


@dataclasses.dataclass(slots=True)
class Crash:
    """Requests whose connections broke at nearly the same time."""

    first_break_ms: int
    requests: list[TrackedRequest]
    check_pending: bool = False


class TargetSide:
    """The core that admits requests to the targets of this host.

    Args:
        quarantine: Requests known to crash targets.
        rng: Draws the ids of crash notices.
        not_run_header: Header by which a target says that it did not run a
            request.
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
        "evacuated",
        "limits",
        "origins",
        "parents",
        "out",
    )

    def __init__(
        self,
        quarantine: quarantines.Quarantine,
        rng: random.Random,
        not_run_header: bytes = NOT_RUN_HEADER,
    ) -> None:
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
        self.evacuated = False
        self.limits: dict[str, warmups.Limit] = {}
        self.origins = attribution.Origins()
        self.parents = attribution.Parents()
        self.out: list[typing.Any] = []

    # Targets

    @property
    def services_key(self) -> str:
        """Return what names the services of this host's targets."""
        return attribution.services_key(
            target.record.service_name for target in self.targets.values()
        )

    def repeat_share(self, part: float) -> float:
        """Return how likely a request that comes now is a repeat's call."""
        is_dispatched = [
            tracked
            for tracked in self.running.values()
            if tracked.is_dispatched
        ]
        return self.parents.repeat_share(is_dispatched, part)

    def set_cold_limits(self, limits: dict[str, warmups.Limit]) -> None:
        """Take what cold targets may get, by service."""
        self.limits = limits
        for target in self.targets.values():
            service = target.record.service_name
            target.slots.warmup.limit = limits.get(service)

    def put_target(
        self,
        record: messages.TargetRecord,
        port: int,
        now_ms: int,
        warmup_left_ms: int = 0,
    ) -> list[typing.Any]:
        """Add or update a target from its announcement.

        Args:
            record: What it says of itself.
            port: Where it takes requests.
            now_ms: The time on the runtime's clock.
            warmup_left_ms: How much longer it is cold, if it tells.
        """
        self.now_ms = now_ms
        known = self.targets.get(record.name)
        draining = record.state == messages.TargetState.DRAINING
        limit = self.limits.get(record.service_name)
        if record.state == messages.TargetState.COLD and limit is not None:
            # It may only say that it is cold, not for how long.
            warmup_left_ms = warmup_left_ms or limit.lasts_ms
        if known is None:
            warmup = warmups.Warmup(limit)
            warmup.announce(warmup_left_ms, now_ms)
            slots = admission.AdmissionController(record.slots, warmup)
            self.targets[record.name] = LocalTarget(
                record, port, slots, draining
            )
            return []
        known.slots.warmup.announce(warmup_left_ms, now_ms)
        known.record = record
        known.port = port
        known.slots.slots = record.slots
        known.draining = draining
        if draining:
            self._refuse_waiting(record.name, "the target is draining", now_ms)
        return self._flush()

    def keep_routes(self, names: collections.abc.Container[str]) -> None:
        """Forget what was learned of routes that are no longer in force."""
        self.origins.keep_only(names)
        self.parents.keep_only(names)

    def remove_target(self, name: str, now_ms: int) -> list[typing.Any]:
        """Remove a target; what runs on it goes on to its end."""
        self.now_ms = now_ms
        target = self.targets.get(name)
        if target is None:
            return []
        target.draining = True
        self._refuse_waiting(name, "the target left", now_ms)
        if not target.slots.running:
            self.targets.pop(name, None)
        return self._flush()

    def evacuate(self, evacuated: bool, now_ms: int) -> list[typing.Any]:
        """Send this host's targets nothing more, or something again.

        What runs goes on to its end. What waits is given back, also where
        its entry proxy does not know of the evacuation yet.
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
        """Take a target for cold until it was asked.

        It may have turned cold without a word, and its next announcement may
        be on its way since before that.
        """
        target = self.targets[name]
        if target.slots.warmup.limit is not None:
            target.slots.warmup.presume(now_ms)
            service = target.record.service_name
            self.out.append(effects.CheckWarmup(name, target.port, service))

    def on_warmup(self, name: str, left_ms: int, now_ms: int) -> None:
        """Take how much longer a target is cold, as it was asked."""
        target = self.targets.get(name)
        if target is not None:
            target.slots.warmup.tell(left_ms, now_ms)

    def _refuse_waiting(self, name: str, reason: str, now_ms: int) -> None:
        """Refuse what waits at a target for a slot or for its body.

        Both can take seconds, and a target that leaves must get nothing by
        then. The entry proxies may send it elsewhere: it has not run.
        """
        waiting = [
            tracked
            for tracked in self.running.values()
            if tracked.target == name and not tracked.is_dispatched
        ]
        slots = self.targets[name].slots
        for tracked in waiting:
            slots.withdraw(tracked.request.request_id)
            self._remove(tracked.request.request_id, now_ms)
            self._refuse(tracked, reason)

    def busy(self, name: str) -> int:
        """Return how many requests run on a target."""
        target = self.targets.get(name)
        return target.slots.running if target else 0

    def has_processing_times_to_report(self) -> bool:
        """Tell whether other proxies should hear of a target's pace."""
        return any(
            target.processing_time.should_report
            for target in self.targets.values()
        )

    def has_cold_state_changed(self, now_ms: int) -> bool:
        """Tell whether a target is cold, or warm, that was told otherwise."""
        return any(
            target.is_cold(now_ms) != target.advertised_cold
            for target in self.targets.values()
        )

    def advertised_record(
        self, name: str, now_ms: int
    ) -> messages.TargetRecord | None:
        """Return a target's record as other proxies learn it."""
        target = self.targets.get(name)
        return target.advertised_record(now_ms) if target is not None else None

    # Requests

    def on_request(
        self, origin: str, request: messages.Request, now_ms: int
    ) -> list[typing.Any]:
        """Take a request from an entry proxy.

        Args:
            origin: What ``Reply`` is addressed to.
            request: The request.
            now_ms: The time on the runtime's clock.
        """
        self.now_ms = now_ms
        if request.request_id in self.recent:
            # A frame that is delivered twice must not run twice.
            return []
        self._remember(request.request_id)
        self.origins.note(request.route, request.services_key or "")
        tracked = TrackedRequest(
            origin,
            request,
            request.target,
            received_ms=now_ms,
            deadline_at_ms=now_ms + request.deadline_ms,
        )
        reason = self._refusal_reason(request)
        if reason:
            self._refuse(tracked, reason)
            return self._flush()
        if self.quarantine.refuses(request.fingerprint, now_ms):
            self._refuse(tracked, "quarantined", status=422)
            return self._flush()
        self._admit(tracked, now_ms)
        return self._flush()

    def _refusal_reason(self, request: messages.Request) -> str:
        target = self.targets.get(request.target)
        if self.leaving:
            return "the host is leaving"
        if self.evacuated:
            return EVACUATED
        if target is None:
            return "the target is not here"
        if target.draining:
            return "the target is draining"
        if target.record.version != request.version:
            # An update crossed with this request: running it here would put
            # traffic on a version that the move did not give it.
            return "the target has another version"
        return ""

    def _admit(self, tracked: TrackedRequest, now_ms: int) -> None:
        """Let a request in, its body first if that is to come.

        A slot is taken once the body is here. Held while it is on its way,
        the target would stand idle with all of its slots taken.
        """
        if tracked.request.body_bytes:
            self._admit_body(tracked, now_ms)
        else:
            self._admit_run(tracked, now_ms)

    def _admit_body(self, tracked: TrackedRequest, now_ms: int) -> None:
        """Ask for a body if its run can follow, else refuse it at once.

        Told before a byte of it is sent, the request can go to another host,
        or its caller can come back.
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
        self.out += self.incoming_bodies.add(
            request.request_id,
            tracked.origin,
            request.body_bytes,
            now_ms + estimate.latency_target_ms - estimate.safe_run_ms,
            now_ms,
        )

    def _may_request_body(
        self, tracked: TrackedRequest, estimate: bodies.BodyEstimate
    ) -> bool:
        """Tell whether a body may be asked for.

        As with slots, what may still go elsewhere does not wait here: its
        entry proxy learns how long they are taken, and finds free ones.
        """
        if not tracked.request.settled:
            is_busy = self.incoming_bodies.is_busy(self.now_ms)
            return not is_busy and estimate.starts_at_once
        return estimate.meets_latency_target or estimate.meets_deadline

    def _link_free_in_ms(self) -> int:
        """Return when the link is expected to have a pause."""
        return max(self.incoming_bodies.expected_last_ms(), MIN_RETRY_MS)

    def _estimate(
        self, tracked: TrackedRequest, now_ms: int
    ) -> bodies.BodyEstimate:
        request = tracked.request
        size = request.body_bytes
        slots = self.targets[tracked.target].slots
        run_time = slots.run_time(request.route)
        return bodies.BodyEstimate(
            body_ms=self.incoming_bodies.expected_ms(now_ms, size),
            last_ms=self.incoming_bodies.expected_last_ms(size),
            slot_ms=slots.expected_wait_ms(_queued_request(tracked), now_ms),
            run_ms=run_time.mean_ms,
            safe_run_ms=run_time.safe_ms,
            latency_target_ms=request.aim_ms or request.deadline_ms,
            deadline_ms=request.deadline_ms - admission.REPLY_MS,
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
                    "no slot in time",
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
        """Forget a request and the body that is on its way."""
        if self.incoming_bodies.waits_for(request_id):
            self.out += self.incoming_bodies.remove(request_id, now_ms)
        return self.running.pop(request_id)

    def on_body_chunk(
        self, chunk: messages.BodyPiece, now_ms: int
    ) -> list[typing.Any]:
        """Take a piece of a request's body; run it if that was the last."""
        self.now_ms = now_ms
        complete, chunk_requests = self.incoming_bodies.receive(chunk, now_ms)
        self.out += chunk_requests
        tracked = self.running.get(chunk.request_id)
        if complete is not None and tracked is not None:
            tracked.request.body = complete
            # What it took to bring it here is lost if it goes elsewhere.
            tracked.request.settled = True
            occupancy = self.targets[tracked.target].occupancy
            occupancy.body_came(now_ms - tracked.received_ms)
            self._admit_run(tracked, now_ms)
        return self._flush()

    def _dispatch(self, tracked: TrackedRequest, now_ms: int) -> None:
        """Run a request that has a slot."""
        tracked.dispatched_ms = now_ms
        if tracked.request.repeat_permille == CERTAIN_PERMILLE:
            request_id = tracked.request.request_id
            self.out.append(effects.Arrived(tracked.origin, request_id))
        target = self.targets[tracked.target]
        self.out.append(
            effects.Dispatch(
                tracked.target,
                target.port,
                tracked.request,
                tracked.deadline_at_ms,
            )
        )

    def on_cancel(self, request_id: int, now_ms: int) -> list[typing.Any]:
        """Stop a request whose caller went away."""
        self.now_ms = now_ms
        tracked = self.running.get(request_id)
        if tracked is None:
            return []
        if tracked.is_dispatched:
            self.out.append(effects.Abort(request_id))
            self._release(tracked, now_ms)
        else:
            self.targets[tracked.target].slots.withdraw(request_id)
            self._remove(request_id, now_ms)
        return self._flush()

    # What targets do

    def on_target_answer(
        self, answer: messages.Answer, now_ms: int
    ) -> list[typing.Any]:
        """Take a target's whole answer."""
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
        if not shed:
            self._record_processing_time(tracked, answer)
        self._release(tracked, now_ms, completed=not shed)
        answer.called_permille = self._called_permille(tracked.request)
        self._reply(tracked, answer)
        return self._flush()

    def _reply(self, tracked: TrackedRequest, answer: messages.Answer) -> None:
        """Send an answer, with what its entry proxy should know of here."""
        answer.load = self._load_of(tracked.target)
        answer.body_wait_ms = self.incoming_bodies.expected_ms(self.now_ms)
        answer.held_ms = self.now_ms - tracked.received_ms
        self.out.append(effects.Reply(tracked.origin, answer))

    def _called_permille(self, request: messages.Request) -> int:
        """Return which part of such requests its proxy's targets send."""
        share = self.origins.called_share(
            request.route, request.services_key or ""
        )
        return int(1000 * share)

    def _record_processing_time(
        self, tracked: TrackedRequest, answer: messages.Answer
    ) -> None:
        """Learn from an answer how fast its target is, and say so in it."""
        target = self.targets.get(tracked.target)
        if target is None:
            return
        if answer.service_us and not target.is_cold(self.now_ms):
            # A cold target is slow for seconds, which is told apart.
            target.processing_time.add(answer.service_us)
        answer.usual_us = target.processing_time.usual_us

    def on_target_unsent(
        self, request_id: int, now_ms: int
    ) -> list[typing.Any]:
        """Note that no byte of a request reached its target."""
        self.now_ms = now_ms
        tracked = self.running.get(request_id)
        if tracked is not None:
            self._release(tracked, now_ms)
            self._refuse(tracked, "the target does not accept connections")
        return self._flush()

    def on_target_disconnected(
        self, request_id: int, now_ms: int
    ) -> list[typing.Any]:
        """Note that a target's connection broke before the whole answer.

        The breaks of a crash come within milliseconds of each other: those
        within ``CRASH_GATHER_MS`` are told as one crash, with every request
        that may be its cause.
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
        """Expire what waits or runs past its deadline; tell of crashes."""
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
        self.out += self.incoming_bodies.tick(now_ms)
        for name, crash in list(self.crashes.items()):
            if now_ms - crash.first_break_ms >= CRASH_WINDOW_MS:
                self._check_crash(name, crash)
        for target in self.targets.values():
            moment = self._moment(target)
            self.out += target.occupancy.tell(moment, now_ms)
        return self._flush()

    def _moment(self, target: LocalTarget) -> occupancies.Moment:
        """Return what a target and this host's link are taken by."""
        return occupancies.Moment(
            slots=target.slots.slots,
            running=target.slots.running,
            queued=len(target.slots.queue),
            bodies=len(self.incoming_bodies.waiting),
            body_wait_ms=self.incoming_bodies.expected_ms(self.now_ms),
        )

    def _expire(self, tracked: TrackedRequest, now_ms: int) -> None:
        """End a request whose time is over, or whose body comes too late."""
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
        """Tell whether a body that was let in can't be here in time.

        One that others go before waits for a pause of the link. Kept until
        its deadline, its caller could not even come back.
        """
        request_id = tracked.request.request_id
        if not self.incoming_bodies.waits_for(request_id):
            return False
        run_time = self.targets[tracked.target].slots.run_time(tracked.route)
        starts_ms = now_ms
        if self.incoming_bodies.is_deferred(request_id, now_ms):
            starts_ms += self.incoming_bodies.expected_last_ms()
        ends_ms = starts_ms + max(run_time.mean_ms, admission.REPLY_MS)
        return ends_ms > tracked.deadline_at_ms

    def _check_crash(self, name: str, crash: Crash) -> None:
        """Find out whether a target crashed or only broke answers off.

        A target that lives and breaks one answer in fifty off would else
        have its callers' requests refused everywhere as its killers.
        """
        target = self.targets.get(name)
        if target is None:
            del self.crashes[name]
            self._report_crash(crash)
        elif not crash.check_pending:
            crash.check_pending = True
            self.out.append(effects.CheckTarget(name, target.port))

    def on_target_checked(self, name: str, accepts: bool) -> list[typing.Any]:
        """Take whether a target whose connections broke takes new ones."""
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
        self.out.append(effects.Abort(request_id))
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
        fingerprints = sorted({v.request.fingerprint for v in crash.requests})
        sole = len(crash.requests) == 1
        notice = messages.CrashNotice(
            notice_id=self.rng.getrandbits(62),
            fingerprints=fingerprints,
            age_ms=0,
            cleared=False,
        )
        self.quarantine.hear(notice, crash.first_break_ms)
        self.out.append(effects.Flood(notice))
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

    # Common

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
        if target.draining and not target.slots.running:
            self.targets.pop(tracked.target, None)

    def _start_waiting(self, target: LocalTarget, now_ms: int) -> None:
        """Run the queued requests that a target may get now."""
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
        """Log a decision on a request, with its caller's id."""
        target = self.targets.get(tracked.target)
        slots = target.slots if target is not None else None
        self.out.append(
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
        out = self.out
        self.out = []
        return out


def _queued_request(tracked: TrackedRequest) -> admission.QueuedRequest:
    """Return a request as it would wait for a slot."""
    request = tracked.request
    return admission.QueuedRequest(
        request.request_id,
        tracked.deadline_at_ms,
        tracked.received_ms + request.aim_ms if request.aim_ms else 0,
        request.priority or 0,
        request.route,
    )
