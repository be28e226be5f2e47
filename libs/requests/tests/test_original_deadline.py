"""What callers' deadlines tell of how long they have waited."""

import random

from trefoil_requests import original_deadline as originals


def test_a_caller_that_comes_back_has_waited() -> None:
    deadlines = originals.OriginalDeadlines()
    for _ in range(20):
        assert deadlines.waited_ms("r", 2000) == 0
    assert deadlines.waited_ms("r", 1600) == 400


def test_while_most_requests_are_returns_the_first_ones_still_show() -> None:
    """Each caller is refused twice; two thirds of the requests are returns."""
    deadlines = originals.OriginalDeadlines()
    rng = random.Random(1)
    for _ in range(60):
        left_ms = 2000
        for _ in range(3):
            waited_ms = deadlines.waited_ms("r", left_ms)
            left_ms -= rng.randrange(20, 600)
    assert deadlines.waited_ms("r", 2000) == 0
    assert deadlines.waited_ms("r", 1500) == 500
    assert waited_ms > 0


def test_a_few_patient_callers_do_not_make_the_others_late() -> None:
    deadlines = originals.OriginalDeadlines()
    for number in range(64):
        deadlines.waited_ms("r", 6000 if number % 20 == 0 else 2000)
    assert deadlines.waited_ms("r", 2000) == 0


def test_where_no_deadline_is_common_nothing_is_concluded() -> None:
    """Calls inherit what their parent has left; each has another deadline."""
    deadlines = originals.OriginalDeadlines()
    rng = random.Random(1)
    waited = [
        deadlines.waited_ms("r", rng.randrange(50, 2000)) for _ in range(64)
    ]
    assert set(waited) == {0}


def test_routes_that_are_gone_are_forgotten() -> None:
    deadlines = originals.OriginalDeadlines()
    deadlines.waited_ms("r", 2000)
    deadlines.waited_ms("s", 2000)
    deadlines.keep_only({"s"})
    assert set(deadlines.deadlines) == {"s"}
