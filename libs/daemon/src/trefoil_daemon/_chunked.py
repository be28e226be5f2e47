"""Decoding of chunked bodies with h11."""

from trefoil_model import errors

# h11 parses complete messages, but the head was already read elsewhere, so it
# gets a minimal head that declares a chunked body.
REQUEST_HEAD = (
    b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
)
RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


class ChunkedBody:
    """Decoder for one chunked body.

    Args:
        is_request: Whether the body belongs to a request or to a response.
    """

    __slots__ = ("connection", "parts", "size", "remainder")

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
        self.parts: list[bytes] = []
        self.size = 0
        self.remainder = b""

    @property
    def body(self) -> bytes:
        """Return the part of the body decoded so far."""
        return b"".join(self.parts)

    def feed(self, data: bytes) -> bool:
        """Decode bytes; return whether the body is complete.

        Bytes that follow a complete body are then in ``remainder``.

        Raises:
            ProtocolError: The bytes are not a valid chunked body.
        """
        import h11

        try:
            if data:
                self.connection.receive_data(data)
            event = self.connection.next_event()
            while isinstance(event, h11.Data):
                self.parts.append(bytes(event.data))
                self.size += len(event.data)
                event = self.connection.next_event()
        except h11.RemoteProtocolError as error:
            raise errors.ProtocolError(400, f"bad chunk: {error}")
        if not isinstance(event, h11.EndOfMessage):
            return False
        self.remainder = self.connection.trailing_data[0]
        return True
