"""What an account's limit allows all hosts together, and each keeper.

An account may have ``rate_per_s`` requests a second and ``burst`` besides.
Each failure domain has a keeper that issues tokens, one for each request. The
keepers issue equal parts of the rate, so that the sum holds also while they
are partitioned, and lend each other tokens while they are not.

Over any time ``t`` the requests that run are at most

    rate * t + capacity + initial + rate * carry

where ``capacity`` is what all buckets hold together, ``initial`` what they
hold after a restart, and ``carry`` the longest time from the issue of a token
to its use. ``QuotaTerms`` chooses ``capacity`` and ``initial`` so that this is
what the limit allows over its window.
"""

import dataclasses

# A token that an entry proxy holds is void this long after it was asked for.
TOKEN_LIFETIME_MS = 500
# A loan takes a round trip between failure domains. Requests wait for it, so
# a keeper that does not answer soon is left out, and a late loan is void.
LOAN_TIMEOUT_MS = 40
CARRY_S = (TOKEN_LIFETIME_MS + LOAN_TIMEOUT_MS) / 1000
# Part of what the limit leaves beyond the rate that is issued after a restart,
# when a keeper does not know what it issued before.
INITIAL_PART = 0.25
# Requests of small accounts come unevenly; most of what may be exceeded lets
# them through, the rest is kept.
SPARE_PART = 0.7


@dataclasses.dataclass(slots=True, frozen=True)
class Share:
    """One keeper's part of an account's limit.

    Args:
        per_s: Tokens that it issues per second.
        capacity: Most tokens that its bucket holds, at least 1.
        initial: Tokens in its bucket after a start.
    """

    per_s: float
    capacity: float
    initial: float


@dataclasses.dataclass(slots=True, frozen=True)
class QuotaTerms:
    """How far requests may exceed the limit of an account.

    In any time of ``window_ms``, at most (rate x window + burst) x
    (1 + ``overage``) + ``slack`` requests may run.

    Args:
        window_ms: The time over which requests are counted.
        overage: Part by which the limit may be exceeded.
        slack: Requests by which it may be exceeded besides.
    """

    window_ms: int = 5000
    overage: float = 0.1
    slack: float = 20.0

    def allowed(self, rate_per_s: float, burst: float) -> float:
        """Return how many requests may run in one window."""
        limit = rate_per_s * self.window_ms / 1000 + burst
        return limit * (1 + self.overage) + self.slack

    def share(self, rate_per_s: float, burst: float, keepers: int) -> Share:
        """Return the part of one keeper.

        Args:
            rate_per_s: Rate of the account, greater than 0.
            burst: Its burst.
            keepers: Number of keepers.
        """
        in_window = rate_per_s * self.window_ms / 1000
        spare = self.allowed(rate_per_s, burst) - in_window - burst
        room = max(burst + spare - rate_per_s * CARRY_S, 0.0)
        initial = room * INITIAL_PART
        capacity = min(burst + spare * SPARE_PART, room - initial)
        # A smaller bucket would never hold a whole token.
        capacity = max(capacity / keepers, 1.0)
        return Share(rate_per_s / keepers, capacity, initial / keepers)
