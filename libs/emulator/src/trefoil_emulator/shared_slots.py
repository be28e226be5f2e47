"""Plays accounts that share the slots of one target.

The target's admission control is the product's; arrivals and run times are
drawn. Ways of sharing replace ``FairShares`` and see the same draws.
"""

import dataclasses
import heapq
import itertools
import math
import random

from trefoil_requests import admission
from trefoil_requests import fair_shares

SLOTS = 6
ACCOUNTS = 12
MEAN_WORK_MS = 60.0
# Standard deviation of the work over its mean.
WORK_SPREAD = 0.8
AIM_MS = 400
TIMEOUT_MS = 2000
TICK_MS = 10
# Part of the slots that all accounts use together at their usual rates.
USUAL_LOAD = 0.75


class NoShares(fair_shares.FairShares):
    """Accounts are not told apart."""

    def place(self, account: str) -> int:
        """Return the same place for all."""
        return 0


class LeastServed(fair_shares.FairShares):
    """The account that had the least work for its weight goes first."""

    def place(self, account: str) -> float:
        """Return the recent work of an account over its weight."""
        return self.work_ms.get(account, 0.0) / self.weight(account)


WAYS: dict[str, type[fair_shares.FairShares]] = {
    "none": NoShares,
    "least_served": LeastServed,
    "over_share_last": fair_shares.FairShares,
}


@dataclasses.dataclass(slots=True)
class Arrival:
    """A request that reaches the target.

    Args:
        at_ms: When.
        account: Name of its account.
        work_ms: How long it runs.
    """

    at_ms: float
    account: str
    work_ms: float


@dataclasses.dataclass(slots=True)
class Figures:
    """What the accounts got.

    Args:
        waits_ms: Time from arrival to the end of each answer by account.
        sent: Requests by account.
    """

    waits_ms: dict[str, list[float]]
    sent: dict[str, int]

    def in_time(self, accounts: list[str]) -> float:
        """Return the part of the accounts' requests answered in time."""
        good = sum(
            wait <= AIM_MS for name in accounts for wait in self.waits_ms[name]
        )
        return good / sum(self.sent[name] for name in accounts)

    def p99_ms(self, accounts: list[str]) -> float:
        """Return the 99th percentile of the time until an answer."""
        waits = sorted(w for name in accounts for w in self.waits_ms[name])
        return waits[int(len(waits) * 0.99)]

    def answers(self, accounts: list[str]) -> int:
        """Return how many answers the accounts got."""
        return sum(len(self.waits_ms[name]) for name in accounts)


def names() -> list[str]:
    """Return the names of the accounts; the first may flood."""
    return [f"a{i}" for i in range(ACCOUNTS)]


def draw(flooding: float, duration_ms: int, seed: int) -> list[Arrival]:
    """Return arrivals in order of time.

    The draws of an account don't depend on what the others send.

    Args:
        flooding: Rate of the first account, in multiples of its usual one.
        duration_ms: Length of the play.
        seed: Seed of all draws.
    """
    sigma = math.sqrt(math.log(1 + WORK_SPREAD**2))
    mu = math.log(MEAN_WORK_MS) - sigma**2 / 2
    usual = USUAL_LOAD * SLOTS / MEAN_WORK_MS / ACCOUNTS
    arrivals = []
    for index, name in enumerate(names()):
        rng = random.Random(f"{seed}:{name}")
        rate = usual * (flooding if index == 0 else 1.0)
        at_ms = rng.expovariate(rate)
        while at_ms < duration_ms:
            arrivals.append(
                Arrival(at_ms, name, rng.lognormvariate(mu, sigma))
            )
            at_ms += rng.expovariate(rate)
    return sorted(arrivals, key=lambda arrival: arrival.at_ms)


class SharedSlots:
    """One target, its queue and what its accounts send.

    Args:
        arrivals: The requests in order of time.
        way: Name of the way of sharing.
    """

    __slots__ = ("arrivals", "slots", "ends", "requests", "figures")

    def __init__(self, arrivals: list[Arrival], way: str) -> None:
        self.arrivals = arrivals
        self.slots = admission.AdmissionController(SLOTS)
        self.slots.shares = WAYS[way](SLOTS)
        self.ends: list[tuple[float, int]] = []
        self.requests: dict[int, Arrival] = {}
        self.figures = Figures(
            {name: [] for name in names()}, dict.fromkeys(names(), 0)
        )

    def play(self) -> Figures:
        """Play all arrivals and return what the accounts got."""
        ids = itertools.count(1)
        for arrival in self.arrivals:
            self._advance(arrival.at_ms)
            self._arrive(next(ids), arrival)
        self._advance(math.inf)
        return self.figures

    def _advance(self, until_ms: float) -> None:
        while self.ends and self.ends[0][0] <= until_ms:
            at_ms, request_id = heapq.heappop(self.ends)
            arrival = self.requests.pop(request_id)
            self.slots.finished(arrival.work_ms, "r")
            self.figures.waits_ms[arrival.account].append(
                at_ms - arrival.at_ms
            )
            self._start_next(at_ms)

    def _arrive(self, request_id: int, arrival: Arrival) -> None:
        self.figures.sent[arrival.account] += 1
        now_ms = int(arrival.at_ms)
        self.slots.expired(now_ms)
        waiting = admission.QueuedRequest(
            request_id,
            now_ms + TIMEOUT_MS,
            now_ms + AIM_MS,
            route="r",
            account=arrival.account,
        )
        decision = self.slots.offer(waiting, now_ms)
        if isinstance(decision, admission.Refused):
            return
        self.requests[request_id] = arrival
        if isinstance(decision, admission.Admitted):
            self._run(request_id, arrival.at_ms)

    def _start_next(self, now_ms: float) -> None:
        self.slots.expired(int(now_ms))
        while request_id := self.slots.next_admitted(int(now_ms)):
            self._run(request_id, now_ms)

    def _run(self, request_id: int, now_ms: float) -> None:
        end_ms = now_ms + self.requests[request_id].work_ms
        heapq.heappush(self.ends, (end_ms, request_id))
