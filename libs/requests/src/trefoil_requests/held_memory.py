"""Memory that a process holds for its peers, counted in one place.

Limits of single connections do not bound what many of them hold together:
bodies that stop short, whole bodies that wait, answers that are not read. What
does not fit is refused before it is received. Peers that hold much for long
and get nowhere are the first to lose their places, so that a crowd of them
does not keep out others; a part is left for small messages, which therefore
do not wait behind large ones.
"""

import dataclasses
import typing

from trefoil_settings import settings as setting_store

# Holdings up to this size may use all of the memory, larger requests leave a
# part of it to them.
SMALL_BYTES = 64 * 1024
SMALL_SHARE = 0.125
# A holding that has moved less than this share of its size for this long
# stalls.
PROGRESS_SHARE = 1 / 16
STALLED_MS = 1000
# What stalls is released until this share is free again: to look for it takes
# longer, the more there is of it.
FREE_SHARE = 0.125
# By then, what stalls has lost its place.
RETRY_AFTER_MS = STALLED_MS
# The rest is for the process itself, copies in transit and what its allocator
# cannot return.
HELD_SHARE = 0.4
BYTES_PER_MB = 1_000_000


class Holder(typing.Protocol):
    """Whoever holds memory for a peer."""

    def release(self, holding: "Holding") -> None:
        """Give up what a holding counts."""


@dataclasses.dataclass(slots=True, eq=False)
class Holding:
    """What is held for one purpose of one peer.

    Args:
        holder: Who holds it.
        waits_for_peer: Whether the peer has to send or to read. What waits
            for others is never released.
        is_answer: Whether it is an answer, which may use all of the memory.
        size: Its size in bytes, or the larger one that was announced.
        moved: Bytes that were sent or received since its last progress.
        progress_ms: When it last got on.
    """

    holder: Holder
    waits_for_peer: bool = True
    is_answer: bool = False
    size: int = 0
    moved: int = 0
    progress_ms: int = 0

    def stalls(self, now_ms: int) -> bool:
        """Return whether it has not got on for long."""
        return now_ms - self.progress_ms >= STALLED_MS

    def rank(self, now_ms: int) -> tuple[bool, int]:
        """Return its sort key; the greatest is released first."""
        waited_ms = now_ms - self.progress_ms
        return self.stalls(now_ms), self.size * (waited_ms + 1)


@dataclasses.dataclass(slots=True, frozen=True)
class Granted:
    """The memory may be used once others have released theirs.

    Args:
        released: The holdings that must be released.
    """

    released: tuple[Holding, ...] = ()


@dataclasses.dataclass(slots=True, frozen=True)
class Refused:
    """There is too little memory now.

    Args:
        retry_after_ms: When there may be enough.
    """

    retry_after_ms: int = RETRY_AFTER_MS


class HeldMemory:
    """Counts the holdings of a process and decides on new ones.

    Args:
        limit: How much all holdings may take together, in bytes.
    """

    __slots__ = ("limit", "holdings", "total", "large_total")

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.holdings: set[Holding] = set()
        self.total = 0
        self.large_total = 0

    @classmethod
    def from_memory(
        cls, memory_mb: float = setting_store.DEFAULT_MEMORY_MB
    ) -> typing.Self:
        """Return the account of a process.

        Args:
            memory_mb: What the process may use in all, in units of 10**6
                bytes.
        """
        return cls(int(memory_mb * BYTES_PER_MB * HELD_SHARE))

    @property
    def large_limit(self) -> int:
        """Return how much large requests may take together, in bytes."""
        return int(self.limit * (1 - SMALL_SHARE))

    def claim(
        self, holding: Holding, size: int, now_ms: int
    ) -> Granted | Refused:
        """Decide whether a holding may have a size, and count it if so.

        Args:
            holding: The holding.
            size: Its new size in bytes.
            now_ms: The time on the runtime's clock.
        """
        if size <= holding.size or self._fits(holding, size):
            self.count(holding, size, now_ms)
            return Granted()
        released = self._make_room(holding, size, now_ms)
        if released is None:
            return Refused()
        self.count(holding, size, now_ms)
        return Granted(tuple(released))

    def count(self, holding: Holding, size: int, now_ms: int) -> None:
        """Count a holding with a size, which it has in any case."""
        if not holding.size:
            holding.moved = 0
            holding.progress_ms = now_ms
        self._subtract(holding)
        holding.size = size
        self.total += size
        if _is_large(holding, size):
            self.large_total += size
        if size:
            self.holdings.add(holding)

    def drop(self, holding: Holding) -> None:
        """Count a holding no longer."""
        self._subtract(holding)
        holding.size = 0

    def moved(self, holding: Holding, count: int, now_ms: int) -> None:
        """Record that bytes of a holding were sent or received."""
        holding.moved += count
        if holding.moved >= holding.size * PROGRESS_SHARE:
            holding.moved = 0
            holding.progress_ms = now_ms

    def _subtract(self, holding: Holding) -> None:
        self.total -= holding.size
        if _is_large(holding, holding.size):
            self.large_total -= holding.size
        self.holdings.discard(holding)

    def _fits(
        self, holding: Holding, size: int, freed: int = 0, large_freed: int = 0
    ) -> bool:
        growth = size - holding.size - freed
        if self.total + growth > self.limit:
            return False
        if not _is_large(holding, size):
            return True
        if _is_large(holding, holding.size):
            size -= holding.size
        return self.large_total + size - large_freed <= self.large_limit

    def _make_room(
        self, holding: Holding, size: int, now_ms: int
    ) -> list[Holding] | None:
        """Return the holdings to release; None if they are not enough."""
        released = []
        freed = large_freed = 0
        spare = int(self.limit * FREE_SHARE)
        is_enough = False
        for other in self._replaceable(holding, size, now_ms):
            if is_enough and not (freed < spare and other.stalls(now_ms)):
                break
            released.append(other)
            freed += other.size
            if _is_large(other, other.size):
                large_freed += other.size
            is_enough = self._fits(holding, size, freed, large_freed)
        return released if is_enough else None

    def _replaceable(
        self, holding: Holding, size: int, now_ms: int
    ) -> list[Holding]:
        """Return what a holding may replace, in the order of release.

        A large request replaces only what stalls: what gets on would else be
        replaced over and over, and none of it would be served.
        """
        needs_stalled = _is_large(holding, size)
        others = [
            other
            for other in self.holdings
            if other is not holding
            and other.waits_for_peer
            and (other.stalls(now_ms) or not needs_stalled)
        ]
        others.sort(key=lambda other: other.rank(now_ms), reverse=True)
        return others


def _is_large(holding: Holding, size: int) -> bool:
    return size > SMALL_BYTES and not holding.is_answer
