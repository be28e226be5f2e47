"""Rate of events, measured over about the last second."""

import math

# Follows a sudden change within a second, and varies little between two.
TIME_CONSTANT_MS = 500.0


class Demand:
    """An exponentially weighted rate of events."""

    __slots__ = ("weight", "counted_ms")

    def __init__(self) -> None:
        self.weight = 0.0
        self.counted_ms = 0

    def add(self, count: float, now_ms: int) -> None:
        """Count events."""
        self._decay(now_ms)
        self.weight += count

    def per_s(self, now_ms: int) -> float:
        """Return the rate in events per second."""
        self._decay(now_ms)
        return self.weight * 1000 / TIME_CONSTANT_MS

    def _decay(self, now_ms: int) -> None:
        elapsed_ms = max(now_ms - self.counted_ms, 0)
        self.weight *= math.exp(-elapsed_ms / TIME_CONSTANT_MS)
        self.counted_ms = now_ms
