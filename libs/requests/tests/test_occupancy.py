"""What logs tell of the slots of a target."""

from trefoil_requests import occupancy as occupancies


def moment(**fields: int) -> occupancies.Moment:
    """Return a moment of a target of five slots."""
    given = {
        "slots": 5,
        "running": 0,
        "queued": 0,
        "bodies": 0,
        "body_wait_ms": 0,
    }
    return occupancies.Moment(**given | fields)


def test_a_target_that_works_is_told_from_one_that_waits() -> None:
    """Both refuse; one is full, the other waits for its link."""
    made = occupancies.Occupancy("t1")
    made.tell(moment(), 0)
    for _ in range(9):
        made.tell(moment(running=1, bodies=4, body_wait_ms=350), 500)
    made.refuse("no slot in time")
    made.body_came(420)
    (line,) = made.tell(moment(running=1, bodies=4), 1000)
    assert line.event == "target.load"
    told = line.fields
    assert (told["slots"], told["running"], told["bodies"]) == (5, 0.9, 3.6)
    assert (told["bodies_came"], told["body_took_ms"]) == (1, 420)
    assert (told["refused"], told["why"]) == (1, "no slot in time: 1")
    assert told["body_wait_ms"] == 350


def test_a_target_without_refusals_or_bodies_is_left_out() -> None:
    made = occupancies.Occupancy("t1")
    assert made.tell(moment(running=2), 0) == []
    assert made.tell(moment(running=2), 1000) == []


def test_what_was_told_is_not_told_again() -> None:
    made = occupancies.Occupancy("t1")
    made.refuse("no slot in time")
    assert made.tell(moment(), 0)
    assert made.tell(moment(), 1000) == []
