"""What a target gets while it is cold.

The load that this answers: targets that come back together after a loss of
power, with all callers waiting. A cold target is slow and crashes when it gets
more than it bears; then it comes back cold, the others get its share and crash
as well, and the service falls over again and again. Every request of a target
passes the proxy on its host, so that proxy alone can keep the bound for the
whole fleet.
"""

import dataclasses
import typing

from trefoil_wire import messages

# What a target says of its warm-up is some way old.
MARGIN_MS = 50
# A request of the burst is left out: bounds count whole requests.
RESERVED_REQUESTS = 1.0


@dataclasses.dataclass(slots=True, frozen=True)
class Limit:
    """What a cold target of a service may get.

    Args:
        per_s: Requests a second.
        burst: Requests at once after it got none for a while.
        lasts_ms: How long a target is cold after its start.
    """

    per_s: float
    burst: float
    lasts_ms: int

    @classmethod
    def from_service(
        cls, service: messages.Service, overage: float, slack: float
    ) -> typing.Self | None:
        """Return the limit of a service, None if its targets need none.

        Args:
            service: The service.
            overage: How many times the rate that a target bears it may get.
            slack: How many requests besides, in any second.
        """
        if not service.warmup_per_s:
            return None
        per_s = service.warmup_per_s * overage
        burst = max(slack - RESERVED_REQUESTS, 1.0)
        return cls(per_s, burst, service.warmup_ms)


class Warmup:
    """Whether a target is cold, and what it may still get if so.

    In any second it gets at most the rate and the burst. A target that turns
    cold has spent its burst: what it got just before counts too.

    Args:
        limit: What it may get while it is cold; None for anything.
    """

    __slots__ = ("limit", "until_ms", "presumed", "tokens", "at_ms")

    def __init__(self, limit: Limit | None) -> None:
        self.limit = limit
        self.until_ms = 0
        self.presumed = False
        self.tokens = 0.0
        self.at_ms = 0

    def is_cold(self, now_ms: int) -> bool:
        """Tell whether the target is cold, or may be."""
        return now_ms < self.until_ms

    def is_limited(self, now_ms: int) -> bool:
        """Tell whether the target may get no more than its limit."""
        return self.limit is not None and now_ms < self.until_ms

    def announce(self, left_ms: int, now_ms: int) -> None:
        """Note how much longer the target is cold, as it announces.

        Words that it is warm may have been on their way since before it
        turned cold; while that is presumed they do not count.
        """
        if left_ms or not (self.presumed and self.is_cold(now_ms)):
            self.tell(left_ms, now_ms)

    def tell(self, left_ms: int, now_ms: int) -> None:
        """Note how much longer the target is cold, as it was just asked."""
        self.presumed = False
        if not left_ms:
            self.until_ms = min(self.until_ms, now_ms)
            return
        if not self.is_cold(now_ms):
            self.tokens = 0.0
            self.at_ms = now_ms
        self.until_ms = now_ms + left_ms + MARGIN_MS

    def presume(self, now_ms: int) -> None:
        """Take the target for cold until it tells how long it is."""
        if self.limit is not None:
            self.tell(self.limit.lasts_ms, now_ms)
            self.presumed = True

    def may_start(self, now_ms: int) -> bool:
        """Tell whether it may get a request now."""
        return not self.is_limited(now_ms) or self._refill(now_ms) >= 1.0

    def started(self, now_ms: int) -> None:
        """Note that it gets a request."""
        if self.is_limited(now_ms):
            self.tokens -= 1.0

    def wait_ms(self, ahead: int, now_ms: int) -> float:
        """Return how long a request waits behind others.

        Args:
            ahead: How many wait before it.
            now_ms: The time on the runtime's clock.
        """
        if not self.is_limited(now_ms):
            return 0.0
        lacking = ahead + 1 - self._refill(now_ms)
        paced_ms = max(lacking, 0.0) * 1000 / self.limit.per_s
        return min(paced_ms, float(self.until_ms - now_ms))

    def _refill(self, now_ms: int) -> float:
        gained = (now_ms - self.at_ms) * self.limit.per_s / 1000
        self.tokens = min(self.tokens + gained, self.limit.burst)
        self.at_ms = now_ms
        return self.tokens
