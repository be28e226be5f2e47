"""Comparison of a new version with the old one.

A verdict needs both evidence from a sequential test, which bounds how often a
good version is rejected by chance, and a difference large enough to matter.
Without the latter, a slightly slower version would be taken back once enough
evidence of the small difference has accumulated.
"""

import dataclasses
import math

from trefoil_model import latency

from . import evidence as evidences
from . import sequential

# Factor by which recent counts decay in each window of the usual length.
DECAY_PER_WINDOW = 0.95
# Quantile of the old version's latency from which requests count as slow.
SLOW_QUANTILE = 0.9
# Quantile that a latency verdict compares.
TAIL_QUANTILE = 0.95
# Minimum increase of a tail quantile that matters, in latency buckets.
TAIL_BUCKETS = 3
# Distance of the slow bucket above the quantile, in latency buckets.
SLOW_BUCKETS = 1
# Minimum number of latencies for an estimate of a quantile.
MIN_LATENCIES = 40
# Added to the measured failure rate of the old version.
BASELINE_TOLERANCE = 0.003
# Increase above the baseline that the watch is tuned to detect.
BASELINE_ALARM_MARGIN = 0.016
# Logarithm of the evidence that raises a suspicion during the watch.
BASELINE_EVIDENCE = 5.0
# Minimum increase of the failure rate that counts as a fault.
CLEARANCE_FAULT_MARGIN = 0.1
# At most one bad version in a hundred is cleared by chance.
CLEARANCE_EVIDENCE = math.log(100)
# Key of the comparison over all routes.
ALL_ROUTES = "*"
FAILURES = "failures"
LATENCY = "latency"


@dataclasses.dataclass(slots=True)
class Suspicion:
    """A sign of a fault in the new version that is not proved yet.

    Args:
        route: The route with the fault.
        kind: ``failures`` or ``latency``.
        detail: The figures, for operators.
    """

    route: str
    kind: str
    detail: str

    def __str__(self) -> str:
        return f"{self.kind} on route {self.route}: {self.detail}"


@dataclasses.dataclass(slots=True)
class Verdict(Suspicion):
    """A fault that the sequential test has proved.

    Args:
        evidence: Logarithm of the evidence against the new version.
    """

    evidence: float


@dataclasses.dataclass(slots=True)
class RouteComparison:
    """Tests and counts of both versions on one route.

    Args:
        failures: The test of failure rates.
        slowness: The test of slow requests.
        baseline: The test of failures while the old version has no traffic;
            None outside the watch.
        reference: The old version's counts that the watch compares with.
        slow_bucket: Latency bucket from which a request counts as slow; -1
            until enough latencies of the old version are known.
        old: The old version's recent counts.
        new: The new version's recent counts.
        old_total: All counts of the old version.
        new_latency_count: Requests of the new version to warm targets.
    """

    failures: sequential.Detector = dataclasses.field(
        default_factory=sequential.Detector
    )
    slowness: sequential.Detector = dataclasses.field(
        default_factory=sequential.Detector
    )
    baseline: sequential.BaselineDetector | None = None
    reference: evidences.Counts = dataclasses.field(
        default_factory=evidences.Counts
    )
    slow_bucket: int = -1
    old: evidences.Counts = dataclasses.field(default_factory=evidences.Counts)
    new: evidences.Counts = dataclasses.field(default_factory=evidences.Counts)
    old_total: evidences.Counts = dataclasses.field(
        default_factory=evidences.Counts
    )
    new_latency_count: int = 0


