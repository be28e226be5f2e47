"""HTTP server for callers, targets and operators."""

import dataclasses
import itertools
import typing

from trefoil_model import clock as clocks
from trefoil_model import errors
from trefoil_requests import held_memory
from trefoil_requests import places

from . import _http
from . import _outcome
from . import exchanges
from . import lingering
from . import transport as transports

RECEIVE_TIMEOUT_MS = 10_000
TOO_SLOW = "the request arrives too slowly for what it holds"

OnTruncated = typing.Callable[[exchanges.ServerConnection], None]


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
        self, exchange: exchanges.Exchange, message: _http.Message
    ) -> None:
        """Handle a request; reply with ``exchange.answer``."""

    def may_overlap(self, message: _http.Message) -> bool:
        """Return whether a request may run beside others of its connection."""

    def on_disconnect(self, exchange: exchanges.Exchange) -> None:
        """Handle a client that disconnected before its answer."""


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
        refused: Called with the reason when a request is refused for want of
            memory.
        memory: The account of what the process holds; one of its own by
            default.
        max_connections: How many connections it takes.
    """

    __slots__ = (
        "transport",
        "handler",
        "clock",
        "limits",
        "malformed",
        "truncated",
        "refused",
        "memory",
        "max_connections",
        "connections",
        "numbers",
        "closing",
        "refusing_since_ms",
    )

    def __init__(
        self,
        transport: transports.Transport,
        handler: Handler,
        clock: clocks.Clock,
        *,
        limits: ConnectionLimits,
        malformed: typing.Callable[[str], None],
        truncated: OnTruncated | None = None,
        refused: typing.Callable[[str], None] | None = None,
        memory: held_memory.HeldMemory | None = None,
        max_connections: int = places.MAX_CALLERS,
    ) -> None:
        self.transport = transport
        self.handler = handler
        self.clock = clock
        self.limits = limits
        self.malformed = malformed
        self.truncated = truncated
        self.refused = refused or (lambda why: None)
        self.memory = memory or held_memory.HeldMemory.from_memory()
        self.max_connections = max_connections
        self.connections: set[exchanges.ServerConnection] = set()
        self.numbers = itertools.count(1)
        self.closing = False
        self.refusing_since_ms = 0

    def listen(self, address: str) -> int:
        """Accept connections at an address; return the port."""
        return self.transport.listen(address, self._on_accept)

    def _on_accept(self, stream: transports.Stream) -> None:
        if not self._has_place():
            stream.close()
            return
        now_ms = self.clock.now_ms()
        connection = exchanges.ServerConnection(
            self,
            stream,
            self._new_reader(),
            since_ms=now_ms,
            opened_ms=now_ms,
        )
        stream.owner = connection
        stream.on_data = self._on_data
        stream.on_close = self._on_close
        stream.on_drained = self._on_drained
        self.connections.add(connection)

    def _has_place(self) -> bool:
        """Return whether one more client has a place, made by others."""
        if len(self.connections) < self.max_connections:
            return True
        clients = [connection.client for connection in self.connections]
        for client in places.replaced(clients, self.max_connections):
            client.connection.stream.close()
        return len(self.connections) < self.max_connections

    def _new_reader(self) -> _http.MessageReader:
        """Return a reader that takes no more than the process can hold."""
        # One read may come on top of a body.
        can_hold = self.memory.large_limit - transports.READ_BYTES
        max_body = min(self.limits.max_body, can_hold)
        return _http.MessageReader(
            _http.REQUEST, max_body, self.limits.max_head
        )

    def _on_data(self, stream: transports.Stream, data: bytes) -> None:
        stream.owner.receive(data)

    def _on_drained(self, stream: transports.Stream) -> None:
        stream.owner.send_ready()

    def read(
        self, connection: exchanges.ServerConnection
    ) -> _http.Message | None:
        """Return the next request of a connection, None if it is not whole.

        A malformed one is answered, after those before it, and the last one.
        """
        try:
            return connection.reader.feed(b"")
        except errors.ProtocolError as error:
            self._reject_malformed(connection, error)
            return None

    def _reject_malformed(
        self,
        connection: exchanges.ServerConnection,
        error: errors.ProtocolError,
    ) -> None:
        self.malformed(error.reason)
        self._reject(connection, error.status, error.reason)

    def refuse(
        self,
        connection: exchanges.ServerConnection,
        refused: held_memory.Refused,
    ) -> None:
        """Refuse the request that is being received, and read no more."""
        self.refused(exchanges.TOO_LITTLE_MEMORY)
        headers = _outcome.header_lines(
            ran=False, retry_after_ms=refused.retry_after_ms
        )
        self._reject(connection, 503, exchanges.TOO_LITTLE_MEMORY, headers)

    def give_up(self, connection: exchanges.ServerConnection) -> None:
        """Refuse a request that arrives too slowly for what it holds."""
        self.refused(TOO_SLOW)
        headers = _outcome.header_lines(
            ran=False, retry_after_ms=held_memory.RETRY_AFTER_MS
        )
        self._reject(connection, 408, TOO_SLOW, headers)

    def _reject(
        self,
        connection: exchanges.ServerConnection,
        status: int,
        reason: str,
        headers: bytes = b"",
    ) -> None:
        """Answer a request that is not whole; it is the last one."""
        connection.end_receiving()
        exchange = exchanges.Exchange(
            connection, next(self.numbers), _http.Message(keep_alive=False)
        )
        exchange.started = True
        connection.add(exchange)
        exchange.answer_text(status, reason, headers)

    def _on_close(self, stream: transports.Stream) -> None:
        connection = stream.owner
        self.connections.discard(connection)
        owes = stream.unsent or stream.undelivered
        if owes and self.truncated is not None:
            self.truncated(connection)
        connection.on_close()

    def tick(self) -> None:
        """Close connections whose request arrives too slowly or that idle.

        Clients that trickle a request would otherwise keep connections open
        indefinitely.
        """
        now_ms = self.clock.now_ms()
        for connection in list(self.connections):
            connection.recount()
            if connection.waits_for_reader:
                self._close_if_idle(connection, now_ms)
            elif connection.exchanges:
                continue
            elif connection.reader.started and not connection.stream.closing:
                self._close_slow(connection, now_ms)
            else:
                self._close_if_idle(connection, now_ms)

    def _close_slow(
        self, connection: exchanges.ServerConnection, now_ms: int
    ) -> None:
        if connection.elapsed_ms(now_ms) > self.limits.receive_timeout_ms:
            self._reject_malformed(
                connection,
                errors.ProtocolError(408, "the request is not whole"),
            )

    def _close_if_idle(
        self, connection: exchanges.ServerConnection, now_ms: int
    ) -> None:
        connection.track_progress(now_ms)
        idle_ms = self.limits.idle_ms
        if not idle_ms or connection.elapsed_ms(now_ms) <= idle_ms:
            return
        if connection.stream.unsent:
            connection.stream.close()
        else:
            connection.close_idle()

    def close_after_answers(self) -> None:
        """Close each connection after its next answer (shutdown)."""
        self.closing = True

    def close_idle(self, idle_since_ms: int) -> None:
        """Close the connections without a request (shutdown).

        A connection closes only when its last answer has been sent; one that
        is receiving a request closes after that request's answer. A client
        that still receives an answer may not know yet that it should send no
        more, so what it sends is answered as well, for a time.

        Args:
            idle_since_ms: Connections opened after this time stay open, since
                their first request may be in flight and would be lost.
        """
        self.closing = True
        self.refusing_since_ms = idle_since_ms
        waited_ms = self.clock.now_ms() - idle_since_ms
        may_wait = waited_ms < lingering.STALLED_MS
        for connection in list(self.connections):
            long_open = connection.opened_ms <= idle_since_ms
            if connection.is_idle and long_open:
                connection.close_idle(may_wait=may_wait)

    def has_open_transfers(self, began_by_ms: int) -> bool:
        """Return whether requests or answers are in transfer (shutdown).

        Args:
            began_by_ms: Requests that began to arrive after this time, and
                connections that were opened after it, are not counted.
                Otherwise a steady load would delay the shutdown indefinitely.
        """
        return any(
            _owes_answers(connection)
            or (
                connection.reader.started
                and connection.began_ms <= began_by_ms
            )
            for connection in self.connections
            if connection.opened_ms <= began_by_ms
        )


def _owes_answers(connection: exchanges.ServerConnection) -> bool:
    """Return whether answers have not reached their client yet."""
    return connection.owes_bytes or connection.stream.closing
