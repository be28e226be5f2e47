"""Metrics of client accounts, in a bounded number of series."""

from trefoil_accounts import access as accesses
from trefoil_accounts import quota_keeper

from . import exposition

# Only the accounts with most requests have series of their own.
MAX_ACCOUNTS = 100


def keeper_families(
    keeper: quota_keeper.QuotaKeeper,
) -> list[exposition.Family]:
    """Return what a keeper did with the tokens of each account."""
    tokens = exposition.Family(
        "account_tokens_total",
        "Tokens of accounts in this failure domain, and refused requests",
        ["account", "kind"],
        is_counter=True,
    )
    purses = sorted(keeper.purses.items(), key=lambda item: -item[1].issued)
    for name, purse in purses[:MAX_ACCOUNTS]:
        tokens.add(purse.issued, account=name, kind="issued")
        tokens.add(purse.lent, account=name, kind="lent")
        tokens.add(purse.denied, account=name, kind="refused")
    return [tokens]


def denial_families(access: accesses.Access) -> list[exposition.Family]:
    """Return how many requests a proxy denied for their keys, by reason."""
    denied = exposition.Family(
        "denied_total",
        "Requests that were not served for their keys",
        ["why"],
        is_counter=True,
    )
    for denial, count in access.denials.items():
        denied.add(count, why=str(denial))
    return [denied]