class VersionComparison:
    """Compares one move's new version with the old one, window by window.

    While both versions have traffic, their counts in the same window are
    compared. During the watch the new version has all the traffic, so it is
    compared with the old version's past counts.

    Args:
        old_version: The version known to be good.
        new_version: The version under test.
        threshold: Logarithm of the evidence that a verdict needs.
        tolerance: Difference of the failure rates that does not matter.
        compare_threshold: The threshold while both versions are compared
            again after a suspicion at full traffic; ``threshold`` by default.
    """

    __slots__ = (
        "old_version",
        "new_version",
        "threshold",
        "compare_threshold",
        "tolerance",
        "by_route",
        "watching",
        "was_compared",
        "clearance",
    )

    def __init__(
        self,
        old_version: str,
        new_version: str,
        *,
        threshold: float,
        tolerance: float,
        compare_threshold: float = 0.0,
    ) -> None:
        self.old_version = old_version
        self.new_version = new_version
        self.threshold = threshold
        self.compare_threshold = compare_threshold or threshold
        self.tolerance = tolerance
        self.by_route: dict[str, RouteComparison] = {}
        self.watching = False
        self.was_compared = False
        self.clearance: sequential.Clearance | None = None

    def add(
        self, window: evidences.Window, weight: float = 1.0
    ) -> Verdict | None:
        """Add a window and return a verdict if the new version is bad.

        Args:
            window: Counts reported since the last window.
            weight: Length of the window, as a multiple of the usual length.
        """
        decay = DECAY_PER_WINDOW**weight
        routes = evidences.routes_in(window)
        for route in routes:
            comparison = self.by_route.setdefault(route, RouteComparison())
            self._add_route(comparison, route, window, decay)
        self._add_pooled(routes, window, decay)
        if self.watching:
            self._watch_new_routes()
        if self.clearance is not None:
            self._add_to_clearance(window)
        candidates = []
        for route, comparison in self.by_route.items():
            candidates.append(self._compare_failures(route, comparison))
            candidates.append(self._compare_latency(route, comparison))
        verdicts = [verdict for verdict in candidates if verdict is not None]
        return max(verdicts, key=lambda v: v.evidence, default=None)

    def _add_pooled(
        self, routes: list[str], window: evidences.Window, decay: float
    ) -> None:
        """Add all routes' strata to the comparison over all routes.

        With little traffic no single route may yield enough evidence of a
        fault in time, although all routes together do. The strata stay
        separate, so routes that differ are not mixed.
        """
        pooled = self.by_route.setdefault(ALL_ROUTES, RouteComparison())
        pooled.old.decay(decay)
        pooled.new.decay(decay)
        for route in routes:
            slow_bucket = self.by_route[route].slow_bucket
            for old, new in self._strata(route, window):
                self._add_stratum(pooled, old, new, slow_bucket)

    def _add_route(
        self,
        comparison: RouteComparison,
        route: str,
        window: evidences.Window,
        decay: float,
    ) -> None:
        comparison.old.decay(decay)
        comparison.new.decay(decay)
        for old, new in self._strata(route, window):
            self._add_stratum(comparison, old, new, comparison.slow_bucket)
        self._update_slow_bucket(comparison)

    def _strata(
        self, route: str, window: evidences.Window
    ) -> list[tuple[evidences.Counts, evidences.Counts]]:
        """Return a route's old and new counts, by failure domain."""
        domains = {key.domain for key in window if key.route == route}
        no_counts = evidences.Counts()
        pairs = []
        for domain in sorted(domains):
            old_key = evidences.TallyKey(route, self.old_version, domain)
            new_key = evidences.TallyKey(route, self.new_version, domain)
            pairs.append(
                (
                    window.get(old_key, no_counts),
                    window.get(new_key, no_counts),
                )
            )
        return pairs

    def _add_stratum(
        self,
        comparison: RouteComparison,
        old: evidences.Counts,
        new: evidences.Counts,
        slow_bucket: int,
    ) -> None:
        comparison.failures.add(
            new.failures, new.requests, old.failures, old.requests
        )
        if slow_bucket >= 0:
            comparison.slowness.add(
                latency.count_at_least(new.latencies, slow_bucket),
                sum(new.latencies.values()),
                latency.count_at_least(old.latencies, slow_bucket),
                sum(old.latencies.values()),
            )
        if comparison.baseline is not None:
            comparison.baseline.add(new.failures, new.requests)
        comparison.old.merge(old)
        comparison.new.merge(new)
        comparison.old_total.merge(old)
        comparison.new_latency_count += sum(new.latencies.values())

    def _update_slow_bucket(self, comparison: RouteComparison) -> None:
        """Set the latency that counts as slow, from the old version alone.

        The bound is fixed before the windows that it applies to; taking it
        from the same requests would bias the test.
        """
        if sum(comparison.old_total.latencies.values()) < MIN_LATENCIES:
            return
        quantile = latency.quantile_bucket(
            comparison.old_total.latencies, SLOW_QUANTILE
        )
        comparison.slow_bucket = quantile + SLOW_BUCKETS

    def _compare_failures(
        self, route: str, comparison: RouteComparison
    ) -> Verdict | None:
        evidence = comparison.failures.evidence
        if evidence < self.threshold:
            return None
        new_rate = _rate(comparison.new)
        old_rate = _rate(comparison.old)
        if new_rate - old_rate < self.tolerance:
            return None
        detail = f"{new_rate:.1%} against {old_rate:.1%}"
        return Verdict(route, FAILURES, detail, evidence)

    def _compare_latency(
        self, route: str, comparison: RouteComparison
    ) -> Verdict | None:
        evidence = comparison.slowness.evidence
        if evidence < self.threshold:
            return None
        new_tail = latency.quantile_bucket(
            comparison.new.latencies, TAIL_QUANTILE
        )
        old_tail = latency.quantile_bucket(
            comparison.old.latencies, TAIL_QUANTILE
        )
        if new_tail - old_tail < TAIL_BUCKETS:
            return None
        new_ms = latency.bucket_floor_us(new_tail) / 1000
        old_ms = latency.bucket_floor_us(old_tail) / 1000
        detail = f"p95 {new_ms:.1f} ms against {old_ms:.1f} ms"
        return Verdict(route, LATENCY, detail, evidence)

    # Without the old version's traffic

    def begin_watch(self) -> None:
        """Compare with the old version's past counts from now on."""
        self.watching = True
        for comparison in self.by_route.values():
            self._watch_route(comparison)
            comparison.new = evidences.Counts()

    def begin_clearance(self) -> None:
        """Start collecting evidence in the new version's favour."""
        pooled = self.by_route.get(ALL_ROUTES, RouteComparison())
        base_rate = _base_rate(pooled.old_total)
        self.clearance = sequential.Clearance(
            base_rate,
            min(base_rate + CLEARANCE_FAULT_MARGIN, 0.95),
            CLEARANCE_EVIDENCE,
        )

    @property
    def is_clear(self) -> bool:
        """Return whether the evidence clears the new version."""
        return self.clearance is not None and self.clearance.is_clear

    @property
    def is_unfavourable(self) -> bool:
        """Return whether more evidence is against the version than for it."""
        return self.clearance is not None and self.clearance.sum < 0

    def _add_to_clearance(self, window: evidences.Window) -> None:
        failures = requests = 0.0
        for key, counts in window.items():
            if key.version == self.new_version:
                failures += counts.failures
                requests += counts.requests
        self.clearance.add(failures, requests)

    def _watch_new_routes(self) -> None:
        """Start the watch of routes that were first reported during it.

        A leader that takes over during the watch has no counts until the
        proxies' cumulative reports arrive. Without this it would have no
        baseline and miss a late fault. The new version's counts in these
        reports are kept.
        """
        for comparison in self.by_route.values():
            if comparison.baseline is None and comparison.old_total.requests:
                self._watch_route(comparison)

    def _watch_route(self, comparison: RouteComparison) -> None:
        comparison.reference = self._reference(comparison)
        base_rate = _base_rate(comparison.reference)
        alarm_rate = min(base_rate + BASELINE_ALARM_MARGIN, 0.95)
        comparison.baseline = sequential.BaselineDetector(
            base_rate, alarm_rate
        )

    def _reference(self, comparison: RouteComparison) -> evidences.Counts:
        """Return the old version's counts that the watch compares with.

        After a comparison these are the counts from that comparison. A cause
        that slows every target down usually persists; compared with earlier
        counts it would trigger one comparison after the other until the
        deadline has passed.
        """
        recent = sum(comparison.old.latencies.values())
        if self.was_compared and recent >= MIN_LATENCIES:
            return dataclasses.replace(comparison.old)
        return comparison.old_total

    def suspicion(self) -> Suspicion | None:
        """Return the first suspicion during the watch, None without one."""
        for route, comparison in self.by_route.items():
            if comparison.baseline is None or route == ALL_ROUTES:
                continue
            if comparison.baseline.sum >= BASELINE_EVIDENCE:
                return Suspicion(
                    route, FAILURES, f"{_rate(comparison.new):.1%}"
                )
            if self._tail_grew(comparison):
                return Suspicion(route, LATENCY, "beyond the old version's")
        return None

    def _tail_grew(self, comparison: RouteComparison) -> bool:
        if sum(comparison.new.latencies.values()) < MIN_LATENCIES:
            return False
        tail_bucket = latency.quantile_bucket(
            comparison.new.latencies, SLOW_QUANTILE
        )
        base_bucket = latency.quantile_bucket(
            comparison.reference.latencies, SLOW_QUANTILE
        )
        return base_bucket >= 0 and tail_bucket - base_bucket >= TAIL_BUCKETS

    def has_early_warning(self) -> bool:
        """Return whether a test has half of the evidence for a verdict."""
        half = self.threshold / 2
        return any(
            max(comparison.failures.evidence, comparison.slowness.evidence)
            >= half
            for comparison in self.by_route.values()
        )

    def begin_compare(self) -> None:
        """Reset the tests; both versions serve side by side again.

        A comparison lasts seconds and a move minutes, so a lower threshold
        gives the same rate of false alarms.
        """
        self.watching = False
        self.clearance = None
        self.was_compared = True
        self.threshold = min(self.threshold, self.compare_threshold)
        for comparison in self.by_route.values():
            comparison.baseline = None
            comparison.failures = sequential.Detector()
            comparison.slowness = sequential.Detector()
            comparison.new = evidences.Counts()
            comparison.old = evidences.Counts()

    def new_request_counts(self) -> dict[str, int]:
        """Return the number of new-version requests by route.

        Requests to cold targets are left out: their latency is not compared,
        so a slow version would pass its first steps undetected.
        """
        return {
            route: comparison.new_latency_count
            for route, comparison in self.by_route.items()
            if route != ALL_ROUTES
        }

    def old_latency_ms(self) -> float:
        """Return the old version's latency at the 0.9 quantile.

        It is 0 if no latency is known. It adds to the detection delay, since
        a failure is reported only when the request ends.
        """
        pooled = self.by_route.get(ALL_ROUTES)
        latencies = pooled.old_total.latencies if pooled else {}
        p90_bucket = latency.quantile_bucket(latencies, SLOW_QUANTILE)
        return (
            latency.bucket_floor_us(p90_bucket) / 1000
            if p90_bucket >= 0
            else 0.0
        )

    def old_request_counts(self) -> dict[str, int]:
        """Return the number of old-version requests by route.

        The key ``ALL_ROUTES`` has the sum over the routes.
        """
        return {
            route: comparison.old_total.requests
            for route, comparison in self.by_route.items()
        }


def _base_rate(reference: evidences.Counts) -> float:
    """Return the failure rate of a good version, never exactly 0 or 1.

    The added half failure and 50 requests keep the rate above 0 while there
    are few counts.
    """
    rate = (reference.failures + 0.5) / (reference.requests + 50)
    return min(rate + BASELINE_TOLERANCE, 0.9)


def _rate(counts: evidences.Counts) -> float:
    return counts.failures / counts.requests if counts.requests else 0.0


def threshold_for(false_alarms: float, windows: int) -> float:
    """Return the logarithm of the evidence that a verdict needs.

    A CUSUM of likelihood ratios crosses ``h`` by chance at most about once
    in ``exp(h)`` windows (Lorden, 1971).

    Args:
        false_alarms: Share of good versions that may be rejected.
        windows: Length of a move, in windows.
    """
    return math.log(windows / false_alarms)
