"""Whether a call is worth sending to another failure domain.

The load that this answers: failure domains whose targets differ in speed and
whose callers differ in number, on any day. Led to whichever target ends
first, most large bodies cross between failure domains for a few milliseconds
that their callers do not notice, and that traffic is paid for by the byte.
Here a call crosses where that gains its caller enough: the chance of an
answer in time there, less the chance near, against what its bytes cost.
"""

import math

# What a KiB between failure domains costs, as a part of what an answer in
# time is worth.
COST_PER_KIB = 0.03
# Bytes never cost a caller more than an even chance of an answer in time.
MAX_COST = 0.5
# A late answer is worth this part of one in time.
LATE_ANSWER_VALUE = 0.2
# Log-logistic times with this shape are within twice their median five times
# in six: work that spreads by 0.8 of its mean, behind a queue that is guessed.
LOG_LOGISTIC_SHAPE = 2.5


def cost(kib: float) -> float:
    """Return what it costs to send a call far, in answers in time.

    Args:
        kib: What the call carries, both ways.
    """
    return min(kib * COST_PER_KIB, MAX_COST)


def late_probability(expected_us: float, limit_us: float) -> float:
    """Return the chance that an answer does not come within a time.

    Args:
        expected_us: When it is expected.
        within_us: The time.
    """
    if limit_us <= 0:
        return 1.0
    odds = math.pow(expected_us / limit_us, LOG_LOGISTIC_SHAPE)
    return odds / (1 + odds)


class Urgency:
    """How long a call can wait, and what its bytes cost between domains.

    Args:
        aim_us: Time left until its answer is late.
        deadline_us: Time left until nobody waits for it.
        far_cost: What it costs to send it to another failure domain, as a
            part of what an answer in time is worth.
    """

    __slots__ = ("latency_target_us", "deadline_us", "far_cost")

    def __init__(
        self,
        latency_target_us: float,
        deadline_us: float,
        far_cost: float = 0.0,
    ) -> None:
        self.latency_target_us = latency_target_us
        self.deadline_us = deadline_us
        self.far_cost = far_cost

    def loss(self, expected_us: float, *, far: bool) -> float:
        """Return what is lost of an answer's worth, bytes included.

        Args:
            expected_us: When the answer is expected.
            far: Whether it comes from another failure domain.
        """
        late = late_probability(expected_us, self.latency_target_us)
        unanswered = late_probability(expected_us, self.deadline_us)
        lost = late - LATE_ANSWER_VALUE * max(late - unanswered, 0.0)
        return lost + self.far_cost if far else lost
