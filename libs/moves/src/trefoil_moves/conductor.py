"""The conductor: the leader's decisions on one move, step by step.

Whatever it decides becomes an entry of the agreed log, so that a new leader
goes on from the same step. What it only counts (evidence) a new leader
gathers anew from the proxies' cumulative reports.
"""

import dataclasses

from trefoil_wire import messages

from . import evidence as evidences
from . import exposure as exposures
from . import judge as judges
from . import knobs as knob_store
from . import pacing as pacings
from . import phases

EXPECTED_WINDOWS = 600
COMPARE_WINDOWS = 40
COMPARE_SHARES = (250, 800)
LEANING_FACTOR = 3
FAINT_SHARE = 0.02
WHOLE = exposures.WHOLE
# How often a leader looks for the next step.
DECIDE_MS = 100
SLOTS_MARGIN = 0.9


@dataclasses.dataclass(slots=True)
class Capacity:
    """Slots that are ready, by version, and whether resources are there."""

    old_slots: int
    new_slots: int
    new_targets: int
    missing: list[str]


@dataclasses.dataclass(slots=True)
class Step:
    """Give the new version a share."""

    permille: int
    phase: str
    reason: str


@dataclasses.dataclass(slots=True)
class End:
    """Give the move its outcome."""

    outcome: int
    reason: str


Decision = Step | End | None


@dataclasses.dataclass(slots=True)
class Grounds:
    """What a decision rests on, for people.

    Args:
        permille: The version's share until then.
        at_step_ms: How long it had that share.
        left_ms: Time to the deadline.
        given: Requests that the version got, as far as reported.
        requests: Requests of both versions, as far as reported.
        payable_ms: What the version may still get, as time at the whole
            traffic.
        leans_against: Whether half of what condemns was there.
        is_clear: Whether requests at the whole share spoke for it.
    """

    permille: int
    at_step_ms: int
    left_ms: int
    given: int
    requests: int
    payable_ms: int
    leans_against: bool
    is_clear: bool


