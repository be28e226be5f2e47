"""Simulates overload at one target to test admission decisions."""

import heapq
import itertools
import math
import random
import typing

from trefoil_requests import admission
from trefoil_requests import patience as original_deadlines

SLOTS = 6
MEAN_MS = 90.0
WORK_DEVIATION = 0.8
LATENCY_TARGET_MS = 300
CALLER_TIMEOUT_MS = 2000
TIMEOUT_MS = 1000
MAX_RETRIES = 2
DURATION_MS = 60_000
TICK_MS = 10
LATE_ANSWER_SCORE = 0.1


class Caller:
    """A caller with one request, which it may retry after a refusal."""

    __slots__ = ("first_sent_ms", "retries", "work_ms", "started_ms")

    def __init__(self, first_sent_ms: float, work_ms: float) -> None:
        self.first_sent_ms = first_sent_ms
        self.work_ms = work_ms
        self.retries = 0
        self.started_ms = 0.0


class Simulation:
    """Callers that send at random times to one target for a minute.

    Args:
        load: Their work as a multiple of the target's capacity.
    """

    def __init__(self, load: float) -> None:
        self.rng = random.Random(1)
        self.controller = admission.AdmissionController(SLOTS)
        self.original_deadline = original_deadlines.OriginalDeadlines()
        self.events: list[tuple[float, int, typing.Any]] = []
        self.ids = itertools.count(1)
        self.waiting: dict[int, Caller] = {}
        self.callers = 0
        self.in_time = 0
        self.late = 0
        self._draw_callers(load)

    @property
    def score(self) -> float:
        """Return the mean score per caller, 1.0 if all answers are timely."""
        return (self.in_time + LATE_ANSWER_SCORE * self.late) / self.callers

    def _draw_callers(self, load: float) -> None:
        sigma = math.sqrt(math.log(1 + WORK_DEVIATION**2))
        at_ms = 0.0
        while at_ms < DURATION_MS:
            at_ms += self.rng.expovariate(load * SLOTS / MEAN_MS)
            work_ms = self.rng.lognormvariate(
                math.log(MEAN_MS) - sigma**2 / 2, sigma
            )
            self.callers += 1
            self._schedule(at_ms, self._arrive, Caller(at_ms, work_ms))

    def _schedule(
        self, at_ms: float, action: typing.Any, argument: typing.Any
    ) -> None:
        heapq.heappush(
            self.events, (at_ms, next(self.ids), (action, argument))
        )

    def run(self) -> typing.Self:
        """Run the simulation to its end."""
        for tick_ms in range(0, DURATION_MS + 5000, TICK_MS):
            self._schedule(tick_ms, self._expire, None)
        while self.events:
            now_ms, _, (action, argument) = heapq.heappop(self.events)
            action(argument, now_ms)
        return self

    def _arrive(self, caller: Caller, now_ms: float) -> None:
        left_ms = caller.first_sent_ms + CALLER_TIMEOUT_MS - now_ms
        waited_ms = self.original_deadline.waited_ms("r", int(left_ms))
        call_id = next(self.ids)
        self.waiting[call_id] = caller
        waiting = admission.QueuedRequest(
            call_id,
            int(now_ms + min(left_ms, TIMEOUT_MS)),
            due_at_ms=int(now_ms) + LATENCY_TARGET_MS - waited_ms,
            route="r",
        )
        decision = self.controller.offer(waiting, int(now_ms))
        match decision:
            case admission.Admitted():
                self._start(call_id, now_ms)
            case admission.Refused():
                self._refuse(call_id, now_ms, decision.retry_after_ms)
            case admission.Queued():
                if decision.evicted:
                    self._refuse(
                        decision.evicted,
                        now_ms,
                        self.controller.wait_ms(now_ms),
                    )

    def _start(self, call_id: int, now_ms: float) -> None:
        caller = self.waiting[call_id]
        caller.started_ms = now_ms
        self._schedule(now_ms + caller.work_ms, self._end, call_id)

    def _end(self, call_id: int, now_ms: float) -> None:
        caller = self.waiting.pop(call_id)
        self.controller.finished(now_ms - caller.started_ms, "r")
        took_ms = now_ms - caller.first_sent_ms
        self.in_time += took_ms <= LATENCY_TARGET_MS
        self.late += LATENCY_TARGET_MS < took_ms <= CALLER_TIMEOUT_MS
        next_call_id = self.controller.next_admitted(int(now_ms))
        if next_call_id is not None:
            self._start(next_call_id, now_ms)

    def _refuse(self, call_id: int, now_ms: float, wait_ms: float) -> None:
        caller = self.waiting.pop(call_id)
        left_ms = caller.first_sent_ms + CALLER_TIMEOUT_MS - now_ms
        caller.retries += 1
        if caller.retries <= MAX_RETRIES and left_ms > 0:
            retry_at_ms = now_ms + min(wait_ms, left_ms / 3)
            self._schedule(retry_at_ms, self._arrive, caller)

    def _expire(self, _: None, now_ms: float) -> None:
        for call_id in self.controller.expired(int(now_ms)):
            self._refuse(call_id, now_ms, self.controller.wait_ms(now_ms))


def test_below_capacity_nearly_all_answers_are_timely() -> None:
    """The score is 0.93 at nine tenths of the capacity.

    It is 0.91 if a retry counts as a new request and start times are predicted
    from the mean run time alone.
    """
    assert Simulation(0.9).run().score >= 0.92


def test_in_overload_slots_go_to_timely_answers() -> None:
    """Guards against slots held by refused callers that retry too late.

    If a retry counts as a new request, retries and requests that are slightly
    late take the slots, and the score at 1.4 times the capacity is 0.41. With
    the wait so far and the usual run time taken into account it is 0.67; the
    optimum is 0.71.
    """
    assert Simulation(1.4).run().score >= 0.63


def test_a_slight_overload_costs_little() -> None:
    """The score is 0.83 at 1.1 times the capacity.

    Without these rules of admission it is 0.62.
    """
    assert Simulation(1.1).run().score >= 0.79


def test_double_load_still_serves_nearly_half() -> None:
    """The score is 0.45 at twice the capacity.

    Without these rules of admission it is 0.27.
    """
    assert Simulation(2.0).run().score >= 0.43
