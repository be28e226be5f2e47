"""The core before the targets of one host."""

import random
import typing

import pytest

from trefoil_requests import effects
from trefoil_requests import quarantine as quarantines
from trefoil_requests import target_side
from trefoil_wire import messages

TARGET = "t1"
PORT = 8080
FAR_MS = 10_000
BODY_BYTES = 60_000


def target_record(
    state: int = messages.TargetState.READY, slots: int = 1
) -> messages.TargetRecord:
    """Return what a target says of itself."""
    return messages.TargetRecord(TARGET, "tables", "v1", [], slots, state)


def asked(number: int, **fields: typing.Any) -> messages.Request:
    """Return a request that may wait in the queue."""
    given: dict[str, typing.Any] = {
        "request_id": number,
        "route": "pay",
        "method": "POST",
        "path": "/pay",
        "headers": b"",
        "body": b"",
        "deadline_ms": FAR_MS,
        "target": TARGET,
        "fingerprint": number,
        "version": "v1",
        "settled": True,
    }
    return messages.Request(**given | fields)


class Side:
    """A core with one target of one slot, and what it asked for."""

    def __init__(self) -> None:
        self.core = target_side.TargetSide(
            quarantines.Quarantine(), random.Random(1)
        )
        self.core.put_target(target_record(), PORT, 0)

    def take(
        self, number: int, now_ms: int = 0, **fields: typing.Any
    ) -> list[typing.Any]:
        """Hand in a request."""
        return self.core.on_request("peer", asked(number, **fields), now_ms)

    def drain(self, now_ms: int) -> list[typing.Any]:
        """Let the target say that it leaves."""
        draining = target_record(messages.TargetState.DRAINING)
        return self.core.put_target(draining, PORT, now_ms)


def not_run(found: list[typing.Any]) -> list[int]:
    """Return the requests that were answered as not run."""
    return [
        effect.answer.request_id
        for effect in found
        if isinstance(effect, effects.Reply) and not effect.answer.ran
    ]


def dispatched(found: list[typing.Any]) -> list[int]:
    """Return the requests that went to the target."""
    return [
        effect.request.request_id
        for effect in found
        if isinstance(effect, effects.Dispatch)
    ]


def leave_by_word(side: Side) -> list[typing.Any]:
    """Let the target say that it drains."""
    return side.drain(10)


def leave_at_once(side: Side) -> list[typing.Any]:
    """Let the target say farewell without a drain."""
    return side.core.drop_target(TARGET, 10)


LEAVING = [leave_by_word, leave_at_once]


@pytest.mark.parametrize("leave", LEAVING)
def test_a_leaving_target_gives_its_queue_back(
    leave: typing.Callable[[Side], list[typing.Any]],
) -> None:
    """A queued request reached a target seconds after it had left."""
    side = Side()
    assert dispatched(side.take(1)) == [1]
    side.take(2)
    assert not_run(leave(side)) == [2]
    done = messages.Answer(request_id=1, status=200, ran=True)
    assert dispatched(side.core.on_target_answer(done, 100)) == []


@pytest.mark.parametrize("leave", LEAVING)
def test_a_leaving_target_gives_back_what_waits_for_its_body(
    leave: typing.Callable[[Side], list[typing.Any]],
) -> None:
    """An upload over a slow link ran 2.2 s after its target had left."""
    side = Side()
    side.take(1, body_bytes=BODY_BYTES)
    assert not_run(leave(side)) == [1]
    pieces = [
        messages.BodyPiece(1, offset, bytes(8192))
        for offset in range(0, BODY_BYTES, 8192)
    ]
    late = [side.core.on_body_piece(piece, 2000) for piece in pieces]
    assert dispatched(sum(late, [])) == []


def test_the_targets_of_an_evacuated_domain_get_nothing_more() -> None:
    """Their own proxy sent on what had queued before the evacuation."""
    side = Side()
    side.take(1)
    side.take(2)
    assert not_run(side.core.evacuate(True, 10)) == [2]
    assert not_run(side.take(3, 20)) == [3]
    done = messages.Answer(request_id=1, status=200, ran=True)
    assert dispatched(side.core.on_target_answer(done, 100)) == []


def test_a_domain_that_is_taken_back_gets_requests_again() -> None:
    side = Side()
    side.core.evacuate(True, 0)
    side.core.evacuate(False, 10)
    assert dispatched(side.take(1, 20)) == [1]


def test_what_runs_at_a_leaving_target_goes_on() -> None:
    """A drain must not cut what is in flight."""
    side = Side()
    side.take(1)
    assert side.drain(10) == []
    done = messages.Answer(request_id=1, status=200, ran=True)
    found = side.core.on_target_answer(done, 100)
    assert [type(effect) for effect in found] == [effects.Reply]


def test_a_renewed_draining_word_gives_nothing_back_twice() -> None:
    """Each renewal of a draining target told its callers once more."""
    side = Side()
    side.take(1)
    side.take(2)
    assert not_run(side.drain(10)) == [2]
    assert not_run(side.drain(1000)) == []