class Conductor:
    """Leads one move while this process leads the agreement.

    Args:
        move: The move as agreed.
        knobs: How careful to be.
        now_ms: The time on the runtime's clock.
    """

    __slots__ = (
        "move_id",
        "knobs",
        "merger",
        "judge",
        "exposure",
        "pacing",
        "counted_since_ms",
        "window_at_ms",
        "step_started_ms",
        "seen_at_step",
        "verdict",
        "phase",
    )

    def __init__(
        self,
        move: messages.MoveRecord,
        knobs: knob_store.Knobs,
        now_ms: int,
    ) -> None:
        self.move_id = move.move_id
        knobs = knobs.paced_for(move.deadline_ms - move.started_ms)
        self.knobs = knobs
        self.merger = evidences.Merger()
        self.judge = judges.Judge(
            move.from_version,
            move.to_version,
            threshold=judges.threshold_for(
                knobs.false_alarms, EXPECTED_WINDOWS
            ),
            tolerance=knobs.tolerance,
            compare_threshold=judges.threshold_for(
                knobs.false_alarms, COMPARE_WINDOWS
            ),
        )
        self.exposure = exposures.Exposure(
            move.to_version,
            part=knobs.exposed_part,
            requests=knobs.exposed_requests,
            span_ms=move.deadline_ms - move.started_ms,
        )
        self.pacing: pacings.Pacing = (
            pacings.BoundedPacing(knobs, self.exposure)
            if self.exposure.is_bounded
            else pacings.EvenPacing(knobs)
        )
        self.counted_since_ms = -1
        self.window_at_ms = now_ms
        self.step_started_ms = now_ms
        self.seen_at_step: dict[str, int] = {}
        self.verdict: judges.Verdict | None = None
        self.phase = move.phase
        if move.phase == phases.WATCH:
            self.judge.begin_watch()

    def hear(self, report: messages.EvidenceReport, now_ms: int) -> None:
        """Take a proxy's report."""
        self.merger.hear(report, now_ms)

    def stepped(self, move: messages.MoveRecord, now_ms: int) -> None:
        """Note that a step was agreed."""
        self.step_started_ms = now_ms
        self.seen_at_step = self.judge.seen()
        if move.phase == self.phase:
            return
        if self.phase == phases.WAITING:
            self.counted_since_ms = now_ms
        self.phase = move.phase
        if move.phase == phases.WATCH:
            self.judge.begin_watch()
        elif move.phase == phases.COMPARE:
            self.judge.begin_compare()

    def decide(
        self,
        move: messages.MoveRecord,
        capacity: Capacity,
        *,
        now_ms: int,
        wall_ms: int,
    ) -> Decision:
        """Return the next step of a move, if one is due.

        Args:
            move: The move as agreed.
            capacity: What the fleet announces of both versions.
            now_ms: The time on the runtime's clock.
            wall_ms: The time that the deadline is measured by.
        """
        if self.counted_since_ms < 0:
            self._take_over(move, now_ms, wall_ms)
        self._close_window(now_ms)
        bad = self._fault()
        if bad:
            return End(messages.Outcome.TAKEN_BACK, bad)
        match move.phase:
            case phases.WAITING:
                return self._decide_waiting(move, capacity, now_ms, wall_ms)
            case phases.WATCH:
                return self._decide_watch(move, capacity, now_ms, wall_ms)
            case phases.COMPARE:
                return self._decide_compare(now_ms)
        return self._decide_ramp(move, capacity, now_ms, wall_ms)

    def _take_over(
        self, move: messages.MoveRecord, now_ms: int, wall_ms: int
    ) -> None:
        """Go on with a move that another leader may have led until now.

        The proxies' cumulative reports tell what was counted before; begun
        anew, the step would last, and its version cost, once more. A watch
        does begin anew: this leader has seen nothing of it yet.
        """
        self.counted_since_ms = now_ms - (wall_ms - move.started_ms)
        if move.phase in (phases.TRIAL, phases.RAMP):
            self.step_started_ms = now_ms - (wall_ms - move.step_ms)

    def _close_window(self, now_ms: int) -> None:
        elapsed_ms = now_ms - self.window_at_ms
        if elapsed_ms < self._window_ms():
            return
        self.window_at_ms = now_ms
        window = self.merger.take_window()
        self.exposure.add(window)
        if self._is_settled(now_ms):
            self.judge.begin_clearing()
        verdict = self.judge.add(window, elapsed_ms / self.knobs.window_ms)
        self.verdict = self.verdict or verdict

    def _window_ms(self) -> int:
        """Return how long evidence is gathered before it is looked at.

        With all the traffic each tenth of a second counts, and no strata of
        two versions are compared that would be thinner for it.
        """
        if self.exposure.is_bounded and self.phase == phases.WATCH:
            return DECIDE_MS
        return self.knobs.window_ms

    def _is_settled(self, now_ms: int) -> bool:
        """Tell whether what is reported from now on ran at the whole share."""
        if self.phase != phases.WATCH or self.judge.clearance is not None:
            return False
        pause_ms = evidences.report_pause_ms(len(self.merger.by_host))
        settled_ms = pause_ms + exposures.SPREAD_MS
        return now_ms - self.step_started_ms >= settled_ms

    def _fault(self) -> str:
        if self.verdict is not None:
            return str(self.verdict)
        if self.merger.halted_by:
            return f"proxy {self.merger.halted_by} stopped sending to it"
        return ""

    # Phases

    def _decide_waiting(
        self,
        move: messages.MoveRecord,
        capacity: Capacity,
        now_ms: int,
        wall_ms: int,
    ) -> Decision:
        if capacity.new_targets and not capacity.missing:
            standing = self.standing(move, now_ms, wall_ms)
            share = self.pacing.first_share(move, standing)
            return Step(share, phases.TRIAL, "targets are ready")
        if wall_ms >= move.deadline_ms:
            return End(messages.Outcome.NOT_RUN, _why_waiting(capacity))
        return None

    def _decide_ramp(
        self,
        move: messages.MoveRecord,
        capacity: Capacity,
        now_ms: int,
        wall_ms: int,
    ) -> Decision:
        if not capacity.new_targets:
            return End(messages.Outcome.TAKEN_BACK, "its targets went away")
        standing = self.standing(move, now_ms, wall_ms)
        doubt = self.pacing.doubt(move, standing)
        if doubt:
            return End(messages.Outcome.TAKEN_BACK, doubt)
        if standing.left_ms <= 0:
            return self._at_deadline(move, capacity)
        share = self.pacing.next_share(move, standing)
        share = min(share, _share_for(capacity))
        if share <= move.permille:
            return None
        shown = standing.has_shown and not standing.leans_against
        why = "evidence is in" if shown else "thin evidence, time is due"
        return self._step_to(share, why)

    def standing(
        self, move: messages.MoveRecord, now_ms: int, wall_ms: int
    ) -> pacings.Standing:
        """Return how the move stands now."""
        return pacings.Standing(
            at_step_ms=now_ms - self.step_started_ms,
            left_ms=move.deadline_ms - wall_ms,
            counted_ms=now_ms - self.counted_since_ms,
            seen_late_ms=self._seen_late_ms(),
            has_shown=self._has_shown(),
            leans_against=self.judge.leans_against(),
            is_clear=self.judge.is_clear,
            is_doubtful=self.judge.is_doubtful,
        )

    def grounds(
        self, move: messages.MoveRecord, now_ms: int, wall_ms: int
    ) -> Grounds:
        """Return what a decision made now rests on."""
        standing = self.standing(move, now_ms, wall_ms)
        return Grounds(
            permille=move.permille,
            at_step_ms=round(standing.at_step_ms),
            left_ms=round(standing.left_ms),
            given=round(self.exposure.given),
            requests=round(self.exposure.total),
            payable_ms=round(self.exposure.left_ms(standing.counted_ms)),
            leans_against=standing.leans_against,
            is_clear=standing.is_clear,
        )

    def _at_deadline(
        self, move: messages.MoveRecord, capacity: Capacity
    ) -> Decision:
        """Move whole if the slots allow; thin evidence is no evidence.

        Operators set the deadline because the date matters, and nothing
        speaks against the version; the watch still guards callers.
        """
        if _share_for(capacity) >= WHOLE:
            return self._step_to(WHOLE, "the deadline is here")
        return End(
            messages.Outcome.TAKEN_BACK,
            f"at the deadline it has {capacity.new_slots} slots, "
            f"the old version {capacity.old_slots}",
        )

    def _step_to(self, share: int, why: str) -> Step:
        phase = phases.WATCH if share >= WHOLE else phases.RAMP
        return Step(share, phase, why)

    def _seen_late_ms(self) -> float:
        """Return how long the whole share's faults take to be taken back."""
        pauses_ms = evidences.urgent_pause_ms(len(self.merger.by_host))
        pauses_ms += 2 * DECIDE_MS
        return pauses_ms + exposures.SPREAD_MS + self.judge.answered_ms()

    def _has_shown(self) -> bool:
        """Tell whether each route that matters had enough requests.

        A faint route can't hold the move up: it has under 2% of requests,
        and the watch goes on after the whole share.
        """
        seen = self.judge.seen()
        old = self.judge.old_seen()
        total = sum(seen.values()) + sum(old.values())
        if not total:
            return False
        for route, count in seen.items():
            if count + old.get(route, 0) < FAINT_SHARE * total:
                continue
            gained = count - self.seen_at_step.get(route, 0)
            if gained < self.knobs.requests_per_step:
                return False
        return bool(seen)

    def _decide_watch(
        self,
        move: messages.MoveRecord,
        capacity: Capacity,
        now_ms: int,
        wall_ms: int,
    ) -> Decision:
        suspicion = self.judge.suspects()
        if suspicion and capacity.old_slots and self._compares(suspicion):
            why = f"{suspicion}; asking the old one"
            return Step(_compare_share(move), phases.COMPARE, why)
        if suspicion and not self._compares(suspicion):
            return End(messages.Outcome.TAKEN_BACK, str(suspicion))
        standing = self.standing(move, now_ms, wall_ms)
        doubt = self.pacing.doubt(move, standing)
        if doubt:
            return End(messages.Outcome.TAKEN_BACK, doubt)
        if self.pacing.is_good(move, standing):
            return End(messages.Outcome.DONE, "whole and watched")
        return None

    def _compares(self, suspicion: judges.Suspicion) -> bool:
        """Tell whether the old version is asked again.

        Failures after the whole share harm a request each, so a move of
        seconds takes them at their word. Latency often grows for both
        versions, as in a burst of callers.
        """
        if suspicion.kind == judges.LATENCY:
            return True
        return self.knobs.compares_failures

    def _decide_compare(self, now_ms: int) -> Decision:
        limit_ms = self.knobs.compare_ms
        if self.judge.leans_against():
            limit_ms *= LEANING_FACTOR
        if now_ms - self.step_started_ms < limit_ms:
            return None
        return Step(WHOLE, phases.WATCH, "the old version fares no better")


def _compare_share(move: messages.MoveRecord) -> int:
    """Return the new version's share in the next comparison.

    A small share tells fastest and harms least, but hides a fault that
    shows only under load; the comparison after it leaves most of the load.
    The agreed history counts them, so a new leader goes on in turn.
    """
    before = sum(f" {phases.COMPARE} " in line for line in move.history)
    return COMPARE_SHARES[before % len(COMPARE_SHARES)]


def _share_for(capacity: Capacity) -> int:
    """Return the share that the new version's slots can carry."""
    if not capacity.old_slots:
        return WHOLE
    ratio = capacity.new_slots / capacity.old_slots
    if ratio >= SLOTS_MARGIN:
        return WHOLE
    return int(WHOLE * ratio * SLOTS_MARGIN)


def _why_waiting(capacity: Capacity) -> str:
    if not capacity.new_targets:
        return "no target of the new version was ready by the deadline"
    missing = ", ".join(capacity.missing)
    return f"its targets lack resources: {missing}"
