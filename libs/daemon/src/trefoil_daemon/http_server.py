"""HTTP server for callers, targets and operators."""

import dataclasses
import itertools
import typing

from trefoil_model import clock as clocks
from trefoil_model import errors
from trefoil_requests import call as calls

from . import _http
from . import transport as transports

MAX_CONNECTIONS = 2000
RECEIVE_TIMEOUT_MS = 10_000
MAX_PIPELINED_BYTES = 256 * 1024


@dataclasses.dataclass(slots=True)
class ConnectionLimits:
    """Limits of a server's connections; may change at run time.

    Size limits apply to connections accepted after a change, time limits to
    all.

    Args:
        max_head: Maximum head size in bytes.
        max_body: Maximum body size in bytes.
        receive_timeout_ms: Maximum time from the first byte of a request to
            its last one.
        idle_ms: How long a connection without a request is kept open; 0 for
            no limit.
    """

    max_head: int = _http.MAX_HEAD_BYTES
    max_body: int = 1024 * 1024
    receive_timeout_ms: int = RECEIVE_TIMEOUT_MS
    idle_ms: int = 0


class Handler(typing.Protocol):
    """Handles the requests of a server."""

    def handle_request(
        self, connection: "ServerConnection", message: _http.Message
    ) -> None:
        """Handle a request; reply with ``connection.answer``."""

    def on_disconnect(self, connection: "ServerConnection") -> None:
        """Handle a client that disconnected before its answer."""


@dataclasses.dataclass(slots=True, eq=False)
class ServerConnection:
    """One client connection, which handles one request at a time.

    ``request`` is the request being handled. ``since_ms`` is when the current
    request began to arrive, or the connection became idle or last sent data.
    """

    server: "HttpServer"
    number: int
    stream: transports.Stream
    reader: _http.MessageReader
    request: _http.Message | None = None
    request_id: str = ""
    since_ms: int = 0
    last_unsent: int = 0

    def elapsed_ms(self, now_ms: int) -> int:
        """Return the time since ``since_ms`` in ms."""
        return now_ms - self.since_ms

    def answer(
        self,
        status: int,
        reason: str,
        headers: bytes = b"",
        body: bytes = b"",
    ) -> None:
        """Answer the current request; ignored if the client disconnected."""
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
        self.stream.set_paused(False)
        self.server.read_next(self)

    def _is_last(self) -> bool:
        """Return whether this answer is the last one before a shutdown.

        A pipelined request that was already received is answered first.
        """
        return self.server.closing and not self.reader.started

    def track_progress(self, now_ms: int) -> None:
        """Reset the idle time if more of an answer was sent.

        A client that still reads a long answer is not idle.
        """
        unsent = self.stream.unsent
        if unsent != self.last_unsent:
            self.last_unsent = unsent
            self.since_ms = now_ms

    def answer_text(
        self, status: int, reason: str, headers: bytes = b""
    ) -> None:
        """Answer in plain text, with the reason as the body."""
        phrase = calls.STATUS_REASONS.get(status, "Error")
        content_type = b"Content-Type: text/plain; charset=utf-8\r\n"
        body = (reason + "\n").encode("utf-8", "replace")
        self.answer(status, phrase, headers + content_type, body)


