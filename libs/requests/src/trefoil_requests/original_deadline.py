"""How long callers have waited already, by the deadlines they give.

A caller whose request was refused comes back and gives as its deadline what
is left of its patience. Taken for a new one it would get a full latency aim
again and a slot before callers that can still be answered in time, although
its own answer is late whatever happens.
"""

import collections
import collections.abc

# Enough to find a value that a quarter of the callers give, few enough to
# follow a change of the callers within seconds.
WINDOW_REQUESTS = 64
MIN_SAMPLES = 8
# With two returns for each refusal a third of the requests are still first
# ones; the greatest fifth of the deadlines then are those of first ones. A
# few callers that are more patient than the rest do not reach so far.
ORIGINAL_QUANTILE = 0.8
# First requests of a route give the same deadline but for rounding. Where no
# deadline is common, as in calls that inherit what their parent has left,
# nothing is concluded.
TOLERANCE_MS = 5
MIN_COMMON_SHARE = 0.2


class OriginalDeadlines:
    """Learns each route's usual deadline from its callers."""

    __slots__ = ("deadlines",)

    def __init__(self) -> None:
        self.deadlines: dict[str, collections.deque[int]] = {}

    def waited_ms(self, route: str, deadline_ms: int) -> int:
        """Note a caller's deadline; return how long it has waited before.

        Args:
            route: The route it asks for.
            deadline_ms: How long it will still wait; 0 if it does not say.
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
        """Forget the routes that are gone."""
        for route in [r for r in self.deadlines if r not in routes]:
            del self.deadlines[route]


def _original_ms(recent: collections.deque[int]) -> int:
    """Return the deadline of first requests, 0 if none is common."""
    if len(recent) < MIN_SAMPLES:
        return 0
    original_ms = sorted(recent)[int(len(recent) * ORIGINAL_QUANTILE)]
    matching = sum(
        abs(deadline_ms - original_ms) <= TOLERANCE_MS
        for deadline_ms in recent
    )
    return original_ms if matching >= MIN_COMMON_SHARE * len(recent) else 0
