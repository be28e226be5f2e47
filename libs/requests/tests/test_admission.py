"""Tests of admission control: slots, queue, refusals and evictions."""

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from trefoil_requests import admission

DISTANT_DEADLINE_MS = 10_000


def test_free_slots_admit() -> None:
    """A request is queued only while no slot is free."""
    controller = admission.AdmissionController(2)
    assert (
        controller.offer(admission.QueuedRequest(1, DISTANT_DEADLINE_MS), 0)
        == admission.Admitted()
    )
    assert (
        controller.offer(admission.QueuedRequest(2, DISTANT_DEADLINE_MS), 0)
        == admission.Admitted()
    )
    assert (
        controller.offer(admission.QueuedRequest(3, DISTANT_DEADLINE_MS), 0)
        == admission.Queued()
    )
    controller.finished(10)
    assert controller.next_admitted() == 3


def test_a_request_that_would_miss_its_deadline_is_refused() -> None:
    """The expected wait in the queue exceeds the request's deadline."""
    controller = admission.AdmissionController(1)
    controller.service_ms = 100
    controller.offer(admission.QueuedRequest(1, DISTANT_DEADLINE_MS), 0)
    controller.offer(admission.QueuedRequest(2, DISTANT_DEADLINE_MS), 0)
    decision = controller.offer(admission.QueuedRequest(3, 150), 0)
    assert isinstance(decision, admission.Refused)
    assert decision.retry_after_ms >= 100


def test_the_queue_is_bounded() -> None:
    """Guards against a queue so long that its requests end late."""
    controller = admission.AdmissionController(2)
    decisions = [
        controller.offer(admission.QueuedRequest(n, DISTANT_DEADLINE_MS), 0)
        for n in range(20)
    ]
    refused = [d for d in decisions if isinstance(d, admission.Refused)]
    assert len(refused) == 20 - 2 - 2 * admission.QUEUE_PER_SLOT


@pytest.mark.parametrize(
    ("run_time_ms", "still_queued_ms", "refused_ms"),
    [(20, 125, 126), (90, 110, 111)],
)
def test_a_queued_request_is_refused_before_its_deadline(
    run_time_ms: int, still_queued_ms: int, refused_ms: int
) -> None:
    """A refusal reaches the entry proxy before the caller's deadline, 200 ms.

    The request is refused when its run no longer fits. If the refusal came
    after the entry proxy's own time-out, a request that must not be repeated
    would end with an unknown result.
    """
    controller = admission.AdmissionController(1)
    controller.service_ms = run_time_ms
    controller.offer(admission.QueuedRequest(1, DISTANT_DEADLINE_MS), 0)
    controller.offer(admission.QueuedRequest(2, 200), 0)
    assert controller.expired(still_queued_ms) == []
    assert controller.expired(refused_ms) == [2]
    controller.finished()
    assert controller.next_admitted() is None


class AdmissionMachine(stateful.RuleBasedStateMachine):
    """Random operations: slots and queue stay bounded, no request is lost."""

    def __init__(self) -> None:
        super().__init__()
        self.controller = admission.AdmissionController(3)
        self.now_ms = 0
        self.last_id = 0
        self.running: set[int] = set()
        self.queued: set[int] = set()

    @stateful.rule(time_left_ms=st.integers(1, 200))
    def offer(self, time_left_ms: int) -> None:
        self.last_id += 1
        waiting = admission.QueuedRequest(
            self.last_id, self.now_ms + time_left_ms
        )
        decision = self.controller.offer(waiting, self.now_ms)
        if isinstance(decision, admission.Admitted):
            self.running.add(self.last_id)
        elif isinstance(decision, admission.Queued):
            self.queued.add(self.last_id)
            if decision.evicted:
                self.queued.remove(decision.evicted)

    @stateful.rule(took_ms=st.integers(1, 100))
    def finish(self, took_ms: int) -> None:
        if self.running:
            self.running.pop()
            self.controller.finished(took_ms)
            next_id = self.controller.next_admitted()
            if next_id is not None:
                self.queued.remove(next_id)
                self.running.add(next_id)

    @stateful.rule()
    def withdraw(self) -> None:
        if self.queued:
            assert self.controller.withdraw(self.queued.pop())

    @stateful.rule(elapsed_ms=st.integers(1, 100))
    def time_passes(self, elapsed_ms: int) -> None:
        self.now_ms += elapsed_ms
        for request_id in self.controller.expired(self.now_ms):
            self.queued.remove(request_id)

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
    """Requests arrive for two seconds, twice as fast as one slot serves them.

    In order of arrival each would wait for the whole queue: 5 of 24 answers
    would be in time, one of them on the urgent route. If requests that can be
    in time go first, 22 of 23 answers are, with all ten of the urgent route.
    """
    controller = admission.AdmissionController(1)
    controller.service_ms = 100
    finished: dict[int, int] = {}
    running = 0
    run_ends_ms = 0
    for now_ms in range(0, 4000, 10):
        if running and now_ms >= run_ends_ms:
            finished[running] = now_ms
            running = 0
            controller.finished(100)
            next_id = controller.next_admitted(now_ms)
            if next_id is not None:
                running, run_ends_ms = next_id, now_ms + 100
        for _ in controller.expired(now_ms):
            pass
        if now_ms < 2000 and now_ms % 50 == 0:
            request_id = now_ms // 50 + 1
            waiting = admission.QueuedRequest(
                request_id,
                now_ms + 2000,
                due_at_ms=now_ms + 300,
                priority=request_id % 4 != 0,
            )
            decision = controller.offer(waiting, now_ms)
            if isinstance(decision, admission.Admitted):
                running, run_ends_ms = request_id, now_ms + 100
    in_time = [
        n
        for n, finished_ms in finished.items()
        if finished_ms - (n - 1) * 50 <= 300
    ]
    urgent_ids = [n for n in range(4, 41, 4)]
    assert len(in_time) == 22
    assert set(urgent_ids) <= set(in_time)


def test_an_urgent_request_evicts_a_less_urgent_one() -> None:
    """A full queue must still accept requests of a higher priority."""
    controller = admission.AdmissionController(1)
    controller.offer(admission.QueuedRequest(1, DISTANT_DEADLINE_MS), 0)
    for request_id in range(2, 2 + admission.QUEUE_PER_SLOT):
        controller.offer(
            admission.QueuedRequest(
                request_id, DISTANT_DEADLINE_MS, priority=2
            ),
            0,
        )
    decision = controller.offer(
        admission.QueuedRequest(99, DISTANT_DEADLINE_MS, priority=0), 0
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
            admission.QueuedRequest(1, DISTANT_DEADLINE_MS), 0, may_queue=False
        )
        == admission.Admitted()
    )
    decision = controller.offer(
        admission.QueuedRequest(2, DISTANT_DEADLINE_MS), 0, may_queue=False
    )
    assert isinstance(decision, admission.Refused)
    assert controller.load == 1
