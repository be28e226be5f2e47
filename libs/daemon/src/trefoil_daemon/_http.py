"""HTTP messages cut out of a byte stream with circuits.web's parser.

The parser checks a message's head. Header lines are passed on as they were
sent, since the parser folds repeated headers into one and reads backslashes
as escapes. Chunked bodies are decoded by h11: the parser takes a chunk that
is cut before its line end for malformed, unpacks compressed bodies, and does
not tell where a body ends.
"""

import dataclasses

from circuits.web.parsers import http as parsers

from trefoil_model import errors

from . import _chunked

MAX_HEAD_BYTES = 32 * 1024
HEAD_END = b"\r\n\r\n"
HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"proxy-connection",
        b"expect",
    )
)
BODILESS = (204, 304)
REQUEST = 0
RESPONSE = 1


@dataclasses.dataclass(slots=True)
class Message:
    """A whole HTTP message.

    Args:
        method: Method of a request.
        path: Path and query of a request.
        status: Status of a response.
        reason: Reason phrase of a response.
        headers: Header lines as sent, without the hop-by-hop ones.
        body: Whole body, decoded where it was chunked.
        keep_alive: Whether the connection stays open after it.
        fields: The head's fields by lower-case name, last one wins.
    """

    method: str = ""
    path: str = ""
    status: int = 0
    reason: str = ""
    headers: bytes = b""
    body: bytes = b""
    keep_alive: bool = True
    fields: dict[bytes, bytes] = dataclasses.field(default_factory=dict)

    def field(self, name: bytes) -> str:
        """Return a field's value as text, empty if it is missing."""
        return self.fields.get(name, b"").decode("latin-1")


