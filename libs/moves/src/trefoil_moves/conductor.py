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
from . import phases

EXPECTED_WINDOWS = 600
COMPARE_WINDOWS = 40
COMPARE_SHARES = (250, 800)
LEANING_PATIENCE = 2
LEANING_FACTOR = 3
FAINT_SHARE = 0.02
WHOLE = exposures.WHOLE
RAMP_RESERVE = 0.25
# How often a leader looks for the next step.
DECIDE_MS = 200
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
                return self._decide_waiting(move, capacity, wall_ms)
            case phases.WATCH:
                return self._decide_watch(move, capacity, now_ms)
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
        if now_ms < self.window_at_ms + self.knobs.window_ms:
            return
        self.window_at_ms = now_ms
        window = self.merger.take_window()
        self.exposure.add(window)
        verdict = self.judge.add(window)
        self.verdict = self.verdict or verdict

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
        wall_ms: int,
    ) -> Decision:
        if capacity.new_targets and not capacity.missing:
            share = min(self.knobs.first_permille, move.risk_permille)
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
        at_step_ms = now_ms - self.step_started_ms
        left_ms = move.deadline_ms - wall_ms
        if left_ms <= 0:
            return self._at_deadline(move, capacity)
        if at_step_ms < self._least_ms(move, left_ms):
            return None
        shown = self._has_shown()
        patience_ms = self._patience_ms(move, now_ms, left_ms)
        if self.judge.leans_against():
            # More traffic now would meet what the next seconds may prove.
            shown = False
            patience_ms *= LEANING_PATIENCE
        if not shown and at_step_ms < patience_ms:
            return None
        share = self._next_share(move)
        share = min(share, _share_for(capacity))
        if share <= move.permille:
            return None
        why = "evidence is in" if shown else "thin evidence, time is due"
        return self._step_to(share, why)

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

    def _next_share(self, move: messages.MoveRecord) -> int:
        grown = int(move.permille * self.knobs.step_growth)
        grown = max(grown, move.permille + 1)
        if move.permille < move.risk_permille:
            return min(grown, move.risk_permille)
        return min(grown, WHOLE)

    def _patience_ms(
        self, move: messages.MoveRecord, now_ms: int, left_ms: int
    ) -> float:
        """Return how long a step may wait for evidence.

        What is left is shared evenly among the steps still to go, with a
        reserve for a change of leader. Where exposure is bounded a step
        waits for as long as what it spends is not missing later: small
        shares wait long, great ones hardly.
        """
        evenly_ms = left_ms * (1 - RAMP_RESERVE) / self._steps_left(move)
        if not self.exposure.is_bounded:
            return max(evenly_ms, 0)
        until_due_ms = self._until_due_ms(move, left_ms)
        at_step_ms = now_ms - self.step_started_ms
        later_ms = self._later_shares(move) * self.knobs.least_step_ms
        spare_ms = self.exposure.spare_ms(
            now_ms - self.counted_since_ms, move.permille, self._seen_late_ms()
        )
        spare_ms -= later_ms
        small = move.permille <= move.risk_permille
        if small and spare_ms + at_step_ms * move.permille / WHOLE <= 0:
            # The bound can't be kept where faults take long to be seen. Then
            # each request at a small share tells more than it costs.
            return max(until_due_ms, 0)
        by_exposure_ms = at_step_ms + spare_ms * WHOLE / max(move.permille, 1)
        return max(min(by_exposure_ms, until_due_ms), 0)

    def _seen_late_ms(self) -> float:
        """Return how long a fault takes at most to be taken back."""
        pauses_ms = evidences.report_pause_ms(len(self.merger.by_host))
        pauses_ms += self.knobs.window_ms + DECIDE_MS
        return pauses_ms + exposures.SPREAD_MS + self.judge.usual_ms()

    def _later_shares(self, move: messages.MoveRecord) -> float:
        """Return the sum of the shares between this one and the whole."""
        total = 0.0
        share = self._next_share(move)
        while share < WHOLE:
            total += share / WHOLE
            share = min(int(share * self.knobs.step_growth), WHOLE)
        return total

    def _until_due_ms(self, move: messages.MoveRecord, left_ms: int) -> float:
        """Return how long a step can last if later ones are short."""
        later = self._steps_left(move) - 1
        ahead_ms = move.watch_ms + later * self.knobs.least_step_ms
        return left_ms * (1 - RAMP_RESERVE) - ahead_ms

    def _least_ms(self, move: messages.MoveRecord, left_ms: int) -> float:
        """Return how long a step lasts even when its evidence is in."""
        paced_ms = left_ms * self.knobs.pace / self._steps_left(move)
        paced_ms = min(paced_ms, self.knobs.longest_pace_ms)
        least_ms = self.knobs.least_step_ms
        if move.phase == phases.TRIAL:
            least_ms = max(least_ms, self.knobs.least_trial_ms)
        return max(paced_ms, least_ms)

    def _steps_left(self, move: messages.MoveRecord) -> int:
        steps = 1
        share = float(move.permille or 1)
        while share < WHOLE:
            share *= self.knobs.step_growth
            steps += 1
        return steps

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
    ) -> Decision:
        suspicion = self.judge.suspects()
        if suspicion and capacity.old_slots and self._compares(suspicion):
            why = f"{suspicion}; asking the old one"
            return Step(_compare_share(move), phases.COMPARE, why)
        if suspicion and not self._compares(suspicion):
            return End(messages.Outcome.TAKEN_BACK, str(suspicion))
        if now_ms - self.step_started_ms >= move.watch_ms:
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
