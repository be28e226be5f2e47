"""The replicated log in memory: a snapshot's edge and the entries after."""

import collections.abc

from trefoil_wire import messages


class Log:
    """Entries after a snapshot, addressed by index.

    Args:
        snapshot: What covers the entries before the first, if any.
        entries: The entries after it, without gaps.
    """

    __slots__ = ("entries", "base_index", "base_term")

    def __init__(
        self,
        snapshot: messages.Snapshot | None = None,
        entries: collections.abc.Iterable[messages.Entry] = (),
    ) -> None:
        self.base_index = snapshot.last_index if snapshot else 0
        self.base_term = snapshot.last_term if snapshot else 0
        self.entries = list(entries)

    @property
    def last_index(self) -> int:
        """Return the index of the last entry."""
        return self.base_index + len(self.entries)

    @property
    def last_term(self) -> int:
        """Return the term of the last entry."""
        return self.entries[-1].term if self.entries else self.base_term

    def term_at(self, index: int) -> int | None:
        """Return the term at an index; None if it is not here."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self.entries[index - self.base_index - 1].term
        return None

    def entry(self, index: int) -> messages.Entry:
        """Return the entry at an index."""
        return self.entries[index - self.base_index - 1]

    def slice_from(self, index: int, limit: int) -> list[messages.Entry]:
        """Return up to some entries from an index on."""
        start = max(index - self.base_index - 1, 0)
        return self.entries[start : start + limit]

    def append(self, entry: messages.Entry) -> None:
        """Add an entry at the end."""
        self.entries.append(entry)

    def truncate_from(self, index: int) -> None:
        """Drop the entries at an index and after it."""
        del self.entries[max(index - self.base_index - 1, 0) :]

    def compact(self, index: int, term: int) -> None:
        """Drop the entries up to an index that a snapshot now covers."""
        if index > self.last_index:
            self.entries = []
        else:
            del self.entries[: max(index - self.base_index, 0)]
        self.base_index = index
        self.base_term = term
