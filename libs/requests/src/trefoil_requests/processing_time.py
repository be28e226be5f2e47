"""How long requests run on one target, as its own proxy measures it.

Targets of a service differ in speed. A proxy of a large fleet sees each of
them only now and then: with 91 proxies and 48 targets it would need minutes
to learn which are slow, and until then a third of its callers meet one. The
target's own proxy sees every request, so it tells the others.
"""

# The mean of work that spreads by 0.8 of itself is then known to a tenth; a
# target that turns five times slower still shows within four requests.
SAMPLE_WEIGHT = 0.03
MIN_SAMPLES = 15
# Each telling goes to every proxy of the fleet. Four times the mean's own
# noise is seldom reached by chance, and targets that differ by less may as
# well be taken for equal.
REPORT_THRESHOLD = 0.4


class ProcessingTime:
    """The usual time of a request on a target."""

    __slots__ = ("count", "mean_us", "reported_us")

    def __init__(self) -> None:
        self.count = 0
        self.mean_us = 0.0
        self.reported_us = 0

    @property
    def usual_us(self) -> int:
        """Return the usual time, 0 while too little was seen."""
        return int(self.mean_us) if self.count >= MIN_SAMPLES else 0

    @property
    def should_report(self) -> bool:
        """Tell whether other proxies should hear of a change."""
        if not self.usual_us:
            return False
        return (
            abs(self.usual_us - self.reported_us)
            > REPORT_THRESHOLD * self.reported_us
        )

    def add(self, took_us: float) -> None:
        """Take in how long a request ran."""
        self.count += 1
        weight = max(1 / self.count, SAMPLE_WEIGHT)
        self.mean_us += weight * (took_us - self.mean_us)

    def report(self) -> int:
        """Return what other proxies are told from now on."""
        if self.should_report:
            self.reported_us = self.usual_us
        return self.reported_us
