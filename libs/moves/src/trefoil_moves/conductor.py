"""The move controller: the leader's decisions on one move, step by step.

Each decision becomes an entry of the replicated log, so a new leader
continues from the same step. Evidence is not in the log: a new leader
collects it again from the proxies' cumulative reports.
"""

import dataclasses

from trefoil_wire import messages

from . import evidence as evidences
from . import exposure as exposures
from . import judge as comparisons
from . import knobs as move_parameters
from . import pacing as pacings
from . import phases

# Numbers of windows in a move and in a comparison that the bound on false
# alarms refers to.
EXPECTED_WINDOWS = 600
COMPARE_WINDOWS = 40
# Shares of the new version during comparisons, in permille, used in turn.
COMPARE_SHARES = (250, 800)
# A comparison may last this many times longer while there is evidence against
# the new version.
COMPARE_EXTENSION_FACTOR = 3
# A route with a smaller part of the requests does not delay the next step.
LOW_TRAFFIC_SHARE = 0.02
FULL_PERMILLE = exposures.FULL_PERMILLE
# Interval between two decisions on a move.
DECIDE_MS = 100
# Ratio of new to old slots that suffices for all the traffic.
SLOTS_MARGIN = 0.9


@dataclasses.dataclass(slots=True)
class Capacity:
    """Capacity of both versions as announced by the fleet.

    Args:
        old_slots: Request slots of the old version that are ready.
        new_slots: Request slots of the new version that are ready.
        new_targets: Targets of the new version that are ready.
        missing: Resources of the service's routes that no ready target of
            the new version has.
    """

    old_slots: int
    new_slots: int
    new_targets: int
    missing: list[str]


@dataclasses.dataclass(slots=True)
class Step:
    """Decision to set the new version's share of the traffic.

    Args:
        permille: The share.
        phase: One of the names in ``phases``.
        reason: Explanation for operators, stored in the move's history.
    """

    permille: int
    phase: str
    reason: str


@dataclasses.dataclass(slots=True)
class End:
    """Decision to end the move with an outcome.

    Args:
        outcome: A value of ``messages.Outcome``.
        reason: Explanation for operators, stored with the move.
    """

    outcome: int
    reason: str


Decision = Step | End | None


