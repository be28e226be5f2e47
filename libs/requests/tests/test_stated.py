"""Tests of what an entry proxy remembers of its targets' statements."""

from trefoil_requests import routing
from trefoil_requests import stated
from trefoil_wire import messages


def endpoint(started_ms: int | None = 1) -> routing.Endpoint:
    """Return a target that started at some time."""
    record = messages.TargetRecord(
        "t", "s", "v1", [], 4, started_ms=started_ms
    )
    return routing.Endpoint("h", "d", "h:1", record)


def answer(limit_per_s: float | None, *, ran: bool = True) -> messages.Answer:
    """Return an answer with the limit that the target's proxy knows."""
    return messages.Answer(1, 200, ran=ran, limit_per_s=limit_per_s)


def test_an_answer_without_a_limit_ends_the_one_before() -> None:
    statements = stated.Statements()
    statements.hear(endpoint(), answer(9.0))
    assert statements.limit_per_s(endpoint()) == 9.0
    statements.hear(endpoint(), answer(None))
    assert statements.limit_per_s(endpoint()) is None


def test_a_refusal_by_a_restarted_proxy_does_not_end_a_limit() -> None:
    """A proxy that restarted knows no limit, and refuses at first."""
    statements = stated.Statements()
    statements.hear(endpoint(), answer(9.0))
    statements.hear(endpoint(), answer(None, ran=False))
    assert statements.limit_per_s(endpoint()) == 9.0


def test_a_broken_answer_does_not_end_a_limit() -> None:
    statements = stated.Statements()
    statements.hear(endpoint(), answer(9.0))
    broken = answer(None)
    broken.unusable = True
    statements.hear(endpoint(), broken)
    assert statements.limit_per_s(endpoint()) == 9.0


def test_a_limit_does_not_hold_for_the_next_start_of_its_target() -> None:
    statements = stated.Statements()
    statements.hear(endpoint(started_ms=1), answer(9.0))
    assert statements.limit_per_s(endpoint(started_ms=2)) is None


def test_memory_is_bounded() -> None:
    statements = stated.Statements()
    for number in range(stated.MAX_TARGETS + 10):
        target = endpoint()
        target.host = f"h{number}"
        statements.hear(target, answer(1.0))
    assert len(statements.by_key) == stated.MAX_TARGETS


def test_a_departure_holds_until_the_next_start_of_its_target() -> None:
    """A restarted proxy announced its leaving target as ready again."""
    statements = stated.Statements()
    departure = answer(None)
    departure.leaving = True
    statements.hear(endpoint(), departure)
    statements.hear(endpoint(), answer(None))
    assert statements.staying([endpoint()]) == []
    restarted = endpoint(started_ms=2)
    assert statements.staying([restarted]) == [restarted]
