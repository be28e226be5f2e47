"""How much more of a service's traffic a move may risk on a version.

The load that this answers: a version that is well on a small share and fails
once it has the traffic. Each step then costs its share for as long as it
lasts, and the last one costs everything for the time that a fault takes to
be seen. A step that waits too long for evidence leaves nothing for that.
"""

from . import evidence as evidences

# An entry of the log and a publication to every proxy.
SPREAD_MS = 100
WHOLE = 1000


class Exposure:
    """The account of one move's version under judgement.

    Amounts are times at the whole traffic, in milliseconds: a second at a
    share of 8% is 80 ms.

    Args:
        version: The version.
        part: Part of the service's requests from the move's start to its
            deadline that the version may get while it may be bad.
        requests: Requests that it may get besides.
        span_ms: Time from the move's start to its deadline.
    """

    __slots__ = ("version", "part", "requests", "span_ms", "given", "total")

    def __init__(
        self, version: str, *, part: float, requests: float, span_ms: float
    ) -> None:
        self.version = version
        self.part = part
        self.requests = requests
        self.span_ms = span_ms
        self.given = 0.0
        self.total = 0.0

    @property
    def is_bounded(self) -> bool:
        """Tell whether there is anything to keep to."""
        return self.part < 1.0

    def add(self, window: evidences.Window) -> None:
        """Count the requests of a window."""
        for key, counts in window.items():
            self.total += counts.requests
            if key.version == self.version:
                self.given += counts.requests

    def spare_ms(
        self, counted_ms: float, permille: int, seen_late_ms: float
    ) -> float:
        """Return what may be spent beyond what the whole share will cost.

        Args:
            counted_ms: How long requests have been counted.
            permille: The version's share now; some of what it got is not
                reported yet.
            seen_late_ms: How long a fault takes to be seen and taken back,
                which is what the whole share costs.
        """
        left_ms = self.part * self.span_ms
        if self.total:
            left_ms += (self.requests - self.given) * counted_ms / self.total
        return left_ms - seen_late_ms * (1 + permille / WHOLE)
