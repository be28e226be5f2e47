"""The retry budget of a whole fleet, kept by each proxy for itself."""

import collections
import random

import pytest

from trefoil_requests import budget

RATIO = 0.2
SLACK = 58
PROXIES = 13
WINDOW_S = 10
LASTS_S = 60
RATES = (20, 400)


class Fleet:
    """Proxies that retry as often as their budgets let them.

    Args:
        seed: Draws which proxy gets a request.
    """

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.budgets = [self.start() for _ in range(PROXIES)]
        self.requests: collections.Counter[int] = collections.Counter()
        self.retries: collections.Counter[int] = collections.Counter()

    def start(self) -> budget.RetryBudget:
        """Return the budget of a proxy that starts, and hears of others."""
        made = budget.RetryBudget(RATIO)
        made.set_reserve(SLACK / PROXIES)
        return made

    def play(self, per_s: int, *, restarts: bool) -> None:
        """Let every request fail and be retried where that is granted.

        Args:
            per_s: Requests a second.
            restarts: Whether a proxy restarts each second.
        """
        for second in range(LASTS_S):
            if restarts:
                self.budgets[second % PROXIES] = self.start()
            for _ in range(per_s):
                # Half of the callers come to one proxy.
                at = self.rng.randrange(2 * PROXIES) % (PROXIES + 1)
                found = self.budgets[at % PROXIES]
                self.requests[second] += 1
                found.deposit()
                while found.withdraw(budget.Cause.REFUSED):
                    found.arrived()
                    self.retries[second] += 1

    def worst(self) -> float:
        """Return the most that a window is over its allowance."""
        return max(
            self._sum(self.retries, start)
            - RATIO * self._sum(self.requests, start)
            - SLACK
            for start in range(LASTS_S - WINDOW_S)
        )

    def _sum(self, counts: collections.Counter[int], start: int) -> int:
        return sum(counts[start + second] for second in range(WINDOW_S))


@pytest.mark.parametrize("per_s", RATES)
@pytest.mark.parametrize("restarts", [False, True])
def test_a_fleet_keeps_to_one_budget(per_s: int, restarts: bool) -> None:
    """Every request fails, and the proxies are restarted in turn.

    Each start gave a proxy its part of the slack anew, so a fleet that
    restarts in turn repeated more often than all of it together may.
    """
    fleet = Fleet(1)
    fleet.play(per_s, restarts=restarts)
    assert fleet.worst() <= 0


def test_repeats_that_arrive_late_keep_their_place() -> None:
    """Repeats wait for a slot while others are paid, and all come at once."""
    found = budget.RetryBudget(RATIO, reserve=3)
    late = 0
    for _ in range(100):
        found.deposit()
        late += found.withdraw(budget.Cause.REFUSED)
    assert late == 3
    for _ in range(late):
        found.arrived()
    soon = 0
    for _ in range(100):
        found.deposit()
        while found.withdraw(budget.Cause.REFUSED):
            found.arrived()
            soon += 1
    assert late + soon <= 3 + RATIO * 100


def test_a_call_that_may_repeat_pays_and_earns_by_its_odds() -> None:
    found = budget.RetryBudget(RATIO, reserve=3)
    for _ in range(5):
        found.deposit()
    found.deposit(repeat=0.5)
    assert found.tokens == pytest.approx(
        5 * RATIO + RATIO / 2 - budget.CALL_PRICE / 2
    )
    found.deposit(repeat=1.0)
    assert not found.withdraw(budget.Cause.REFUSED)
    assert found.spent[budget.Cause.CALLED] == 1.5


def test_a_repeat_without_a_target_is_given_back() -> None:
    found = budget.RetryBudget(1.0, reserve=3)
    found.deposit()
    assert found.withdraw(budget.Cause.REFUSED)
    found.refund()
    assert found.tokens == 1
    assert found.in_flight == 0
