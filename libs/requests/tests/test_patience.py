"""What callers' deadlines tell of how long they have waited."""

import random

from trefoil_requests import patience as patiences


def test_a_caller_that_comes_back_has_waited() -> None:
    found = patiences.Patience()
    for _ in range(20):
        assert found.waited_ms("r", 2000) == 0
    assert found.waited_ms("r", 1600) == 400


def test_while_most_requests_are_returns_the_first_ones_still_show() -> None:
    """Each caller is refused twice; two thirds of the requests are returns."""
    found = patiences.Patience()
    rng = random.Random(1)
    for _ in range(60):
        left_ms = 2000
        for _ in range(3):
            waited_ms = found.waited_ms("r", left_ms)
            left_ms -= rng.randrange(20, 600)
    assert found.waited_ms("r", 2000) == 0
    assert found.waited_ms("r", 1500) == 500
    assert waited_ms > 0


def test_a_few_patient_callers_do_not_make_the_others_late() -> None:
    found = patiences.Patience()
    for number in range(64):
        found.waited_ms("r", 6000 if number % 20 == 0 else 2000)
    assert found.waited_ms("r", 2000) == 0


def test_where_no_deadline_is_common_nothing_is_concluded() -> None:
    """Calls inherit what their parent has left; each has another deadline."""
    found = patiences.Patience()
    rng = random.Random(1)
    waited = [found.waited_ms("r", rng.randrange(50, 2000)) for _ in range(64)]
    assert set(waited) == {0}


def test_routes_that_are_gone_are_forgotten() -> None:
    found = patiences.Patience()
    found.waited_ms("r", 2000)
    found.waited_ms("s", 2000)
    found.keep_only({"s"})
    assert set(found.deadlines) == {"s"}
