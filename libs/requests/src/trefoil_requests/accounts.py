"""The retry budgets of one entry proxy, and what its calls took of them."""

import collections.abc

from trefoil_wire import messages

from . import budget
from . import live as live_calls


class Accounts:
    """One budget for each service, and who has to pay or is paid back.

    Args:
        most_ratio: Most repeats for each request, whatever a service's
            configuration says.
        reserve: This proxy's part of the repeats beyond the ratio.
    """

    __slots__ = ("budgets", "most_ratio", "reserve")

    def __init__(
        self, most_ratio: float = 1.0, reserve: float = budget.DEFAULT_RESERVE
    ) -> None:
        self.budgets: dict[str, budget.RetryBudget] = {}
        self.most_ratio = most_ratio
        self.reserve = reserve

    def put_in_force(
        self, services: collections.abc.Mapping[str, messages.Service]
    ) -> None:
        """Keep a budget for each service of a new configuration."""
        self.budgets = {
            name: self.budgets.get(name) or self._budget_of(service)
            for name, service in services.items()
        }

    def _budget_of(self, service: messages.Service) -> budget.RetryBudget:
        ratio = min(service.retry_budget, self.most_ratio)
        return budget.RetryBudget(ratio, self.reserve)

    def share_slack(self, reserve: float) -> None:
        """Take this proxy's part of the repeats beyond the ratios.

        All proxies together must keep to one slack for each service. Their
        parts are equal, so that the sum holds while some are cut off.
        """
        self.reserve = reserve
        for found in self.budgets.values():
            found.set_reserve(reserve)

    def keeps(self, service: str) -> bool:
        """Tell whether a service has a budget.

        It has none once it left the configuration, though its requests run.
        """
        return service in self.budgets

    def left(self, service: str) -> float:
        """Return how many repeats a service has left."""
        return self.budgets[service].tokens

    def deposit(self, live: live_calls.LiveCall) -> None:
        """Earn a request's part of a repeat, and pay if it is one itself."""
        self.budgets[live.service].deposit(live.repeat)

    def withdraw(self, service: str, cause: budget.Cause) -> bool:
        """Pay for a repeat; return whether there was enough."""
        found = self.budgets.get(service)
        return found is not None and found.withdraw(cause)

    def refund(self, live: live_calls.LiveCall) -> None:
        """Take back what was paid for a repeat that found no target."""
        found = self.budgets.get(live.service)
        if live.paid and found is not None:
            live.paid = False
            found.refund()

    def arrived(self, service: str) -> None:
        """Note that a repeat has reached its target, or never will."""
        found = self.budgets.get(service)
        if found is not None:
            found.arrived()

    def end(self, live: live_calls.LiveCall) -> None:
        """Note that an attempt has ended, if it was a repeat.

        Of two attempts the one that arrives last is the repeat, whichever
        was paid for. The other may still be on its way.
        """
        paid = live.paid
        live.paid = False
        if paid and live.hedge is not None and not live.hedge.paid:
            live.hedge.paid = True
        elif paid:
            self.arrived(live.service)
