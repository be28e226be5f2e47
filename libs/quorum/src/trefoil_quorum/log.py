"""The in-memory replicated log after the latest snapshot."""

import collections.abc

from trefoil_wire import messages


class Log:
    """The log entries after a snapshot, addressed by index.

    Args:
        snapshot: The snapshot that covers all earlier entries, if any.
        entries: The entries after the snapshot, without gaps.
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
        """Return the index of the last entry, or of the snapshot if none."""
        return self.base_index + len(self.entries)

    @property
    def last_term(self) -> int:
        """Return the term of the last entry, or of the snapshot if none."""
        return self.entries[-1].term if self.entries else self.base_term

    def term_at(self, index: int) -> int | None:
        """Return the term at an index, or None if the log lacks it."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self.entries[index - self.base_index - 1].term
        return None

    def entry(self, index: int) -> messages.Entry:
        """Return the entry at an index, which must be in the log."""
        return self.entries[index - self.base_index - 1]

    def slice_from(self, index: int, limit: int) -> list[messages.Entry]:
        """Return at most ``limit`` entries, starting at an index."""
        start = max(index - self.base_index - 1, 0)
        return self.entries[start : start + limit]

    def append(self, entry: messages.Entry) -> None:
        """Append an entry."""
        self.entries.append(entry)

    def truncate_from(self, index: int) -> None:
        """Drop the entry at an index and all later ones."""
        del self.entries[max(index - self.base_index - 1, 0) :]

    def compact(self, index: int, term: int) -> None:
        """Drop the entries up to the last index of a new snapshot."""
        if index > self.last_index:
            self.entries = []
        else:
            del self.entries[: max(index - self.base_index, 0)]
        self.base_index = index
        self.base_term = term
