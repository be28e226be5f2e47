"""Admission control on the proxy of a target: slots and a short queue.

A service can be short of slots for seconds: after a burst, after a crash of
targets, or when callers retry immediately. In order of arrival, every request
would then wait for the whole queue, and all answers would be late. If
requests that can still be answered in time go first, the same slots give as
many answers, and most of them in time.
"""

import dataclasses
import typing

from . import fair_shares
from . import rate_limit as rate_limits
from . import warmup as warmups

# Weight of one run in the moving means. They follow about the last ten runs,
# so a target that slows down is detected within a second.
SAMPLE_WEIGHT = 0.1
# Estimate before the first run, short enough that no request is refused for
# its expected wait.
INITIAL_SERVICE_MS = 5.0
# A request counts as in time if the mean run time and this many mean
# deviations fit before its latency target. Work with a standard deviation of
# 0.8 of its mean then ends in time nine times in ten. With the mean alone, a
# third of the slots would go to answers that turn out late.
SAFE_DEVIATIONS = 1.5
# A queue of four times the slots drains in four service times; most requests
# that wait longer have missed their latency targets.
QUEUE_PER_SLOT = 4
MIN_RETRY_MS = 20
# A queued request is refused this long before its deadline, which leaves time
# for one tick of this process and for the reply to the entry proxy. If the
# refusal came later, the entry proxy would already have timed the request out
# and could not tell its caller that it did not run.
REPLY_MS = 75


# Sort key of a queued request: late, priorities, share, latency target.
Rank = tuple[bool, int, int, float, int]


@dataclasses.dataclass(slots=True)
class QueuedRequest:
    """A request that is offered for a slot or waits for one.

    Args:
        request_id: Its id.
        deadline_at_ms: When its caller stops waiting.
        due_at_ms: When its answer exceeds the latency target of its route; 0
            stands for the deadline.
        priority: Priority of its route; 0 is the most urgent.
        route: Name of its route.
        route_priority: Priority of its route, if that of its account goes
            before it.
        account: Name of its caller's account, empty for none.
    """

    request_id: int
    deadline_at_ms: int
    due_at_ms: int = 0
    priority: int = 0
    route: str = ""
    route_priority: int = 0
    account: str = ""

    def __post_init__(self) -> None:
        self.due_at_ms = self.due_at_ms or self.deadline_at_ms

    def rank(self, ready_at_ms: float, place: float) -> Rank:
        """Return its sort key in the queue; the smallest goes first.

        Requests that can still meet their latency targets go before those
        that cannot: a slot spent on a late answer makes the next one late
        too. Accounts within their share of the slots go before others of the
        same priority. Among requests in time the nearest latency target goes
        first. Among late requests the newest goes first, since its caller is
        the most likely to still wait.

        Args:
            ready_at_ms: When the answer would be ready if it started now.
            place: Place of its account among those that share the slots.
        """
        late = ready_at_ms > self.due_at_ms
        tie_break_ms = -self.due_at_ms if late else self.due_at_ms
        return (
            late,
            self.priority,
            self.route_priority,
            place,
            tie_break_ms,
        )