class HttpServer:
    """Accepts HTTP connections and passes their requests to a handler.

    Args:
        transport: Accepts the streams.
        handler: Handles the requests.
        clock: The runtime's clock.
        limits: Limits of the connections.
        malformed: Called with the reason when a request is malformed.
        truncated: Called with a connection that closed before its answer was
            sent in full.
    """

    __slots__ = (
        "transport",
        "handler",
        "clock",
        "limits",
        "malformed",
        "truncated",
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
        limits: ConnectionLimits,
        malformed: typing.Callable[[str], None],
        truncated: typing.Callable[[ServerConnection], None] | None = None,
    ) -> None:
        self.transport = transport
        self.handler = handler
        self.clock = clock
        self.limits = limits
        self.malformed = malformed
        self.truncated = truncated
        self.connections: set[ServerConnection] = set()
        self.numbers = itertools.count(1)
        self.closing = False

    def listen(self, address: str) -> int:
        """Accept connections at an address; return the port."""
        return self.transport.listen(address, self._on_accept)

    def _on_accept(self, stream: transports.Stream) -> None:
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
        stream.on_data = self._on_data
        stream.on_close = self._on_close
        self.connections.add(connection)

    def _on_data(self, stream: transports.Stream, data: bytes) -> None:
        connection = stream.owner
        if not connection.reader.started:
            connection.since_ms = self.clock.now_ms()
        if connection.request is not None:
            # A pipelined request is buffered until the current one is
            # answered. Beyond the limit, TCP flow control stops the sender.
            connection.reader.buffer += data
            if len(connection.reader.buffer) > MAX_PIPELINED_BYTES:
                stream.set_paused(True)
            return
        self._feed(connection, data)

    def read_next(self, connection: ServerConnection) -> None:
        """Start the next request if it is already buffered."""
        connection.since_ms = self.clock.now_ms()
        if connection.reader.buffer:
            self._feed(connection, b"")

    def _feed(self, connection: ServerConnection, data: bytes) -> None:
        try:
            message = connection.reader.feed(data)
        except errors.ProtocolError as error:
            self._reject_malformed(connection, error)
            return
        if message is None:
            return
        connection.request = message
        self.handler.handle_request(connection, message)

    def _reject_malformed(
        self, connection: ServerConnection, error: errors.ProtocolError
    ) -> None:
        self.malformed(error.reason)
        connection.request = _http.Message(keep_alive=False)
        connection.answer_text(error.status, error.reason)

    def _on_close(self, stream: transports.Stream) -> None:
        connection = stream.owner
        self.connections.discard(connection)
        if stream.unsent and self.truncated is not None:
            self.truncated(connection)
        if connection.request is not None:
            self.handler.on_disconnect(connection)

    def tick(self) -> None:
        """Close connections whose request arrives too slowly or that idle.

        Clients that trickle a request would otherwise keep connections open
        indefinitely.
        """
        now_ms = self.clock.now_ms()
        for connection in list(self.connections):
            if connection.request is not None:
                continue
            if connection.reader.started and not connection.stream.closing:
                self._close_slow(connection, now_ms)
            else:
                self._close_if_idle(connection, now_ms)

    def _close_slow(self, connection: ServerConnection, now_ms: int) -> None:
        if connection.elapsed_ms(now_ms) > self.limits.receive_timeout_ms:
            self._reject_malformed(
                connection,
                errors.ProtocolError(408, "the request is not whole"),
            )

    def _close_if_idle(
        self, connection: ServerConnection, now_ms: int
    ) -> None:
        connection.track_progress(now_ms)
        idle_ms = self.limits.idle_ms
        if idle_ms and connection.elapsed_ms(now_ms) > idle_ms:
            connection.stream.close()

    def close_after_answers(self) -> None:
        """Close each connection after its next answer (shutdown)."""
        self.closing = True

    def close_idle(self, idle_since_ms: int) -> None:
        """Close the connections without a request (shutdown).

        A connection closes only when its last answer has been sent; one that
        is receiving a request closes after that request's answer.

        Args:
            idle_since_ms: Connections opened after this time stay open, since
                their first request may be in flight and would be lost.
        """
        self.closing = True
        for connection in list(self.connections):
            idle = connection.request is None and not connection.reader.started
            if idle and connection.since_ms <= idle_since_ms:
                connection.stream.close_after_write()

    def has_open_transfers(self, began_by_ms: int) -> bool:
        """Return whether requests or answers are in transfer (shutdown).

        Args:
            began_by_ms: Requests that began to arrive after this time are not
                counted, otherwise a steady load would delay the shutdown
                indefinitely.
        """
        return any(
            connection.stream.unsent
            or (
                connection.reader.started
                and connection.since_ms <= began_by_ms
            )
            for connection in self.connections
        )
