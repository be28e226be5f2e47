"""Tests of the log lines on the load of a target."""

from trefoil_requests import occupancy as occupancies


def moment(**fields: int) -> occupancies.Moment:
    """Return a load sample of a target with five slots."""
    given = {
        "slots": 5,
        "running": 0,
        "queued": 0,
        "bodies": 0,
        "body_wait_ms": 0,
    }
    return occupancies.Moment(**given | fields)


def test_a_busy_target_differs_from_one_that_waits_for_bodies() -> None:
    """Both refuse requests; one is full, the other waits for its link."""
    occupancy = occupancies.Occupancy("t1")
    occupancy.tell(moment(), 0)
    for _ in range(9):
        occupancy.tell(moment(running=1, bodies=4, body_wait_ms=350), 500)
    occupancy.refuse("no slot in time")
    occupancy.body_came(420)
    (line,) = occupancy.tell(moment(running=1, bodies=4), 1000)
    assert line.event == "target.load"
    fields = line.fields
    assert (fields["slots"], fields["running"], fields["bodies"]) == (
        5,
        0.9,
        3.6,
    )
    assert (fields["bodies_came"], fields["body_took_ms"]) == (1, 420)
    assert (fields["refused"], fields["why"]) == (1, "no slot in time: 1")
    assert fields["body_wait_ms"] == 350


def test_a_target_without_refusals_or_bodies_is_not_logged() -> None:
    """Lines of targets without load problems would hide the others."""
    occupancy = occupancies.Occupancy("t1")
    assert occupancy.tell(moment(running=2), 0) == []
    assert occupancy.tell(moment(running=2), 1000) == []


def test_a_refusal_is_logged_only_once() -> None:
    """Each line covers only the time since the line before."""
    occupancy = occupancies.Occupancy("t1")
    occupancy.refuse("no slot in time")
    assert occupancy.tell(moment(), 0)
    assert occupancy.tell(moment(), 1000) == []
