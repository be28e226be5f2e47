"""The exposure budget: how much traffic a move may risk on a new version.

It bounds the harm of a version that works on a small share and fails once it
has all the traffic. Each step costs its share for as long as it lasts, and
the last one costs all requests until the fault is detected and the move is
taken back.
"""

from . import evidence as evidences

# Time to commit a log entry and to publish it to every proxy.
PROPAGATION_MS = 100
# Share of a version that has all the traffic, in permille.
FULL_PERMILLE = 1000


class Exposure:
    """The exposure budget of one move's new version.

    Amounts are milliseconds at full traffic: a second at a share of 8% is
    80 ms.

    Args:
        version: The new version.
        max_share: Part of the service's requests from the move's start to its
            deadline that the version may get while it may be bad.
        extra_requests: Requests that it may get in addition.
        span_ms: Time from the move's start to its deadline.
    """

    __slots__ = (
        "version",
        "max_share",
        "extra_requests",
        "span_ms",
        "new_requests",
        "all_requests",
    )

    def __init__(
        self,
        version: str,
        *,
        max_share: float,
        extra_requests: float,
        span_ms: float,
    ) -> None:
        self.version = version
        self.max_share = max_share
        self.extra_requests = extra_requests
        self.span_ms = span_ms
        self.new_requests = 0.0
        self.all_requests = 0.0

    @property
    def is_bounded(self) -> bool:
        """Return whether operators have set a bound."""
        return self.max_share < 1.0

    def add(self, window: evidences.Window) -> None:
        """Count the requests of a window against the budget."""
        for key, counts in window.items():
            self.all_requests += counts.requests
            if key.version == self.version:
                self.new_requests += counts.requests

    def remaining_ms(self, counted_ms: float) -> float:
        """Return the budget that is left, as milliseconds at full traffic.

        Args:
            counted_ms: How long requests have been counted.
        """
        remaining_ms = self.max_share * self.span_ms
        if self.all_requests:
            remaining_ms += (
                (self.extra_requests - self.new_requests)
                * counted_ms
                / self.all_requests
            )
        return remaining_ms
