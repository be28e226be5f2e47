"""The core before the targets of one host."""

import random
import statistics
import typing

import pytest

from trefoil_requests import admission
from trefoil_requests import bodies
from trefoil_requests import effects
from trefoil_requests import quarantine as quarantines
from trefoil_requests import target_side
from trefoil_requests import warmup as warmups
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


LIMIT = warmups.Limit(per_s=10.0, burst=7.0, lasts_ms=3000)


def cold_side(left_ms: int = 3000, slots: int = 100) -> Side:
    """Return a core whose target is cold and has slots to spare."""
    side = Side()
    side.core.limit_cold({"tables": LIMIT})
    side.core.put_target(target_record(slots=slots), PORT, 0, left_ms)
    return side


def test_a_cold_target_gets_no_more_than_it_bears() -> None:
    """With free slots it got 18 requests in a second, crashed, came back.

    Two hundred callers want it in its first two seconds.
    """
    side = cold_side()
    begun_ms = []
    for now_ms in range(0, 2000, 10):
        found = side.take(now_ms + 1, now_ms) + side.core.tick(now_ms)
        begun_ms += [now_ms] * len(dispatched(found))
    assert all(
        sum(since_ms <= at_ms < since_ms + 1000 for at_ms in begun_ms) <= 17
        for since_ms in begun_ms
    )
    assert len(begun_ms) >= 19


def test_a_warm_target_gets_what_it_has_slots_for() -> None:
    side = cold_side(left_ms=0)
    assert len(sum([dispatched(side.take(n)) for n in range(1, 50)], [])) == 49


def test_a_cold_target_is_told_to_all_with_its_rate() -> None:
    """Sent there as to a warm one, calls were refused one after the other."""
    side = cold_side()
    told = side.core.told(TARGET, 0)
    assert told.state == messages.TargetState.COLD
    assert told.cold_per_s == LIMIT.per_s
    assert not side.core.has_turned(1000)
    assert side.core.has_turned(4000)
    assert side.core.told(TARGET, 4000).state == messages.TargetState.READY


def test_a_domain_that_is_taken_back_is_cold_until_it_tells() -> None:
    """Its targets turned cold shortly before, and no renewal said so yet."""
    side = cold_side(left_ms=0)
    side.core.evacuate(True, 0)
    found = side.core.evacuate(False, 10)
    assert found == [effects.CheckWarmup(TARGET, PORT, "tables")]
    assert dispatched(side.take(1, 20)) == []
    side.core.on_warmup(TARGET, 0, 30)
    assert dispatched(side.core.tick(50)) == [1]


def test_an_old_word_that_it_is_warm_does_not_count() -> None:
    """The renewal was sent before the target turned cold."""
    side = cold_side(left_ms=0)
    side.core.evacuate(True, 0)
    side.core.evacuate(False, 10)
    side.core.put_target(target_record(slots=100), PORT, 20, 0)
    assert dispatched(side.take(1, 30)) == []
    side.core.put_target(target_record(slots=100), PORT, 40, 2500)
    assert side.core.told(TARGET, 2000).state == messages.TargetState.COLD


def test_without_an_answer_a_target_is_cold_for_as_long_as_it_can_be() -> None:
    side = cold_side(left_ms=0)
    side.core.evacuate(True, 0)
    side.core.evacuate(False, 0)
    assert side.core.told(TARGET, 3000).state == messages.TargetState.COLD
    assert side.core.told(TARGET, 3100).state == messages.TargetState.READY


def test_a_body_on_its_way_holds_no_slot() -> None:
    """A target stood idle while its slots were kept for bodies."""
    side = Side()
    side.take(1, body_bytes=BODY_BYTES)
    assert dispatched(side.take(2)) == [2]


def test_an_upload_that_may_go_elsewhere_waits_for_no_busy_link() -> None:
    """Uploads queued at one link and came late, while others were free."""
    side = Side()
    side.core.put_target(target_record(slots=20), PORT, 0)
    side.take(1, body_bytes=BODY_BYTES)
    movable = side.take(2, body_bytes=BODY_BYTES, settled=False)
    assert not_run(movable) == [2]
    assert not_run(side.take(3, body_bytes=BODY_BYTES)) == []


def test_an_upload_that_may_go_elsewhere_waits_for_no_slot() -> None:
    """Uploads queued at full targets while others had free slots."""
    side = Side()
    side.take(1)
    movable = side.take(2, body_bytes=BODY_BYTES, settled=False)
    assert not_run(movable) == [2]
    assert not_run(side.take(3, body_bytes=BODY_BYTES)) == []


