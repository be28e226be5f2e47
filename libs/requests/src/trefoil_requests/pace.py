"""How long requests run on one target, as its own proxy measures it.

Targets of a service differ in speed. A proxy of a large fleet sees each of
them only now and then: with 91 proxies and 48 targets it would need minutes
to learn which are slow, and until then a third of its callers meet one. The
target's own proxy sees every request, so it tells the others.
"""

# The mean of work that spreads by 0.8 of itself is then known to a tenth; a
# target that turns five times slower still shows within four requests.
WEIGHT = 0.03
LEAST_SEEN = 15
# Each telling goes to every proxy of the fleet. Four times the mean's own
# noise is seldom reached by chance, and targets that differ by less may as
# well be taken for equal.
WORTH_TELLING = 0.4


class Pace:
    """The usual time of a request on a target."""

    __slots__ = ("count", "mean_us", "told_us")

    def __init__(self) -> None:
        self.count = 0
        self.mean_us = 0.0
        self.told_us = 0

    @property
    def usual_us(self) -> int:
        """Return the usual time, 0 while too little was seen."""
        return int(self.mean_us) if self.count >= LEAST_SEEN else 0

    @property
    def is_news(self) -> bool:
        """Tell whether other proxies should hear of a change."""
        if not self.usual_us:
            return False
        return abs(self.usual_us - self.told_us) > WORTH_TELLING * self.told_us

    def note(self, took_us: float) -> None:
        """Take in how long a request ran."""
        self.count += 1
        weight = max(1 / self.count, WEIGHT)
        self.mean_us += weight * (took_us - self.mean_us)

    def tell(self) -> int:
        """Return what other proxies are told from now on."""
        if self.is_news:
            self.told_us = self.usual_us
        return self.told_us
