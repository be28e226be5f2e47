"""Token bucket that bounds a rate of requests."""


class TokenBucket:
    """A bucket with one token for each request that may start.

    In any time t, at most ``burst`` + t x ``per_s`` requests start. A new
    bucket is empty: the requests just before it count too, and may have been
    as many as allowed.

    Args:
        per_s: Tokens added per second; greater than 0.
        burst: Most tokens that it holds, at least 1.
        now_ms: The time on the runtime's clock.
    """

    __slots__ = ("per_s", "burst", "tokens", "refilled_at_ms")

    def __init__(self, per_s: float, burst: float, now_ms: int = 0) -> None:
        self.per_s = per_s
        self.burst = burst
        self.tokens = 0.0
        self.refilled_at_ms = now_ms

    def empty(self, now_ms: int) -> None:
        """Remove all tokens."""
        self.tokens = 0.0
        self.refilled_at_ms = now_ms

    def set_rate(self, per_s: float, burst: float, now_ms: int) -> None:
        """Change the rate and the size; tokens beyond the size are lost."""
        self.refill(now_ms)
        self.per_s = per_s
        self.burst = burst
        self.tokens = min(self.tokens, burst)

    def refill(self, now_ms: int) -> float:
        """Add the tokens since the last call; return how many there are."""
        new_tokens = (now_ms - self.refilled_at_ms) * self.per_s / 1000
        self.tokens = min(self.tokens + new_tokens, self.burst)
        self.refilled_at_ms = now_ms
        return self.tokens

    def may_start(self, now_ms: int) -> bool:
        """Return whether there is a token for a request."""
        return self.refill(now_ms) >= 1.0

    def started(self) -> None:
        """Take the token of a request that starts."""
        self.tokens -= 1.0

    def add(self, count: float, now_ms: int) -> None:
        """Add tokens of another bucket; those beyond the size are lost."""
        self.tokens = min(self.refill(now_ms) + count, self.burst)

    def take_up_to(self, count: float, now_ms: int) -> float:
        """Take tokens, in parts too, and return how many there were.

        Args:
            count: Most tokens to take.
            now_ms: The time on the runtime's clock.
        """
        taken = max(min(count, self.refill(now_ms)), 0.0)
        self.tokens -= taken
        return taken

    def wait_ms(self, ahead: int, now_ms: int) -> float:
        """Return how long a request waits for its token.

        Args:
            ahead: Number of requests that wait before it.
            now_ms: The time on the runtime's clock.
        """
        missing_tokens = ahead + 1 - self.refill(now_ms)
        return max(missing_tokens, 0.0) * 1000 / self.per_s
