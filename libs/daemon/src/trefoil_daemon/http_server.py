"""HTTP connections taken from callers, targets and operators."""

import dataclasses
import itertools
import typing

from trefoil_model import clock as clocks
from trefoil_model import errors
from trefoil_requests import call as calls

from . import _http
from . import transport as transports

MAX_CONNECTIONS = 2000
HEAD_MS = 10_000
MAX_AHEAD_BYTES = 256 * 1024


@dataclasses.dataclass(slots=True)
class SenderLimits:
    """What senders may do; the configuration may change it at any time.

    Args:
        max_head: Largest head in bytes.
        max_body: Largest body in bytes.
        head_ms: Longest time that a request may take to come whole.
        idle_ms: How long a connection without a request is kept; 0 keeps it
            for ever.
    """

    max_head: int = _http.MAX_HEAD_BYTES
    max_body: int = 1024 * 1024
    head_ms: int = HEAD_MS
    idle_ms: int = 0


class Handler(typing.Protocol):
    """What takes the requests of a server."""

    def take(
        self, connection: "ServerConnection", message: _http.Message
    ) -> None:
        """Take a request; answer it by ``connection.answer``."""

    def gone(self, connection: "ServerConnection") -> None:
        """Note that the sender went away before its answer."""


@dataclasses.dataclass(slots=True, eq=False)
class ServerConnection:
    """One connection of a caller; it waits for one answer at a time."""

    server: "HttpServer"
    number: int
    stream: transports.Stream
    reader: _http.MessageReader
    request: _http.Message | None = None
    request_id: str = ""
    since_ms: int = 0
    unsent_before: int = 0

    def waited_ms(self, now_ms: int) -> int:
        """Return how long ago its present request began to come."""
        return now_ms - self.since_ms

    def answer(
        self,
        status: int,
        reason: str,
        headers: bytes = b"",
        body: bytes = b"",
    ) -> None:
        """Send the answer to the request that waits."""
        request = self.request
        if request is None or self.stream.closed:
            return
        self.request = None
        keep_alive = request.keep_alive and not self._is_last()
        self.stream.write(
            _http.response_bytes(
                status,
                reason,
                headers,
                body,
                keep_alive=keep_alive,
                bodiless=request.method == "HEAD",
            )
        )
        if not keep_alive:
            self.stream.close_after_write()
            return
        self.stream.pause(False)
        self.server.proceed(self)

    def _is_last(self) -> bool:
        """Tell whether this answer ends the connection (shutdown).

        A request that came behind this one gets its answer first.
        """
        return self.server.closing and not self.reader.started

    def note_sent(self, now_ms: int) -> None:
        """Note how far its answer has been sent.

        An answer that is still being read is not idleness.
        """
        unsent = self.stream.unsent
        if unsent != self.unsent_before:
            self.unsent_before = unsent
            self.since_ms = now_ms

    def answer_own(
        self, status: int, reason: str, headers: bytes = b""
    ) -> None:
        """Send an answer of this process, with its reason as the body."""
        phrase = calls.STATUS_REASONS.get(status, "Error")
        kind = b"Content-Type: text/plain; charset=utf-8\r\n"
        body = (reason + "\n").encode("utf-8", "replace")
        self.answer(status, phrase, headers + kind, body)


