"""Admission at a target's own proxy: free slots, then a short queue.

The load that this answers is a service short of slots for seconds: after a
burst, a crash of targets, or with callers that try again at once. Served in
order of arrival, every request then waits about as long as the queue is, and
all of them are late. Served by what can still be in time, the same slots
give as many answers, and most of them in time.
"""

import dataclasses
import typing

from . import warmup as warmups

# Some ten requests: a target that slows down is noticed within a second.
SAMPLE_WEIGHT = 0.1
# Before anything ran nothing waits long enough to be refused for it.
INITIAL_SERVICE_MS = 5.0
# A start counts as in time if the usual time and this many mean deviations
# fit before the aim: work that spreads by 0.8 of its mean then ends in time
# nine times in ten. By the mean alone a third of the slots would go to answers
# that are late after all.
SAFE_DEVIATIONS = 1.5
# A queue of four times the slots is worked off in four service times; what
# waits longer than that has mostly missed its aim.
QUEUE_PER_SLOT = 4
MIN_RETRY_MS = 20
# A request that waits is given up this long before its deadline: a beat of
# this process and the way back. Told later, its entry proxy has given it up
# by itself, and can't tell its caller any more that it did not run.
REPLY_MS = 75


@dataclasses.dataclass(slots=True)
class QueuedRequest:
    """A request in the queue.

    Args:
        request_id: Its id.
        deadline_at_ms: When nobody waits for it any more.
        aim_at_ms: When its answer is late for its route's aim; 0 for the
            deadline.
        priority: Its route's rank; 0 is the most urgent.
        route: Its route.
    """

    request_id: int
    deadline_at_ms: int
    due_at_ms: int = 0
    priority: int = 0
    route: str = ""

    def __post_init__(self) -> None:
        self.due_at_ms = self.due_at_ms or self.deadline_at_ms

    def rank(self, ready_at_ms: float) -> tuple[bool, int, int]:
        """Return its place in the queue, the least first.

        What can still meet its aim goes before what can't: a slot spent on
        a late answer makes the next one late too. Of those in time the one
        goes first whose aim is nearest, of those too late the one that came
        last, since its caller is the likeliest to be there still.

        Args:
            ready_at_ms: When an answer would be ready that starts now.
        """
        late = ready_at_ms > self.due_at_ms
        tie_break_ms = -self.due_at_ms if late else self.due_at_ms
        return late, self.priority, tie_break_ms


@dataclasses.dataclass(slots=True)
class RunTime:
    """How long requests of a route run on a target.

    Mean and mean deviation, both smoothed, as in Jacobson's "Congestion
    Avoidance and Control" (1988).

    Args:
        mean_ms: Their usual time.
        deviation_ms: How far from it they usually are.
    """

    mean_ms: float
    deviation_ms: float = 0.0

    @classmethod
    def from_first_run(cls, took_ms: float) -> typing.Self:
        """Return what to expect after one run: it says little of others."""
        return cls(took_ms, took_ms / 2)

    @property
    def safe_ms(self) -> float:
        """Return a time within which most of them are done."""
        return self.mean_ms + SAFE_DEVIATIONS * self.deviation_ms

    def add(self, took_ms: float) -> None:
        """Take in how long one ran."""
        error_ms = took_ms - self.mean_ms
        self.mean_ms += SAMPLE_WEIGHT * error_ms
        self.deviation_ms += SAMPLE_WEIGHT * (
            abs(error_ms) - self.deviation_ms
        )


@dataclasses.dataclass(slots=True)
class Admitted:
    """The request may run now."""


@dataclasses.dataclass(slots=True)
class Queued:
    """The request waits for a slot.

    Args:
        evicted: A less urgent request that had to make room, 0 for none.
    """

    evicted: int = 0


@dataclasses.dataclass(slots=True)
class Refused:
    """The request did not run here: it can't make it, or should not wait."""

    retry_after_ms: int


