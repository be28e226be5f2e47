"""When the steps of a move are due, and when its new version is accepted.

There are two strategies, depending on whether operators bound the exposure.
Without a bound, steps follow the evidence and are spread over the time that
is left. With a bound, time at a small share is cheap and time at full traffic
is expensive: the move waits at a share within the exposure budget until the
later steps just fit before the deadline, and the version is accepted once
requests at full traffic have cleared it, or just before the deadline unless
they are evidence against it.

The first steps do not exceed the share at risk (``risk_permille`` of a move).
Without a bound no step before the deadline skips this share. With a bound a
larger share follows only once the later steps are due.
"""

import dataclasses
import typing

from trefoil_wire import messages

from . import exposure as exposures
from . import knobs as move_parameters
from . import phases

FULL_PERMILLE = exposures.FULL_PERMILLE
# Part of the remaining time that is reserved for a change of leader.
RAMP_RESERVE = 0.25
# An early warning (half of the evidence for a verdict) multiplies the maximum
# duration of a step by this factor. With bounded exposure it ends the move
# once the time left is at most the time of the later steps divided by this
# factor.
EARLY_WARNING_FACTOR = 2
# Time until a new leader is elected and has received every proxy's report.
LEADER_CHANGE_MS = 2000
# A version that the evidence has cleared is accepted this long before the
# deadline, other versions only COMMIT_END_MS before it.
CLEARED_END_MS = 1200
# Time to commit the end of a move and to answer operators' queries about it.
COMMIT_END_MS = 500
# A smaller share yields too little evidence.
MIN_PERMILLE = 30
NO_TIME_REASON = "much speaks against it, and no time is left to prove more"
BUDGET_SPENT_REASON = "it got what it may get, and too many requests fail"


@dataclasses.dataclass(slots=True)
class MoveStatus:
    """Evidence and time of a move at the moment of a decision.

    Args:
        at_step_ms: How long the current step has lasted.
        left_ms: Time to the deadline.
        counted_ms: How long requests have been counted.
        detection_delay_ms: Time from a fault to its rollback.
        has_evidence: Whether each route had enough requests at this step.
        has_early_warning: Whether there is half of the evidence for a
            verdict against the new version.
        is_clear: Whether requests at full traffic cleared the version.
        is_unfavourable: Whether these requests are more evidence against the
            version than for it.
    """

    at_step_ms: float
    left_ms: float
    counted_ms: float
    detection_delay_ms: float
    has_evidence: bool
    has_early_warning: bool
    is_clear: bool
    is_unfavourable: bool


class Pacing(typing.Protocol):
    """Strategy that decides on the shares and times of a move's steps."""

    def first_share(
        self, move: messages.MoveRecord, status: MoveStatus
    ) -> int:
        """Return the share of the first step, in permille."""

    def next_share(self, move: messages.MoveRecord, status: MoveStatus) -> int:
        """Return the permille that is due now, the current one if none."""

    def is_accepted(
        self, move: messages.MoveRecord, status: MoveStatus
    ) -> bool:
        """Return whether the watch at full traffic may end in success."""

    def rollback_reason(
        self, move: messages.MoveRecord, status: MoveStatus
    ) -> str:
        """Return why the move is taken back without a verdict, "" if not."""


