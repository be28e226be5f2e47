"""Incremental HTTP/1 parsing and serialization, on circuits.web's parser.

The parser validates a message's head. Header lines are forwarded as received,
since the parser merges repeated headers and interprets backslashes as escapes.
Chunked bodies are decoded by h11: the circuits.web parser rejects a chunk
that is split before its line end, decompresses bodies, and does not report
where a body ends.
"""

import dataclasses
import io

from circuits.web.parsers import http as parsers

from trefoil_model import buffers
from trefoil_model import digits
from trefoil_model import errors

from . import _chunked
from . import _heads

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
# Readers that take another one of them would find another end of the message
# or another host.
UNREPEATED = frozenset((b"content-length", b"transfer-encoding", b"host"))
BODILESS_STATUSES = (204, 304)
SWITCHING_PROTOCOLS = 101
REQUEST = 0
RESPONSE = 1
# A copy of a longer body takes longer than a write of its own.
MAX_JOINED_BODY_BYTES = 64 * 1024
# A serialized message, to be written one part after the other.
Parts = tuple[bytes, ...]


@dataclasses.dataclass(slots=True)
class Message:
    """A complete HTTP message.

    Args:
        method: Method of a request.
        path: Path and query of a request.
        status: Status of a response.
        reason: Reason phrase of a response.
        headers: Header lines as received, without the hop-by-hop ones.
        body: Complete body, decoded if it was chunked.
        keep_alive: Whether the connection stays open after the message.
        fields: Header fields by lower-case name; the last one wins.
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
        """Return a header field as text, empty if it is missing."""
        return self.fields.get(name, b"").decode("latin-1")


class MessageReader:
    """Splits one direction of a connection into messages.

    Args:
        kind: ``REQUEST`` or ``RESPONSE``.
        max_body: Maximum body size in bytes.
        max_head: Maximum head size in bytes.

    ``length`` is -1 for a chunked body and for one that ends with its
    connection, ``body`` what has been received of a body without chunks, None
    before its first byte. Set ``bodiless`` before the response to a HEAD
    request.
    """

    __slots__ = (
        "kind",
        "max_body",
        "max_head",
        "buffer",
        "message",
        "length",
        "body",
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
        self.body: io.BytesIO | None = None
        self.chunks: _chunked.ChunkedBody | None = None
        self.bodiless = False

    def feed(self, data: bytes) -> Message | None:
        """Parse bytes; return the next message once it is complete.

        Raises:
            ProtocolError: The message is malformed or too large.
        """
        self.buffer = self.buffer + data if self.buffer else data
        if self.message is None and not self._read_head():
            return None
        return self._read_body()

    def next(self) -> Message | None:
        """Return the next message if it is already buffered."""
        return self.feed(b"") if self.buffer else None

    @property
    def started(self) -> bool:
        """Return whether part of a message has been received."""
        return bool(self.buffer) or self.message is not None

    @property
    def held_bytes(self) -> int:
        """Return how many bytes of an incomplete message are held."""
        if self.chunks is not None:
            pending = len(self.chunks.pending)
            return len(self.buffer) + pending + self.chunks.size
        return len(self.buffer) + self._received

    @property
    def _received(self) -> int:
        """Return how many bytes of a body without chunks are held."""
        return self.body.tell() if self.body is not None else 0

    @property
    def expected_bytes(self) -> int:
        """Return how many bytes an incomplete message holds or announces."""
        announced = self.length if self.message is not None else 0
        return max(self.held_bytes, announced)

    def drop(self) -> None:
        """Forget an incomplete message."""
        self.buffer = b""
        self.message = None
        self.body = None
        self.chunks = None

    @property
    def is_behind(self) -> bool:
        """Return whether received bytes are to be decoded in a later turn."""
        return self.chunks is not None and bool(self.chunks.pending)

    def feed_eof(self) -> Message | None:
        """Handle the end of the stream, which ends a body without a length."""
        message = self.message
        if message is not None and self.length < 0 and self.chunks is None:
            message.keep_alive = False
            body = self.body.getvalue() if self.body is not None else b""
            return self._complete(body, b"")
        return None

    def _read_head(self) -> bool:
        head_length = self.buffer.find(HEAD_END)
        if head_length < 0:
            if len(self.buffer) > self.max_head:
                raise errors.ProtocolError(431, "the head is too large")
            return False
        if head_length > self.max_head:
            raise errors.ProtocolError(431, "the head is too large")
        head = self.buffer[: head_length + len(HEAD_END)]
        self.buffer = self.buffer[head_length + len(HEAD_END) :]
        self.message = self._parse_head(head)
        return True

    def _parse_head(self, head: bytes) -> Message:
        message = Message()
        start_line, _, field_lines = head.partition(b"\r\n")
        if self.kind == RESPONSE:
            start_line, message.reason = _heads.split_status_line(start_line)
        else:
            start_line, message.path = _heads.split_request_line(start_line)
        _heads.check_field_lines(field_lines.removesuffix(b"\r\n"))
        parser = parsers.HttpParser(self.kind)
        # The parser interprets backslash escapes: a value with the two
        # characters \n would become a line break and inject a header.
        # Doubled backslashes are parsed back to the original ones.
        escaped = start_line.replace(b"\\", b"\\\\")
        # Only the start line is parsed here, the header lines below.
        escaped += HEAD_END
        try:
            parser.execute(escaped, len(escaped))
        except (ValueError, IndexError, TypeError) as error:
            raise errors.ProtocolError(400, f"bad head: {error}")
        if parser.errno is not None or not parser.is_headers_complete():
            raise errors.ProtocolError(400, parser.errstr or "bad head")
        self._parse_start_line(message, parser)
        self._parse_header_lines(message, field_lines)
        tokens = connection_tokens(message)
        persistent = parser.get_version() == (1, 1) or b"keep-alive" in tokens
        message.keep_alive = persistent and b"close" not in tokens
        if parser.get_version() == (1, 0):
            _heads.check_no_transfer_coding(message.fields)
        self._parse_length(message)
        return message

    def _parse_start_line(
        self, message: Message, parser: parsers.HttpParser
    ) -> None:
        if parser.get_version() not in ((1, 0), (1, 1)):
            raise errors.ProtocolError(505, "only HTTP/1.0 and HTTP/1.1")
        if self.kind == REQUEST:
            message.method = parser.get_method()
            if not message.path.startswith("/"):
                raise errors.ProtocolError(400, "the path must start with /")
            return
        message.status = parser.get_status_code()
        if message.status == SWITCHING_PROTOCOLS:
            # Requests ask for no other protocol, and what follows is none.
            raise errors.ProtocolError(400, "the protocol was switched")

    def _parse_header_lines(self, message: Message, lines: bytes) -> None:
        """Store the fields of a head whose lines have been checked."""
        end_to_end = []
        for line in lines.split(b"\r\n")[:-2]:
            name, _, value = line.partition(b":")
            lower = name.lower()
            if lower in message.fields and lower in UNREPEATED:
                raise errors.ProtocolError(400, "a field comes twice")
            message.fields[lower] = value.strip(_heads.BLANKS)
            if lower not in HOP_BY_HOP:
                end_to_end.append((lower, line))
        hop_by_hop = connection_tokens(message)
        message.headers = b"".join(
            line + b"\r\n"
            for name, line in end_to_end
            if name not in hop_by_hop
        )

    def _parse_length(self, message: Message) -> None:
        transfer_coding = message.fields.get(b"transfer-encoding")
        length = message.fields.get(b"content-length")
        self.chunks = None
        self.length = 0
        if transfer_coding is not None:
            # Given both Transfer-Encoding and Content-Length, the next server
            # may find a different end of the message, which allows request
            # smuggling.
            if length is not None or transfer_coding.lower() != b"chunked":
                raise errors.ProtocolError(400, "unclear length")
            self.chunks = _chunked.ChunkedBody(self.kind == REQUEST)
            self.length = -1
        elif length is not None:
            self.length = self._stated_length(length)
        elif self.kind == RESPONSE and not self._has_no_body(message):
            self.length = -1
        if self.kind == RESPONSE and self._has_no_body(message):
            self.length = 0
            self.chunks = None
        if self.length > self.max_body:
            raise errors.ProtocolError(413, "the body is too large")

    def _stated_length(self, field: bytes) -> int:
        limit = self.max_body + 1
        length = digits.whole_number(field.decode("latin-1"), limit)
        if length is None:
            raise errors.ProtocolError(400, "bad length")
        return length

    def _has_no_body(self, message: Message) -> bool:
        if self.bodiless or message.status in BODILESS_STATUSES:
            return True
        # Informational answers never have a body (RFC 9110, 15.2).
        return 100 <= message.status < 200

    def _read_body(self) -> Message | None:
        data, self.buffer = self.buffer, b""
        if self.chunks is not None:
            if not self.chunks.feed(data, self.max_body):
                return None
            return self._complete(self.chunks.content(), self.chunks.remainder)
        if self.length < 0:
            if self._received + len(data) > self.max_body:
                raise errors.ProtocolError(413, "the body is too large")
            self._add(data)
            return None
        missing = self.length - self._received
        if len(data) < missing:
            self._add(data)
            return None
        if self.body is None:
            return self._complete(data[:missing], data[missing:])
        self.body.write(memoryview(data)[:missing])
        return self._complete(self.body.getvalue(), data[missing:])

    def _add(self, data: bytes) -> None:
        if self.body is None:
            self.body = buffers.for_length(self.length)
        self.body.write(data)

    def _complete(self, body: bytes, remainder: bytes) -> Message:
        """Return the message; keep the bytes that follow it."""
        message, self.message = self.message, None
        message.body = body
        self.body = None
        self.chunks = None
        self.buffer = remainder
        return message


def connection_tokens(message: Message) -> set[bytes]:
    """Return the lower-case tokens of a message's Connection field."""
    field = message.fields.get(b"connection", b"")
    return {token.strip().lower() for token in field.split(b",")}


