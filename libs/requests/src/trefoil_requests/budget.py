"""The retry budget of a service."""

import enum

DEFAULT_RESERVE = 10.0
# Whose run a call belongs to is known by its odds only. A tenth more than
# the odds covers the luck of a few hundred calls.
CALL_PRICE = 1.1


class Cause(enum.StrEnum):
    """Why a target sees a request more than once."""

    REFUSED = "refused"
    BROKEN = "broken"
    LOST = "lost"
    HEDGED = "hedged"
    CALLED = "called"


class RetryBudget:
    """Lets repeats be a bounded share of a service's requests.

    Repeats add load when targets are slowest. Without a bound, a service
    that sheds a little gets up to twice the load and sheds more, and each
    level of a chain multiplies that.

    In any window, targets see at most ``reserve`` and ``ratio`` times the
    requests of that window: a repeat that arrives was paid within it, or it
    was under way at its begin, and then its place in the reserve was not
    given to another. A start has saved nothing, so proxies that restart in
    turn don't spend their reserve twice.

    Args:
        ratio: Repeats allowed for each request.
        reserve: Repeats that may be saved up or under way.
    """

    __slots__ = (
        "ratio",
        "reserve",
        "tokens",
        "in_flight",
        "requests",
        "spent",
    )

    def __init__(self, ratio: float, reserve: float = DEFAULT_RESERVE) -> None:
        self.ratio = ratio
        self.reserve = reserve
        self.tokens = 0.0
        self.in_flight = 0
        self.requests = 0
        self.spent = dict.fromkeys(Cause, 0.0)

    def set_reserve(self, reserve: float) -> None:
        """Change how many repeats may be saved up or under way."""
        self.reserve = reserve
        self.tokens = min(self.tokens, reserve - self.in_flight)

    def deposit(self, repeat: float = 0.0) -> None:
        """Note a request that came.

        Args:
            repeat: How likely it is a call of a run that was a repeat. Such
                a call earns nothing, and can't be refused for want of
                budget: its parent, which was paid for, would fail.
        """
        self.requests += 1
        room = self.reserve - self.in_flight - self.tokens
        self.tokens += min(self.ratio * (1 - repeat), max(room, 0.0))
        self.tokens -= repeat * CALL_PRICE
        self.spent[Cause.CALLED] += repeat

    def withdraw(self, cause: Cause) -> bool:
        """Take a repeat; return whether there was one left.

        It counts as under way until ``arrived`` is called for it.
        """
        if self.tokens < 1:
            return False
        self.tokens -= 1
        self.in_flight += 1
        self.spent[cause] += 1
        return True

    def arrived(self) -> None:
        """Note that a repeat has reached its target, or never will."""
        # A service that left the configuration and came back has a new one.
        self.in_flight = max(self.in_flight - 1, 0)

    def refund(self) -> None:
        """Return a repeat for which there was no target."""
        self.tokens += 1
        self.arrived()