class MessageReader:
    """Cuts one side of a connection into messages.

    Args:
        kind: ``REQUEST`` or ``RESPONSE``.
        max_body: Largest body in bytes.
        max_head: Largest head in bytes.
    """

    __slots__ = (
        "kind",
        "max_body",
        "max_head",
        "buffer",
        "message",
        "length",
        "chunks",
        "bodiless",
    )

    def __init__(
        self, kind: int, max_body: int, max_head: int = MAX_HEAD_BYTES
    ) -> None:
        self.kind = kind
        self.max_head = max_head
        self.max_body = max_body
        self.buffer = b""
        self.message: Message | None = None
        self.length = 0
        self.chunks: _chunked.ChunkedBody | None = None
        self.bodiless = False

    def feed(self, data: bytes) -> Message | None:
        """Take bytes; return the next message once it is whole.

        Raises:
            ProtocolError: The message is malformed or too large.
        """
        self.buffer = self.buffer + data if self.buffer else data
        if self.message is None and not self._read_head():
            return None
        return self._read_body()

    def next(self) -> Message | None:
        """Return the next message if it has come already."""
        return self.feed(b"") if self.buffer else None

    @property
    def started(self) -> bool:
        """Tell whether part of a message has come."""
        return bool(self.buffer) or self.message is not None

    def end(self) -> Message | None:
        """Take the end of the stream; it ends a body without a length."""
        message = self.message
        if message is not None and self.length < 0 and self.chunks is None:
            message.body = self.buffer
            message.keep_alive = False
            self.message = None
            self.buffer = b""
            return message
        return None

    def _read_head(self) -> bool:
        end = self.buffer.find(HEAD_END)
        if end < 0:
            if len(self.buffer) > self.max_head:
                raise errors.ProtocolError(431, "the head is too large")
            return False
        if end > self.max_head:
            raise errors.ProtocolError(431, "the head is too large")
        head = self.buffer[: end + len(HEAD_END)]
        self.buffer = self.buffer[end + len(HEAD_END) :]
        self.message = self._parse_head(head)
        return True

    def _parse_head(self, head: bytes) -> Message:
        parser = parsers.HttpParser(self.kind)
        # The parser reads backslash escapes in a head: a value with the two
        # characters \n would come out as a line break, and so as a header
        # that nobody sent. Doubled, they read back as they were.
        safe = head.replace(b"\\", b"\\\\")
        # The header lines are checked and passed on one by one below.
        safe = safe[: safe.find(b"\r\n") + 2] + b"\r\n"
        try:
            parser.execute(safe, len(safe))
        except (ValueError, IndexError, TypeError) as error:
            raise errors.ProtocolError(400, f"bad head: {error}")
        if parser.errno is not None or not parser.is_headers_complete():
            raise errors.ProtocolError(400, parser.errstr or "bad head")
        message = Message()
        self._take_first_line(message, parser)
        self._take_lines(message, head)
        options = connection_options(message)
        late = parser.get_version() == (1, 1) or b"keep-alive" in options
        message.keep_alive = late and b"close" not in options
        self._take_length(message)
        return message

    def _take_first_line(
        self, message: Message, parser: parsers.HttpParser
    ) -> None:
        if parser.get_version() not in ((1, 0), (1, 1)):
            raise errors.ProtocolError(505, "only HTTP/1.0 and HTTP/1.1")
        if self.kind == REQUEST:
            message.method = parser.get_method()
            message.path = parser.get_url()
            if not message.path.startswith("/"):
                raise errors.ProtocolError(400, "the path must start with /")
            return
        message.status = parser.get_status_code()
        message.reason = (parser._status or "")[4:]

    def _take_lines(self, message: Message, head: bytes) -> None:
        kept = []
        for line in head.split(b"\r\n")[1:-2]:
            name, colon, value = line.partition(b":")
            lower = name.lower()
            if not colon or lower != lower.strip() or not lower:
                raise errors.ProtocolError(400, "bad header line")
            if lower == b"content-length" and lower in message.fields:
                raise errors.ProtocolError(400, "two lengths")
            message.fields[lower] = value.strip()
            if lower not in HOP_BY_HOP:
                kept.append((lower, line))
        named = connection_options(message)
        message.headers = b"".join(
            line + b"\r\n" for name, line in kept if name not in named
        )

    def _take_length(self, message: Message) -> None:
        coding = message.fields.get(b"transfer-encoding")
        length = message.fields.get(b"content-length")
        self.chunks = None
        self.length = 0
        if coding is not None:
            # A message with both would be cut differently by the next
            # server on its way, which lets a caller smuggle a request.
            if length is not None or coding.lower() != b"chunked":
                raise errors.ProtocolError(400, "unclear length")
            self.chunks = _chunked.ChunkedBody(self.kind == REQUEST)
            self.length = -1
        elif length is not None:
            if not length.isdigit():
                raise errors.ProtocolError(400, "bad length")
            self.length = int(length)
        elif self.kind == RESPONSE and not self._without_body(message):
            self.length = -1
        if self.kind == RESPONSE and self._without_body(message):
            self.length = 0
            self.chunks = None
        if self.length > self.max_body:
            raise errors.ProtocolError(413, "the body is too large")

    def _without_body(self, message: Message) -> bool:
        return self.bodiless or message.status in BODILESS

    def _read_body(self) -> Message | None:
        message = self.message
        if self.chunks is not None:
            return self._read_chunks(message)
        if len(self.buffer) > self.max_body and self.length < 0:
            raise errors.ProtocolError(413, "the body is too large")
        if self.length < 0 or len(self.buffer) < self.length:
            return None
        message.body = self.buffer[: self.length]
        self.buffer = self.buffer[self.length :]
        self.message = None
        return message

    def _read_chunks(self, message: Message) -> Message | None:
        data, self.buffer = self.buffer, b""
        whole = self.chunks.feed(data)
        if self.chunks.size > self.max_body:
            raise errors.ProtocolError(413, "the body is too large")
        if not whole:
            return None
        message.body = self.chunks.body
        self.buffer = self.chunks.rest
        self.message = None
        return message


def connection_options(message: Message) -> set[bytes]:
    """Return the words of a message's Connection field."""
    field = message.fields.get(b"connection", b"")
    return {word.strip().lower() for word in field.split(b",")}


def request_bytes(
    method: str, path: str, headers: bytes, body: bytes, extra: bytes = b""
) -> bytes:
    """Return a request for a kept-alive connection."""
    length = b""
    if body or method in ("POST", "PUT", "PATCH"):
        length = b"Content-Length: %d\r\n" % len(body)
    first = f"{method} {path} HTTP/1.1\r\n".encode("latin-1", "replace")
    return first + headers + extra + length + b"\r\n" + body


def response_bytes(
    status: int,
    reason: str,
    headers: bytes,
    body: bytes,
    *,
    keep_alive: bool,
    bodiless: bool = False,
) -> bytes:
    """Return a whole response.

    Args:
        bodiless: Whether it answers a HEAD request: the length is told, the
            body left out.
    """
    first = f"HTTP/1.1 {status} {reason}\r\n".encode("latin-1", "replace")
    length = b"Content-Length: %d\r\n" % len(body)
    if status in BODILESS:
        length = b""
    tail = b"" if keep_alive else b"Connection: close\r\n"
    shown = b"" if bodiless or status in BODILESS else body
    return first + headers + length + tail + b"\r\n" + shown
