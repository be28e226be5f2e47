"""What proxies report of the versions of a move, and when."""

import pytest

from trefoil_moves import evidence

OLD = evidence.TallyKey("r", "v1", "d")
NEW = evidence.TallyKey("r", "v2", "d")


def a_collector() -> evidence.Collector:
    """Return a proxy's counts; both versions were reported at 0 ms."""
    collector = evidence.Collector("m", "h", 1, on_trial="v2")
    collector.observe(OLD, 1000, False, False)
    collector.observe(NEW, 1000, False, False)
    collector.report(0)
    return collector


def versions_in(collector: evidence.Collector, now_ms: int) -> list[str]:
    """Return the versions that a report tells of, empty if none is due."""
    report = collector.report(now_ms)
    return [tally.version for tally in report.tallies] if report else []


@pytest.mark.parametrize(
    ("failed", "whole", "due_ms"),
    [(False, False, 250), (True, False, 100), (False, True, 100)],
)
def test_what_presses_is_told_at_once(
    failed: bool, whole: bool, due_ms: int
) -> None:
    """A bad version got all the traffic until the next usual report."""
    collector = a_collector()
    collector.whole = whole
    collector.observe(NEW, 1000, failed, False)
    assert collector.report(due_ms - 1) is None
    assert collector.report(due_ms) is not None


def test_a_failure_of_the_old_version_does_not_press() -> None:
    collector = a_collector()
    collector.observe(OLD, 1000, True, False)
    assert collector.report(249) is None


def test_a_new_leader_hears_of_the_old_version_in_the_watch() -> None:
    """It had nothing to compare with, and a fault that came late stayed.

    The old version has no traffic any more, so its counts do not change;
    reports of what changed would never tell them again.
    """
    collector = a_collector()
    collector.observe(NEW, 1000, False, False)
    assert versions_in(collector, 300) == ["v2"]
    collector.whole = True
    collector.observe(NEW, 1000, False, False)
    assert versions_in(collector, 500) == ["v1", "v2"]
    collector.observe(NEW, 1000, False, False)
    assert versions_in(collector, 600) == ["v2"]
    collector.observe(NEW, 1000, False, False)
    assert versions_in(collector, 700) == ["v1", "v2"]
