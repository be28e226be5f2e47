"""When steps with a bounded cost are due, and when a version is good."""

import dataclasses

import pytest

from trefoil_moves import exposure as exposures
from trefoil_moves import knobs as knob_store
from trefoil_moves import pacing
from trefoil_moves import phases
from trefoil_wire import messages

SPAN_MS = 15_000
WATCH_MS = 500
KNOBS = knob_store.Knobs().paced_for(SPAN_MS)
RISK = 80


def a_move(permille: int, phase: str = phases.RAMP) -> messages.MoveRecord:
    return messages.MoveRecord(
        "m",
        "s",
        "v1",
        "v2",
        SPAN_MS,
        RISK,
        WATCH_MS,
        0,
        permille,
        phase,
        0,
        "",
        0,
        [],
    )


def bounded(given: float = 0.0, total: float = 0.0) -> pacing.BoundedPacing:
    exposure = exposures.Exposure("v2", part=0.1, requests=50, span_ms=SPAN_MS)
    exposure.given = given
    exposure.total = total
    return pacing.BoundedPacing(KNOBS, exposure)


STANDING = pacing.Standing(
    at_step_ms=5000,
    left_ms=10_000,
    counted_ms=5000,
    seen_late_ms=400,
    has_shown=True,
    leans_against=False,
    is_clear=False,
    is_doubtful=False,
)


def standing(**changes: float | bool) -> pacing.Standing:
    return dataclasses.replace(STANDING, **changes)


@pytest.mark.parametrize(
    ("left_ms", "share"), [(10_000, RISK), (3101, RISK), (3000, 320)]
)
def test_a_step_beyond_the_share_at_risk_waits_until_it_is_due(
    left_ms: int, share: int
) -> None:
    """Evidence of five seconds says nothing of a fault in the sixth."""
    move = a_move(RISK)
    assert bounded().next_share(move, standing(left_ms=left_ms)) == share


def test_the_steps_to_the_whole_leave_time_for_a_new_leader() -> None:
    move = a_move(320)
    left_ms = pacing.LEADER_CHANGE_MS + WATCH_MS
    assert bounded().next_share(move, standing(left_ms=left_ms)) == 1000


@pytest.mark.parametrize("left_ms", [3000, 1500])
def test_nothing_is_added_while_much_speaks_against_a_version(
    left_ms: int,
) -> None:
    """It got all the traffic when half of what condemns it was known."""
    leaning = standing(left_ms=left_ms, leans_against=True)
    move = a_move(RISK)
    assert bounded().next_share(move, leaning) == RISK
    assert bool(bounded().doubt(move, leaning)) is (left_ms == 1500)


@pytest.mark.parametrize(
    ("given", "total", "share"),
    [(0, 0, 30), (0, 100, RISK), (100, 4500, 30)],
)
def test_a_move_waits_at_a_share_that_it_can_pay_for(
    given: int, total: int, share: int
) -> None:
    """What waiting costs is missing when all the traffic shows a fault."""
    move = a_move(30, phases.TRIAL)
    found = bounded(given, total).next_share(move, standing())
    assert found == share


@pytest.mark.parametrize(
    ("left_ms", "is_clear", "is_good"),
    [
        (1500, True, False),
        (1100, True, True),
        (1100, False, False),
        (500, False, True),
    ],
)
def test_a_watch_that_saw_nothing_goes_on(
    left_ms: int, is_clear: bool, is_good: bool
) -> None:
    """A bad version was good once its watch had lasted a second."""
    move = a_move(1000, phases.WATCH)
    seen = standing(at_step_ms=2000, left_ms=left_ms, is_clear=is_clear)
    assert bounded(500, 1500).is_good(move, seen) is is_good


@pytest.mark.parametrize(
    ("given", "left_ms", "at_step_ms", "is_taken_back"),
    [
        (500, 1500, 2000, True),
        (500, 1500, 400, False),
        (50, 1500, 2000, False),
        (50, 400, 2000, True),
    ],
)
def test_a_version_that_got_its_part_and_is_doubtful_is_taken_back(
    given: int, left_ms: int, at_step_ms: int, is_taken_back: bool
) -> None:
    """Some of its requests failed, too few to condemn it, and it went on."""
    move = a_move(1000, phases.WATCH)
    seen = standing(at_step_ms=at_step_ms, left_ms=left_ms, is_doubtful=True)
    assert bool(bounded(given, 1500).doubt(move, seen)) is is_taken_back
    assert not bounded(given, 1500).is_good(move, seen)
    fine = dataclasses.replace(seen, is_doubtful=False)
    assert not bounded(given, 1500).doubt(move, fine)
