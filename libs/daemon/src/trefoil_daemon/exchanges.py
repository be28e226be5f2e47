"""The requests of one client connection, answered in the order of arrival.

A client may send further requests before the first one is answered. Those
that may be repeated start at once; another one starts when all before it are
answered, and holds up those behind it. Answers that are ready early wait for
the ones before them, and until the kernel has taken those: they would else be
buffered without a bound for a client that reads as fast as its link bears.
"""

import collections
import dataclasses
import typing

from trefoil_requests import call as calls
from trefoil_requests import held_memory
from trefoil_requests import places

from . import _http
from . import _outcome
from . import connection_memory
from . import transport as transports

if typing.TYPE_CHECKING:
    from . import http_server

# Requests of one connection that wait for their answers. More are read when
# one is answered; meanwhile TCP flow control stops the sender.
MAX_EXCHANGES = 16
# Answers that wait for earlier ones, and bodies of requests, in bytes.
MAX_HELD_BYTES = 256 * 1024
MAX_BUFFERED_BYTES = 256 * 1024
# A head is kept as it came, as fields, and as what is sent on.
HEAD_COPIES = 3
# The objects of one request, and of each field of its head.
REQUEST_BYTES = 1024
FIELD_BYTES = 160
TOO_LITTLE_MEMORY = "too little memory for this request now"


@dataclasses.dataclass(slots=True, eq=False)
class Exchange:
    """One request and its answer.

    Args:
        connection: The connection that it came on.
        number: Its number at this process.
        request: The request.
        entered_ms: Time from its first byte until it was received completely.
        received_ms: When it was received completely.
        may_overlap: Whether it may run beside others of its connection.
        request_id: The client's own id of it, for logs.
        started: Whether it was passed to the handler.
        response: Renders the answer, given whether the connection stays open;
            None until there is one.
        request_bytes: What the request takes in memory.
        answer_bytes: Length of its answer.
    """

    connection: "ServerConnection"
    number: int
    request: _http.Message
    entered_ms: int = 0
    received_ms: int = 0
    may_overlap: bool = False
    request_id: str = ""
    started: bool = False
    response: typing.Callable[[bool], _http.Parts] | None = None
    request_bytes: int = 0
    answer_bytes: int = 0

    @property
    def server(self) -> "http_server.HttpServer":
        """Return the server that received it."""
        return self.connection.server

    @property
    def is_open(self) -> bool:
        """Return whether its client still waits for the answer."""
        return self.response is None and not self.connection.stream.closed

    def answer(
        self,
        status: int,
        reason: str,
        headers: bytes = b"",
        body: bytes = b"",
    ) -> None:
        """Answer the request; ignored if the client disconnected."""
        if not self.is_open:
            return
        bodiless = self.request.method == "HEAD"

        def render(keep_alive: bool) -> _http.Parts:
            return _http.response_parts(
                status,
                reason,
                headers,
                body,
                keep_alive=keep_alive,
                bodiless=bodiless,
            )

        self.response = render
        # Whoever may still repeat the request has the body too.
        self.request.body = b""
        self.answer_bytes = len(headers) + len(body)
        self.connection.answer_bytes += self.answer_bytes
        self.connection.send_ready()
        self.connection.memory.add_answer(self.answer_bytes)

    def answer_text(
        self, status: int, reason: str, headers: bytes = b""
    ) -> None:
        """Answer in plain text, with the reason as the body."""
        phrase = calls.STATUS_REASONS.get(status, "Error")
        content_type = b"Content-Type: text/plain; charset=utf-8\r\n"
        body = (reason + "\n").encode("utf-8", "replace")
        self.answer(status, phrase, headers + content_type, body)


