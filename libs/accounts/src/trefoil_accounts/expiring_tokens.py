"""Tokens that are void after a time."""

import bisect
import dataclasses
import operator


@dataclasses.dataclass(slots=True)
class Batch:
    """Tokens that expire together.

    Args:
        count: How many there are.
        until_ms: When they are void.
    """

    count: int
    until_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class Token:
    """One token that was taken.

    Args:
        until_ms: When it is void.
    """

    until_ms: int


class ExpiringTokens:
    """Tokens of one account; those that expire first are taken first."""

    __slots__ = ("batches",)

    def __init__(self) -> None:
        self.batches: list[Batch] = []

    def add(self, count: int, until_ms: int) -> None:
        """Add tokens that expire together."""
        if count > 0:
            batch = Batch(count, until_ms)
            by_expiry = operator.attrgetter("until_ms")
            bisect.insort(self.batches, batch, key=by_expiry)

    def total(self, now_ms: int) -> int:
        """Return how many tokens are left."""
        self._drop_void(now_ms)
        return sum(batch.count for batch in self.batches)

    def take(self, now_ms: int) -> Token | None:
        """Take one token, None if there is none."""
        self._drop_void(now_ms)
        if not self.batches:
            return None
        until_ms = self.batches[0].until_ms
        self.take_up_to(1, now_ms)
        return Token(until_ms)

    def take_up_to(self, count: int, now_ms: int) -> int:
        """Take tokens and return how many there were."""
        self._drop_void(now_ms)
        taken = 0
        while self.batches and taken < count:
            first = self.batches[0]
            part = min(first.count, count - taken)
            first.count -= part
            taken += part
            if not first.count:
                del self.batches[0]
        return taken

    def _drop_void(self, now_ms: int) -> None:
        while self.batches and now_ms >= self.batches[0].until_ms:
            del self.batches[0]
