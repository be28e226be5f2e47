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
from . import pace as paces
from . import quarantine as quarantines
from . import warmup as warmups

# The origin of what this host's own proxy forwards.
LOCAL = "local"
CRASH_GATHER_MS = 50
RECENT_REQUESTS = 4096
LEAVING_RETRY_MS = 100
MIN_WAIT_MS = 20
# A request that is surely a repeat, since its entry proxy sent it before.
PAID_PERMILLE = 1000
NOT_RUN_HEADER = b"x-trefoil-not-run"
EVACUATED = "the failure domain is evacuated"
# A target at a reused address that is not the one named answers this.
MISDIRECTED = 421


@dataclasses.dataclass(slots=True)
class LocalTarget:
    """A target of this host."""

    record: messages.TargetRecord
    port: int
    slots: admission.Admission
    draining: bool = False
    told_cold: bool = False
    pace: paces.Pace = dataclasses.field(default_factory=paces.Pace)
    occupancy: occupancies.Occupancy = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        self.occupancy = occupancies.Occupancy(self.record.name)

    def is_cold(self, now_ms: int) -> bool:
        """Tell whether it is slow since it started, or may be."""
        if self.slots.warmup.is_cold(now_ms):
            return True
        return self.record.state == messages.TargetState.COLD

    def told(self, now_ms: int) -> messages.TargetRecord:
        """Return its record as other proxies learn it."""
        told = copy.copy(self.record)
        told.usual_us = self.pace.tell()
        self.told_cold = self.is_cold(now_ms)
        if self.draining:
            return told
        told.state = messages.TargetState.READY
        if self.told_cold:
            told.state = messages.TargetState.COLD
            limit = self.slots.warmup.limit
            told.cold_per_s = limit.per_s if limit else 0.0
        return told


