"""Cost and benefit of sending a call to another failure domain.

Failure domains differ in the speed of their targets and in the number of
their callers. If each call went to the target that is expected to answer
first, most large bodies would cross between failure domains to save a few
milliseconds that callers do not notice, and that traffic is billed by the
byte. A call is therefore sent to another domain only where the gain is large
enough: the probability of an answer in time there, less the probability in
its own domain, must outweigh the cost of its bytes.
"""

import math

# Cost of one KiB between failure domains, as a fraction of the value of an
# answer in time.
COST_PER_KIB = 0.03
# Bounds the cost of bytes by an even chance (0.5) of an answer in time.
MAX_COST = 0.5
# Value of a late answer, as a fraction of the value of one in time.
LATE_ANSWER_VALUE = 0.2
# With this shape, five log-logistic times in six are below twice the median.
# That fits work with a standard deviation of 0.8 of its mean behind a queue of
# estimated length.
LOG_LOGISTIC_SHAPE = 2.5


def cross_domain_cost(kib: float, cost_per_kib: float = COST_PER_KIB) -> float:
    """Return the cost of sending a call to another failure domain.

    The unit is the value of one answer in time; at most ``MAX_COST``.

    Args:
        kib: Size of the call's request and response together, in KiB.
        cost_per_kib: Cost of one KiB.
    """
    return min(kib * cost_per_kib, MAX_COST)


def late_probability(expected_us: float, limit_us: float) -> float:
    """Return the probability that an answer takes longer than a limit.

    Args:
        expected_us: Expected time until the answer.
        limit_us: Time limit; the probability is 1 if it is not positive.
    """
    if limit_us <= 0:
        return 1.0
    odds = math.pow(expected_us / limit_us, LOG_LOGISTIC_SHAPE)
    return odds / (1 + odds)


class Urgency:
    """Time limits of a call and its cost in another failure domain.

    Args:
        latency_target_us: Time left until its latency target.
        deadline_us: Time left until its deadline, when its caller stops
            waiting.
        cross_domain_cost: Cost of sending it to another failure domain, as a
            fraction of the value of an answer in time.
    """

    __slots__ = ("latency_target_us", "deadline_us", "cross_domain_cost")

    def __init__(
        self,
        latency_target_us: float,
        deadline_us: float,
        cross_domain_cost: float = 0.0,
    ) -> None:
        self.latency_target_us = latency_target_us
        self.deadline_us = deadline_us
        self.cross_domain_cost = cross_domain_cost

    def loss(self, expected_us: float, *, cross_domain: bool) -> float:
        """Return the expected loss of an answer's value, with byte costs.

        Args:
            expected_us: Expected time until the answer.
            cross_domain: Whether the target is in another failure domain.
        """
        late = late_probability(expected_us, self.latency_target_us)
        unanswered = late_probability(expected_us, self.deadline_us)
        lost = late - LATE_ANSWER_VALUE * max(late - unanswered, 0.0)
        return lost + self.cross_domain_cost if cross_domain else lost
