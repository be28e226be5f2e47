"""The judgement of a new version beside the old one.

A verdict needs both a sequential test's evidence, which bounds how often a
good version is condemned by chance, and a difference large enough to matter,
which keeps a version that is a trifle slower from being taken back for ever
more evidence of a trifle.
"""

import dataclasses
import math

from trefoil_model import latency

from . import evidence as evidences
from . import sequential

FADE = 0.95
SLOW_QUANTILE = 0.9
TAIL_QUANTILE = 0.95
TAIL_BUCKETS = 3
SLOW_BUCKETS = 1
LEARN_LATENCIES = 40
BASE_TOLERANCE = 0.003
BASE_ALARM = 0.016
BASE_EVIDENCE = 5.0
# A fault that matters adds this much to the share of requests that fail.
CLEAR_ALARM = 0.1
# One bad version in a hundred may look like a good one by chance.
CLEAR_EVIDENCE = math.log(100)
ALL_ROUTES = "*"
FAILURES = "failures"
LATENCY = "latency"


@dataclasses.dataclass(slots=True)
class Suspicion:
    """What speaks against a version.

    Args:
        route: The route on which it shows.
        kind: ``failures`` or ``latency``.
        detail: The figures, for people.
    """

    route: str
    kind: str
    detail: str

    def __str__(self) -> str:
        return f"{self.kind} on route {self.route}: {self.detail}"


@dataclasses.dataclass(slots=True)
class Verdict(Suspicion):
    """A suspicion that the test has proved: the version is bad.

    Args:
        evidence: Log of the evidence.
    """

    evidence: float