@dataclasses.dataclass(slots=True)
class RunTime:
    """Estimate of how long requests of a route run on a target.

    Smoothed mean and mean deviation as in Jacobson's "Congestion Avoidance
    and Control" (1988).

    Args:
        mean_ms: Smoothed mean of the run times.
        deviation_ms: Smoothed mean deviation from it.
    """

    mean_ms: float
    deviation_ms: float = 0.0

    @classmethod
    def from_first_run(cls, took_ms: float) -> typing.Self:
        """Return an estimate from one run, with a wide deviation."""
        return cls(took_ms, took_ms / 2)

    @property
    def safe_ms(self) -> float:
        """Return a time within which most runs end."""
        return self.mean_ms + SAFE_DEVIATIONS * self.deviation_ms

    def add(self, took_ms: float) -> None:
        """Add the run time of one request."""
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
        evicted: Id of a lower-ranked request that was evicted from the full
            queue, 0 for none.
    """

    evicted: int = 0


@dataclasses.dataclass(slots=True)
class Refused:
    """The request did not run: it would be late or may not be queued.

    Args:
        retry_after_ms: When its caller may come back.
        limited: Whether the target has a free slot, but names a rate limit
            that is used up.
    """

    retry_after_ms: int
    limited: bool = False


class AdmissionController:
    """Admits requests to the slots of one target and to its queue.

    Args:
        slots: Number of requests that the target runs concurrently, as
            announced.
        warmup: Rate limit of the target while it is cold.

    ``rate_limit`` is the limit that the target names itself.
    """

    __slots__ = (
        "slots",
        "warmup",
        "rate_limit",
        "running",
        "queue",
        "service_ms",
        "routes",
        "shares",
    )

    def __init__(
        self, slots: int, warmup: warmups.Warmup | None = None
    ) -> None:
        self.slots = slots
        self.warmup = warmup or warmups.Warmup(None)
        self.rate_limit = rate_limits.RateLimit()
        self.running = 0
        self.queue: list[QueuedRequest] = []
        self.service_ms = INITIAL_SERVICE_MS
        self.routes: dict[str, RunTime] = {}
        self.shares = fair_shares.FairShares(slots)

    @property
    def load(self) -> int:
        """Return the number of running and queued requests."""
        return self.running + len(self.queue)

    def wait_ms(self, now_ms: int) -> float:
        """Return the expected wait at the end of the queue."""
        if self._may_start(now_ms):
            return 0.0
        return self._wait_behind(len(self.queue), now_ms)

    def _may_start(self, now_ms: int) -> bool:
        """Return whether a request may start now."""
        if self.running >= self.slots or not self.warmup.may_start(now_ms):
            return False
        return self.rate_limit.may_start(now_ms)

    def _is_limited(self, now_ms: int) -> bool:
        """Return whether only the target's named limit holds requests up."""
        has_slot = self.running < self.slots
        return has_slot and not self.rate_limit.may_start(now_ms)

    def _starts_at_once(self, now_ms: int) -> bool:
        """Return whether a new request starts immediately."""
        return self._may_start(now_ms) and not self.queue

    def _wait_behind(self, count: int, now_ms: int) -> float:
        slots_ms = (count + 1) * self.service_ms / max(self.slots, 1)
        return max(
            slots_ms,
            self.warmup.wait_ms(count, now_ms),
            self.rate_limit.wait_ms(count, now_ms),
        )

    def run_time(self, route: str) -> RunTime:
        """Return the estimated run time of a route's requests."""
        return self.routes.get(route) or RunTime(self.service_ms)

    def _rank(self, waiting: QueuedRequest, now_ms: int) -> Rank:
        return waiting.rank(
            now_ms + self.run_time(waiting.route).safe_ms,
            self.shares.place(waiting.account),
        )

    def offer(
        self, waiting: QueuedRequest, now_ms: int, *, may_queue: bool = True
    ) -> Admitted | Queued | Refused:
        """Admit, queue or refuse a request.

        A request that would wait past its deadline is refused at once, so
        that it can be sent to another target while there is time, and so
        that no slot is spent on an answer whose caller has stopped waiting.

        Args:
            waiting: The request.
            now_ms: The time on the runtime's clock.
            may_queue: Whether it may wait here; otherwise it is refused when
                no slot is free, to be tried on a less loaded target.
        """
        self.shares.arrived(waiting.account)
        if self._starts_at_once(now_ms):
            self._start(waiting, now_ms)
            return Admitted()
        if not may_queue:
            return Refused(MIN_RETRY_MS, self._is_limited(now_ms))
        ready_ms = self._wait_of(waiting, now_ms)
        ready_ms += self.run_time(waiting.route).mean_ms
        if now_ms + ready_ms > waiting.deadline_at_ms:
            return self._refused(now_ms)
        evicted = 0
        if len(self.queue) >= QUEUE_PER_SLOT * self.slots:
            evicted = self._evict_for(waiting, now_ms)
            if not evicted:
                return self._refused(now_ms)
        self.queue.append(waiting)
        return Queued(evicted)

    def _refused(self, now_ms: int) -> Refused:
        """Return a refusal until the requests that wait now have started."""
        wait_ms = max(int(self.wait_ms(now_ms)), MIN_RETRY_MS)
        return Refused(wait_ms, self._is_limited(now_ms))

    def expected_wait_ms(self, waiting: QueuedRequest, now_ms: int) -> float:
        """Return the expected wait of a request for a slot."""
        if self._starts_at_once(now_ms):
            return 0.0
        return self._wait_of(waiting, now_ms)

    def _wait_of(self, waiting: QueuedRequest, now_ms: int) -> float:
        """Return the expected wait behind the requests that rank higher."""
        rank = self._rank(waiting, now_ms)
        ahead = sum(self._rank(w, now_ms) <= rank for w in self.queue)
        return self._wait_behind(ahead, now_ms)

    def _start(self, request: QueuedRequest, now_ms: int) -> None:
        self.running += 1
        work_ms = self.run_time(request.route).mean_ms
        self.shares.add(request.account, work_ms, now_ms)
        self.warmup.started(now_ms)
        self.rate_limit.started()

    def _evict_for(self, waiting: QueuedRequest, now_ms: int) -> int:
        """Evict the lowest-ranked request and return its id.

        Returns 0 if no queued request ranks below the new one.
        """
        last = max(self.queue, key=lambda w: self._rank(w, now_ms))
        if self._rank(last, now_ms) <= self._rank(waiting, now_ms):
            return 0
        self.queue.remove(last)
        return last.request_id

    def finished(self, took_ms: float | None = None, route: str = "") -> None:
        """Free the slot of a request.

        Args:
            took_ms: How long it ran, if it ran to its end; None otherwise, so
                that the estimates stay as they are.
            route: Name of its route.
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
        """Start the best-ranked queued request, if any may run; return it."""
        if not self.queue or not self._may_start(now_ms):
            return None
        chosen = min(self.queue, key=lambda w: self._rank(w, now_ms))
        self.queue.remove(chosen)
        self._start(chosen, now_ms)
        return chosen.request_id

    def expired(self, now_ms: int) -> list[int]:
        """Remove and return the requests that would miss their deadlines."""
        late = [
            waiting.request_id
            for waiting in self.queue
            if now_ms + max(self.run_time(waiting.route).mean_ms, REPLY_MS)
            > waiting.deadline_at_ms
        ]
        for request_id in late:
            self.withdraw(request_id)
        return late

    def shorten(self, request_id: int, deadline_at_ms: int) -> None:
        """Let a queued request wait no longer than until an earlier deadline.

        Args:
            request_id: Its id; ignored if it is not queued.
            deadline_at_ms: The deadline, on the runtime's clock.
        """
        for waiting in self.queue:
            if waiting.request_id == request_id:
                waiting.deadline_at_ms = min(
                    waiting.deadline_at_ms, deadline_at_ms
                )

    def hopeless(self, now_ms: int) -> list[int]:
        """Remove and return the requests that are expected to end too late."""
        self.queue.sort(key=lambda waiting: self._rank(waiting, now_ms))
        kept: list[QueuedRequest] = []
        late = []
        for waiting in self.queue:
            ends_ms = now_ms + self._wait_behind(len(kept), now_ms)
            ends_ms += self.run_time(waiting.route).mean_ms
            if ends_ms > waiting.deadline_at_ms:
                late.append(waiting.request_id)
            else:
                kept.append(waiting)
        self.queue = kept
        return late

    def withdraw(self, request_id: int) -> bool:
        """Remove a request from the queue; return whether it was there."""
        for waiting in self.queue:
            if waiting.request_id == request_id:
                self.queue.remove(waiting)
                return True
        return False
