"""A stream whose peer is a test, in place of one over a socket."""

import typing

from trefoil_daemon import transport


class MemoryStream:
    """Records what is sent, and delivers what the test sends.

    ``unsent`` and ``unacknowledged`` are what the test sets them to: the
    bytes of answers that the peer has not read. A peer that ``is_slow`` takes
    bytes only where the test says so.
    """

    def __init__(self) -> None:
        self.connecting = False
        self.closed = False
        self.closing = False
        self.aborted = False
        self.reading = True
        self.unsent = 0
        self.undelivered = 0
        self.unread = 0
        self.unacknowledged = 0
        self.sent = b""
        self.is_slow = False
        self.queued = b""
        self.owner: typing.Any = None
        self.on_data: typing.Any = None
        self.on_close: typing.Any = None
        self.on_open: typing.Any = None
        self.on_drained: typing.Any = None

    def write(self, data: bytes) -> None:
        """Record sent data, or queue it for a slow peer."""
        if self.closed or self.closing:
            return
        if not self.is_slow:
            self.sent += data
        elif self.unsent > transport.MAX_BUFFERED_BYTES:
            self.close()
        else:
            self.queued += data
            self.unsent = len(self.queued)

    def take(self, count: int) -> None:
        """Let a slow peer take bytes."""
        self.sent += self.queued[:count]
        self.queued = self.queued[count:]
        self.unsent = len(self.queued)
        if not self.unsent and not self.closing and self.on_drained:
            self.on_drained(self)

    def set_paused(self, paused: bool) -> None:
        """Record whether the stream is read."""
        self.reading = not paused

    def close_after_write(self) -> None:
        """Close after the last answer."""
        self.closing = True

    def abort(self) -> None:
        """Close, and record that what was not acknowledged is lost."""
        self.aborted = True
        self.close()

    def close(self) -> None:
        """Close, and call ``on_close`` once."""
        if self.closed:
            return
        self.closed = True
        if self.on_close is not None:
            self.on_close(self)

    def receive(self, data: bytes) -> None:
        """Deliver bytes of the peer."""
        self.on_data(self, data)
