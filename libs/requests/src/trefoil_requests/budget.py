"""The retry budget of a service."""

import enum

DEFAULT_RESERVE = 10.0
# Whether a call belongs to a repeated run is known only as a probability.
# Charging a tenth more covers the random variation of a few hundred calls.
CALL_PRICE = 1.1


class Cause(enum.StrEnum):
    """Why a target receives a request more than once."""

    REFUSED = "refused"
    BROKEN = "broken"
    LOST = "lost"
    HEDGED = "hedged"
    CALLED = "called"


class RetryBudget:
    """Limits repeats to a bounded share of a service's requests.

    Repeats add load when targets are slowest. Without a limit, a service that
    sheds a few requests gets up to twice the load and sheds more, and each
    level of a call chain multiplies that.

    In any window, targets receive at most ``reserve`` plus ``ratio`` times the
    requests of that window: a repeat that arrives was either paid for within
    the window or in flight at its start, and a repeat in flight occupies its
    part of the reserve. A new budget starts empty, so proxies that restart in
    turn do not spend their reserve twice.

    Args:
        ratio: Repeats allowed for each request.
        reserve: Limit of saved and in-flight repeats together.
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
        """Change the limit of saved and in-flight repeats together."""
        self.reserve = reserve
        self.tokens = min(self.tokens, reserve - self.in_flight)

    def deposit(self, repeat: float = 0.0) -> None:
        """Add the share of a repeat that an arriving request earns.

        Args:
            repeat: Probability that it was sent by a run that was a repeat.
                Such a call earns nothing and is charged even if the budget is
                empty: refusing it would make its parent fail, which was
                already paid for.
        """
        self.requests += 1
        available = self.reserve - self.in_flight - self.tokens
        self.tokens += min(self.ratio * (1 - repeat), max(available, 0.0))
        self.tokens -= repeat * CALL_PRICE
        self.spent[Cause.CALLED] += repeat

    def withdraw(self, cause: Cause) -> bool:
        """Pay for a repeat; return False if the budget is too low.

        The repeat counts as in flight until ``arrived`` is called for it.
        """
        if self.tokens < 1:
            return False
        self.tokens -= 1
        self.in_flight += 1
        self.spent[cause] += 1
        return True

    def arrived(self) -> None:
        """Record that a repeat reached its target or was dropped."""
        # A service that was removed from the configuration and added again
        # has a new budget, which does not know the repeat.
        self.in_flight = max(self.in_flight - 1, 0)

    def refund(self) -> None:
        """Refund a repeat for which no target was found."""
        self.tokens += 1
        self.arrived()
