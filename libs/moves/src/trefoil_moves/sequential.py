"""A sequential test of two versions that serve side by side.

Within a stratum (one route, one failure domain, one second) both versions
have the same callers, load and dependencies. Given the total number of bad
requests in a stratum, the number that the new version served follows the
hypergeometric distribution if both versions are equal, and Fisher's
noncentral one if the new version's odds are r times higher. The likelihood
ratio of the two needs no estimate of the common rate, so a fault that both
versions share cancels out.

The log ratios are added up in CUSUMs (cumulative sums that never fall below
0), one for each r, and the CUSUMs are mixed. A version that turns bad late is
detected as fast as one that is bad from the start, since a CUSUM discards
evidence in its favour. Sources: Page (1954); Johari et al.,
"Always Valid Inference" (2015), for mixing over alternatives.
"""

import math

# Odds ratios of the alternative hypotheses.
ODDS = (2.0, 4.0, 12.0, 50.0)


def log_choose(n: int, k: int) -> float:
    """Return the logarithm of the number of ways to choose k of n."""
    return math.lgamma(n + 1) - math.lgamma(k + 1) - math.lgamma(n - k + 1)


def log_likelihood_ratio(
    odds: float, new_bad: int, new_total: int, old_bad: int, old_total: int
) -> float:
    """Return the evidence of one stratum for higher odds over equal ones.

    Args:
        odds: Assumed ratio of the new version's odds of a bad request to the
            old version's.
        new_bad: Bad requests of the new version.
        new_total: All requests of the new version.
        old_bad: Bad requests of the old version.
        old_total: All requests of the old version.

    Returns:
        The logarithm of the likelihood ratio; 0 for a stratum without
        information.
    """
    bad = new_bad + old_bad
    if not bad or not new_total or not old_total:
        return 0.0
    fewest = max(0, bad - old_total)
    most = min(new_total, bad)
    log_odds = math.log(odds)
    weights = [
        log_choose(new_total, j) + log_choose(old_total, bad - j)
        for j in range(fewest, most + 1)
    ]
    tilted_weights = [
        weight + (fewest + step) * log_odds
        for step, weight in enumerate(weights)
    ]
    return new_bad * log_odds + _log_sum(weights) - _log_sum(tilted_weights)


def _log_sum(terms: list[float]) -> float:
    largest = max(terms)
    return largest + math.log(sum(math.exp(term - largest) for term in terms))


class Detector:
    """CUSUMs over the alternatives in ``ODDS``, mixed into one value."""

    __slots__ = ("sums",)

    def __init__(self) -> None:
        self.sums = [0.0] * len(ODDS)

    def add(
        self, new_bad: int, new_total: int, old_bad: int, old_total: int
    ) -> None:
        """Add the counts of one stratum."""
        for index, odds in enumerate(ODDS):
            step = log_likelihood_ratio(
                odds, new_bad, new_total, old_bad, old_total
            )
            self.sums[index] = max(self.sums[index] + step, 0.0)

    @property
    def evidence(self) -> float:
        """Return the logarithm of the evidence against the new version."""
        return _log_sum(self.sums) - math.log(len(self.sums))


class Clearance:
    """Evidence that a failure rate is below that of a fault.

    This is the lower bound of a sequential test: evidence in favour. It grows
    with the number of requests, so a second without traffic adds nothing. The
    evidence is capped, so failures after many good requests count at once.

    Args:
        base_rate: The failure rate of a good version.
        fault_rate: The minimum failure rate of a fault.
        threshold: Logarithm of the evidence that clears a version.
    """

    __slots__ = ("gain_good", "loss_bad", "threshold", "sum")

    def __init__(
        self, base_rate: float, fault_rate: float, threshold: float
    ) -> None:
        fault_rate = max(fault_rate, base_rate)
        self.gain_good = math.log((1 - base_rate) / (1 - fault_rate))
        self.loss_bad = math.log(fault_rate / base_rate)
        self.threshold = threshold
        self.sum = 0.0

    def add(self, bad: int, total: int) -> None:
        """Add the outcomes of some requests."""
        self.sum += (total - bad) * self.gain_good - bad * self.loss_bad
        self.sum = min(self.sum, self.threshold)

    @property
    def is_clear(self) -> bool:
        """Return whether the evidence has reached the threshold."""
        return self.sum >= self.threshold


class BaselineDetector:
    """A CUSUM of a rate against a known baseline.

    It is used while the old version has no traffic to compare with. It cannot
    distinguish a fault of both versions from one of the new version, so its
    alarm only starts a comparison.

    Args:
        base_rate: The failure rate of a good version.
        alarm_rate: The failure rate to detect.
    """

    __slots__ = ("gain_bad", "gain_good", "sum")

    def __init__(self, base_rate: float, alarm_rate: float) -> None:
        self.gain_bad = math.log(alarm_rate / base_rate)
        self.gain_good = math.log((1 - alarm_rate) / (1 - base_rate))
        self.sum = 0.0

    def add(self, bad: int, total: int) -> None:
        """Add the outcomes of some requests."""
        gain = bad * self.gain_bad + (total - bad) * self.gain_good
        self.sum = max(self.sum + gain, 0.0)
