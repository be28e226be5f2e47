"""A sequential test of two versions that serve side by side.

Within a stratum (one route, one failure domain, one second) both versions
meet the same callers, load and dependencies. Given how many of a stratum's
requests were bad in all, the number that fell to the new version follows the
hypergeometric law if both are equal, and Fisher's noncentral one if the new
version's odds are r times higher. The likelihood ratio of the two needs no
estimate of the common rate, so a fault that both share cancels out.

The ratios are summed as CUSUMs, one for each r, and mixed. A version that
turns bad late is caught as fast as one that is bad from the start, since a
CUSUM forgets evidence in its favour. Sources: Page (1954); Johari et al.,
"Always Valid Inference" (2015), for mixing over alternatives.
"""

import math

ODDS = (2.0, 4.0, 12.0, 50.0)


def log_choose(n: int, k: int) -> float:
    """Return the logarithm of the number of ways to choose k of n."""
    return math.lgamma(n + 1) - math.lgamma(k + 1) - math.lgamma(n - k + 1)


def log_likelihood_ratio(
    odds: float, new_bad: int, new_total: int, old_bad: int, old_total: int
) -> float:
    """Return the evidence of one stratum for higher odds over equal ones.

    Args:
        odds: How many times higher the new version's odds of a bad request.
        new_bad: Bad requests of the new version.
        new_total: All requests of the new version.
        old_bad: Bad requests of the old version.
        old_total: All requests of the old version.

    Returns:
        The log of the likelihood ratio; 0 where the stratum tells nothing.
    """
    bad = new_bad + old_bad
    if not bad or not new_total or not old_total:
        return 0.0
    least = max(0, bad - old_total)
    most = min(new_total, bad)
    log_odds = math.log(odds)
    plain = [
        log_choose(new_total, j) + log_choose(old_total, bad - j)
        for j in range(least, most + 1)
    ]
    tilted = [
        weight + (least + step) * log_odds for step, weight in enumerate(plain)
    ]
    return new_bad * log_odds + _log_sum(plain) - _log_sum(tilted)


def _log_sum(terms: list[float]) -> float:
    top = max(terms)
    return top + math.log(sum(math.exp(term - top) for term in terms))


class Detector:
    """CUSUMs over the alternatives, mixed into one figure."""

    __slots__ = ("sums",)

    def __init__(self) -> None:
        self.sums = [0.0] * len(ODDS)

    def add(
        self, new_bad: int, new_total: int, old_bad: int, old_total: int
    ) -> None:
        """Add one stratum."""
        for at, odds in enumerate(ODDS):
            step = log_likelihood_ratio(
                odds, new_bad, new_total, old_bad, old_total
            )
            self.sums[at] = max(self.sums[at] + step, 0.0)

    @property
    def evidence(self) -> float:
        """Return the log of the mixed evidence against the new version."""
        return _log_sum(self.sums) - math.log(len(self.sums))


class Clearance:
    """How surely a rate is below that of a fault.

    The other bound of a sequential test: evidence in favour. It is asked for
    by count, so a quiet second clears nothing, and what is bad after much
    that was good counts at once, since the evidence is capped.

    Args:
        base_rate: The rate that is in order.
        fault_rate: The least rate of a fault.
        enough: Log of the evidence that clears.
    """

    __slots__ = ("gain_good", "loss_bad", "enough", "sum")

    def __init__(
        self, base_rate: float, fault_rate: float, enough: float
    ) -> None:
        fault_rate = max(fault_rate, base_rate)
        self.gain_good = math.log((1 - base_rate) / (1 - fault_rate))
        self.loss_bad = math.log(fault_rate / base_rate)
        self.enough = enough
        self.sum = 0.0

    def add(self, bad: int, total: int) -> None:
        """Add some requests."""
        self.sum += (total - bad) * self.gain_good - bad * self.loss_bad
        self.sum = min(self.sum, self.enough)

    @property
    def is_clear(self) -> bool:
        """Tell whether the evidence is enough."""
        return self.sum >= self.enough


class BaselineDetector:
    """A CUSUM of a rate against a known baseline.

    It serves when the old version has no traffic to compare with. It can't
    tell a shared fault from the version's own, so its alarm only asks for a
    comparison.

    Args:
        base_rate: The rate that is in order.
        alarm_rate: The rate that is not.
    """

    __slots__ = ("gain_bad", "gain_good", "sum")

    def __init__(self, base_rate: float, alarm_rate: float) -> None:
        self.gain_bad = math.log(alarm_rate / base_rate)
        self.gain_good = math.log((1 - alarm_rate) / (1 - base_rate))
        self.sum = 0.0

    def add(self, bad: int, total: int) -> None:
        """Add some requests."""
        gain = bad * self.gain_bad + (total - bad) * self.gain_good
        self.sum = max(self.sum + gain, 0.0)
