"""Estimates how long callers have already waited from their deadlines.

A caller whose request was refused retries with the rest of its wait limit as
the new deadline. If the retry were treated as a new request, it would get a
full latency target again. It would then take a slot before requests that can
still be answered in time, although its own answer is late in any case.
"""

import collections
import collections.abc

# Enough requests to find a deadline that a quarter of the callers send, few
# enough to follow a change of the callers within seconds.
WINDOW_REQUESTS = 64
MIN_SAMPLES = 8
# If each caller retries twice, a third of the requests are still first
# attempts, and the largest fifth of the deadlines belongs to first attempts.
# A few callers with longer deadlines than the rest stay above this quantile.
ORIGINAL_QUANTILE = 0.8
# First attempts on a route have the same deadline, up to rounding. Where no
# deadline is common, as with calls that inherit the remaining time of their
# parent, no wait is inferred.
TOLERANCE_MS = 5
MIN_COMMON_SHARE = 0.2


class OriginalDeadlines:
    """Learns the deadline of first attempts on each route.

    ``deadlines`` holds the latest deadlines of each route, in milliseconds.
    """

    __slots__ = ("deadlines",)

    def __init__(self) -> None:
        self.deadlines: dict[str, collections.deque[int]] = {}

    def waited_ms(self, route: str, deadline_ms: int) -> int:
        """Record a deadline; return how long its caller has waited so far.

        Args:
            route: Name of the requested route.
            deadline_ms: Time until the caller's deadline; 0 if it sent none.
        """
        if not deadline_ms:
            return 0
        recent = self.deadlines.get(route)
        if recent is None:
            recent = self.deadlines[route] = collections.deque(
                maxlen=WINDOW_REQUESTS
            )
        recent.append(deadline_ms)
        return max(_original_ms(recent) - deadline_ms, 0)

    def keep_only(self, routes: collections.abc.Container[str]) -> None:
        """Remove the routes that are no longer configured."""
        for route in [r for r in self.deadlines if r not in routes]:
            del self.deadlines[route]


def _original_ms(recent: collections.deque[int]) -> int:
    """Return the deadline of first attempts, 0 if none is common."""
    if len(recent) < MIN_SAMPLES:
        return 0
    original_ms = sorted(recent)[int(len(recent) * ORIGINAL_QUANTILE)]
    matching = sum(
        abs(deadline_ms - original_ms) <= TOLERANCE_MS
        for deadline_ms in recent
    )
    return original_ms if matching >= MIN_COMMON_SHARE * len(recent) else 0