class EvenPacing:
    """Takes steps on evidence, spread evenly over the remaining time.

    Args:
        parameters: Thresholds, step sizes and durations of the move.
    """

    __slots__ = ("parameters",)

    def __init__(self, parameters: move_parameters.MoveParameters) -> None:
        self.parameters = parameters

    def first_share(
        self, move: messages.MoveRecord, status: MoveStatus
    ) -> int:
        """Return the share of the first step, in permille."""
        return min(self.parameters.first_permille, move.risk_permille)

    def next_share(self, move: messages.MoveRecord, status: MoveStatus) -> int:
        """Return a larger share once evidence or time calls for it."""
        if status.at_step_ms < self.min_duration_ms(move, status.left_ms):
            return move.permille
        available_ms = status.left_ms * (1 - RAMP_RESERVE)
        max_step_ms = max(available_ms / self._steps_left(move), 0)
        has_evidence = status.has_evidence
        if status.has_early_warning:
            # The next seconds may prove a fault that more traffic would hit.
            has_evidence = False
            max_step_ms *= EARLY_WARNING_FACTOR
        if has_evidence or status.at_step_ms >= max_step_ms:
            return self.larger_share(move)
        return move.permille

    def is_accepted(
        self, move: messages.MoveRecord, status: MoveStatus
    ) -> bool:
        """Return whether the watch has lasted as long as requested."""
        return status.at_step_ms >= move.watch_ms

    def rollback_reason(
        self, move: messages.MoveRecord, status: MoveStatus
    ) -> str:
        """Return an empty reason: only a verdict takes the move back."""
        return ""

    def larger_share(self, move: messages.MoveRecord) -> int:
        """Return the share after the current one, in permille."""
        larger_share = int(move.permille * self.parameters.step_growth)
        larger_share = max(larger_share, move.permille + 1)
        if move.permille < move.risk_permille:
            return min(larger_share, move.risk_permille)
        return min(larger_share, FULL_PERMILLE)

    def min_duration_ms(
        self, move: messages.MoveRecord, left_ms: float
    ) -> float:
        """Return the minimum duration of a step, even with evidence."""
        paced_ms = left_ms * self.parameters.pace / self._steps_left(move)
        paced_ms = min(paced_ms, self.parameters.max_pace_ms)
        min_duration_ms = self.parameters.min_step_ms
        if move.phase == phases.TRIAL:
            min_duration_ms = max(
                min_duration_ms, self.parameters.min_trial_ms
            )
        return max(paced_ms, min_duration_ms)

    def _steps_left(self, move: messages.MoveRecord) -> int:
        steps = 1
        share = float(move.permille or 1)
        while share < FULL_PERMILLE:
            share *= self.parameters.step_growth
            steps += 1
        return steps


