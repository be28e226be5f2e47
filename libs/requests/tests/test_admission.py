"""Tests of admission control: slots, queue, refusals and evictions."""

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from trefoil_requests import admission

DISTANT_MS = 10_000


def test_free_slots_admit() -> None:
    """A request is queued only while no slot is free."""
    controller = admission.AdmissionController(2)
    assert (
        controller.offer(admission.QueuedRequest(1, DISTANT_MS), 0)
        == admission.Admitted()
    )
    assert (
        controller.offer(admission.QueuedRequest(2, DISTANT_MS), 0)
        == admission.Admitted()
    )
    assert (
        controller.offer(admission.QueuedRequest(3, DISTANT_MS), 0)
        == admission.Queued()
    )
    controller.finished(10)
    assert controller.next_admitted() == 3


def test_a_request_that_would_miss_its_deadline_is_refused() -> None:
    """The expected wait in the queue exceeds the request's deadline."""
    controller = admission.AdmissionController(1)
    controller.service_ms = 100
    controller.offer(admission.QueuedRequest(1, DISTANT_MS), 0)
    controller.offer(admission.QueuedRequest(2, DISTANT_MS), 0)
    decision = controller.offer(admission.QueuedRequest(3, 150), 0)
    assert isinstance(decision, admission.Refused)
    assert decision.retry_after_ms >= 100


def test_the_queue_is_bounded() -> None:
    """An unbounded queue would only hold requests that end late."""
    controller = admission.AdmissionController(2)
    decisions = [
        controller.offer(admission.QueuedRequest(n, DISTANT_MS), 0)
        for n in range(20)
    ]
    refused = [d for d in decisions if isinstance(d, admission.Refused)]
    assert len(refused) == 20 - 2 - 2 * admission.QUEUE_PER_SLOT


@pytest.mark.parametrize(
    ("usual_ms", "kept_ms", "given_up_ms"), [(20, 125, 126), (90, 110, 111)]
)
def test_a_queued_request_is_refused_before_its_deadline(
    usual_ms: int, kept_ms: int, given_up_ms: int
) -> None:
    """A refusal reaches the entry proxy before the caller's deadline, 200 ms.

    The request is refused when its run no longer fits. If the refusal came
    after the entry proxy's own time-out, a request that must not be repeated
    ended with an unknown result.
    """
    controller = admission.AdmissionController(1)
    controller.service_ms = usual_ms
    controller.offer(admission.QueuedRequest(1, DISTANT_MS), 0)
    controller.offer(admission.QueuedRequest(2, 200), 0)
    assert controller.expired(kept_ms) == []
    assert controller.expired(given_up_ms) == [2]
    controller.finished()
    assert controller.next_admitted() is None


class AdmissionMachine(stateful.RuleBasedStateMachine):
    """Random operations: slots and queue stay bounded, no request is lost."""

    def __init__(self) -> None:
        super().__init__()
        self.controller = admission.AdmissionController(3)
        self.now_ms = 0
        self.number = 0
        self.running: set[int] = set()
        self.queued: set[int] = set()

    @stateful.rule(within_ms=st.integers(1, 200))
    def offer(self, within_ms: int) -> None:
        self.number += 1
        waiting = admission.QueuedRequest(self.number, self.now_ms + within_ms)
        decision = self.controller.offer(waiting, self.now_ms)
        if isinstance(decision, admission.Admitted):
            self.running.add(self.number)
        elif isinstance(decision, admission.Queued):
            self.queued.add(self.number)
            if decision.evicted:
                self.queued.remove(decision.evicted)

    @stateful.rule(took_ms=st.integers(1, 100))
    def finish(self, took_ms: int) -> None:
        if self.running:
            self.running.pop()
            self.controller.finished(took_ms)
            following = self.controller.next_admitted()
            if following is not None:
                self.queued.remove(following)
                self.running.add(following)

    @stateful.rule()
    def withdraw(self) -> None:
        if self.queued:
            assert self.controller.withdraw(self.queued.pop())

    @stateful.rule(by_ms=st.integers(1, 100))
    def time_passes(self, by_ms: int) -> None:
        self.now_ms += by_ms
        for number in self.controller.expired(self.now_ms):
            self.queued.remove(number)

    @stateful.invariant()
    def bounded(self) -> None:
        assert self.controller.running == len(self.running) <= 3
        assert len(self.controller.queue) == len(self.queued)
        assert len(self.queued) <= 3 * admission.QUEUE_PER_SLOT


TestAdmissionController = AdmissionMachine.TestCase
TestAdmissionController.settings = settings(
    max_examples=60, stateful_step_count=40
)


def test_in_a_burst_requests_that_can_be_in_time_go_first() -> None:
    """Requests arrive for two seconds at twice the rate of one slot.

    In order of arrival each waits for the whole queue: of 24 answers 5 are in
    time, one of them on the urgent route. If those that can be in time go
    first, it is 22 of 23, with all ten of the urgent route.
    """
    controller = admission.AdmissionController(1)
    controller.service_ms = 100
    finished: dict[int, int] = {}
    running = 0
    ends_ms = 0
    for now_ms in range(0, 4000, 10):
        if running and now_ms >= ends_ms:
            finished[running] = now_ms
            running = 0
            controller.finished(100)
            following = controller.next_admitted(now_ms)
            if following is not None:
                running, ends_ms = following, now_ms + 100
        for _ in controller.expired(now_ms):
            pass
        if now_ms < 2000 and now_ms % 50 == 0:
            number = now_ms // 50 + 1
            waiting = admission.QueuedRequest(
                number,
                now_ms + 2000,
                due_at_ms=now_ms + 300,
                priority=number % 4 != 0,
            )
            decision = controller.offer(waiting, now_ms)
            if isinstance(decision, admission.Admitted):
                running, ends_ms = number, now_ms + 100
    in_time = [n for n, at in finished.items() if at - (n - 1) * 50 <= 300]
    urgent = [n for n in range(4, 41, 4)]
    assert len(in_time) == 22
    assert set(urgent) <= set(in_time)


def test_an_urgent_request_evicts_a_less_urgent_one() -> None:
    """A full queue must not shut out requests of a higher priority."""
    controller = admission.AdmissionController(1)
    controller.offer(admission.QueuedRequest(1, DISTANT_MS), 0)
    for number in range(2, 2 + admission.QUEUE_PER_SLOT):
        controller.offer(
            admission.QueuedRequest(number, DISTANT_MS, priority=2), 0
        )
    decision = controller.offer(
        admission.QueuedRequest(99, DISTANT_MS, priority=0), 0
    )
    assert isinstance(decision, admission.Queued)
    assert decision.evicted
    controller.finished(5)
    assert controller.next_admitted(10) == 99


def test_a_request_that_may_not_queue_is_refused() -> None:
    """Its entry proxy can still send it to a target with a free slot."""
    controller = admission.AdmissionController(1)
    assert (
        controller.offer(
            admission.QueuedRequest(1, DISTANT_MS), 0, may_queue=False
        )
        == admission.Admitted()
    )
    decision = controller.offer(
        admission.QueuedRequest(2, DISTANT_MS), 0, may_queue=False
    )
    assert isinstance(decision, admission.Refused)
    assert controller.load == 1
