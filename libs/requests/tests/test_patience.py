"""Tests of the waits that are inferred from callers' deadlines."""

import random

from trefoil_requests import patience as original_deadlines


def test_the_wait_of_a_retry_is_inferred() -> None:
    """A retry sends the rest of the first deadline as its own."""
    deadlines = original_deadlines.OriginalDeadlines()
    for _ in range(20):
        assert deadlines.waited_ms("r", 2000) == 0
    assert deadlines.waited_ms("r", 1600) == 400


def test_first_attempts_are_found_when_most_requests_are_retries() -> None:
    """Each caller is refused twice; two thirds of the requests are retries."""
    deadlines = original_deadlines.OriginalDeadlines()
    rng = random.Random(1)
    for _ in range(60):
        left_ms = 2000
        for _ in range(3):
            waited_ms = deadlines.waited_ms("r", left_ms)
            left_ms -= rng.randrange(20, 600)
    assert deadlines.waited_ms("r", 2000) == 0
    assert deadlines.waited_ms("r", 1500) == 500
    assert waited_ms > 0


def test_a_few_longer_deadlines_do_not_count() -> None:
    """Otherwise the other callers would be taken for late retries."""
    deadlines = original_deadlines.OriginalDeadlines()
    for number in range(64):
        deadlines.waited_ms("r", 6000 if number % 20 == 0 else 2000)
    assert deadlines.waited_ms("r", 2000) == 0


def test_without_a_common_deadline_no_wait_is_inferred() -> None:
    """Calls inherit the remaining time of their parent; deadlines differ."""
    deadlines = original_deadlines.OriginalDeadlines()
    rng = random.Random(1)
    waited = [
        deadlines.waited_ms("r", rng.randrange(50, 2000)) for _ in range(64)
    ]
    assert set(waited) == {0}


def test_removed_routes_are_dropped() -> None:
    """Deadlines of removed routes would use memory without bound."""
    deadlines = original_deadlines.OriginalDeadlines()
    deadlines.waited_ms("r", 2000)
    deadlines.waited_ms("s", 2000)
    deadlines.keep_only({"s"})
    assert set(deadlines.deadlines) == {"s"}
