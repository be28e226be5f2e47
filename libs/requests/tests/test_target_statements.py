"""Tests of what the proxy of a target does with the target's statements."""

import random
import typing

from trefoil_requests import effects
from trefoil_requests import notices
from trefoil_requests import quarantine as quarantines
from trefoil_requests import target_side
from trefoil_wire import messages

TARGET = "t1"
SLOTS = 12
READY = messages.TargetState.READY


class Harness:
    """A core with one target that has many free slots."""

    def __init__(self) -> None:
        self.core = target_side.TargetSide(
            quarantines.Quarantine(), random.Random(1)
        )
        self.announce(0, started_ms=1)

    def announce(
        self, now_ms: int, started_ms: int | None, state: int = READY
    ) -> list[typing.Any]:
        """Let the target announce itself."""
        record = messages.TargetRecord(
            TARGET, "tables", "v1", [], SLOTS, state, started_ms=started_ms
        )
        return self.core.put_target(record, 8080, now_ms)

    def send(
        self,
        number: int,
        now_ms: int,
        *,
        limit_per_s: float | None = None,
        settled: bool = False,
    ) -> list[typing.Any]:
        """Pass a request to the core."""
        request = messages.Request(
            request_id=number,
            route="pay",
            method="POST",
            path="/pay",
            headers=b"",
            body=b"",
            deadline_ms=5000,
            target=TARGET,
            fingerprint=number,
            version="v1",
            settled=settled,
            limit_per_s=limit_per_s,
        )
        return self.core.on_request("peer", request, now_ms)

    def answer(
        self,
        number: int,
        now_ms: int,
        notice: notices.Notice,
        status: int = 200,
    ) -> list[typing.Any]:
        """Let the target answer a request."""
        answer = messages.Answer(number, status, headers=b"", ran=True)
        return self.core.on_target_answer(answer, now_ms, notice)


def dispatched(emitted: list[typing.Any]) -> list[int]:
    """Return the ids of requests that were sent to the target."""
    return [
        effect.request.request_id
        for effect in emitted
        if isinstance(effect, effects.Dispatch)
    ]


def replies(emitted: list[typing.Any]) -> list[messages.Answer]:
    """Return the answers to entry proxies."""
    return [e.answer for e in emitted if isinstance(e, effects.Reply)]


def test_a_restarted_proxy_keeps_a_limit_that_its_callers_know() -> None:
    """A restarted proxy filled all slots of a target with a limit."""
    harness = Harness()
    sent = []
    for number in range(1, 13):
        sent += dispatched(harness.send(number, number, limit_per_s=2.0))
    assert sent == []
    sent = dispatched(harness.send(20, 520, limit_per_s=2.0))
    assert sent == [20]


def test_a_stale_limit_of_a_caller_ends_with_the_first_answer() -> None:
    """An entry proxy names a limit that its target has ended since."""
    harness = Harness()
    harness.send(1, 0, limit_per_s=2.0)
    assert dispatched(harness.send(2, 600, limit_per_s=2.0)) == [2]
    (answer,) = replies(harness.answer(2, 700, notices.NONE))
    assert answer.limit_per_s is None
    for number in range(3, 10):
        sent = dispatched(harness.send(number, 701, limit_per_s=2.0))
        assert sent == [number]


def test_a_new_start_of_a_target_begins_without_its_limit() -> None:
    harness = Harness()
    harness.send(1, 0)
    harness.answer(1, 100, notices.Notice(0.5))
    assert dispatched(harness.send(2, 110)) == []
    harness.announce(200, started_ms=2)
    assert dispatched(harness.send(3, 210)) == [3]


def test_an_announcement_without_a_start_does_not_end_a_limit() -> None:
    """It was taken for the first one of another start of the target."""
    harness = Harness()
    harness.send(1, 0)
    harness.answer(1, 100, notices.Notice(0.5, leaving=True))
    harness.announce(150, started_ms=None)
    assert dispatched(harness.send(2, 160)) == []
    record = harness.core.advertised_record(TARGET, 160)
    assert (record.started_ms, record.limit_per_s) == (1, 0.5)
    assert record.state == messages.TargetState.DRAINING


def test_a_refusal_for_a_limit_tells_when_to_come_back() -> None:
    """Callers came back at once, to be refused again."""
    harness = Harness()
    harness.send(1, 0)
    harness.answer(1, 100, notices.Notice(0.1))
    (refused,) = replies(harness.send(2, 110, settled=True))
    assert not refused.ran
    assert refused.status == 503
    assert refused.reason == target_side.LIMITED
    assert 9900 <= refused.retry_after_ms <= 10_000


def test_other_hosts_see_the_limit_in_the_targets_record() -> None:
    harness = Harness()
    harness.send(1, 0)
    harness.answer(1, 100, notices.Notice(2.5))
    assert harness.core.has_figures_to_report()
    record = harness.core.advertised_record(TARGET, 110)
    assert record.limit_per_s == 2.5
    assert not harness.core.has_figures_to_report()


def test_another_target_at_the_address_does_not_set_a_limit() -> None:
    """An answer 421 comes from a target that is not the addressed one."""
    harness = Harness()
    harness.send(1, 0)
    harness.answer(1, 100, notices.Notice(0.5), status=421)
    assert dispatched(harness.send(2, 110)) == [2]


def test_requests_that_wait_for_a_target_that_leaves_are_refused() -> None:
    """A queued request was sent seconds after the target had said it left."""
    harness = Harness()
    for number in range(1, SLOTS + 2):
        harness.send(number, 0, settled=True)
    leaving = notices.Notice(leaving=True)
    emitted = harness.answer(1, 100, leaving)
    assert dispatched(emitted) == []
    not_run = [reply for reply in replies(emitted) if not reply.ran]
    assert [reply.request_id for reply in not_run] == [SLOTS + 1]
    assert not_run[0].leaving


def test_a_target_that_stated_its_departure_gets_no_more_requests() -> None:
    """Hosts that had not passed the departure on went on to send."""
    harness = Harness()
    harness.send(1, 0)
    harness.answer(1, 100, notices.Notice(leaving=True))
    (refused,) = replies(harness.send(2, 110))
    assert not refused.ran


def test_a_late_announcement_does_not_take_a_departure_back() -> None:
    harness = Harness()
    harness.send(1, 0)
    harness.answer(1, 100, notices.Notice(leaving=True))
    harness.announce(150, started_ms=1)
    assert dispatched(harness.send(2, 160)) == []
    record = harness.core.advertised_record(TARGET, 160)
    assert record.state == messages.TargetState.DRAINING
    harness.announce(300, started_ms=2)
    assert dispatched(harness.send(3, 310)) == [3]
