"""The client accounts of one configuration, found by their keys."""

import typing

from trefoil_fleet import items as item_store
from trefoil_model import keys
from trefoil_wire import messages


class Directory:
    """The accounts of one configuration.

    Args:
        keys_required: Whether callers need the key of an account, except on
            open routes.
        accounts: The accounts.
        digest: Identifies what it was read from.
    """

    __slots__ = ("keys_required", "by_name", "name_by_digest", "digest")

    def __init__(
        self,
        keys_required: bool = False,
        accounts: typing.Iterable[messages.Account] = (),
        digest: int = 0,
    ) -> None:
        self.keys_required = keys_required
        self.digest = digest
        self.by_name = {account.name: account for account in accounts}
        self.name_by_digest = {
            digest: account.name
            for account in self.by_name.values()
            for digest in account.key_digests
        }

    @classmethod
    def from_items(
        cls, items: item_store.Items, previous: typing.Self | None = None
    ) -> typing.Self:
        """Return the accounts of a configuration.

        Args:
            items: The configuration.
            previous: The accounts of an earlier one, returned if no account
                has changed since.
        """
        digest = items.digest_of_kinds((item_store.ACCOUNT, item_store.ACCESS))
        if previous is not None and previous.digest == digest:
            return previous
        policy = items.get(item_store.ACCESS_POLICY)
        if policy is None or not policy.keys_required:
            return cls(digest=digest)
        return cls(True, items.all(item_store.ACCOUNT), digest)

    def weights(self) -> dict[str, float]:
        """Return the weight of each account that has a limit: its rate."""
        return {
            account.name: account.rate_per_s
            for account in self.by_name.values()
            if account.rate_per_s
        }

    def find(self, key: str) -> messages.Account | None:
        """Return the account that holds a key, None if none does."""
        digest = keys.digest_of(key.encode("utf-8", "replace"))
        name = self.name_by_digest.get(digest)
        return self.by_name[name] if name is not None else None
