"""Comparison of versions: what leads to a verdict and what must not."""

import random

import pytest

from trefoil_moves import evidence as evidences
from trefoil_moves import judge as comparisons
from trefoil_moves import sequential
from trefoil_wire import messages


def make_window(
    old: tuple[int, int],
    new: tuple[int, int],
    *,
    old_us: int = 10_000,
    new_us: int = 10_000,
    route: str = "r",
    domain: str = "d",
) -> evidences.Window:
    """Return one window of requests and failures of both versions.

    Args:
        old: Requests and failures of the old version.
        new: Requests and failures of the new version.
        old_us: Latency of the old version, in microseconds.
        new_us: Latency of the new version, in microseconds.
        route: The route.
        domain: The failure domain.
    """
    window_counts: evidences.Window = {}
    for version, counts, latency_us in (
        ("v1", old, old_us),
        ("v2", new, new_us),
    ):
        counts_of_version = evidences.Counts()
        for n in range(counts[0]):
            counts_of_version.add(latency_us + n % 7, n < counts[1], False)
        window_counts[evidences.TallyKey(route, version, domain)] = (
            counts_of_version
        )
    return window_counts


def version_comparison() -> comparisons.VersionComparison:
    """Return a comparison for 0.5% false alarms in 600 windows."""
    return comparisons.VersionComparison(
        "v1", "v2", threshold=11.7, tolerance=0.005
    )


def seconds_to_verdict(*windows: evidences.Window, limit: int = 60) -> int:
    """Return the seconds until there is a verdict, -1 if there is none."""
    comparison = version_comparison()
    for second in range(limit):
        if comparison.add(windows[min(second, len(windows) - 1)]):
            return second + 1
    return -1


@pytest.mark.parametrize(
    ("case", "window_counts", "at_most"),
    [
        ("fails half at 2%", make_window((98, 0), (2, 1)), 6),
        ("fails 2% at half", make_window((100, 0), (100, 2)), 20),
        ("twice as slow", make_window((95, 0), (5, 0), new_us=25_000), 8),
        ("fails all from the start", make_window((98, 0), (2, 2)), 3),
    ],
)
def test_bad_versions_get_a_verdict(
    case: str, window_counts: evidences.Window, at_most: int
) -> None:
    assert 0 < seconds_to_verdict(window_counts) <= at_most


@pytest.mark.parametrize(
    ("case", "window_counts"),
    [
        ("both fail equally", make_window((90, 27), (10, 3))),
        ("all fail", make_window((90, 90), (10, 10))),
        ("the old one is worse", make_window((90, 20), (10, 0))),
        ("slightly slower", make_window((90, 0), (10, 0), new_us=10_600)),
        ("only the new one has traffic", make_window((0, 0), (50, 25))),
    ],
)
def test_good_versions_get_no_verdict(
    case: str, window_counts: evidences.Window
) -> None:
    assert seconds_to_verdict(window_counts) == -1


def test_a_late_fault_is_detected_as_fast_as_an_early_one() -> None:
    """A version works for a minute, then one request in five fails.

    Earlier evidence in its favour must not outweigh the new failures.
    """
    good = make_window((95, 0), (20, 0))
    bad = make_window((95, 0), (20, 4))
    assert seconds_to_verdict(*([good] * 60 + [bad]), limit=70) <= 64


def test_a_domain_without_the_old_version_is_no_evidence() -> None:
    """The new version runs only in the domain where a dependency fails.

    Compared across domains, the new version would seem to be at fault.
    """
    window_counts = make_window((100, 0), (0, 0), domain="a")
    window_counts |= make_window((0, 0), (20, 10), domain="b")
    assert seconds_to_verdict(window_counts) == -1


def test_cold_requests_do_not_count_as_slow() -> None:
    counts = evidences.Counts()
    counts.add(900_000, False, True)
    assert (counts.requests, counts.latencies) == (1, {})


def test_false_alarms_stay_under_their_bound() -> None:
    """Both versions fail at the same rate, in 300 moves of two minutes.

    The bound is a verdict in at most 0.5% of such moves.
    """
    rng = random.Random(5)
    threshold = comparisons.threshold_for(0.005, 600)
    rejected = 0
    for _ in range(300):
        detector = sequential.Detector()
        for _ in range(120):
            old = sum(rng.random() < 0.02 for _ in range(40))
            new = sum(rng.random() < 0.02 for _ in range(10))
            detector.add(new, 10, old, 40)
            if detector.evidence >= threshold:
                rejected += 1
                break
    assert rejected <= 1


@pytest.mark.parametrize(
    ("new_bad", "new_total", "old_bad", "old_total"),
    [(0, 0, 5, 10), (5, 10, 0, 0), (0, 10, 0, 90), (10, 10, 90, 90)],
)
def test_strata_without_information(
    new_bad: int, new_total: int, old_bad: int, old_total: int
) -> None:
    evidence = sequential.log_likelihood_ratio(
        4.0, new_bad, new_total, old_bad, old_total
    )
    assert evidence == pytest.approx(0.0, abs=1e-9)


def make_report(
    sequence: int, requests: int, failures: int, incarnation: int = 1
) -> messages.EvidenceReport:
    """Return a cumulative report with one tally of the new version."""
    tally = messages.Tally("r", "v2", "d", requests, failures, {10: requests})
    return messages.EvidenceReport(
        "m", "h", incarnation, sequence, [tally], False
    )


@pytest.mark.parametrize(
    ("case", "reports", "requests"),
    [
        ("in order", [(1, 5), (2, 9)], 9),
        ("duplicated", [(1, 5), (1, 5), (2, 9), (2, 9)], 9),
        ("reordered", [(2, 9), (1, 5)], 9),
        ("one lost", [(1, 5), (3, 20)], 20),
    ],
)
def test_each_report_counts_once(
    case: str, reports: list[tuple[int, int]], requests: int
) -> None:
    merger = evidences.Merger()
    for sequence, count in reports:
        merger.add_report(make_report(sequence, count, 0), 0)
    (counts,) = merger.take_window().values()
    assert counts.requests == requests


def test_a_restarted_proxy_counts_from_zero() -> None:
    merger = evidences.Merger()
    merger.add_report(make_report(9, 50, 0), 0)
    merger.add_report(make_report(1, 4, 0, incarnation=2), 0)
    merger.add_report(make_report(10, 60, 0), 0)
    (counts,) = merger.take_window().values()
    assert counts.requests == 54
