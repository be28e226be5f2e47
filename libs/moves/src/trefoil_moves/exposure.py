"""How much more of a service's traffic a move may risk on a version.

The load that this answers: a version that is well on a small share and fails
once it has the traffic. Each step then costs its share for as long as it
lasts, and the last one costs everything until a fault is seen and taken back.
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

    def left_ms(self, counted_ms: float) -> float:
        """Return what the version may still get.

        Args:
            counted_ms: How long requests have been counted.
        """
        left_ms = self.part * self.span_ms
        if self.total:
            left_ms += (self.requests - self.given) * counted_ms / self.total
        return left_ms
