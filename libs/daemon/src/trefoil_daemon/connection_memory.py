"""Counts what one client connection makes its process hold.

There are three parts: the request that is being received, the requests that
were received and have no sent answer yet, and the answers that the client has
not read. Parts of a few KiB are not counted; the number of connections bounds
them.
"""

import typing

from trefoil_requests import held_memory

if typing.TYPE_CHECKING:
    from . import exchanges

COUNTED_BYTES = 4096
# After so many bytes of answers it is asked how many of them wait.
UNCHECKED_BYTES = 16 * 1024


class ConnectionMemory:
    """The memory that one client connection takes.

    Args:
        connection: The connection.
        memory: The account of the process.
    """

    __slots__ = (
        "connection",
        "memory",
        "incoming",
        "waiting",
        "unread",
        "unchecked",
    )

    def __init__(
        self,
        connection: "exchanges.ServerConnection",
        memory: held_memory.HeldMemory,
    ) -> None:
        self.connection = connection
        self.memory = memory
        self.incoming = held_memory.Holding(self)
        self.waiting = held_memory.Holding(self, waits_for_peer=False)
        self.unread = held_memory.Holding(self, is_answer=True)
        self.unchecked = 0

    def claim_incoming(self, received: int) -> held_memory.Refused | None:
        """Count the request that is being received.

        Args:
            received: How many bytes have just come.

        Returns:
            None if there is memory for it, with what it announces.
        """
        connection = self.connection
        size = connection.reader.expected_bytes
        if not connection.stream.reading:
            size += connection.stream.unread
        now_ms = connection.server.clock.now_ms()
        refused = self._claim(self.incoming, size, now_ms)
        if refused is None and self.incoming.size:
            self.memory.moved(self.incoming, received, now_ms)
        return refused

    def claim_waiting(self) -> held_memory.Refused | None:
        """Count the requests that have no sent answer yet.

        Returns:
            None if there is memory for them.
        """
        connection = self.connection
        now_ms = connection.server.clock.now_ms()
        if self.incoming.size:
            self.memory.drop(self.incoming)
        return self._claim(self.waiting, connection.request_bytes, now_ms)

    def count_waiting(self) -> None:
        """Count the requests that are left after one was answered."""
        if self.waiting.size:
            now_ms = self.connection.server.clock.now_ms()
            size = self.connection.request_bytes
            self.memory.count(self.waiting, size, now_ms)

    def add_answer(self, size: int) -> None:
        """Count an answer that is sent, or that waits for earlier ones.

        Args:
            size: Its length in bytes.
        """
        self.unchecked += size
        if self.unchecked >= UNCHECKED_BYTES:
            self.count_unread()

    def count_unread(self) -> None:
        """Count the answers that the client has not read."""
        stream = self.connection.stream
        self.unchecked = 0
        if stream.closed:
            return
        size = stream.unsent + stream.unacknowledged
        size += self.connection.answer_bytes
        now_ms = self.connection.server.clock.now_ms()
        before = self.unread.size
        if self._claim(self.unread, size, now_ms) is not None:
            stream.abort()
        elif size < before:
            self.memory.moved(self.unread, before - size, now_ms)

    def drop(self) -> None:
        """Count nothing any more; the connection has closed."""
        for holding in (self.incoming, self.waiting, self.unread):
            self.memory.drop(holding)

    def release(self, holding: held_memory.Holding) -> None:
        """Give up an incomplete request, or the answers with all else."""
        if holding is self.incoming:
            self.connection.give_up_incoming()
        else:
            self.connection.stream.abort()

    def _claim(
        self, holding: held_memory.Holding, size: int, now_ms: int
    ) -> held_memory.Refused | None:
        if self.connection.stream.closed:
            return None
        if size < COUNTED_BYTES:
            if holding.size:
                self.memory.drop(holding)
            return None
        claimed = self.memory.claim(holding, size, now_ms)
        if isinstance(claimed, held_memory.Refused):
            return claimed
        for other in claimed.released:
            other.holder.release(other)
        return None
