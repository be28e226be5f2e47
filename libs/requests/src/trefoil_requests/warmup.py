"""Rate limit for a target while it is cold.

After a power loss all targets of a service restart together while all callers
wait. A cold target is slow and crashes if it gets more requests than it can
handle. It then restarts cold, the other targets get its share and crash as
well, and the service does not recover. Every request to a target passes the
proxy on its host, so that proxy alone can enforce the limit for the whole
fleet.
"""

import dataclasses
import typing

from trefoil_model import token_bucket
from trefoil_wire import messages

# A target's report of its remaining warm-up is slightly out of date when it
# arrives.
MARGIN_MS = 50
# The burst is one request smaller, since the limit counts whole requests in
# any second.
RESERVED_REQUESTS = 1.0


@dataclasses.dataclass(slots=True, frozen=True)
class Limit:
    """Rate limit of a cold target.

    Args:
        per_s: Requests per second.
        burst: Requests in immediate succession after a time without any.
        lasts_ms: How long a target stays cold after its start.
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
            overage: Allowed rate as a multiple of the configured one.
            slack: Additional requests allowed in any second.
        """
        if not service.warmup_per_s:
            return None
        per_s = service.warmup_per_s * overage
        burst = max(slack - RESERVED_REQUESTS, 1.0)
        return cls(per_s, burst, service.warmup_ms)


class Warmup:
    """Rate limit of a target that may be cold.

    In any second a cold target gets at most the rate plus the burst. A target
    that turns cold starts without burst, since the requests that it got just
    before count too.

    Args:
        limit: Its rate limit while it is cold; None for no limit.
    """

    __slots__ = (
        "limit",
        "cold_until_ms",
        "assumed_cold",
        "bucket",
    )

    def __init__(self, limit: Limit | None) -> None:
        self.limit: Limit | None = None
        self.cold_until_ms = 0
        self.assumed_cold = False
        self.bucket: token_bucket.TokenBucket | None = None
        self.set_limit(limit, 0)

    def set_limit(self, limit: Limit | None, now_ms: int) -> None:
        """Change the limit that applies while the target is cold."""
        self.limit = limit
        if limit is None:
            self.bucket = None
        elif self.bucket is None:
            self.bucket = token_bucket.TokenBucket(
                limit.per_s, limit.burst, now_ms
            )
        else:
            self.bucket.set_rate(limit.per_s, limit.burst, now_ms)

    def is_cold(self, now_ms: int) -> bool:
        """Return whether the target is cold, or may be."""
        return now_ms < self.cold_until_ms

    def is_limited(self, now_ms: int) -> bool:
        """Return whether the rate limit applies to the target now."""
        return self.limit is not None and now_ms < self.cold_until_ms

    def announce(self, left_ms: int, now_ms: int) -> None:
        """Record the remaining warm-up that the target announced.

        An announcement that it is warm may have been sent before it turned
        cold, so it is ignored while the target is assumed cold.
        """
        if left_ms or not (self.assumed_cold and self.is_cold(now_ms)):
            self.set_remaining(left_ms, now_ms)

    def set_remaining(self, left_ms: int, now_ms: int) -> None:
        """Set the remaining warm-up, as the target returned it on request."""
        self.assumed_cold = False
        if not left_ms:
            self.cold_until_ms = min(self.cold_until_ms, now_ms)
            return
        if self.bucket is not None and not self.is_cold(now_ms):
            self.bucket.empty(now_ms)
        self.cold_until_ms = now_ms + left_ms + MARGIN_MS

    def assume_cold(self, now_ms: int) -> None:
        """Assume that the target is cold until it reports its warm-up."""
        if self.limit is not None:
            self.set_remaining(self.limit.lasts_ms, now_ms)
            self.assumed_cold = True

    def may_start(self, now_ms: int) -> bool:
        """Return whether the target may start a request now."""
        return not self.is_limited(now_ms) or self.bucket.may_start(now_ms)

    def started(self, now_ms: int) -> None:
        """Count a request that the target starts."""
        if self.is_limited(now_ms):
            self.bucket.started()

    def wait_ms(self, ahead: int, now_ms: int) -> float:
        """Return how long the rate limit delays a request.

        Args:
            ahead: Number of requests that wait before it.
            now_ms: The time on the runtime's clock.
        """
        if not self.is_limited(now_ms):
            return 0.0
        wait_ms = self.bucket.wait_ms(ahead, now_ms)
        return min(wait_ms, float(self.cold_until_ms - now_ms))
