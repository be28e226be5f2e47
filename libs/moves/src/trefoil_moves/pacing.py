"""When the steps of a move are due, and when its version is good.

Two ways, by whether operators bound what a version may cost. Without a bound
steps follow evidence, spread over the time that is left. With one, time at a
small share is cheap and time at the whole share is dear: the move waits at a
share that it can pay for until the later steps just fit before the deadline,
and its version is good only once requests at the whole share say so.
"""

import dataclasses
import typing

from trefoil_wire import messages

from . import exposure as exposures
from . import knobs as knob_store
from . import phases

WHOLE = exposures.WHOLE
# Part of the time left that steps without a bound leave for a new leader.
RAMP_RESERVE = 0.25
LEANING_PATIENCE = 2
# Another process leads, and has heard every proxy, within this.
LEADER_CHANGE_MS = 2000
# A version that is clear is done this long before the deadline, others later.
LAST_MS = 1200
# The end is agreed, and operators who ask are told, within this.
END_MS = 500
# Below this a share shows too little of a version.
LEAST_PERMILLE = 30
LEANING = "much speaks against it, and no time is left to prove more"
DOUBTFUL = "it got what it may get, and too many requests fail"


@dataclasses.dataclass(slots=True)
class Standing:
    """How a move stands at the moment of a decision.

    Args:
        at_step_ms: How long its present step has lasted.
        left_ms: Time to its deadline.
        counted_ms: How long its requests have been counted.
        seen_late_ms: How long a fault takes to be seen and taken back.
        has_shown: Whether each route had enough requests at this step.
        leans_against: Whether much speaks against the version already.
        is_clear: Whether requests at the whole share speak for it.
        is_doubtful: Whether they speak against it more than for it.
    """

    at_step_ms: float
    left_ms: float
    counted_ms: float
    seen_late_ms: float
    has_shown: bool
    leans_against: bool
    is_clear: bool
    is_doubtful: bool


class Pacing(typing.Protocol):
    """What the conductor asks about shares and times."""

    def first_share(
        self, move: messages.MoveRecord, standing: Standing
    ) -> int:
        """Return the share of the first step, in permille."""

    def next_share(self, move: messages.MoveRecord, standing: Standing) -> int:
        """Return the share that is due now; the present one if none is."""

    def is_good(self, move: messages.MoveRecord, standing: Standing) -> bool:
        """Tell whether the watch after the whole share may end."""

    def doubt(self, move: messages.MoveRecord, standing: Standing) -> str:
        """Return why the move is taken back without a verdict, if it is."""


class EvenPacing:
    """Steps by evidence, spread evenly over the time to the deadline.

    Args:
        knobs: How careful the move is.
    """

    __slots__ = ("knobs",)

    def __init__(self, knobs: knob_store.Knobs) -> None:
        self.knobs = knobs

    def first_share(
        self, move: messages.MoveRecord, standing: Standing
    ) -> int:
        """Return the share of the first step, in permille."""
        return min(self.knobs.first_permille, move.risk_permille)

    def next_share(self, move: messages.MoveRecord, standing: Standing) -> int:
        """Return a greater share once evidence or the time asks for it."""
        if standing.at_step_ms < self.least_ms(move, standing.left_ms):
            return move.permille
        evenly_ms = standing.left_ms * (1 - RAMP_RESERVE)
        patience_ms = max(evenly_ms / self._steps_left(move), 0)
        shown = standing.has_shown
        if standing.leans_against:
            # More traffic now would meet what the next seconds may prove.
            shown = False
            patience_ms *= LEANING_PATIENCE
        if shown or standing.at_step_ms >= patience_ms:
            return self.grown(move)
        return move.permille

    def is_good(self, move: messages.MoveRecord, standing: Standing) -> bool:
        """Tell whether the watch has lasted as long as was asked."""
        return standing.at_step_ms >= move.watch_ms

    def doubt(self, move: messages.MoveRecord, standing: Standing) -> str:
        """Return nothing: only a verdict takes the move back."""
        return ""

    def grown(self, move: messages.MoveRecord) -> int:
        """Return the share after the present one."""
        grown = int(move.permille * self.knobs.step_growth)
        grown = max(grown, move.permille + 1)
        if move.permille < move.risk_permille:
            return min(grown, move.risk_permille)
        return min(grown, WHOLE)

    def least_ms(self, move: messages.MoveRecord, left_ms: float) -> float:
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


