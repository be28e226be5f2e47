"""Overload at one target, played on the decisions that answer it."""

import heapq
import itertools
import math
import random
import typing

from trefoil_requests import admission
from trefoil_requests import patience as originals

SLOTS = 6
MEAN_MS = 90.0
SPREAD = 0.8
AIM_MS = 300
PATIENCE_MS = 2000
TIMEOUT_MS = 1000
RETURNS = 2
LASTS_MS = 60_000
TICK_MS = 10
LATE_WORTH = 0.1


class Caller:
    """A caller with one request, which it may send again when refused."""

    __slots__ = ("born_ms", "returns", "work_ms", "began_ms")

    def __init__(self, born_ms: float, work_ms: float) -> None:
        self.born_ms = born_ms
        self.work_ms = work_ms
        self.returns = 0
        self.began_ms = 0.0


class Play:
    """Callers that come at random to one target for a minute.

    Args:
        load: Their work, as a multiple of what the target can do.
    """

    def __init__(self, load: float) -> None:
        self.rng = random.Random(1)
        self.gate = admission.AdmissionController(SLOTS)
        self.original_deadlines = originals.OriginalDeadlines()
        self.events: list[tuple[float, int, typing.Any]] = []
        self.numbers = itertools.count(1)
        self.waiting: dict[int, Caller] = {}
        self.asked = 0
        self.in_time = 0
        self.late = 0
        self._draw_callers(load)

    @property
    def credit(self) -> float:
        """Return the part of the callers' credit that was earned."""
        return (self.in_time + LATE_WORTH * self.late) / self.asked

    def _draw_callers(self, load: float) -> None:
        sigma = math.sqrt(math.log(1 + SPREAD**2))
        at_ms = 0.0
        while at_ms < LASTS_MS:
            at_ms += self.rng.expovariate(load * SLOTS / MEAN_MS)
            work_ms = self.rng.lognormvariate(
                math.log(MEAN_MS) - sigma**2 / 2, sigma
            )
            self.asked += 1
            self._at(at_ms, self._arrive, Caller(at_ms, work_ms))

    def _at(self, at_ms: float, what: typing.Any, of: typing.Any) -> None:
        heapq.heappush(self.events, (at_ms, next(self.numbers), (what, of)))

    def run(self) -> typing.Self:
        """Play it to the end."""
        for tick_ms in range(0, LASTS_MS + 5000, TICK_MS):
            self._at(tick_ms, self._expire, None)
        while self.events:
            now_ms, _, (what, of) = heapq.heappop(self.events)
            what(of, now_ms)
        return self

    def _arrive(self, caller: Caller, now_ms: float) -> None:
        left_ms = caller.born_ms + PATIENCE_MS - now_ms
        waited_ms = self.original_deadlines.waited_ms("r", int(left_ms))
        number = next(self.numbers)
        self.waiting[number] = caller
        waiting = admission.QueuedRequest(
            number,
            int(now_ms + min(left_ms, TIMEOUT_MS)),
            due_at_ms=int(now_ms) + AIM_MS - waited_ms,
            route="r",
        )
        decision = self.gate.offer(waiting, int(now_ms))
        match decision:
            case admission.Admitted():
                self._begin(number, now_ms)
            case admission.Refused():
                self._refuse(number, now_ms, decision.retry_after_ms)
            case admission.Queued():
                if decision.evicted:
                    self._refuse(
                        decision.evicted, now_ms, self.gate.wait_ms(now_ms)
                    )

    def _begin(self, number: int, now_ms: float) -> None:
        caller = self.waiting[number]
        caller.began_ms = now_ms
        self._at(now_ms + caller.work_ms, self._end, number)

    def _end(self, number: int, now_ms: float) -> None:
        caller = self.waiting.pop(number)
        self.gate.finished(now_ms - caller.began_ms, "r")
        took_ms = now_ms - caller.born_ms
        self.in_time += took_ms <= AIM_MS
        self.late += AIM_MS < took_ms <= PATIENCE_MS
        following = self.gate.next_admitted(int(now_ms))
        if following is not None:
            self._begin(following, now_ms)

    def _refuse(self, number: int, now_ms: float, wait_ms: float) -> None:
        caller = self.waiting.pop(number)
        left_ms = caller.born_ms + PATIENCE_MS - now_ms
        caller.returns += 1
        if caller.returns <= RETURNS and left_ms > 0:
            back_ms = now_ms + min(wait_ms, left_ms / 3)
            self._at(back_ms, self._arrive, caller)

    def _expire(self, _: None, now_ms: float) -> None:
        for number in self.gate.expired(int(now_ms)):
            self._refuse(number, now_ms, self.gate.wait_ms(now_ms))


def test_below_capacity_nearly_all_are_in_time() -> None:
    """0.93 of the credit is earned at nine tenths of what the target can do.

    It was 0.91 when callers that came back counted as new and starts were
    in time by the mean alone.
    """
    assert Play(0.9).run().credit >= 0.92


def test_in_overload_slots_go_to_answers_that_are_in_time() -> None:
    """Callers that were refused come back, and time runs out in the queue.

    Taken for new ones they held the slots, and callers whose turn came late
    by a little got the rest: 0.41 of the credit was earned at 1.4 times
    capacity. By the time that they waited and by what most requests take it
    is 0.67; the best that is possible is 0.71.
    """
    assert Play(1.4).run().credit >= 0.63


def test_a_little_too_much_costs_a_little() -> None:
    """At 1.1 times capacity 0.83 of the credit is earned; it was 0.62."""
    assert Play(1.1).run().credit >= 0.79


def test_twice_too_much_still_serves_half() -> None:
    """At twice the capacity 0.45 of the credit is earned; it was 0.27."""
    assert Play(2.0).run().credit >= 0.43
