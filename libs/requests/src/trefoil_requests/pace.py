"""Mean processing time of one target, measured by the proxy on its host.

Targets of a service differ in speed. A proxy in a large fleet sends each of
them only an occasional request: with 91 proxies and 48 targets it would need
minutes to learn which targets are slow, and until then a third of its callers
would be routed to one. The proxy on the target's host sees every request of
the target and reports its processing time to the other proxies.
"""

# Weight of one sample in the moving mean. Where the standard deviation is 0.8
# of the mean, the mean is then accurate to a tenth. A target that becomes five
# times slower is still detected within four requests.
SAMPLE_WEIGHT = 0.03
MIN_SAMPLES = 15
# Relative change that is reported. Each report goes to every proxy of the
# fleet. Four times the noise of the mean is seldom reached by chance, and
# targets that differ by less can be treated as equal.
REPORT_THRESHOLD = 0.4


class ProcessingTime:
    """Moving mean of the time that requests run on a target."""

    __slots__ = ("count", "mean_us", "reported_us")

    def __init__(self) -> None:
        self.count = 0
        self.mean_us = 0.0
        self.reported_us = 0

    @property
    def usual_us(self) -> int:
        """Return the mean in microseconds, 0 below ``MIN_SAMPLES``."""
        return int(self.mean_us) if self.count >= MIN_SAMPLES else 0

    @property
    def should_report(self) -> bool:
        """Return whether the mean has changed enough to be reported."""
        if not self.usual_us:
            return False
        return (
            abs(self.usual_us - self.reported_us)
            > REPORT_THRESHOLD * self.reported_us
        )

    def add(self, took_us: float) -> None:
        """Add the run time of one request, in microseconds."""
        self.count += 1
        weight = max(1 / self.count, SAMPLE_WEIGHT)
        self.mean_us += weight * (took_us - self.mean_us)

    def report(self) -> int:
        """Return the value for other proxies, in microseconds.

        A changed mean is marked as reported; 0 means that none is known.
        """
        if self.should_report:
            self.reported_us = self.usual_us
        return self.reported_us