@dataclasses.dataclass(slots=True)
class RouteCase:
    """What is known of both versions on one route.

    Args:
        failures: The test of failure rates.
        slowness: The test of slow requests.
        baseline: The test of failures without the old version's traffic.
        reference: The old version's counts that the watch compares with.
        slow_bucket: Latency bucket from which a request counts as slow.
        old: The old version's recent counts.
        new: The new version's recent counts.
        old_ever: All counts of the old version.
        new_ever: Warm requests of the new version.
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
    old_ever: evidences.Counts = dataclasses.field(
        default_factory=evidences.Counts
    )
    new_ever: int = 0


class Judge:
    """Judges one move's new version, window after window.

    Args:
        old_version: The version that is in order.
        new_version: The version under judgement.
        threshold: Log of the evidence that condemns.
        tolerance: Difference of the failure rates that does not matter.
        compare_threshold: The same while both versions are compared again
            after the whole share; ``threshold`` by default.
    """

    __slots__ = (
        "old_version",
        "new_version",
        "threshold",
        "compare_threshold",
        "tolerance",
        "cases",
        "watching",
        "compared",
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
        self.cases: dict[str, RouteCase] = {}
        self.watching = False
        self.compared = False
        self.clearance: sequential.Clearance | None = None

    def add(
        self, window: evidences.Window, weight: float = 1.0
    ) -> Verdict | None:
        """Take a window; return a verdict if the version is bad.

        Args:
            window: What was reported since the last one.
            weight: How long it lasted, in usual windows.
        """
        fade = FADE**weight
        routes = evidences.routes_in(window)
        for route in routes:
            case = self.cases.setdefault(route, RouteCase())
            self._add_route(case, route, window, fade)
        self._pool(routes, window, fade)
        if self.watching:
            self._watch_new_cases()
        if self.clearance is not None:
            self._clear(window)
        found = []
        for route, case in self.cases.items():
            found.append(self._judge_failures(route, case))
            found.append(self._judge_latency(route, case))
        verdicts = [verdict for verdict in found if verdict is not None]
        return max(verdicts, key=lambda v: v.evidence, default=None)

    def _pool(
        self, routes: list[str], window: evidences.Window, fade: float
    ) -> None:
        """Add all routes' strata to one more case.

        A service with little traffic may not show a fault on any one route
        in time, though all its routes together do. The strata stay apart,
        so routes that differ are not mixed.
        """
        pooled = self.cases.setdefault(ALL_ROUTES, RouteCase())
        pooled.old.fade(fade)
        pooled.new.fade(fade)
        for route in routes:
            slow_bucket = self.cases[route].slow_bucket
            for old, new in self._strata(route, window):
                self._add_stratum(pooled, old, new, slow_bucket)

    def _add_route(
        self,
        case: RouteCase,
        route: str,
        window: evidences.Window,
        fade: float,
    ) -> None:
        case.old.fade(fade)
        case.new.fade(fade)
        for old, new in self._strata(route, window):
            self._add_stratum(case, old, new, case.slow_bucket)
        self._learn_slowness(case)

    def _strata(
        self, route: str, window: evidences.Window
    ) -> list[tuple[evidences.Counts, evidences.Counts]]:
        """Return a route's counts of both versions by failure domain."""
        domains = {key.domain for key in window if key.route == route}
        none = evidences.Counts()
        pairs = []
        for domain in sorted(domains):
            old_key = evidences.TallyKey(route, self.old_version, domain)
            new_key = evidences.TallyKey(route, self.new_version, domain)
            pairs.append(
                (window.get(old_key, none), window.get(new_key, none))
            )
        return pairs

    def _add_stratum(
        self,
        case: RouteCase,
        old: evidences.Counts,
        new: evidences.Counts,
        slow_bucket: int,
    ) -> None:
        case.failures.add(
            new.failures, new.requests, old.failures, old.requests
        )
        if slow_bucket >= 0:
            case.slowness.add(
                latency.count_at_least(new.latencies, slow_bucket),
                sum(new.latencies.values()),
                latency.count_at_least(old.latencies, slow_bucket),
                sum(old.latencies.values()),
            )
        if case.baseline is not None:
            case.baseline.add(new.failures, new.requests)
        case.old.merge(old)
        case.new.merge(new)
        case.old_ever.merge(old)
        case.new_ever += sum(new.latencies.values())

    def _learn_slowness(self, case: RouteCase) -> None:
        """Set what counts as slow, from the old version alone.

        The bound is fixed before the windows that it judges; drawing it
        from the same requests would bias the test.
        """
        if sum(case.old_ever.latencies.values()) < LEARN_LATENCIES:
            return
        quantile = latency.quantile_bucket(
            case.old_ever.latencies, SLOW_QUANTILE
        )
        case.slow_bucket = quantile + SLOW_BUCKETS

    def _judge_failures(self, route: str, case: RouteCase) -> Verdict | None:
        found = case.failures.evidence
        if found < self.threshold:
            return None
        new_rate = _rate(case.new)
        old_rate = _rate(case.old)
        if new_rate - old_rate < self.tolerance:
            return None
        detail = f"{new_rate:.1%} against {old_rate:.1%}"
        return Verdict(route, FAILURES, detail, found)

    def _judge_latency(self, route: str, case: RouteCase) -> Verdict | None:
        found = case.slowness.evidence
        if found < self.threshold:
            return None
        new_tail = latency.quantile_bucket(case.new.latencies, TAIL_QUANTILE)
        old_tail = latency.quantile_bucket(case.old.latencies, TAIL_QUANTILE)
        if new_tail - old_tail < TAIL_BUCKETS:
            return None
        new_ms = latency.bucket_floor_us(new_tail) / 1000
        old_ms = latency.bucket_floor_us(old_tail) / 1000
        detail = f"p95 {new_ms:.1f} ms against {old_ms:.1f} ms"
        return Verdict(route, LATENCY, detail, found)

    # Without the old version's traffic

    def begin_watch(self) -> None:
        """Judge against the old version's past from now on."""
        self.watching = True
        for case in self.cases.values():
            self._watch_case(case)
            case.new = evidences.Counts()

    def begin_clearing(self) -> None:
        """Ask for evidence in the version's favour from now on."""
        pooled = self.cases.get(ALL_ROUTES, RouteCase())
        base = _base_rate(pooled.old_ever)
        self.clearance = sequential.Clearance(
            base, min(base + CLEAR_ALARM, 0.95), CLEAR_EVIDENCE
        )

    @property
    def is_clear(self) -> bool:
        """Tell whether evidence says that the version is in order."""
        return self.clearance is not None and self.clearance.is_clear

    @property
    def is_doubtful(self) -> bool:
        """Tell whether evidence speaks against it more than for it."""
        return self.clearance is not None and self.clearance.sum < 0

    def _clear(self, window: evidences.Window) -> None:
        failures = requests = 0.0
        for key, counts in window.items():
            if key.version == self.new_version:
                failures += counts.failures
                requests += counts.requests
        self.clearance.add(failures, requests)

    def _watch_new_cases(self) -> None:
        """Watch routes of which this judge has only just heard.

        A new leader starts in the midst of the watch and knows nothing
        until the proxies' cumulative reports arrive. Without this it would
        suspect nothing, and a fault that comes late would stay. What these
        reports tell of the new version counts.
        """
        for case in self.cases.values():
            if case.baseline is None and case.old_ever.requests:
                self._watch_case(case)

    def _watch_case(self, case: RouteCase) -> None:
        case.reference = self._reference(case)
        base = _base_rate(case.reference)
        alarm = min(base + BASE_ALARM, 0.95)
        case.baseline = sequential.BaselineDetector(base, alarm)

    def _reference(self, case: RouteCase) -> evidences.Counts:
        """Return the old version's counts that the watch compares with.

        After a comparison these are what it showed in it: what slows every
        target down goes on, and measured against earlier times it would
        bring on one comparison after the other until the deadline is past.
        """
        recent = sum(case.old.latencies.values())
        if self.compared and recent >= LEARN_LATENCIES:
            return dataclasses.replace(case.old)
        return case.old_ever

    def suspects(self) -> Suspicion | None:
        """Return why the old version should be asked again, if it should."""
        for route, case in self.cases.items():
            if case.baseline is None or route == ALL_ROUTES:
                continue
            if case.baseline.sum >= BASE_EVIDENCE:
                return Suspicion(route, FAILURES, f"{_rate(case.new):.1%}")
            if self._tail_grew(case):
                return Suspicion(route, LATENCY, "beyond the old version's")
        return None

    def _tail_grew(self, case: RouteCase) -> bool:
        if sum(case.new.latencies.values()) < LEARN_LATENCIES:
            return False
        tail = latency.quantile_bucket(case.new.latencies, SLOW_QUANTILE)
        base = latency.quantile_bucket(case.reference.latencies, SLOW_QUANTILE)
        return base >= 0 and tail - base >= TAIL_BUCKETS

    def leans_against(self) -> bool:
        """Tell whether half of the evidence that condemns is there."""
        half = self.threshold / 2
        return any(
            max(case.failures.evidence, case.slowness.evidence) >= half
            for case in self.cases.values()
        )

    def begin_compare(self) -> None:
        """Forget the alarms; both versions serve side by side again.

        A comparison lasts seconds where a move lasts minutes, so less
        evidence keeps the rate of false alarms.
        """
        self.watching = False
        self.clearance = None
        self.compared = True
        self.threshold = min(self.threshold, self.compare_threshold)
        for case in self.cases.values():
            case.baseline = None
            case.failures = sequential.Detector()
            case.slowness = sequential.Detector()
            case.new = evidences.Counts()
            case.old = evidences.Counts()

    def seen(self) -> dict[str, int]:
        """Return how many requests of the new version each route had.

        Those of cold targets are left out: their latency is not judged, so
        a slow version would pass its first steps unseen.
        """
        return {
            route: case.new_ever
            for route, case in self.cases.items()
            if route != ALL_ROUTES
        }

    def answered_ms(self) -> float:
        """Return in what time nearly all of the old version's requests end.

        A request that fails is heard of only when it ends.
        """
        pooled = self.cases.get(ALL_ROUTES)
        latencies = pooled.old_ever.latencies if pooled else {}
        most = latency.quantile_bucket(latencies, SLOW_QUANTILE)
        return latency.bucket_floor_us(most) / 1000 if most >= 0 else 0.0

    def old_seen(self) -> dict[str, int]:
        """Return how many requests of the old version each route had."""
        return {
            route: case.old_ever.requests for route, case in self.cases.items()
        }


def _base_rate(reference: evidences.Counts) -> float:
    """Return the rate of failures that is in order, never quite 0 or 1."""
    rate = (reference.failures + 0.5) / (reference.requests + 50)
    return min(rate + BASE_TOLERANCE, 0.9)


def _rate(counts: evidences.Counts) -> float:
    return counts.failures / counts.requests if counts.requests else 0.0


def threshold_for(false_alarms: float, windows: int) -> float:
    """Return the evidence to ask for.

    A CUSUM of likelihood ratios crosses ``h`` by chance at most about once
    in ``exp(h)`` windows (Lorden, 1971).

    Args:
        false_alarms: Share of good versions that may be condemned.
        windows: Windows that a move lasts.
    """
    return math.log(windows / false_alarms)
