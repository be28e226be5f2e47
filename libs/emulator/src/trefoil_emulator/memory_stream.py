"""A stream whose peer is a test, in place of one over a socket."""

import typing


class MemoryStream:
    """Records what is sent, and delivers what the test sends.

    ``unsent`` and ``unacknowledged`` are what the test sets them to: the
    bytes of answers that the peer has not read.
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
        self.owner: typing.Any = None
        self.on_data: typing.Any = None
        self.on_close: typing.Any = None
        self.on_open: typing.Any = None

    def write(self, data: bytes) -> None:
        """Record sent data."""
        if not self.closed and not self.closing:
            self.sent += data

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
