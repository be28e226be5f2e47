"""The bytes of a stream that the kernel has not taken yet."""

import collections

# Shorter pieces are joined, so that one write carries many of them. Longer
# ones are kept as they are, since a copy of a body takes as much again.
MAX_JOINED_BYTES = 64 * 1024


class WriteQueue:
    """Pieces of bytes in the order in which they are written.

    ``size`` is the number of bytes in all pieces.
    """

    __slots__ = ("pieces", "size")

    def __init__(self) -> None:
        self.pieces: collections.deque[bytearray | memoryview] = (
            collections.deque()
        )
        self.size = 0

    def append(self, data: bytes | memoryview) -> None:
        """Add bytes; long ones are referred to and must not change."""
        self.size += len(data)
        if len(data) > MAX_JOINED_BYTES:
            self.pieces.append(memoryview(data))
            return
        last = self.pieces[-1] if self.pieces else None
        if isinstance(last, bytearray) and len(last) < MAX_JOINED_BYTES:
            last += data
        else:
            self.pieces.append(bytearray(data))

    def first(self) -> bytearray | memoryview:
        """Return the piece that is written next."""
        return self.pieces[0]

    def remove(self, count: int) -> None:
        """Remove bytes of the first piece, which were written."""
        self.size -= count
        piece = self.pieces[0]
        if count == len(piece):
            self.pieces.popleft()
        elif isinstance(piece, bytearray):
            del piece[:count]
        else:
            self.pieces[0] = piece[count:]

    def clear(self) -> None:
        """Remove everything."""
        self.pieces.clear()
        self.size = 0