class BoundedPacing:
    """Takes steps as late as the deadline allows, within the budget.

    This limits the harm of a version that works for seconds, or on a part of
    the traffic, and fails later. It gets requests at a small share for most
    of the move and has all the traffic for a short time only, under a watch
    that lasts until the evidence clears it.

    Args:
        parameters: Thresholds, step sizes and durations of the move.
        exposure: The exposure budget of the new version.
    """

    __slots__ = ("parameters", "exposure", "even_pacing")

    def __init__(
        self,
        parameters: move_parameters.MoveParameters,
        exposure: exposures.Exposure,
    ) -> None:
        self.parameters = parameters
        self.exposure = exposure
        self.even_pacing = EvenPacing(parameters)

    def first_share(
        self, move: messages.MoveRecord, status: MoveStatus
    ) -> int:
        """Return the share of the first step, in permille."""
        share = self.even_pacing.first_share(move, status)
        return min(
            share, max(self._affordable_permille(move, status), MIN_PERMILLE)
        )

    def next_share(self, move: messages.MoveRecord, status: MoveStatus) -> int:
        """Return a larger share once the later steps need the time left."""
        if status.at_step_ms < self.even_pacing.min_duration_ms(
            move, status.left_ms
        ):
            return move.permille
        if status.has_early_warning:
            return move.permille
        if self._until_due_ms(move, status) <= 0:
            return self._shares_above(move)[0]
        return self._share_below_risk(move, status)

    def is_accepted(
        self, move: messages.MoveRecord, status: MoveStatus
    ) -> bool:
        """Return whether requests at full traffic have cleared the version.

        A watch of fixed length accepts bad versions before their first
        failures are reported, and an accepted version is no longer watched.
        So the watch lasts until shortly before the deadline. At that point
        the version is accepted unless the evidence is against it, since
        operators set the deadline because the date matters.
        """
        if status.at_step_ms < move.watch_ms:
            return False
        if status.left_ms <= COMMIT_END_MS:
            return not status.is_unfavourable
        return status.is_clear and status.left_ms <= CLEARED_END_MS

    def rollback_reason(
        self, move: messages.MoveRecord, status: MoveStatus
    ) -> str:
        """Return why the move is taken back without a verdict, "" if not.

        Half of the evidence for a verdict is enough if too little time is
        left for the steps and a watch that could yield more evidence. A few
        failures are enough once the exposure budget is spent.
        """
        if move.phase == phases.WATCH:
            is_last_chance = (
                self._is_budget_spent(status)
                or status.left_ms <= COMMIT_END_MS
            )
            has_lasted = status.at_step_ms >= move.watch_ms
            rejected = status.is_unfavourable and is_last_chance and has_lasted
            return BUDGET_SPENT_REASON if rejected else ""
        cutoff_ms = self._remaining_steps_ms(move) / EARLY_WARNING_FACTOR
        is_late = status.left_ms <= cutoff_ms
        return NO_TIME_REASON if is_late and status.has_early_warning else ""

    def _is_budget_spent(self, status: MoveStatus) -> bool:
        """Return whether a fault from now on would exceed the budget."""
        left_ms = self.exposure.remaining_ms(status.counted_ms)
        return left_ms <= status.detection_delay_ms

    def _share_below_risk(
        self, move: messages.MoveRecord, status: MoveStatus
    ) -> int:
        """Return the next share up to the share at risk, if affordable."""
        if move.permille >= move.risk_permille:
            return move.permille
        min_duration_ms = self.even_pacing.min_duration_ms(
            move, status.left_ms
        )
        if self._until_due_ms(move, status) < min_duration_ms:
            # The next step would last until after the later steps are due.
            return move.permille
        share = self.even_pacing.next_share(move, status)
        affordable = self._affordable_permille(move, status)
        return share if share <= affordable else move.permille

    def _affordable_permille(
        self, move: messages.MoveRecord, status: MoveStatus
    ) -> int:
        """Return the affordable share, in permille.

        The budget must cover the share until the later steps are due.
        """
        waiting_ms = self._until_due_ms(move, status)
        if waiting_ms <= 0:
            return move.risk_permille
        return int(
            self._headroom_ms(move, status) / waiting_ms * FULL_PERMILLE
        )

    def _until_due_ms(
        self, move: messages.MoveRecord, status: MoveStatus
    ) -> float:
        """Return the time until the later steps are due."""
        return status.left_ms - self._remaining_steps_ms(move)

    def _headroom_ms(
        self, move: messages.MoveRecord, status: MoveStatus
    ) -> float:
        """Return the budget beyond the cost of the steps to full traffic."""
        share_sum = sum(self._shares_above(move)[:-1]) / FULL_PERMILLE
        later_ms = share_sum * self.parameters.min_step_ms + move.watch_ms
        left_ms = self.exposure.remaining_ms(status.counted_ms)
        return left_ms - later_ms - status.detection_delay_ms

    def _remaining_steps_ms(self, move: messages.MoveRecord) -> float:
        """Return the time for the steps to full traffic and the watch."""
        steps_between = len(self._shares_above(move)) - 1
        steps_ms = steps_between * self.parameters.min_step_ms
        return steps_ms + move.watch_ms + self._reserve_ms()

    def _reserve_ms(self) -> float:
        """Return the time reserved for a change of leader."""
        return min(LEADER_CHANGE_MS, self.exposure.span_ms * RAMP_RESERVE)

    def _shares_above(self, move: messages.MoveRecord) -> list[int]:
        """Return the shares above the share at risk, up to full traffic."""
        shares = []
        share = max(move.permille, move.risk_permille)
        while share < FULL_PERMILLE:
            share = min(
                int(share * self.parameters.step_growth), FULL_PERMILLE
            )
            shares.append(share)
        return shares or [FULL_PERMILLE]