@dataclasses.dataclass(slots=True)
class Grounds:
    """Rationale of a decision, for operators and logs.

    Args:
        permille: The new version's share before the decision.
        at_step_ms: How long it had that share.
        left_ms: Time to the deadline.
        given: Requests that the new version got, as reported so far.
        requests: Requests of both versions, as reported so far.
        payable_ms: The exposure budget that is left, as time at full
            traffic.
        leans_against: Whether there was an early warning: half of the
            evidence that a verdict needs.
        is_clear: Whether requests at full traffic cleared the version.
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
    """Controls one move while this process is the Raft leader.

    Args:
        move: The move's record in the replicated state.
        parameters: Thresholds, step sizes and durations, before they are
            adapted to the length of the move.
        now_ms: The time on the runtime's clock.
    """

    __slots__ = (
        "move_id",
        "parameters",
        "merger",
        "comparison",
        "exposure",
        "pacing",
        "counted_since_ms",
        "window_started_ms",
        "step_started_ms",
        "requests_at_step_start",
        "verdict",
        "phase",
    )

    def __init__(
        self,
        move: messages.MoveRecord,
        parameters: move_parameters.MoveParameters,
        now_ms: int,
    ) -> None:
        self.move_id = move.move_id
        parameters = parameters.for_span(move.deadline_ms - move.started_ms)
        self.parameters = parameters
        self.merger = evidences.Merger()
        self.comparison = comparisons.VersionComparison(
            move.from_version,
            move.to_version,
            threshold=comparisons.threshold_for(
                parameters.false_alarms, EXPECTED_WINDOWS
            ),
            tolerance=parameters.tolerance,
            compare_threshold=comparisons.threshold_for(
                parameters.false_alarms, COMPARE_WINDOWS
            ),
        )
        self.exposure = exposures.Exposure(
            move.to_version,
            max_share=parameters.exposed_part,
            extra_requests=parameters.exposed_requests,
            span_ms=move.deadline_ms - move.started_ms,
        )
        self.pacing: pacings.Pacing = (
            pacings.BoundedPacing(parameters, self.exposure)
            if self.exposure.is_bounded
            else pacings.EvenPacing(parameters)
        )
        self.counted_since_ms = -1
        self.window_started_ms = now_ms
        self.step_started_ms = now_ms
        self.requests_at_step_start: dict[str, int] = {}
        self.verdict: comparisons.Verdict | None = None
        self.phase = move.phase
        if move.phase == phases.WATCH:
            self.comparison.begin_watch()

    def hear(self, report: messages.EvidenceReport, now_ms: int) -> None:
        """Add a proxy's evidence report."""
        self.merger.add_report(report, now_ms)

    def stepped(self, move: messages.MoveRecord, now_ms: int) -> None:
        """Record that a step was committed."""
        self.step_started_ms = now_ms
        self.requests_at_step_start = self.comparison.new_request_counts()
        if move.phase == self.phase:
            return
        if self.phase == phases.WAITING:
            self.counted_since_ms = now_ms
        self.phase = move.phase
        if move.phase == phases.WATCH:
            self.comparison.begin_watch()
        elif move.phase == phases.COMPARE:
            self.comparison.begin_compare()

    def decide(
        self,
        move: messages.MoveRecord,
        capacity: Capacity,
        *,
        now_ms: int,
        wall_ms: int,
    ) -> Decision:
        """Return the decision that is due on the move, None if none is.

        Args:
            move: The move's record in the replicated state.
            capacity: Capacity of both versions as announced by the fleet.
            now_ms: The time on the runtime's clock.
            wall_ms: The wall-clock time, which the deadline refers to.
        """
        if self.counted_since_ms < 0:
            self._take_over(move, now_ms, wall_ms)
        self._close_window(now_ms)
        fault = self._fault_reason()
        if fault:
            return End(messages.Outcome.TAKEN_BACK, fault)
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
        """Continue a move that another leader may have controlled before.

        The proxies' cumulative reports include what was counted before. If
        the step started over, it would last its full time and cost its
        exposure a second time. A watch does start over, since this leader
        has received no evidence from it yet.
        """
        self.counted_since_ms = now_ms - (wall_ms - move.started_ms)
        if move.phase in (phases.TRIAL, phases.RAMP):
            self.step_started_ms = now_ms - (wall_ms - move.step_ms)

    def _close_window(self, now_ms: int) -> None:
        elapsed_ms = now_ms - self.window_started_ms
        if elapsed_ms < self._window_ms():
            return
        self.window_started_ms = now_ms
        window = self.merger.take_window()
        self.exposure.add(window)
        if self._can_begin_clearance(now_ms):
            self.comparison.begin_clearance()
        verdict = self.comparison.add(
            window, elapsed_ms / self.parameters.window_ms
        )
        self.verdict = self.verdict or verdict

    def _window_ms(self) -> int:
        """Return the length of an evidence window.

        At full traffic each tenth of a second of a fault matters. Short
        windows do no harm then: the old version has no traffic, so there are
        no strata of two versions that would become too small to compare.
        """
        if self.exposure.is_bounded and self.phase == phases.WATCH:
            return DECIDE_MS
        return self.parameters.window_ms

    def _can_begin_clearance(self, now_ms: int) -> bool:
        """Return whether the collection of evidence for clearance can begin.

        Reports must cover only requests at full traffic, so the share must
        have reached every proxy, and a report interval must have passed
        since.
        """
        if self.phase != phases.WATCH or self.comparison.clearance is not None:
            return False
        interval_ms = evidences.report_interval_ms(len(self.merger.by_host))
        settling_ms = interval_ms + exposures.PROPAGATION_MS
        return now_ms - self.step_started_ms >= settling_ms

    def _fault_reason(self) -> str:
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
            status = self.standing(move, now_ms, wall_ms)
            share = self.pacing.first_share(move, status)
            return Step(share, phases.TRIAL, "targets are ready")
        if wall_ms >= move.deadline_ms:
            return End(messages.Outcome.NOT_RUN, _not_ready_reason(capacity))
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
        status = self.standing(move, now_ms, wall_ms)
        rollback_reason = self.pacing.rollback_reason(move, status)
        if rollback_reason:
            return End(messages.Outcome.TAKEN_BACK, rollback_reason)
        if status.left_ms <= 0:
            return self._at_deadline(move, capacity)
        share = self.pacing.next_share(move, status)
        share = min(share, _share_for(capacity))
        if share <= move.permille:
            return None
        has_evidence = status.has_evidence and not status.has_early_warning
        reason = (
            "evidence is in" if has_evidence else "thin evidence, time is due"
        )
        return self._step_to(share, reason)

    def standing(
        self, move: messages.MoveRecord, now_ms: int, wall_ms: int
    ) -> pacings.MoveStatus:
        """Return the status of the move at the given time."""
        return pacings.MoveStatus(
            at_step_ms=now_ms - self.step_started_ms,
            left_ms=move.deadline_ms - wall_ms,
            counted_ms=now_ms - self.counted_since_ms,
            detection_delay_ms=self._detection_delay_ms(),
            has_evidence=self._has_evidence(),
            has_early_warning=self.comparison.has_early_warning(),
            is_clear=self.comparison.is_clear,
            is_unfavourable=self.comparison.is_unfavourable,
        )

    def grounds(
        self, move: messages.MoveRecord, now_ms: int, wall_ms: int
    ) -> Grounds:
        """Return the rationale of a decision made at the given time."""
        status = self.standing(move, now_ms, wall_ms)
        return Grounds(
            permille=move.permille,
            at_step_ms=round(status.at_step_ms),
            left_ms=round(status.left_ms),
            given=round(self.exposure.new_requests),
            requests=round(self.exposure.all_requests),
            payable_ms=round(self.exposure.remaining_ms(status.counted_ms)),
            leans_against=status.has_early_warning,
            is_clear=status.is_clear,
        )

    def _at_deadline(
        self, move: messages.MoveRecord, capacity: Capacity
    ) -> Decision:
        """Move all traffic if the slots allow, even with thin evidence.

        Operators set a deadline because the date matters, and there is no
        verdict against the version. The watch still protects callers.
        """
        if _share_for(capacity) >= FULL_PERMILLE:
            return self._step_to(FULL_PERMILLE, "the deadline is here")
        return End(
            messages.Outcome.TAKEN_BACK,
            f"at the deadline it has {capacity.new_slots} slots, "
            f"the old version {capacity.old_slots}",
        )

    def _step_to(self, share: int, reason: str) -> Step:
        phase = phases.WATCH if share >= FULL_PERMILLE else phases.RAMP
        return Step(share, phase, reason)

    def _detection_delay_ms(self) -> float:
        """Return the time from a fault at full traffic to its rollback."""
        delay_ms = evidences.urgent_interval_ms(len(self.merger.by_host))
        delay_ms += 2 * DECIDE_MS
        return (
            delay_ms
            + exposures.PROPAGATION_MS
            + self.comparison.old_latency_ms()
        )

    def _has_evidence(self) -> bool:
        """Return whether each route had enough requests at this step.

        A low-traffic route, with under 2% of the requests, does not delay the
        move, since the watch at full traffic covers it too.
        """
        new_counts = self.comparison.new_request_counts()
        old_counts = self.comparison.old_request_counts()
        total = sum(new_counts.values()) + sum(old_counts.values())
        if not total:
            return False
        for route, count in new_counts.items():
            if count + old_counts.get(route, 0) < LOW_TRAFFIC_SHARE * total:
                continue
            new_at_step = count - self.requests_at_step_start.get(route, 0)
            if new_at_step < self.parameters.requests_per_step:
                return False
        return bool(new_counts)

    def _decide_watch(
        self,
        move: messages.MoveRecord,
        capacity: Capacity,
        now_ms: int,
        wall_ms: int,
    ) -> Decision:
        suspicion = self.comparison.suspicion()
        if (
            suspicion
            and capacity.old_slots
            and self._needs_comparison(suspicion)
        ):
            reason = f"{suspicion}; asking the old one"
            return Step(_compare_share(move), phases.COMPARE, reason)
        if suspicion and not self._needs_comparison(suspicion):
            return End(messages.Outcome.TAKEN_BACK, str(suspicion))
        status = self.standing(move, now_ms, wall_ms)
        rollback_reason = self.pacing.rollback_reason(move, status)
        if rollback_reason:
            return End(messages.Outcome.TAKEN_BACK, rollback_reason)
        if self.pacing.is_accepted(move, status):
            return End(messages.Outcome.DONE, "whole and watched")
        return None

    def _needs_comparison(self, suspicion: comparisons.Suspicion) -> bool:
        """Return whether a suspicion needs a comparison before a rollback.

        At full traffic each failure hits a request, so a move of seconds is
        taken back for failures without a comparison. Latency often grows for
        both versions, for example in a burst of callers, so it always needs
        a comparison.
        """
        if suspicion.kind == comparisons.LATENCY:
            return True
        return self.parameters.compare_failures

    def _decide_compare(self, now_ms: int) -> Decision:
        limit_ms = self.parameters.compare_ms
        if self.comparison.has_early_warning():
            limit_ms *= COMPARE_EXTENSION_FACTOR
        if now_ms - self.step_started_ms < limit_ms:
            return None
        return Step(
            FULL_PERMILLE, phases.WATCH, "the old version fares no better"
        )


def _compare_share(move: messages.MoveRecord) -> int:
    """Return the new version's share in the next comparison.

    A small share gives a result fastest and harms the fewest requests, but
    hides a fault that occurs only under load, so the next comparison keeps
    most of the load on the new version. The number of past comparisons comes
    from the move's replicated history, so a new leader continues the
    alternation.
    """
    before = sum(f" {phases.COMPARE} " in line for line in move.history)
    return COMPARE_SHARES[before % len(COMPARE_SHARES)]


def _share_for(capacity: Capacity) -> int:
    """Return the share that the new version's slots allow, in permille."""
    if not capacity.old_slots:
        return FULL_PERMILLE
    ratio = capacity.new_slots / capacity.old_slots
    if ratio >= SLOTS_MARGIN:
        return FULL_PERMILLE
    return int(FULL_PERMILLE * ratio * SLOTS_MARGIN)


def _not_ready_reason(capacity: Capacity) -> str:
    if not capacity.new_targets:
        return "no target of the new version was ready by the deadline"
    missing = ", ".join(capacity.missing)
    return f"its targets lack resources: {missing}"
