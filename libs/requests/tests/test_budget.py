"""Tests of retry budgets, which each proxy keeps by itself."""

import collections
import random

import pytest

from trefoil_requests import budget

RATIO = 0.2
SLACK = 58
PROXIES = 13
WINDOW_S = 10
DURATION_S = 60
RATES = (20, 400)


class Fleet:
    """Proxies that retry as often as their budgets allow.

    Args:
        seed: Draws which proxy gets a request.
    """

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.budgets = [self.start() for _ in range(PROXIES)]
        self.requests: collections.Counter[int] = collections.Counter()
        self.retries: collections.Counter[int] = collections.Counter()

    def start(self) -> budget.RetryBudget:
        """Return the budget of a proxy that starts and knows the others."""
        retry_budget = budget.RetryBudget(RATIO)
        retry_budget.set_reserve(SLACK / PROXIES)
        return retry_budget

    def run(self, per_s: int, *, restarts: bool) -> None:
        """Fail every request, and retry it as often as the budget allows.

        Args:
            per_s: Requests per second.
            restarts: Whether a proxy restarts each second.
        """
        for second in range(DURATION_S):
            if restarts:
                self.budgets[second % PROXIES] = self.start()
            for _ in range(per_s):
                # Callers are spread unevenly: of 26, three come to the first
                # proxy, one to the last and two to each of the others.
                proxy = self.rng.randrange(2 * PROXIES) % (PROXIES + 1)
                retry_budget = self.budgets[proxy % PROXIES]
                self.requests[second] += 1
                retry_budget.deposit()
                while retry_budget.withdraw(budget.Cause.REFUSED):
                    retry_budget.arrived()
                    self.retries[second] += 1

    def max_excess(self) -> float:
        """Return the largest excess of a window over its allowance."""
        return max(
            self._sum(self.retries, start)
            - RATIO * self._sum(self.requests, start)
            - SLACK
            for start in range(DURATION_S - WINDOW_S)
        )

    def _sum(self, counts: collections.Counter[int], start: int) -> int:
        return sum(counts[start + second] for second in range(WINDOW_S))


@pytest.mark.parametrize("per_s", RATES)
@pytest.mark.parametrize("restarts", [False, True])
def test_a_fleet_keeps_to_one_budget(per_s: int, restarts: bool) -> None:
    """Every request fails, and the proxies restart in turn.

    Guards against a start that grants a proxy its part of the slack again: a
    fleet that restarts in turn would then exceed its total budget.
    """
    fleet = Fleet(1)
    fleet.run(per_s, restarts=restarts)
    assert fleet.max_excess() <= 0


def test_late_repeats_still_occupy_the_reserve() -> None:
    """Repeats wait for a slot while others are paid, then arrive together.

    Without their place in the reserve, a window would exceed the budget.
    """
    retry_budget = budget.RetryBudget(RATIO, reserve=3)
    late = 0
    for _ in range(100):
        retry_budget.deposit()
        late += retry_budget.withdraw(budget.Cause.REFUSED)
    assert late == 3
    for _ in range(late):
        retry_budget.arrived()
    prompt = 0
    for _ in range(100):
        retry_budget.deposit()
        while retry_budget.withdraw(budget.Cause.REFUSED):
            retry_budget.arrived()
            prompt += 1
    assert late + prompt <= 3 + RATIO * 100


def test_a_call_pays_and_earns_by_its_repeat_probability() -> None:
    """Guards against calls of repeated runs that earn further retries."""
    retry_budget = budget.RetryBudget(RATIO, reserve=3)
    for _ in range(5):
        retry_budget.deposit()
    retry_budget.deposit(repeat=0.5)
    assert retry_budget.tokens == pytest.approx(
        5 * RATIO + RATIO / 2 - budget.CALL_PRICE / 2
    )
    retry_budget.deposit(repeat=1.0)
    assert not retry_budget.withdraw(budget.Cause.REFUSED)
    assert retry_budget.spent[budget.Cause.CALLED] == 1.5


def test_a_repeat_without_a_target_is_refunded() -> None:
    retry_budget = budget.RetryBudget(1.0, reserve=3)
    retry_budget.deposit()
    assert retry_budget.withdraw(budget.Cause.REFUSED)
    retry_budget.refund()
    assert retry_budget.tokens == 1
    assert retry_budget.in_flight == 0
