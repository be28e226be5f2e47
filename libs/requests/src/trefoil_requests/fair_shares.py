"""Shares of a target's slots among client accounts.

An account that sends many times its usual would fill the queue of a target,
and its neighbours would wait behind it. Work is counted in slot time: a share
in requests would favour whoever sends long ones.
"""

import collections.abc
import heapq
import math
import statistics

# Work is forgotten over about this time, so that an account that was busy a
# moment ago is not put behind others for long.
TIME_CONSTANT_MS = 1000.0
# Arrivals at random bring an account that much above its part for a moment
# although it does not send more than usual.
RANDOM_EXCESS = 1.5
MAX_ACCOUNTS = 256
# An account counts as a user of the slots from its first request on.
FIRST_WORK_MS = 1.0
FORGOTTEN_WORK_MS = 0.1


class FairShares:
    """The recent work of accounts on one target.

    The slots are divided among the accounts that use them, by weight. While
    requests wait, those of accounts far beyond their part come after the
    others; what the others leave is theirs.

    Args:
        slots: Slots of the target.
        weights: Weight of each account; others weigh the mean of these.
    """

    __slots__ = (
        "slots",
        "weights",
        "mean_weight",
        "work_ms",
        "exceeded",
        "counted_ms",
    )

    def __init__(
        self,
        slots: int,
        weights: collections.abc.Mapping[str, float] | None = None,
    ) -> None:
        self.slots = slots
        self.set_weights(weights or {})
        self.work_ms: dict[str, float] = {}
        self.exceeded: set[str] = set()
        self.counted_ms = 0

    def set_weights(
        self, weights: collections.abc.Mapping[str, float]
    ) -> None:
        """Set the weights of accounts."""
        self.weights = weights
        self.mean_weight = statistics.fmean(weights.values() or [1.0])

    def arrived(self, account: str) -> None:
        """Count an account among those that use the slots."""
        if account and account not in self.work_ms:
            self.work_ms[account] = FIRST_WORK_MS
            self._find_exceeded()

    def add(self, account: str, work_ms: float, now_ms: int) -> None:
        """Count the expected work of a request that starts."""
        if not account:
            return
        self._decay(now_ms)
        self.work_ms[account] = self.work_ms.get(account, 0.0) + work_ms
        if len(self.work_ms) > MAX_ACCOUNTS:
            self._keep_busiest()
        self._find_exceeded()

    def place(self, account: str) -> int:
        """Return 1 if an account had far more than its part, 0 otherwise.

        In a queue, the lower place goes first.
        """
        return int(account in self.exceeded)

    def weight(self, account: str) -> float:
        """Return the weight of an account."""
        return self.weights.get(account) or self.mean_weight

    def _find_exceeded(self) -> None:
        total = sum(map(self.weight, self.work_ms))
        slots_ms = RANDOM_EXCESS * self.slots * TIME_CONSTANT_MS
        self.exceeded = {
            account
            for account, work_ms in self.work_ms.items()
            if work_ms * total > self.weight(account) * slots_ms
        }

    def _decay(self, now_ms: int) -> None:
        factor = math.exp((self.counted_ms - now_ms) / TIME_CONSTANT_MS)
        self.counted_ms = now_ms
        self.work_ms = {
            account: work_ms * factor
            for account, work_ms in self.work_ms.items()
            if work_ms * factor >= FORGOTTEN_WORK_MS
        }

    def _keep_busiest(self) -> None:
        busiest = heapq.nlargest(
            MAX_ACCOUNTS // 2, self.work_ms, key=self.work_ms.__getitem__
        )
        self.work_ms = {name: self.work_ms[name] for name in busiest}
