"""The configuration as keyed items with revisions.

A revision is the index of the log entry that created it. Each item carries
the revision that last changed it. A delta holds the items changed after a
base revision, so a delta from an older base is a superset and applies too.
"""

import collections.abc
import typing

from trefoil_model import hashing
from trefoil_wire import frames
from trefoil_wire import messages

SERVICE = "service/"
ROUTE = "route/"
SHARES = "shares/"
DRAIN = "drain/"
EVACUATION = "evacuation/"
CALLER_LIMITS = "limits/"
LIMITS = "limits/callers"
ACCOUNT = "account/"
ACCESS = "access/"
ACCESS_POLICY = "access/policy"
KINDS: dict[str, type] = {
    SERVICE: messages.Service,
    ROUTE: messages.Route,
    SHARES: messages.Shares,
    DRAIN: messages.Drain,
    EVACUATION: messages.Evacuation,
    CALLER_LIMITS: messages.CallerLimits,
    ACCOUNT: messages.Account,
    ACCESS: messages.AccessPolicy,
}
# Key prefixes of the items that a configuration document sets. Other commands
# set the rest.
DOCUMENT_PREFIXES = (SERVICE, ROUTE, CALLER_LIMITS, ACCOUNT, ACCESS)
MAX_TOMBSTONES = 512


def prefix_of(key: str) -> str:
    """Return the prefix that a key shares with all items of its kind."""
    return key.partition("/")[0] + "/"


def kind_of(key: str) -> type:
    """Return the type of the struct stored under a key.

    Raises:
        KeyError: No kind of item has such a key.
    """
    return KINDS[prefix_of(key)]


def digest_of(item: messages.Item) -> int:
    """Return an item's part of the digest, 0 for a deleted item."""
    if item.deleted:
        return 0
    prefix = f"{item.key}\0{item.revision}\0".encode()
    return hashing.hash64(prefix + item.value)


class Items:
    """A whole configuration at one revision.

    Args:
        revision: The revision; 0 is the empty configuration.
    """

    __slots__ = (
        "revision",
        "by_key",
        "digest",
        "digests",
        "oldest_base",
        "decoded",
    )

    def __init__(self, revision: int = 0) -> None:
        self.revision = revision
        self.by_key: dict[str, messages.Item] = {}
        self.digest = 0
        self.digests: dict[str, int] = {}
        self.oldest_base = 0
        self.decoded: dict[str, typing.Any] = {}

    @classmethod
    def from_list(
        cls, revision: int, items: collections.abc.Iterable[messages.Item]
    ) -> typing.Self:
        """Build a configuration from all of its items.

        Which tombstones were dropped before is not known: it is sent whole to
        peers whose revision is older.
        """
        configuration = cls(revision)
        configuration.oldest_base = revision
        for item in items:
            configuration._put(item)
        return configuration

    def copy(self) -> "Items":
        """Return a copy that can be changed independently."""
        items = Items(self.revision)
        items.by_key = dict(self.by_key)
        items.digest = self.digest
        items.digests = dict(self.digests)
        items.oldest_base = self.oldest_base
        items.decoded = dict(self.decoded)
        return items

    def set(self, revision: int, key: str, record: typing.Any) -> None:
        """Store a record under a key at a new revision."""
        self._put(messages.Item(key, frames.pack(record), revision, False))
        self.revision = revision

    def delete(self, revision: int, key: str) -> None:
        """Delete a key at a new revision, leaving a tombstone."""
        self._put(messages.Item(key, b"", revision, True))
        self.revision = revision
        self._drop_tombstones()

    def get(self, key: str) -> typing.Any:
        """Return the record under a key, or None."""
        item = self.by_key.get(key)
        if item is None or item.deleted:
            return None
        record = self.decoded.get(key)
        if record is None:
            record = frames.unpack(kind_of(key), item.value)
            self.decoded[key] = record
        return record

    def revision_of(self, key: str) -> int:
        """Return the revision that last changed a key, 0 if unknown."""
        item = self.by_key.get(key)
        return item.revision if item is not None else 0

    def newest_revision(self, prefixes: tuple[str, ...]) -> int:
        """Return the revision that last changed an item of some kinds.

        A configuration that was sent whole does not know it: it has no
        tombstones.

        Args:
            prefixes: The key prefixes of the kinds, of ``KINDS``.
        """
        return max(
            (
                item.revision
                for key, item in self.by_key.items()
                if key.startswith(prefixes)
            ),
            default=0,
        )

    def digest_of_kinds(self, prefixes: tuple[str, ...]) -> int:
        """Return a digest of the items of some kinds that are not deleted.

        It tells whether anything changed between two configurations, also
        where one was sent whole, without a trace of what it lacks.

        Args:
            prefixes: The key prefixes of the kinds, of ``KINDS``.
        """
        digest = 0
        for prefix in prefixes:
            digest ^= self.digests.get(prefix, 0)
        return digest

    def all(self, prefix: str) -> list[typing.Any]:
        """Return the records whose keys have a prefix, sorted by key."""
        keys = sorted(
            key
            for key, item in self.by_key.items()
            if key.startswith(prefix) and not item.deleted
        )
        return [self.get(key) for key in keys]

    def delta_since(self, base: int) -> messages.ConfigDelta:
        """Return the items changed after a base revision.

        All items are returned if tombstones newer than the base have been
        dropped, or if the base is ahead of this configuration.
        """
        if base < self.oldest_base or base > self.revision:
            base = 0
        changed = [
            item
            for item in self.by_key.values()
            if item.revision > base and not (base == 0 and item.deleted)
        ]
        return messages.ConfigDelta(
            base=base,
            revision=self.revision,
            items=changed,
            digest=self.digest,
        )

    def with_delta(self, delta: messages.ConfigDelta) -> "Items | None":
        """Return the configuration after a delta, checked by its digest.

        Returns:
            None if the delta cannot be applied: its base is ahead of this
            revision, or the digest differs. The caller then requests the
            whole configuration.
        """
        if delta.base == 0:
            items = Items()
            items.oldest_base = delta.revision
        elif delta.base <= self.revision:
            items = self.copy()
        else:
            return None
        for item in delta.items:
            items._put(item)
        items.revision = delta.revision
        items._drop_tombstones()
        return items if items.digest == delta.digest else None

    def _put(self, item: messages.Item) -> None:
        old = self.by_key.get(item.key)
        if old is not None:
            if old.revision > item.revision:
                return
            self._toggle(old)
        self.by_key[item.key] = item
        self.decoded.pop(item.key, None)
        self._toggle(item)

    def _toggle(self, item: messages.Item) -> None:
        """Add an item to the digests, or take it out again."""
        part = digest_of(item)
        prefix = prefix_of(item.key)
        self.digest ^= part
        self.digests[prefix] = self.digests.get(prefix, 0) ^ part

    def _drop_tombstones(self) -> None:
        # Tombstones of evacuations are kept: they distinguish a delayed
        # command from a new one.
        tombstones = [
            item
            for item in self.by_key.values()
            if item.deleted and not item.key.startswith(EVACUATION)
        ]
        if len(tombstones) <= MAX_TOMBSTONES:
            return
        tombstones.sort(key=lambda item: item.revision)
        # The newest of each kind is kept for ``newest_revision``.
        newest = {prefix_of(item.key): item.key for item in tombstones}
        for item in tombstones[: len(tombstones) - MAX_TOMBSTONES]:
            if newest[prefix_of(item.key)] == item.key:
                continue
            del self.by_key[item.key]
            self.oldest_base = max(self.oldest_base, item.revision)
