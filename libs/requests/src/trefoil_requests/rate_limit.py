"""The rate limit that a target in need names in its answers.

Every request to a target passes the proxy on its host, so that proxy alone
can enforce the limit for the whole fleet.
"""

import math

from trefoil_model import token_bucket

from . import notices

# The bucket holds what the target takes in half a second: requests arrive
# unevenly, and a smaller bucket would leave a part of the limit unused.
BURST_S = 0.5
# A target that names less still gets a request every ten seconds, since only
# its answers show when the limit ends.
MIN_PER_S = 0.1
# No entry proxy waits longer for its turn: it does not learn of the end of a
# limit before it asks again.
MAX_TURN_MS = 2000


class RateLimit:
    """The limit that a target names, in the order in which it named it.

    Answers to concurrent requests arrive out of order. A lower limit applies
    at once. A higher one, or none, applies only if its request was sent after
    the limit in force was heard; otherwise the answer may be older than that
    limit, and would let requests through that the target cannot take.
    """

    __slots__ = (
        "per_s",
        "heard",
        "heard_ms",
        "since_ms",
        "bucket",
        "next_turn_ms",
    )

    def __init__(self) -> None:
        self.per_s: float | None = None
        self.heard = False
        self.heard_ms = 0
        self.since_ms = 0
        self.bucket: token_bucket.TokenBucket | None = None
        self.next_turn_ms = 0.0

    def hear(self, notice: notices.Notice, sent_ms: int, now_ms: int) -> bool:
        """Record what an answer states; return whether the limit changed.

        Args:
            notice: The statements in the answer.
            sent_ms: When its request was sent to the target.
            now_ms: The time on the runtime's clock.
        """
        if notice.malformed_limit:
            return False
        self.heard = True
        named = notice.limit_per_s
        lowers = named is not None and (
            self.per_s is None or named <= self.per_s
        )
        if not lowers and sent_ms < self.heard_ms:
            return False
        if named is not None:
            self.heard_ms = now_ms
        if named == self.per_s:
            return False
        self._set(named, now_ms)
        return True

    def adopt(self, per_s: float | None, now_ms: int) -> None:
        """Apply the limit that an entry proxy was told, if none is heard.

        After a restart of this proxy its target has not answered yet, while
        other proxies know its limit. The first answer shows what holds.

        Args:
            per_s: The limit, None if that proxy knows none.
            now_ms: The time on the runtime's clock.
        """
        if self.heard or per_s is None or not math.isfinite(per_s):
            return
        if self.per_s is None or per_s < self.per_s:
            self.heard_ms = now_ms
            self._set(per_s, now_ms)

    def _set(self, per_s: float | None, now_ms: int) -> None:
        self.per_s = per_s
        self.since_ms = now_ms
        if per_s is None:
            self.bucket = None
            return
        rate = max(per_s, MIN_PER_S)
        burst = max(rate * BURST_S, 1.0)
        if self.bucket is None:
            self.bucket = token_bucket.TokenBucket(rate, burst, now_ms)
        else:
            self.bucket.set_rate(rate, burst, now_ms)

    def may_start(self, now_ms: int) -> bool:
        """Return whether the target may start a request now."""
        return self.bucket is None or self.bucket.may_start(now_ms)

    def started(self) -> None:
        """Count a request that the target starts."""
        if self.bucket is not None:
            self.bucket.started()

    def wait_ms(self, ahead: int, now_ms: int) -> float:
        """Return how long the limit delays a request.

        Args:
            ahead: Number of requests that wait before it.
            now_ms: The time on the runtime's clock.
        """
        if self.bucket is None:
            return 0.0
        return self.bucket.wait_ms(ahead, now_ms)

    def turn_ms(self, queued: int, now_ms: int) -> int:
        """Return when the entry proxy that is answered now may ask again.

        Each proxy gets the time of another token. If all were told when the
        next one is free, they would ask for it together, and all but one
        would be refused.

        Args:
            queued: Number of requests that wait for a token.
            now_ms: The time on the runtime's clock.
        """
        if self.bucket is None:
            return 0
        free_ms = now_ms + self.bucket.wait_ms(queued, now_ms)
        turn_ms = max(free_ms, self.next_turn_ms)
        if turn_ms <= now_ms:
            return 0
        if turn_ms > now_ms + MAX_TURN_MS:
            return MAX_TURN_MS
        self.next_turn_ms = turn_ms + 1000 / self.bucket.per_s
        return int(turn_ms - now_ms)
