"""Ways of keeping an account's limit that the keepers are compared with.

Each replaces ``AccountTokens`` of an entry proxy and asks nobody for tokens.
"""

import collections
import typing

from trefoil_accounts import account_tokens
from trefoil_accounts import expiring_tokens
from trefoil_model import token_bucket
from trefoil_wire import messages

RETRY_AFTER_MS = 200
# Pause between two reports of use to all other hosts.
REPORT_INTERVAL_MS = 200
# Part of the limit that is used, so that what is not told yet fits into it.
MARGIN = 0.9
NEVER_MS = 1 << 60
TAKEN = account_tokens.Taken(expiring_tokens.Token(NEVER_MS))


class NoQuestions:
    """The parts of the interface that a way without questions leaves out."""

    def cancel(self, account: str, call_id: int) -> None:
        """Ignore: no call waits."""

    def give_back(self, account: str, token: expiring_tokens.Token) -> None:
        """Ignore."""

    def ask_ahead(self, now_ms: int) -> None:
        """Ask for nothing."""

    def take_unanswered(self, now_ms: int) -> list[typing.Any]:
        """Return no question."""
        return []


class LocalBuckets(NoQuestions):
    """Each host has a bucket of its own for each account.

    Args:
        accounts: The accounts by name.
        part: Part of each limit that the host may use.
    """

    def __init__(
        self, accounts: dict[str, messages.Account], part: float
    ) -> None:
        self.buckets = {
            name: token_bucket.TokenBucket(
                account.rate_per_s * part, max(account.burst * part, 1.0)
            )
            for name, account in accounts.items()
        }

    def take(
        self, account: str, call_id: int, now_ms: int
    ) -> account_tokens.Taken | account_tokens.OverLimit:
        """Take a token of the host's own bucket."""
        bucket = self.buckets[account]
        if not bucket.may_start(now_ms):
            return account_tokens.OverLimit(RETRY_AFTER_MS)
        bucket.started()
        return TAKEN


class ToldUse(NoQuestions):
    """Hosts tell each other what they used, and add it up.

    Args:
        accounts: The accounts by name.
        hosts: Number of hosts.
    """

    WINDOW_MS = 5000

    def __init__(
        self, accounts: dict[str, messages.Account], hosts: int
    ) -> None:
        self.accounts = accounts
        self.hosts = hosts
        self.used: dict[str, collections.deque[int]] = {}
        self.others: dict[str, collections.deque[tuple[int, int]]] = {}
        self.untold: collections.Counter[str] = collections.Counter()

    def take(
        self, account: str, call_id: int, now_ms: int
    ) -> account_tokens.Taken | account_tokens.OverLimit:
        """Compare the own use and that of others with the limit."""
        limit = self.accounts[account]
        allowed = limit.rate_per_s * self.WINDOW_MS / 1000 + limit.burst
        used = self.used.setdefault(account, collections.deque())
        others = self.others.setdefault(account, collections.deque())
        oldest_ms = now_ms - self.WINDOW_MS
        while used and used[0] <= oldest_ms:
            used.popleft()
        while others and others[0][0] <= oldest_ms:
            others.popleft()
        total = len(used) + sum(count for _, count in others)
        if total >= MARGIN * allowed:
            return account_tokens.OverLimit(RETRY_AFTER_MS)
        used.append(now_ms)
        self.untold[account] += 1
        return TAKEN

    def take_report(self) -> collections.Counter[str]:
        """Return what was used since the last report."""
        report, self.untold = self.untold, collections.Counter()
        return report

    def hear(self, report: collections.Counter[str], now_ms: int) -> None:
        """Add what another host used."""
        for account, count in report.items():
            told = self.others.setdefault(account, collections.deque())
            told.append((now_ms, count))