def test_an_upload_may_run_at_once_where_it_is_likely_in_time() -> None:
    """No target was sure enough, and uploads went from one to the next."""
    side = Side()
    slots = side.core.targets[TARGET].slots
    slots.routes["pay"] = admission.Usual(mean_ms=100.0, deviation_ms=100.0)
    movable = side.take(1, body_bytes=BODY_BYTES, settled=False, aim_ms=200)
    assert not_run(movable) == []


LINK_BYTES_A_MS = 687.5
STEP_MS = 20
LONG_MS = 3000


class Uploads:
    """Uploads to a target of twenty slots, over a link of 5.5 Mbit/s.

    Args:
        each_ms: How often one comes.
    """

    def __init__(self, each_ms: int) -> None:
        self.each_ms = each_ms
        self.side = Side()
        self.side.core.put_target(target_record(slots=20), PORT, 0)
        self.side.core.arrivals.bytes_a_ms = LINK_BYTES_A_MS
        self.asked: list[messages.BodyPull] = []
        self.credit = 0.0
        self.came_ms: dict[int, int] = {}
        self.told_ms: dict[int, int] = {}
        self.took_ms: dict[int, int] = {}

    @property
    def refused(self) -> set[int]:
        """Return those that were told to be not run."""
        return set(self.told_ms)

    def play(self, lasts_ms: int, then_ms: int = 0) -> typing.Self:
        """Let uploads come for a while, and time pass after it."""
        for now_ms in range(0, lasts_ms + then_ms, STEP_MS):
            if now_ms < lasts_ms and now_ms % self.each_ms == 0:
                number = len(self.came_ms) + 1
                self.came_ms[number] = now_ms
                self.note(self.upload(number, now_ms), now_ms)
            self.credit += STEP_MS * LINK_BYTES_A_MS
            self.carry(now_ms)
            self.note(self.side.core.tick(now_ms), now_ms)
        return self

    def upload(self, number: int, now_ms: int) -> list[typing.Any]:
        """Hand one in."""
        return self.side.take(
            number,
            now_ms,
            body_bytes=BODY_BYTES,
            aim_ms=800,
            deadline_ms=3000,
        )

    def carry(self, now_ms: int) -> None:
        """Bring as much of the bodies as the link carries."""
        while self.asked and self.credit >= self.asked[0].length:
            pull = self.asked.pop(0)
            self.credit -= pull.length
            piece = messages.BodyPiece(
                pull.request_id, pull.offset, bytes(pull.length)
            )
            self.note(self.side.core.on_body_piece(piece, now_ms), now_ms)
        if not self.asked:
            self.credit = 0.0

    def note(self, found: list[typing.Any], now_ms: int) -> None:
        """Take what became of them."""
        self.asked += [e.pull for e in found if isinstance(e, bodies.Ask)]
        for number in not_run(found):
            self.told_ms[number] = now_ms
        for number in dispatched(found):
            self.took_ms[number] = now_ms - self.came_ms[number]
            done = messages.Answer(request_id=number, status=200, ran=True)
            self.side.core.on_target_answer(done, now_ms)


def test_bodies_are_let_in_that_can_be_in_time() -> None:
    """In a long overload all that may wait was queued, and all was late."""
    uploads = Uploads(each_ms=40).play(12_000)
    after = [n for n, at_ms in uploads.came_ms.items() if at_ms >= LONG_MS]
    served = [uploads.took_ms[n] for n in after if n in uploads.took_ms]
    assert max(served) <= 800
    # The link carries one each 87 ms.
    assert len(served) >= 0.9 * (12_000 - LONG_MS) / 87
    assert len(served) + len(uploads.refused) >= 0.9 * len(after)


def test_bodies_that_cannot_come_are_refused_at_once() -> None:
    """Their callers waited for a second to hear that they can't be served."""
    uploads = Uploads(each_ms=40).play(12_000)
    waits_ms = [
        uploads.told_ms[number] - uploads.came_ms[number]
        for number in uploads.refused
        if uploads.came_ms[number] >= LONG_MS
    ]
    assert statistics.median(waits_ms) == 0


def test_late_bodies_of_a_short_burst_come_after_all() -> None:
    """Twenty at once; their callers wait for longer than that takes."""
    uploads = Uploads(each_ms=20).play(400, then_ms=2500)
    assert len(uploads.took_ms) == 20
    assert not uploads.refused


def test_late_bodies_are_given_up_while_their_callers_can_come_back() -> None:
    """Bodies that all others went before were kept until their deadline."""
    uploads = Uploads(each_ms=40).play(6000)
    waits_ms = [
        uploads.told_ms[number] - uploads.came_ms[number]
        for number in uploads.refused
    ]
    assert max(waits_ms) <= 1600
