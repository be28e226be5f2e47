"""Retry budgets of one entry proxy, one for each service."""

import collections.abc

from trefoil_wire import messages

from . import budget
from . import live as live_calls


class RetryBudgets:
    """The retry budgets of all services, charged and refunded per attempt.

    Args:
        max_ratio: Upper bound of repeats for each request, applied to the
            ratio in each service's configuration.
        reserve: This proxy's share of the repeats beyond the ratio.
    """

    __slots__ = ("budgets", "max_ratio", "reserve")

    def __init__(
        self, max_ratio: float = 1.0, reserve: float = budget.DEFAULT_RESERVE
    ) -> None:
        self.budgets: dict[str, budget.RetryBudget] = {}
        self.max_ratio = max_ratio
        self.reserve = reserve

    def put_in_force(
        self, services: collections.abc.Mapping[str, messages.Service]
    ) -> None:
        """Apply a configuration: one budget for each of its services.

        Services that were configured before keep their budgets.
        """
        self.budgets = {
            name: self.budgets.get(name) or self._budget_of(service)
            for name, service in services.items()
        }

    def _budget_of(self, service: messages.Service) -> budget.RetryBudget:
        ratio = min(service.retry_budget, self.max_ratio)
        return budget.RetryBudget(ratio, self.reserve)

    def set_reserve(self, reserve: float) -> None:
        """Set this proxy's share of the repeats beyond the ratios.

        All proxies together must stay within one retry slack for each
        service. Their shares are equal, so that the sum also holds while some
        proxies are partitioned from the others.
        """
        self.reserve = reserve
        for service_budget in self.budgets.values():
            service_budget.set_reserve(reserve)

    def has_budget(self, service: str) -> bool:
        """Return whether a service has a budget.

        A service that was removed from the configuration has none, although
        some of its requests may still run.
        """
        return service in self.budgets

    def remaining(self, service: str) -> float:
        """Return how many repeats the budget of a service allows now."""
        return self.budgets[service].tokens

    def deposit(self, live: live_calls.LiveCall) -> None:
        """Credit the budget of a service for a new request.

        If the request may be a call of a repeat, the budget is charged by
        that probability.
        """
        self.budgets[live.service].deposit(live.repeat)

    def withdraw(self, service: str, cause: budget.Cause) -> bool:
        """Charge the budget for a repeat; return whether it sufficed."""
        service_budget = self.budgets.get(service)
        return service_budget is not None and service_budget.withdraw(cause)

    def refund(self, live: live_calls.LiveCall) -> None:
        """Refund the charge for a repeat for which there was no target."""
        service_budget = self.budgets.get(live.service)
        if live.paid and service_budget is not None:
            live.paid = False
            service_budget.refund()

    def arrived(self, service: str) -> None:
        """Record that a repeat reached its target or was dropped."""
        service_budget = self.budgets.get(service)
        if service_budget is not None:
            service_budget.arrived()

    def end(self, live: live_calls.LiveCall) -> None:
        """Record the end of an attempt, if it was charged as a repeat.

        Of two parallel attempts, the one that arrives last counts as the
        repeat, whichever was charged. If the other one is still in flight,
        the charge passes to it.
        """
        paid = live.paid
        live.paid = False
        if paid and live.hedge is not None and not live.hedge.paid:
            live.hedge.paid = True
        elif paid:
            self.arrived(live.service)