def request_parts(
    method: str, path: str, headers: bytes, body: bytes, extra: bytes = b""
) -> Parts:
    """Serialize a request for a persistent connection.

    Args:
        headers: Header lines, each with its line end.
        extra: More header lines, after ``headers``.
    """
    length_line = b""
    if body or method in ("POST", "PUT", "PATCH"):
        length_line = b"Content-Length: %d\r\n" % len(body)
    start_line = f"{method} {path} HTTP/1.1\r\n".encode("latin-1", "replace")
    head = start_line + headers + extra + length_line + b"\r\n"
    return _parts(head, body)


def response_parts(
    status: int,
    reason: str,
    headers: bytes,
    body: bytes,
    *,
    keep_alive: bool,
    bodiless: bool = False,
) -> Parts:
    """Serialize a response.

    Args:
        headers: Header lines, each with its line end.
        keep_alive: Whether the connection stays open after the response.
        bodiless: Whether it answers a HEAD request: the length is stated but
            the body is omitted.
    """
    start_line = f"HTTP/1.1 {status} {reason}\r\n".encode("latin-1", "replace")
    length_line = b"Content-Length: %d\r\n" % len(body)
    if status in BODILESS_STATUSES:
        length_line = b""
    connection_line = b"" if keep_alive else b"Connection: close\r\n"
    sent_body = b"" if bodiless or status in BODILESS_STATUSES else body
    head = start_line + headers + length_line + connection_line + b"\r\n"
    return _parts(head, sent_body)


def _parts(head: bytes, body: bytes) -> Parts:
    """Return a message as what is written; a long body is not copied."""
    if len(body) > MAX_JOINED_BODY_BYTES:
        return head, body
    return (head + body,)
