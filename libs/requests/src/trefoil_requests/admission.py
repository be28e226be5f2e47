"""Admission at a target's own proxy: free slots, then a short queue."""

import collections
import dataclasses

SERVICE_WEIGHT = 0.1
FIRST_SERVICE_MS = 5.0
QUEUE_PER_SLOT = 4
MIN_RETRY_MS = 20


@dataclasses.dataclass(slots=True)
class Waiting:
    """A request in the queue."""

    request_id: int
    deadline_at_ms: int


@dataclasses.dataclass(slots=True)
class Admitted:
    """The request may run now."""


@dataclasses.dataclass(slots=True)
class Queued:
    """The request waits for a slot."""


@dataclasses.dataclass(slots=True)
class Refused:
    """The request cannot make its deadline here and did not run."""

    retry_after_ms: int


class Admission:
    """Slots of one target and the queue before them.

    Args:
        slots: How many requests the target runs at once, as it announced.
    """

    __slots__ = ("slots", "running", "queue", "service_ms")

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.running = 0
        self.queue: collections.deque[Waiting] = collections.deque()
        self.service_ms = FIRST_SERVICE_MS

    @property
    def wait_ms(self) -> float:
        """Return the expected wait of a request that comes now."""
        if self.running < self.slots:
            return 0.0
        return (len(self.queue) + 1) * self.service_ms / max(self.slots, 1)

    def offer(
        self, request_id: int, deadline_at_ms: int, now_ms: int
    ) -> Admitted | Queued | Refused:
        """Decide on a request.

        One that would wait past its deadline is refused at once, so that
        its caller can go elsewhere while there is time, and so that no slot
        is spent on an answer that nobody waits for.
        """
        if self.running < self.slots:
            self.running += 1
            return Admitted()
        finish_ms = now_ms + self.wait_ms + self.service_ms
        full = len(self.queue) >= QUEUE_PER_SLOT * self.slots
        if full or finish_ms > deadline_at_ms:
            return Refused(max(int(self.wait_ms), MIN_RETRY_MS))
        self.queue.append(Waiting(request_id, deadline_at_ms))
        return Queued()

    def finished(self, took_ms: float | None = None) -> None:
        """Free a slot."""
        self.running = max(self.running - 1, 0)
        if took_ms is not None:
            self.service_ms += SERVICE_WEIGHT * (took_ms - self.service_ms)

    def next_admitted(self) -> int | None:
        """Return the queued request that may run now, if any."""
        if self.running >= self.slots or not self.queue:
            return None
        self.running += 1
        return self.queue.popleft().request_id

    def expired(self, now_ms: int) -> list[int]:
        """Take out the queued requests that can no longer make it."""
        late = [
            waiting.request_id
            for waiting in self.queue
            if now_ms + self.service_ms > waiting.deadline_at_ms
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