class AdmissionController:
    """Slots of one target and the queue before them.

    Args:
        slots: How many requests the target runs at once, as it announced.
        warmup: What it may get while it is cold.
    """

    __slots__ = ("slots", "warmup", "running", "queue", "service_ms", "routes")

    def __init__(
        self, slots: int, warmup: warmups.Warmup | None = None
    ) -> None:
        self.slots = slots
        self.warmup = warmup or warmups.Warmup(None)
        self.running = 0
        self.queue: list[QueuedRequest] = []
        self.service_ms = INITIAL_SERVICE_MS
        self.routes: dict[str, RunTime] = {}

    @property
    def load(self) -> int:
        """Return how many requests run or wait."""
        return self.running + len(self.queue)

    def wait_ms(self, now_ms: int) -> float:
        """Return the expected wait of a request that comes last."""
        if self._may_start(now_ms):
            return 0.0
        return self._wait_behind(len(self.queue), now_ms)

    def _may_start(self, now_ms: int) -> bool:
        """Tell whether a request may start now."""
        return self.running < self.slots and self.warmup.may_start(now_ms)

    def _starts_at_once(self, now_ms: int) -> bool:
        """Tell whether a request that comes now starts at once."""
        return self._may_start(now_ms) and not self.queue

    def _wait_behind(self, count: int, now_ms: int) -> float:
        slots_ms = (count + 1) * self.service_ms / max(self.slots, 1)
        return max(slots_ms, self.warmup.wait_ms(count, now_ms))

    def run_time(self, route: str) -> RunTime:
        """Return how long a route's requests run here."""
        return self.routes.get(route) or RunTime(self.service_ms)

    def _rank(
        self, waiting: QueuedRequest, now_ms: int
    ) -> tuple[bool, int, int]:
        return waiting.rank(now_ms + self.run_time(waiting.route).safe_ms)

    def offer(
        self, waiting: QueuedRequest, now_ms: int, *, may_queue: bool = True
    ) -> Admitted | Queued | Refused:
        """Decide on a request.

        One that would wait past its deadline is refused at once, so that
        its caller can go elsewhere while there is time, and so that no slot
        is spent on an answer that nobody waits for.

        Args:
            waiting: The request.
            now_ms: The time on the runtime's clock.
            settled: Whether it may wait here; else it is refused when no
                slot is free, to be tried at a target that may be freer.
        """
        if self._starts_at_once(now_ms):
            self._start(now_ms)
            return Admitted()
        if not may_queue:
            return Refused(MIN_RETRY_MS)
        ready_ms = self._wait_of(waiting, now_ms)
        ready_ms += self.run_time(waiting.route).mean_ms
        if now_ms + ready_ms > waiting.deadline_at_ms:
            return Refused(max(int(self.wait_ms(now_ms)), MIN_RETRY_MS))
        evicted = 0
        if len(self.queue) >= QUEUE_PER_SLOT * self.slots:
            evicted = self._evict_for(waiting, now_ms)
            if not evicted:
                return Refused(max(int(self.wait_ms(now_ms)), MIN_RETRY_MS))
        self.queue.append(waiting)
        return Queued(evicted)

    def expected_wait_ms(self, waiting: QueuedRequest, now_ms: int) -> float:
        """Return how long a request would wait for a slot from now on."""
        if self._starts_at_once(now_ms):
            return 0.0
        return self._wait_of(waiting, now_ms)

    def _wait_of(self, waiting: QueuedRequest, now_ms: int) -> float:
        """Return how long a request waits behind those that go first."""
        rank = self._rank(waiting, now_ms)
        ahead = sum(self._rank(w, now_ms) <= rank for w in self.queue)
        return self._wait_behind(ahead, now_ms)

    def _start(self, now_ms: int) -> None:
        self.running += 1
        self.warmup.started(now_ms)

    def _evict_for(self, waiting: QueuedRequest, now_ms: int) -> int:
        """Make room for a request; 0 if none ranks behind it."""
        last = max(self.queue, key=lambda w: self._rank(w, now_ms))
        if self._rank(last, now_ms) <= self._rank(waiting, now_ms):
            return 0
        self.queue.remove(last)
        return last.request_id

    def finished(self, took_ms: float | None = None, route: str = "") -> None:
        """Free a slot.

        Args:
            took_ms: How long the request ran, if that says what the route's
                requests take.
            route: Its route.
        """
        self.running = max(self.running - 1, 0)
        if took_ms is None:
            return
        if not self.routes:
            self.service_ms = took_ms
        self.service_ms += SAMPLE_WEIGHT * (took_ms - self.service_ms)
        known = self.routes.get(route)
        if known is None:
            self.routes[route] = RunTime.from_first_run(took_ms)
        else:
            known.add(took_ms)

    def next_admitted(self, now_ms: int = 0) -> int | None:
        """Return the queued request that may run now, if any."""
        if not self.queue or not self._may_start(now_ms):
            return None
        chosen = min(self.queue, key=lambda w: self._rank(w, now_ms))
        self.queue.remove(chosen)
        self._start(now_ms)
        return chosen.request_id

    def expired(self, now_ms: int) -> list[int]:
        """Take out the queued requests that can no longer make it."""
        late = [
            waiting.request_id
            for waiting in self.queue
            if now_ms + max(self.run_time(waiting.route).mean_ms, REPLY_MS)
            > waiting.deadline_at_ms
        ]
        for request_id in late:
            self.withdraw(request_id)
        return late

    def withdraw(self, request_id: int) -> bool:
        """Take a request out of the queue; return whether it was there."""
        for waiting in self.queue:
            if waiting.request_id == request_id:
                self.queue.remove(waiting)
                return True
        return False