class BoundedPacing:
    """Steps as late as the deadline allows, within what they may cost.

    The load that this answers: a version that is well for seconds, or on a
    part of the traffic, and fails later. What it got by then was spent at a
    small share; with all the traffic it is for a short time only, and watched
    until requests speak for it.

    Args:
        knobs: How careful the move is.
        exposure: The account of what the version got and may get.
    """

    __slots__ = ("knobs", "exposure", "even")

    def __init__(
        self, knobs: knob_store.Knobs, exposure: exposures.Exposure
    ) -> None:
        self.knobs = knobs
        self.exposure = exposure
        self.even = EvenPacing(knobs)

    def first_share(
        self, move: messages.MoveRecord, standing: Standing
    ) -> int:
        """Return the share of the first step, in permille."""
        share = self.even.first_share(move, standing)
        return min(share, max(self._payable(move, standing), LEAST_PERMILLE))

    def next_share(self, move: messages.MoveRecord, standing: Standing) -> int:
        """Return a greater share once the later steps would not fit else."""
        if standing.at_step_ms < self.even.least_ms(move, standing.left_ms):
            return move.permille
        if standing.leans_against:
            return move.permille
        if self._waiting_ms(move, standing) <= 0:
            return self._shares_above(move)[0]
        return self._small_share(move, standing)

    def is_good(self, move: messages.MoveRecord, standing: Standing) -> bool:
        """Tell whether requests at the whole share say that it is in order.

        A watch that ends by its clock takes bad versions for good before
        their first failures are heard of, and nobody watches a version that
        is done. So the watch lasts nearly to the deadline; there the date
        that operators set counts, if nothing speaks against the version.
        """
        if standing.at_step_ms < move.watch_ms:
            return False
        if standing.left_ms <= END_MS:
            return not standing.is_doubtful
        return standing.is_clear and standing.left_ms <= LAST_MS

    def doubt(self, move: messages.MoveRecord, standing: Standing) -> str:
        """Return why the move is taken back without a verdict, if it is.

        Half of the evidence that condemns is enough where the time left is
        too short for the steps and a watch that could tell more. A few
        failures are, where the version got what a bad one may get.
        """
        if move.phase == phases.WATCH:
            last = self._is_spent(standing) or standing.left_ms <= END_MS
            lasted = standing.at_step_ms >= move.watch_ms
            doubtful = standing.is_doubtful and last and lasted
            return DOUBTFUL if doubtful else ""
        late_ms = self._ahead_ms(move) / LEANING_PATIENCE
        late = standing.left_ms <= late_ms
        return LEANING if late and standing.leans_against else ""

    def _is_spent(self, standing: Standing) -> bool:
        """Tell whether a fault seen from now on would cost too much."""
        left_ms = self.exposure.left_ms(standing.counted_ms)
        return left_ms <= standing.seen_late_ms

    def _small_share(
        self, move: messages.MoveRecord, standing: Standing
    ) -> int:
        """Return the next share up to the one at risk, if it can be paid."""
        if move.permille >= move.risk_permille:
            return move.permille
        least_ms = self.even.least_ms(move, standing.left_ms)
        if self._waiting_ms(move, standing) < least_ms:
            # The next share would last beyond the time when it is due.
            return move.permille
        share = self.even.next_share(move, standing)
        payable = self._payable(move, standing)
        return share if share <= payable else move.permille

    def _payable(self, move: messages.MoveRecord, standing: Standing) -> int:
        """Return the share that can be paid for until later steps are due."""
        waiting_ms = self._waiting_ms(move, standing)
        if waiting_ms <= 0:
            return move.risk_permille
        return int(self._spare_ms(move, standing) / waiting_ms * WHOLE)

    def _waiting_ms(
        self, move: messages.MoveRecord, standing: Standing
    ) -> float:
        """Return the time until the later steps are due."""
        return standing.left_ms - self._ahead_ms(move)

    def _spare_ms(
        self, move: messages.MoveRecord, standing: Standing
    ) -> float:
        """Return what is left beyond the cost of the steps to the whole."""
        between = sum(self._shares_above(move)[:-1]) / WHOLE
        later_ms = between * self.knobs.least_step_ms + move.watch_ms
        left_ms = self.exposure.left_ms(standing.counted_ms)
        return left_ms - later_ms - standing.seen_late_ms

    def _ahead_ms(self, move: messages.MoveRecord) -> float:
        """Return the time that the steps to the whole and its watch take."""
        between = len(self._shares_above(move)) - 1
        steps_ms = between * self.knobs.least_step_ms
        return steps_ms + move.watch_ms + self._reserve_ms()

    def _reserve_ms(self) -> float:
        """Return the time kept for a change of leader."""
        return min(LEADER_CHANGE_MS, self.exposure.span_ms * RAMP_RESERVE)

    def _shares_above(self, move: messages.MoveRecord) -> list[int]:
        """Return the shares from the one at risk to the whole."""
        shares = []
        share = max(move.permille, move.risk_permille)
        while share < WHOLE:
            share = min(int(share * self.knobs.step_growth), WHOLE)
            shares.append(share)
        return shares or [WHOLE]