class HttpServer:
    """Takes HTTP requests at an address and hands them to a handler.

    Args:
        transport: Carries the streams.
        handler: Takes the requests.
        clock: The runtime's clock.
        limits: What senders may do.
        bad: Called with the reason when a sender is malformed.
        cut: Called with a connection that ends before its answer was sent.
    """

    __slots__ = (
        "transport",
        "handler",
        "clock",
        "limits",
        "bad",
        "cut",
        "connections",
        "numbers",
        "closing",
    )

    def __init__(
        self,
        transport: transports.Transport,
        handler: Handler,
        clock: clocks.Clock,
        *,
        limits: SenderLimits,
        bad: typing.Callable[[str], None],
        cut: typing.Callable[[ServerConnection], None] | None = None,
    ) -> None:
        self.transport = transport
        self.handler = handler
        self.clock = clock
        self.limits = limits
        self.bad = bad
        self.cut = cut
        self.connections: set[ServerConnection] = set()
        self.numbers = itertools.count(1)
        self.closing = False

    def listen(self, address: str) -> int:
        """Take connections at an address; return the port."""
        return self.transport.listen(address, self._accepted)

    def _accepted(self, stream: transports.Stream) -> None:
        if len(self.connections) >= MAX_CONNECTIONS:
            stream.close()
            return
        connection = ServerConnection(
            self,
            next(self.numbers),
            stream,
            _http.MessageReader(
                _http.REQUEST, self.limits.max_body, self.limits.max_head
            ),
            since_ms=self.clock.now_ms(),
        )
        stream.owner = connection
        stream.on_data = self._data
        stream.on_close = self._closed
        self.connections.add(connection)

    def _data(self, stream: transports.Stream, data: bytes) -> None:
        connection = stream.owner
        if not connection.reader.started:
            connection.since_ms = self.clock.now_ms()
        if connection.request is not None:
            # The next request came before this one's answer. It waits in
            # the buffer; a sender that goes on is held back by the kernel.
            connection.reader.buffer += data
            if len(connection.reader.buffer) > MAX_AHEAD_BYTES:
                stream.pause(True)
            return
        self._feed(connection, data)

    def proceed(self, connection: ServerConnection) -> None:
        """Take the next request if it came already."""
        connection.since_ms = self.clock.now_ms()
        if connection.reader.buffer:
            self._feed(connection, b"")

    def _feed(self, connection: ServerConnection, data: bytes) -> None:
        try:
            message = connection.reader.feed(data)
        except errors.ProtocolError as error:
            self._malformed(connection, error)
            return
        if message is None:
            return
        connection.request = message
        self.handler.take(connection, message)

    def _malformed(
        self, connection: ServerConnection, error: errors.ProtocolError
    ) -> None:
        self.bad(error.reason)
        connection.request = _http.Message(keep_alive=False)
        connection.answer_own(error.status, error.reason)

    def _closed(self, stream: transports.Stream) -> None:
        connection = stream.owner
        self.connections.discard(connection)
        if stream.unsent and self.cut is not None:
            self.cut(connection)
        if connection.request is not None:
            self.handler.gone(connection)

    def tick(self) -> None:
        """Close connections that are stuck in a request, or long unused.

        Senders that trickle a head would else hold connections for ever.
        """
        now_ms = self.clock.now_ms()
        for connection in list(self.connections):
            if connection.request is not None:
                continue
            if connection.reader.started and not connection.stream.closing:
                self._end_trickling(connection, now_ms)
            else:
                self._end_idle(connection, now_ms)

    def _end_trickling(
        self, connection: ServerConnection, now_ms: int
    ) -> None:
        if connection.waited_ms(now_ms) > self.limits.head_ms:
            self._malformed(
                connection,
                errors.ProtocolError(408, "the request is not whole"),
            )

    def _end_idle(self, connection: ServerConnection, now_ms: int) -> None:
        connection.note_sent(now_ms)
        idle_ms = self.limits.idle_ms
        if idle_ms and connection.waited_ms(now_ms) > idle_ms:
            connection.stream.close()

    def close_politely(self) -> None:
        """Let each connection end with its next answer (shutdown)."""
        self.closing = True

    def close_idle(self, idle_since_ms: int) -> None:
        """Close the connections that wait for no answer (shutdown).

        One whose answer is still being sent ends behind it, and one on which
        a request is still coming ends with that request's answer.

        Args:
            idle_since_ms: Connections that were opened later are left: their
                first request is on its way and would be cut.
        """
        self.closing = True
        for connection in list(self.connections):
            idle = connection.request is None and not connection.reader.started
            if idle and connection.since_ms <= idle_since_ms:
                connection.stream.close_after_write()

    def owes(self, began_by_ms: int) -> bool:
        """Tell whether a caller has still something to get (shutdown).

        Args:
            began_by_ms: Requests of which no byte came by then are not
                waited for; others come without end.
        """
        return any(
            connection.stream.unsent
            or (
                connection.reader.started
                and connection.since_ms <= began_by_ms
            )
            for connection in self.connections
        )
