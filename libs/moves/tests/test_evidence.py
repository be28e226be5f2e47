"""Content and timing of the proxies' evidence reports."""

import pytest

from trefoil_moves import evidence

OLD = evidence.TallyKey("r", "v1", "d")
NEW = evidence.TallyKey("r", "v2", "d")


def make_collector() -> evidence.Collector:
    """Return a collector that reported both versions at 0 ms."""
    collector = evidence.Collector("m", "h", 1, new_version="v2")
    collector.observe(OLD, 1000, False, False)
    collector.observe(NEW, 1000, False, False)
    collector.report(0)
    return collector


def versions_in(collector: evidence.Collector, now_ms: int) -> list[str]:
    """Return the versions in the report, empty if none is due."""
    report = collector.report(now_ms)
    return [tally.version for tally in report.tallies] if report else []


@pytest.mark.parametrize(
    ("failed", "has_all_traffic", "due_ms"),
    [(False, False, 250), (True, False, 100), (False, True, 100)],
)
def test_urgent_evidence_is_reported_sooner(
    failed: bool, has_all_traffic: bool, due_ms: int
) -> None:
    """Otherwise a bad version keeps its traffic until the usual report."""
    collector = make_collector()
    collector.has_all_traffic = has_all_traffic
    collector.observe(NEW, 1000, failed, False)
    assert collector.report(due_ms - 1) is None
    assert collector.report(due_ms) is not None


def test_a_failure_of_the_old_version_is_not_urgent() -> None:
    collector = make_collector()
    collector.observe(OLD, 1000, True, False)
    assert collector.report(249) is None


def test_reports_during_the_watch_repeat_the_old_version() -> None:
    """A new leader needs the old version's counts to detect a late fault.

    The old version has no traffic during the watch, so its counts no longer
    change, and reports of changed tallies alone would never include them.
    """
    collector = make_collector()
    collector.observe(NEW, 1000, False, False)
    assert versions_in(collector, 300) == ["v2"]
    collector.has_all_traffic = True
    collector.observe(NEW, 1000, False, False)
    assert versions_in(collector, 500) == ["v1", "v2"]
    collector.observe(NEW, 1000, False, False)
    assert versions_in(collector, 600) == ["v2"]
    collector.observe(NEW, 1000, False, False)
    assert versions_in(collector, 700) == ["v1", "v2"]