@dataclasses.dataclass(slots=True)
class Running:
    """A request that is queued at or running on a local target."""

    origin: str
    request: messages.Request
    target: str
    came_ms: int
    deadline_at_ms: int
    dispatched_ms: int = -1
    calls: float = 0.0

    @property
    def runs(self) -> bool:
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

    since_ms: int
    victims: list[Running]
    checking: bool = False


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
        "arrivals",
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
        self.running: dict[int, Running] = {}
        self.arrivals = bodies.Arrivals()
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
        runs = [entry for entry in self.running.values() if entry.runs]
        return self.parents.repeat_share(runs, part)

    def limit_cold(self, limits: dict[str, warmups.Limit]) -> None:
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
            slots = admission.Admission(record.slots, warmup)
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
            self._give_back(record.name, "the target is draining", now_ms)
        return self._flush()

    def keep_routes(self, names: collections.abc.Container[str]) -> None:
        """Forget what was learned of routes that are no longer in force."""
        self.origins.keep_only(names)
        self.parents.keep_only(names)

    def drop_target(self, name: str, now_ms: int) -> list[typing.Any]:
        """Remove a target; what runs on it goes on to its end."""
        self.now_ms = now_ms
        target = self.targets.get(name)
        if target is None:
            return []
        target.draining = True
        self._give_back(name, "the target left", now_ms)
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
                self._give_back(name, EVACUATED, now_ms)
            else:
                self._presume_cold(name, now_ms)
        return self._flush()

    def _presume_cold(self, name: str, now_ms: int) -> None:
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
            target.slots.warmup.set_remaining(left_ms, now_ms)

    def _give_back(self, name: str, reason: str, now_ms: int) -> None:
        """Refuse what waits at a target for a slot or for its body.

        Both can take seconds, and a target that leaves must get nothing by
        then. The entry proxies may send it elsewhere: it has not run.
        """
        waiting = [
            entry
            for entry in self.running.values()
            if entry.target == name and not entry.runs
        ]
        slots = self.targets[name].slots
        for entry in waiting:
            slots.withdraw(entry.request.request_id)
            self._drop(entry.request.request_id, now_ms)
            self._refuse(entry, reason)

    def busy(self, name: str) -> int:
        """Return how many requests run on a target."""
        target = self.targets.get(name)
        return target.slots.running if target else 0

    def has_paces_to_tell(self) -> bool:
        """Tell whether other proxies should hear of a target's pace."""
        return any(target.pace.is_news for target in self.targets.values())

    def has_turned(self, now_ms: int) -> bool:
        """Tell whether a target is cold, or warm, that was told otherwise."""
        return any(
            target.is_cold(now_ms) != target.told_cold
            for target in self.targets.values()
        )

    def told(self, name: str, now_ms: int) -> messages.TargetRecord | None:
        """Return a target's record as other proxies learn it."""
        target = self.targets.get(name)
        return target.told(now_ms) if target is not None else None

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
        entry = Running(
            origin,
            request,
            request.target,
            came_ms=now_ms,
            deadline_at_ms=now_ms + request.deadline_ms,
        )
        reason = self._refusal(request)
        if reason:
            self._refuse(entry, reason)
            return self._flush()
        if self.quarantine.refuses(request.fingerprint, now_ms):
            self._refuse(entry, "quarantined", status=422)
            return self._flush()
        self._admit(entry, now_ms)
        return self._flush()

    def _refusal(self, request: messages.Request) -> str:
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

    def _admit(self, entry: Running, now_ms: int) -> None:
        """Let a request in, its body first if that is to come.

        A slot is taken once the body is here. Held while it is on its way,
        the target would stand idle with all of its slots taken.
        """
        if entry.request.body_bytes:
            self._admit_body(entry, now_ms)
        else:
            self._admit_run(entry, now_ms)

    def _admit_body(self, entry: Running, now_ms: int) -> None:
        """Ask for a body if its run can follow, else refuse it at once.

        Told before a byte of it is sent, the request can go to another host,
        or its caller can come back.
        """
        request = entry.request
        prospect = self._prospect(entry, now_ms)
        if not self._may_come(entry, prospect):
            self._refuse(
                entry,
                "its body can't come in time",
                wait_ms=self._link_free_in_ms(),
                full=True,
            )
            return
        self.running[request.request_id] = entry
        self.out += self.arrivals.want(
            request.request_id,
            entry.origin,
            request.body_bytes,
            now_ms + prospect.aim_ms - prospect.safe_run_ms,
            now_ms,
        )

    def _may_come(self, entry: Running, prospect: bodies.Prospect) -> bool:
        """Tell whether a body may be asked for.

        As with slots, what may still go elsewhere does not wait here: its
        entry proxy learns how long they are taken, and finds free ones.
        """
        if not entry.request.settled:
            taken = self.arrivals.is_taken(self.now_ms)
            return not taken and prospect.is_served_at_once
        return prospect.is_in_time or prospect.is_late_but_welcome

    def _link_free_in_ms(self) -> int:
        """Return when the link is expected to have a pause."""
        return max(self.arrivals.expected_last_ms(), MIN_WAIT_MS)

    def _prospect(self, entry: Running, now_ms: int) -> bodies.Prospect:
        request = entry.request
        size = request.body_bytes
        slots = self.targets[entry.target].slots
        usual = slots.usual(request.route)
        return bodies.Prospect(
            body_ms=self.arrivals.expected_ms(now_ms, size),
            last_ms=self.arrivals.expected_last_ms(size),
            slot_ms=slots.forecast_ms(_waiting(entry), now_ms),
            run_ms=usual.mean_ms,
            safe_run_ms=usual.safe_ms,
            aim_ms=request.aim_ms or request.deadline_ms,
            deadline_ms=request.deadline_ms - admission.TELL_MS,
        )

    def _admit_run(self, entry: Running, now_ms: int) -> None:
        request = entry.request
        decision = self.targets[entry.target].slots.offer(
            _waiting(entry), now_ms, settled=bool(request.settled)
        )
        match decision:
            case admission.Admitted():
                self.running[request.request_id] = entry
                self._dispatch(entry, now_ms)
            case admission.Queued():
                self.running[request.request_id] = entry
                if decision.evicted:
                    self._refuse_evicted(decision.evicted, now_ms)
            case admission.Refused():
                self.running.pop(request.request_id, None)
                self._refuse(
                    entry,
                    "no slot in time",
                    wait_ms=decision.retry_after_ms,
                    full=True,
                )

    def _refuse_evicted(self, request_id: int, now_ms: int) -> None:
        entry = self._drop(request_id, now_ms)
        slots = self.targets[entry.target].slots
        self._refuse(
            entry,
            "a more urgent request took its place",
            wait_ms=max(int(slots.wait_ms(now_ms)), 1),
        )

    def _drop(self, request_id: int, now_ms: int) -> Running:
        """Forget a request and the body that is on its way."""
        if self.arrivals.waits_for(request_id):
            self.out += self.arrivals.drop(request_id, now_ms)
        return self.running.pop(request_id)

    def on_body_piece(
        self, piece: messages.BodyPiece, now_ms: int
    ) -> list[typing.Any]:
        """Take a piece of a request's body; run it if that was the last."""
        self.now_ms = now_ms
        whole, asked = self.arrivals.take(piece, now_ms)
        self.out += asked
        entry = self.running.get(piece.request_id)
        if whole is not None and entry is not None:
            entry.request.body = whole
            # What it took to bring it here is lost if it goes elsewhere.
            entry.request.settled = True
            occupancy = self.targets[entry.target].occupancy
            occupancy.body_came(now_ms - entry.came_ms)
            self._admit_run(entry, now_ms)
        return self._flush()

    def _dispatch(self, entry: Running, now_ms: int) -> None:
        """Run a request that has a slot."""
        entry.dispatched_ms = now_ms
        if entry.request.repeat_permille == PAID_PERMILLE:
            request_id = entry.request.request_id
            self.out.append(effects.RepeatArrived(entry.origin, request_id))
        target = self.targets[entry.target]
        self.out.append(
            effects.Dispatch(
                entry.target, target.port, entry.request, entry.deadline_at_ms
            )
        )

    def on_cancel(self, request_id: int, now_ms: int) -> list[typing.Any]:
        """Stop a request whose caller went away."""
        self.now_ms = now_ms
        entry = self.running.get(request_id)
        if entry is None:
            return []
        if entry.runs:
            self.out.append(effects.Abort(request_id))
            self._release(entry, now_ms)
        else:
            self.targets[entry.target].slots.withdraw(request_id)
            self._drop(request_id, now_ms)
        return self._flush()

    # What targets do

    def on_target_answer(
        self, answer: messages.Answer, now_ms: int
    ) -> list[typing.Any]:
        """Take a target's whole answer."""
        self.now_ms = now_ms
        entry = self.running.get(answer.request_id)
        if entry is None:
            return []
        said_so = self.not_run_header in (answer.headers or b"").lower()
        shed = said_so or answer.status == MISDIRECTED
        answer.ran = not shed
        answer.shed = shed
        if not shed:
            self._note_pace(entry, answer)
        self._release(entry, now_ms, took=not shed)
        answer.called_permille = self._called_permille(entry.request)
        self._reply(entry, answer)
        return self._flush()

    def _reply(self, entry: Running, answer: messages.Answer) -> None:
        """Send an answer, with what its entry proxy should know of here."""
        answer.load = self._load_of(entry.target)
        answer.body_wait_ms = self.arrivals.expected_ms(self.now_ms)
        answer.held_ms = self.now_ms - entry.came_ms
        self.out.append(effects.Reply(entry.origin, answer))

    def _called_permille(self, request: messages.Request) -> int:
        """Return which part of such requests its proxy's targets send."""
        share = self.origins.call_share(
            request.route, request.services_key or ""
        )
        return int(1000 * share)

    def _note_pace(self, entry: Running, answer: messages.Answer) -> None:
        """Learn from an answer how fast its target is, and say so in it."""
        target = self.targets.get(entry.target)
        if target is None:
            return
        if answer.service_us and not target.is_cold(self.now_ms):
            # A cold target is slow for seconds, which is told apart.
            target.pace.note(answer.service_us)
        answer.usual_us = target.pace.usual_us

    def on_target_unsent(
        self, request_id: int, now_ms: int
    ) -> list[typing.Any]:
        """Note that no byte of a request reached its target."""
        self.now_ms = now_ms
        entry = self.running.get(request_id)
        if entry is not None:
            self._release(entry, now_ms)
            self._refuse(entry, "the target does not accept connections")
        return self._flush()

    def on_target_broke(
        self, request_id: int, now_ms: int
    ) -> list[typing.Any]:
        """Note that a target's connection broke before the whole answer.

        The breaks of a crash come within milliseconds of each other: those
        within ``CRASH_GATHER_MS`` are told as one crash, with every request
        that may be its cause.
        """
        self.now_ms = now_ms
        entry = self.running.get(request_id)
        if entry is None:
            return []
        self._release(entry, now_ms)
        crash = self.crashes.setdefault(entry.target, Crash(now_ms, []))
        crash.victims.append(entry)
        return self._flush()

    def tick(self, now_ms: int) -> list[typing.Any]:
        """Expire what waits or runs past its deadline; tell of crashes."""
        self.now_ms = now_ms
        for target in list(self.targets.values()):
            for request_id in target.slots.expired(now_ms):
                self._refuse(
                    self._drop(request_id, now_ms),
                    "no slot in time",
                    wait_ms=max(int(target.slots.wait_ms(now_ms)), 1),
                )
            self._start_waiting(target, now_ms)
        for entry in list(self.running.values()):
            self._end_in_time(entry, now_ms)
        self.out += self.arrivals.tick(now_ms)
        for name, crash in list(self.crashes.items()):
            if now_ms - crash.since_ms >= CRASH_GATHER_MS:
                self._settle(name, crash)
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
            bodies=len(self.arrivals.waiting),
            body_wait_ms=self.arrivals.expected_ms(self.now_ms),
        )

    def _end_in_time(self, entry: Running, now_ms: int) -> None:
        """End a request whose time is over, or whose body comes too late."""
        if entry.runs:
            if now_ms >= entry.deadline_at_ms:
                self._time_out(entry, now_ms)
        elif self._body_comes_too_late(entry, now_ms):
            self._drop(entry.request.request_id, now_ms)
            self._refuse(
                entry,
                "its body did not come in time",
                wait_ms=self._link_free_in_ms(),
            )

    def _body_comes_too_late(self, entry: Running, now_ms: int) -> bool:
        """Tell whether a body that was let in can't be here in time.

        One that others go before waits for a pause of the link. Kept until
        its deadline, its caller could not even come back.
        """
        request_id = entry.request.request_id
        if not self.arrivals.waits_for(request_id):
            return False
        usual = self.targets[entry.target].slots.usual(entry.route)
        starts_ms = now_ms
        if self.arrivals.is_put_off(request_id, now_ms):
            starts_ms += self.arrivals.expected_last_ms()
        ends_ms = starts_ms + max(usual.mean_ms, admission.TELL_MS)
        return ends_ms > entry.deadline_at_ms

    def _settle(self, name: str, crash: Crash) -> None:
        """Find out whether a target crashed or only broke answers off.

        A target that lives and breaks one answer in fifty off would else
        have its callers' requests refused everywhere as its killers.
        """
        target = self.targets.get(name)
        if target is None:
            del self.crashes[name]
            self._tell_crash(crash)
        elif not crash.checking:
            crash.checking = True
            self.out.append(effects.CheckTarget(name, target.port))

    def on_target_checked(self, name: str, accepts: bool) -> list[typing.Any]:
        """Take whether a target whose connections broke takes new ones."""
        crash = self.crashes.pop(name, None)
        if crash is not None and accepts:
            self._tell_broken(crash)
        elif crash is not None:
            self._tell_crash(crash)
        return self._flush()

    def _tell_broken(self, crash: Crash) -> None:
        for victim in crash.victims:
            self._note("target.broke_off", victim)
            answer = messages.Answer(
                request_id=victim.request.request_id,
                status=502,
                reason="the target broke its answer off",
                ran=True,
                unusable=True,
            )
            self._reply(victim, answer)

    def _time_out(self, entry: Running, now_ms: int) -> None:
        request_id = entry.request.request_id
        self.out.append(effects.Abort(request_id))
        self._note(
            "target.timed_out", entry, ran_ms=now_ms - entry.dispatched_ms
        )
        self._release(entry, now_ms)
        self._reply(
            entry,
            messages.Answer(
                request_id=request_id,
                status=504,
                reason="the target did not answer in time",
                ran=True,
            ),
        )

    def _tell_crash(self, crash: Crash) -> None:
        prints = sorted({v.request.fingerprint for v in crash.victims})
        sole = len(crash.victims) == 1
        notice = messages.CrashNotice(
            notice_id=self.rng.getrandbits(62),
            fingerprints=prints,
            age_ms=0,
            cleared=False,
        )
        self.quarantine.hear(notice, crash.since_ms)
        self.out.append(effects.BroadcastNotice(notice))
        for victim in crash.victims:
            self._note("target.crashed", victim, sole=sole)
            answer = messages.Answer(
                request_id=victim.request.request_id,
                status=502,
                reason="the target broke off",
                ran=True,
                crashed=True,
                sole=sole,
            )
            self._reply(victim, answer)

    # Common

    def _release(
        self, entry: Running, now_ms: int, *, took: bool = False
    ) -> None:
        request_id = entry.request.request_id
        if request_id in self.running:
            self._drop(request_id, now_ms)
        target = self.targets.get(entry.target)
        if target is None:
            return
        took_ms = now_ms - entry.dispatched_ms if took else None
        if took:
            self.parents.ended(entry)
        target.slots.finished(took_ms, entry.request.route)
        self._start_waiting(target, now_ms)
        if target.draining and not target.slots.running:
            self.targets.pop(entry.target, None)

    def _start_waiting(self, target: LocalTarget, now_ms: int) -> None:
        """Run the queued requests that a target may get now."""
        following = target.slots.next_admitted(now_ms)
        while following is not None:
            self._dispatch(self.running[following], now_ms)
            following = target.slots.next_admitted(now_ms)

    def _refuse(
        self,
        entry: Running,
        reason: str,
        *,
        status: int = 503,
        wait_ms: int = LEAVING_RETRY_MS,
        full: bool = False,
    ) -> None:
        answer = messages.Answer(
            request_id=entry.request.request_id,
            status=status,
            reason=reason,
            ran=False,
            retry_after_ms=wait_ms,
            full=full,
        )
        self._reply(entry, answer)
        target = self.targets.get(entry.target)
        if target is not None:
            target.occupancy.refuse(reason)
        if not full or entry.request.settled:
            self._note("target.refused", entry, why=reason, wait_ms=wait_ms)

    def _note(self, event: str, entry: Running, **fields: typing.Any) -> None:
        """Log a decision on a request, with its caller's id."""
        target = self.targets.get(entry.target)
        slots = target.slots if target is not None else None
        self.out.append(
            common.Note(
                event,
                {
                    "id": entry.request.caller_id or entry.request.request_id,
                    "target": entry.target,
                    "from": entry.origin,
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


def _waiting(entry: Running) -> admission.Waiting:
    """Return a request as it would wait for a slot."""
    request = entry.request
    return admission.Waiting(
        request.request_id,
        entry.deadline_at_ms,
        entry.came_ms + request.aim_ms if request.aim_ms else 0,
        request.priority or 0,
        request.route,
    )
