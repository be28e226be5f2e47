"""Counts extra arrivals at targets in windows, to check a retry budget.

An arrival is extra if the same request has arrived before, or if the request
is a nested call of a repeat.
"""

import bisect
import collections
import dataclasses
import math

WINDOW_MS = 10_000


@dataclasses.dataclass(slots=True)
class BudgetWindow:
    """Extra arrivals in one window, and how many the budget allows.

    Args:
        since_ms: Start of the window.
        extra: Extra arrivals in the window.
        allowed: Extra arrivals that the budget allows.
    """

    since_ms: float = 0.0
    extra: int = 0
    allowed: float = 0.0

    @property
    def excess(self) -> float:
        """Return how many arrivals exceed the budget; negative if none do."""
        return self.extra - self.allowed


class Arrivals:
    """Requests of a service, and their arrivals at its targets.

    Args:
        ratio: Extra arrivals that are allowed per request.
        slack: Extra arrivals that are allowed in any window on top of the
            ratio.
    """

    __slots__ = (
        "ratio",
        "slack",
        "requests_ms",
        "extra_ms",
        "arrivals_by_request",
    )

    def __init__(self, ratio: float, slack: float) -> None:
        self.ratio = ratio
        self.slack = slack
        self.requests_ms: list[float] = []
        self.extra_ms: list[float] = []
        self.arrivals_by_request: collections.Counter[int] = (
            collections.Counter()
        )

    def record_request(self, now_ms: float) -> None:
        """Count a caller's request, or a nested call of a first run."""
        self.requests_ms.append(now_ms)

    def record_arrival(self, number: int, repeat: bool, now_ms: float) -> bool:
        """Count the arrival of a request at a target.

        Args:
            number: Number that identifies the request.
            repeat: Whether the run that made the request is a repeat.
            now_ms: Current time.

        Returns:
            Whether the arrival is an extra one.
        """
        self.arrivals_by_request[number] += 1
        extra = repeat or self.arrivals_by_request[number] > 1
        if extra:
            self.extra_ms.append(now_ms)
        return extra

    def worst_window(self) -> BudgetWindow:
        """Return the window with the largest excess."""
        worst = BudgetWindow(allowed=math.inf)
        for index, since_ms in enumerate(self.extra_ms):
            until_ms = since_ms + WINDOW_MS
            extra = bisect.bisect_left(self.extra_ms, until_ms) - index
            allowed = (
                self.ratio * self._credited_requests(since_ms) + self.slack
            )
            window = BudgetWindow(since_ms, extra, allowed)
            if window.excess > worst.excess:
                worst = window
        return worst

    def _credited_requests(self, since_ms: float) -> int:
        """Return the number of requests that earn budget for a window.

        This is the largest count of three windows: the window itself, the
        one half a window earlier and the one a whole window earlier.
        """
        return max(
            self._requests_in_window(since_ms - offset_ms)
            for offset_ms in (0, WINDOW_MS / 2, WINDOW_MS)
        )

    def _requests_in_window(self, since_ms: float) -> int:
        end = bisect.bisect_left(self.requests_ms, since_ms + WINDOW_MS)
        return end - bisect.bisect_left(self.requests_ms, since_ms)
