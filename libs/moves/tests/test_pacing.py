"""When steps with bounded exposure are due and a version is accepted."""

import dataclasses

import pytest

from trefoil_moves import exposure as exposures
from trefoil_moves import knobs as move_parameters
from trefoil_moves import pacing
from trefoil_moves import phases
from trefoil_wire import messages

SPAN_MS = 15_000
WATCH_MS = 500
PARAMETERS = move_parameters.MoveParameters().for_span(SPAN_MS)
RISK_PERMILLE = 80


def make_move(permille: int, phase: str = phases.RAMP) -> messages.MoveRecord:
    return messages.MoveRecord(
        "m",
        "s",
        "v1",
        "v2",
        SPAN_MS,
        RISK_PERMILLE,
        WATCH_MS,
        0,
        permille,
        phase,
        0,
        "",
        0,
        [],
    )


def make_pacing(
    new_requests: float = 0.0, all_requests: float = 0.0
) -> pacing.BoundedPacing:
    """Return a pacing with a budget of 10% of the requests and 50 more."""
    exposure = exposures.Exposure(
        "v2", max_share=0.1, extra_requests=50, span_ms=SPAN_MS
    )
    exposure.new_requests = new_requests
    exposure.all_requests = all_requests
    return pacing.BoundedPacing(PARAMETERS, exposure)


STATUS = pacing.MoveStatus(
    at_step_ms=5000,
    left_ms=10_000,
    counted_ms=5000,
    detection_delay_ms=400,
    has_evidence=True,
    has_early_warning=False,
    is_clear=False,
    is_unfavourable=False,
)


def make_status(**changes: float | bool) -> pacing.MoveStatus:
    """Return the default status with some fields changed."""
    return dataclasses.replace(STATUS, **changes)


@pytest.mark.parametrize(
    ("left_ms", "share"),
    [(10_000, RISK_PERMILLE), (3101, RISK_PERMILLE), (3000, 320)],
)
def test_a_step_beyond_the_share_at_risk_waits_until_it_is_due(
    left_ms: int, share: int
) -> None:
    """Five seconds without a fault do not rule out one in the sixth second.

    So larger shares follow only as late as the deadline allows.
    """
    move = make_move(RISK_PERMILLE)
    assert (
        make_pacing().next_share(move, make_status(left_ms=left_ms)) == share
    )


def test_the_steps_to_full_traffic_leave_time_for_a_new_leader() -> None:
    move = make_move(320)
    left_ms = pacing.LEADER_CHANGE_MS + WATCH_MS
    assert make_pacing().next_share(move, make_status(left_ms=left_ms)) == 1000


@pytest.mark.parametrize("left_ms", [3000, 1500])
def test_the_share_does_not_grow_after_an_early_warning(
    left_ms: int,
) -> None:
    """A fault that is half proved must not get more traffic.

    Otherwise the version gets all the traffic before the verdict.
    """
    early_warning = make_status(left_ms=left_ms, has_early_warning=True)
    move = make_move(RISK_PERMILLE)
    assert make_pacing().next_share(move, early_warning) == RISK_PERMILLE
    assert bool(make_pacing().rollback_reason(move, early_warning)) is (
        left_ms == 1500
    )


@pytest.mark.parametrize(
    ("new_requests", "all_requests", "share"),
    [(0, 0, 30), (0, 100, RISK_PERMILLE), (100, 4500, 30)],
)
def test_a_move_waits_at_a_share_within_its_budget(
    new_requests: int, all_requests: int, share: int
) -> None:
    """Exposure that is spent at small shares is missing at full traffic.

    If a fault occurs only then, the version exceeds its budget.
    """
    move = make_move(30, phases.TRIAL)
    share_due = make_pacing(new_requests, all_requests).next_share(
        move, make_status()
    )
    assert share_due == share


@pytest.mark.parametrize(
    ("left_ms", "is_clear", "is_accepted"),
    [
        (1500, True, False),
        (1100, True, True),
        (1100, False, False),
        (500, False, True),
    ],
)
def test_a_watch_without_clearance_continues(
    left_ms: int, is_clear: bool, is_accepted: bool
) -> None:
    """A watch that ends by time alone would accept a bad version."""
    move = make_move(1000, phases.WATCH)
    watch_status = make_status(
        at_step_ms=2000, left_ms=left_ms, is_clear=is_clear
    )
    assert (
        make_pacing(500, 1500).is_accepted(move, watch_status) is is_accepted
    )


@pytest.mark.parametrize(
    ("new_requests", "left_ms", "at_step_ms", "is_taken_back"),
    [
        (500, 1500, 2000, True),
        (500, 1500, 400, False),
        (50, 1500, 2000, False),
        (50, 400, 2000, True),
    ],
)
def test_an_unfavourable_version_without_budget_is_taken_back(
    new_requests: int, left_ms: int, at_step_ms: int, is_taken_back: bool
) -> None:
    """Too few requests fail for a verdict, but the budget is spent.

    Without this rule the version would keep its traffic.
    """
    move = make_move(1000, phases.WATCH)
    watch_status = make_status(
        at_step_ms=at_step_ms, left_ms=left_ms, is_unfavourable=True
    )
    assert (
        bool(
            make_pacing(new_requests, 1500).rollback_reason(move, watch_status)
        )
        is is_taken_back
    )
    assert not make_pacing(new_requests, 1500).is_accepted(move, watch_status)
    favourable = dataclasses.replace(watch_status, is_unfavourable=False)
    assert not make_pacing(new_requests, 1500).rollback_reason(
        move, favourable
    )
