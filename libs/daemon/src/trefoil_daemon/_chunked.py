"""Chunked bodies, decoded by h11."""

from trefoil_model import errors

# h11 follows whole messages. What is before the body was read already, so it
# is shown the least head that announces a chunked body.
REQUEST_HEAD = (
    b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
)
RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


class ChunkedBody:
    """One chunked body.

    Args:
        of_request: Whether it belongs to a request, else to a response.
    """

    __slots__ = ("connection", "parts", "size", "rest")

    def __init__(self, of_request: bool) -> None:
        # Most processes never see a chunked body.
        import h11

        self.connection = h11.Connection(
            our_role=h11.SERVER if of_request else h11.CLIENT
        )
        if not of_request:
            self.connection.send(
                h11.Request(method="GET", target="/", headers=[("Host", "a")])
            )
            self.connection.send(h11.EndOfMessage())
        self.connection.receive_data(
            REQUEST_HEAD if of_request else RESPONSE_HEAD
        )
        self.connection.next_event()
        self.parts: list[bytes] = []
        self.size = 0
        self.rest = b""

    @property
    def body(self) -> bytes:
        """Return what has come of the body."""
        return b"".join(self.parts)

    def feed(self, data: bytes) -> bool:
        """Take bytes; return whether the body is whole.

        What follows the body is in ``rest`` then.

        Raises:
            ProtocolError: The bytes are no chunked body.
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
        self.rest = self.connection.trailing_data[0]
        return True