@dataclasses.dataclass(slots=True, eq=False)
class ServerConnection:
    """One client connection.

    ``exchanges`` are the requests without a sent answer, in order of arrival.
    ``since_ms`` is when the request that is being received began to arrive,
    or when the connection became idle or last sent data. ``began_ms`` is only
    the former. ``opened_ms`` is when the connection was accepted.
    ``last_request_id`` is the client's id of the request that was answered
    last, ``was_served`` tells whether any was. ``request_bytes`` and
    ``answer_bytes`` are what its exchanges hold.
    """

    server: "http_server.HttpServer"
    stream: transports.Stream
    reader: _http.MessageReader
    exchanges: collections.deque[Exchange] = dataclasses.field(
        default_factory=collections.deque
    )
    since_ms: int = 0
    began_ms: int = 0
    opened_ms: int = 0
    last_unsent: int = 0
    request_bytes: int = 0
    answer_bytes: int = 0
    ends: bool = False
    sending: bool = False
    last_request_id: str = ""
    was_served: bool = False
    memory: connection_memory.ConnectionMemory = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        self.memory = connection_memory.ConnectionMemory(
            self, self.server.memory
        )

    @property
    def is_idle(self) -> bool:
        """Return whether no request waits for an answer or is received."""
        return not self.exchanges and not self.reader.started

    @property
    def client(self) -> places.Client:
        """Return what its client does, for those who have no place."""
        return places.Client(self._activity(), self.since_ms, self)

    def _activity(self) -> places.Activity:
        if self.stream.closing:
            return places.Activity.LEAVING
        if self.exchanges:
            return places.Activity.SERVED
        if self.reader.started:
            return places.Activity.BEGUN
        if self.was_served:
            return places.Activity.IDLE
        return places.Activity.SILENT

    def elapsed_ms(self, now_ms: int) -> int:
        """Return the time since ``since_ms`` in ms."""
        return now_ms - self.since_ms

    # Receiving

    def receive(self, data: bytes) -> None:
        """Add received bytes and start the requests that they complete."""
        if self.ends:
            return
        if not self.reader.started:
            self.since_ms = self.began_ms = self.server.clock.now_ms()
        self.reader.buffer += data
        self.read_next()
        if self.reader.is_behind:
            self.stream.set_paused(True)
            self.server.transport.defer(self._read_on)
        if len(self.reader.buffer) > MAX_BUFFERED_BYTES and self._is_full:
            self.stream.set_paused(True)
        if self.reader.started or self.memory.incoming.size:
            self._count_incoming(len(data))

    def _read_on(self) -> None:
        """Decode more of what was received, once others had their turn."""
        if not self.stream.closed:
            self.stream.set_paused(False)
            self.receive(b"")

    def _count_incoming(self, received: int) -> None:
        refused = self.memory.claim_incoming(received)
        if refused is not None:
            self.server.refuse(self, refused)

    def end_receiving(self) -> None:
        """Read no further request, and forget the incomplete one."""
        self.ends = True
        self.reader.drop()
        # What still comes is discarded; a client that leaves is noticed.
        self.stream.set_paused(False)
        self.memory.claim_incoming(0)

    def give_up_incoming(self) -> None:
        """Refuse the request that is being received."""
        self.server.give_up(self)

    @property
    def _is_full(self) -> bool:
        """Return whether no further request is read for now."""
        return (
            len(self.exchanges) >= MAX_EXCHANGES
            or self.request_bytes + self.answer_bytes >= MAX_HELD_BYTES
        )

    def read_next(self) -> None:
        """Read the requests that are buffered, and start those that may."""
        while self._may_read and self._read_one():
            pass
        self.start_due()

    @property
    def _may_read(self) -> bool:
        """Return whether bytes wait that may be read now."""
        if self._is_full or self.ends:
            return False
        return bool(self.reader.buffer) or self.reader.is_behind

    def _read_one(self) -> bool:
        """Read one request; return False if none is complete."""
        message = self.server.read(self)
        if message is None:
            return False
        now_ms = self.server.clock.now_ms()
        exchange = Exchange(
            self,
            next(self.server.numbers),
            message,
            self.elapsed_ms(now_ms),
            now_ms,
            request_bytes=_request_bytes(message),
        )
        self.since_ms = self.began_ms = now_ms
        self.ends = not message.keep_alive
        if self.ends:
            self.reader.drop()
        if self.exchanges:
            # Only a pipelined request needs to know.
            handler = self.server.handler
            exchange.may_overlap = handler.may_overlap(message)
            first = self.exchanges[0]
            if len(self.exchanges) == 1:
                first.may_overlap = handler.may_overlap(first.request)
        self.add(exchange)
        refused = self.memory.claim_waiting()
        if refused is not None:
            self._refuse(exchange, refused)
        return True

    def _refuse(
        self, exchange: Exchange, refused: held_memory.Refused
    ) -> None:
        """Refuse a request for which there is too little memory."""
        self.server.refused(TOO_LITTLE_MEMORY)
        exchange.started = True
        headers = _outcome.header_lines(
            ran=False, retry_after_ms=refused.retry_after_ms
        )
        exchange.answer_text(503, TOO_LITTLE_MEMORY, headers)

    def add(self, exchange: Exchange) -> None:
        """Add a request behind those that wait for their answers."""
        self.exchanges.append(exchange)
        self.request_bytes += exchange.request_bytes

    def start_due(self) -> None:
        """Start the requests that need not wait for the ones before them."""
        for position, exchange in enumerate(list(self.exchanges)):
            if position and not exchange.may_overlap:
                return
            if not exchange.started:
                exchange.started = True
                self.server.handler.handle_request(exchange, exchange.request)
            if not exchange.may_overlap:
                return

    # Sending

    def send_ready(self) -> None:
        """Send the answers that are ready, up to the first that is not.

        Requests that are read meanwhile may be answered at once; their
        answers are sent here as well, not by a call within this one.
        """
        if self.sending:
            return
        self.sending = True
        try:
            self._send_all_ready()
            while not (self.stream.closed or self.stream.closing):
                self._go_on()
                if not self._may_send:
                    return
                self._send_all_ready()
        finally:
            self.sending = False

    def _send_all_ready(self) -> None:
        while self._may_send:
            if self.server.closing and len(self.exchanges) == 1:
                # What has been received is answered before the close.
                self.read_next()
            self._send_first()
            if self.stream.closed or self.stream.closing:
                return

    @property
    def _may_send(self) -> bool:
        """Return whether the next answer is there, and its turn has come."""
        return self._is_first_ready and not self.stream.unsent

    @property
    def waits_for_reader(self) -> bool:
        """Return whether the next answer waits until the client has read."""
        return self._is_first_ready and bool(self.stream.unsent)

    @property
    def _is_first_ready(self) -> bool:
        """Return whether the answer that is to be sent next is there."""
        return bool(self.exchanges) and self.exchanges[0].response is not None

    def _send_first(self) -> None:
        exchange = self.exchanges.popleft()
        self.request_bytes -= exchange.request_bytes
        self.answer_bytes -= exchange.answer_bytes
        self.last_request_id = exchange.request_id
        self.was_served = True
        keep_alive = exchange.request.keep_alive and not self._is_last()
        for part in exchange.response(keep_alive):
            self.stream.write(part)
        self.memory.count_waiting()
        if not keep_alive:
            self._cancel_rest()
            self.stream.close_after_write()

    def _is_last(self) -> bool:
        """Return whether this answer is the last one before a shutdown.

        Requests that were already received are answered first, also one of
        which a part was received before this process refused requests.
        """
        if not self.server.closing or self.exchanges:
            return False
        refusing_since_ms = self.server.refusing_since_ms
        is_late = refusing_since_ms and self.began_ms > refusing_since_ms
        return bool(is_late) or not self.reader.started

    def _go_on(self) -> None:
        """Read on after an answer was sent."""
        self.stream.set_paused(False)
        if not self.exchanges:
            self.since_ms = self.server.clock.now_ms()
        self.read_next()

    # Ends

    def close_idle(self, *, may_wait: bool = False) -> None:
        """Close the connection while no request is known of.

        One that has come meanwhile is read and answered first. With nothing
        left to deliver, a plain close resets a connection on which a request
        comes later; that tells its client that the request was not read.

        Args:
            may_wait: Whether the connection may stay open until its last
                answer is received.
        """
        if self.stream.unread:
            return
        if not self.owes_bytes:
            self.stream.close()
        elif not may_wait:
            self.stream.close_after_write()

    @property
    def owes_bytes(self) -> bool:
        """Return whether its client has not received all answers yet."""
        return bool(self.stream.unsent or self.stream.unacknowledged)

    def on_close(self) -> None:
        """Cancel the requests of a client that disconnected.

        What was received of the next one is dropped here: the connection and
        its stream refer to each other, and are collected much later.
        """
        self._cancel_rest()
        self.reader.drop()
        self.memory.drop()

    def recount(self) -> None:
        """Count again what a client that stopped or reads slowly holds."""
        if self.memory.unread.size or self.stream.unsent:
            self.memory.count_unread()
        if not self.stream.reading:
            self._count_incoming(0)

    def _cancel_rest(self) -> None:
        """Cancel the requests behind the last answer of the connection."""
        rest, self.exchanges = self.exchanges, collections.deque()
        self.request_bytes = self.answer_bytes = 0
        self.memory.count_waiting()
        for exchange in rest:
            if exchange.started and exchange.response is None:
                self.server.handler.on_disconnect(exchange)

    def track_progress(self, now_ms: int) -> None:
        """Reset the idle time if more of an answer was sent.

        A client that still reads a long answer is not idle.
        """
        unsent = self.stream.unsent
        if unsent != self.last_unsent:
            self.last_unsent = unsent
            self.since_ms = now_ms


def _request_bytes(message: _http.Message) -> int:
    """Return what a request takes in memory until it is answered."""
    head_bytes = HEAD_COPIES * (len(message.headers) + len(message.path))
    head_bytes += FIELD_BYTES * len(message.fields)
    return len(message.body) + head_bytes + REQUEST_BYTES
