"""Decoding of chunked bodies with h11."""

import io

from trefoil_model import errors

# h11 parses complete messages, but the head was already read elsewhere, so it
# gets a minimal head that declares a chunked body.
REQUEST_HEAD = (
    b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
)
RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
# A chunk takes the loop as long as kilobytes of its content. A body may have
# this many chunks of any size; beyond them they must hold some bytes each.
MAX_SMALL_CHUNKS = 1024
MIN_MEAN_BYTES = 64
# A body is dense if it has at least as many chunks and they hold less on the
# mean: decoding it takes longer than all else that the loop does.
MIN_DENSE_CHUNKS = 16
DENSE_MEAN_BYTES = 512
# Few enough bytes that the limits are noticed before many chunks are decoded.
SLICE_BYTES = 4096
# How much of a body is decoded at once while its chunks are, or may be, small;
# chunks of one byte take 2 ms.
DENSE_SLICE_BYTES = 1024


class ChunkedBody:
    """Decoder for one chunked body.

    Args:
        is_request: Whether the body belongs to a request or to a response.

    ``pending`` is what was received and not decoded yet, ``remainder`` what
    follows the complete body.
    """

    __slots__ = ("connection", "body", "chunks", "pending", "remainder")

    def __init__(self, is_request: bool) -> None:
        # Imported lazily: most processes never receive a chunked body.
        import h11

        self.connection = h11.Connection(
            our_role=h11.SERVER if is_request else h11.CLIENT
        )
        if not is_request:
            self.connection.send(
                h11.Request(method="GET", target="/", headers=[("Host", "a")])
            )
            self.connection.send(h11.EndOfMessage())
        self.connection.receive_data(
            REQUEST_HEAD if is_request else RESPONSE_HEAD
        )
        self.connection.next_event()
        self.body = io.BytesIO()
        self.chunks = 0
        self.pending = b""
        self.remainder = b""

    @property
    def size(self) -> int:
        """Return how many bytes were decoded."""
        return self.body.tell()

    def content(self) -> bytes:
        """Return the decoded bytes."""
        return self.body.getvalue()

    @property
    def is_dense(self) -> bool:
        """Return whether its chunks are so small that they take long."""
        if self.chunks < MIN_DENSE_CHUNKS:
            return False
        return self.size < DENSE_MEAN_BYTES * self.chunks

    def feed(self, data: bytes, max_size: int) -> bool:
        """Decode bytes; return whether the body is complete.

        Of small chunks only a few are decoded, and the rest is ``pending``
        until the next call: decoded at once, what is read in one turn of the
        loop would keep all others waiting.

        Args:
            data: The bytes; may be empty.
            max_size: Maximum size of the decoded body, in bytes.

        Raises:
            ProtocolError: The bytes are not a valid chunked body, or the body
                is too large or has too many small chunks.
        """
        pending = self.pending + data if self.pending else data
        start = 0
        complete = False
        while start < len(pending) and not complete:
            size = SLICE_BYTES if start else DENSE_SLICE_BYTES
            complete = self._decode(pending[start : start + size])
            start += size
            self._check_limits(max_size)
            if self.is_dense:
                break
        self.pending = pending[start:]
        if complete:
            self.remainder += self.pending
            self.pending = b""
        return complete

    def _check_limits(self, max_size: int) -> None:
        """Raise a ProtocolError if the body exceeds a limit."""
        if self.size > max_size:
            raise errors.ProtocolError(413, "the body is too large")
        if self.chunks > self._max_chunks:
            raise errors.ProtocolError(400, "too many small chunks")

    @property
    def _max_chunks(self) -> int:
        return MAX_SMALL_CHUNKS + self.size // MIN_MEAN_BYTES

    def _decode(self, data: bytes) -> bool:
        import h11

        try:
            self.connection.receive_data(data)
            event = self.connection.next_event()
            while isinstance(event, h11.Data):
                self.body.write(event.data)
                self.chunks += 1
                event = self.connection.next_event()
        except h11.RemoteProtocolError as error:
            raise errors.ProtocolError(400, f"bad chunk: {error}")
        if not isinstance(event, h11.EndOfMessage):
            return False
        self.remainder = self.connection.trailing_data[0]
        return True
