"""Connection pools for the targets of this host."""

import dataclasses
import typing

from trefoil_model import clock as clocks
from trefoil_model import digits
from trefoil_model import errors
from trefoil_requests import effects
from trefoil_requests import held_memory
from trefoil_requests import notices
from trefoil_requests import silence as silent_connections
from trefoil_wire import frames
from trefoil_wire import messages

from . import _http
from . import dialect as dialects
from . import notice_reader
from . import transport as transports

DEFAULT_IDLE_MS = 5000
# A target closes a connection when its stated keep-alive time ends, and a
# request in flight at that moment is lost. The margin covers one tick and a
# slow event loop.
KEEP_ALIVE_MARGIN_MS = 1000
MAX_KEEP_ALIVE_S = 3600
# An answer to another proxy must fit into one frame, with its head.
MAX_ANSWER_BYTES = frames.MAX_FRAME_BYTES - 64 * 1024
# All incomplete answers together; a tenth of what a small host has.
MAX_HELD_BYTES = 32 * 1024 * 1024
# Informational answers and answers to other requests that are discarded while
# a request waits for its own. A sound target sends one or two.
MAX_DISCARDED = 8


class Owner(typing.Protocol):
    """What the pools report to their process."""

    def target_answered(
        self,
        answer: messages.Answer,
        notice: notices.Notice = notices.NONE,
    ) -> None:
        """Handle a target's complete answer and what it states in it."""

    def target_unsent(self, request_id: int) -> None:
        """Handle a request of which no byte was sent."""

    def target_disconnected(self, request_id: int) -> None:
        """Handle a connection that broke during a request."""

    def target_silent(self, request_id: int, waited_ms: int) -> None:
        """Handle a request whose connection may have gone silent."""

    def target_checked(self, target: str, accepts: bool) -> None:
        """Handle the result of a connection check."""


@dataclasses.dataclass(slots=True, eq=False)
class TargetConnection:
    """One connection to a target, which carries one request at a time.

    ``unsent_request`` is the request to send once the connection is open,
    ``answered_ms`` the time of its last answer, and ``suspect`` tells whether
    it may have gone silent under its request. ``strayed`` is set once it has
    carried an answer that names no request, ``discarded`` counts what was
    discarded since its request was sent.
    """

    stream: transports.Stream
    port: int
    reader: _http.MessageReader
    request: messages.Request | None = None
    unsent_request: _http.Parts = ()
    idle_until_ms: int = 0
    started_ms: int = 0
    answered_ms: int = 0
    suspect: bool = False
    strayed: bool = False
    discarded: int = 0
    holding: held_memory.Holding = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        # A target that does not get on may still be at work.
        self.holding = held_memory.Holding(
            self, waits_for_peer=False, is_answer=True
        )

    def release(self, holding: held_memory.Holding) -> None:
        """Do nothing: incomplete answers are never given up for others."""


class DetectorKey(typing.NamedTuple):
    """Key of a silent-connection detector: one for each port and route.

    Compared with requests that take a tenth of its time, a request that is
    still running looks like one on a silent connection. Only requests of the
    same route show how long it may take.
    """

    port: int
    route: str


class TargetPools:
    """The connections to all targets of this host.

    Args:
        transport: Opens the streams.
        owner: Receives the results; the process engine.
        clock: The runtime's clock.
        ip: Address of this host, at which its targets listen.
        max_body: Maximum body size of an answer, in bytes, up to
            ``MAX_ANSWER_BYTES``.
        dialect: Header names.
        memory: The account of what the process holds; one of its own by
            default.
    """

    __slots__ = (
        "memory",
        "dialect",
        "ip",
        "transport",
        "owner",
        "clock",
        "max_body",
        "idle",
        "busy",
        "detectors",
    )

    def __init__(
        self,
        transport: transports.Transport,
        owner: Owner,
        clock: clocks.Clock,
        *,
        ip: str,
        max_body: int,
        dialect: dialects.Dialect = dialects.DEFAULT,
        memory: held_memory.HeldMemory | None = None,
    ) -> None:
        self.memory = memory or held_memory.HeldMemory.from_memory()
        self.dialect = dialect
        self.ip = ip
        self.transport = transport
        self.owner = owner
        self.clock = clock
        self.max_body = min(max_body, MAX_ANSWER_BYTES)
        self.idle: dict[int, list[TargetConnection]] = {}
        self.busy: dict[int, TargetConnection] = {}
        self.detectors: dict[
            DetectorKey, silent_connections.SilentConnectionDetector
        ] = {}

    def dispatch(self, effect: effects.Dispatch) -> None:
        """Send a request to a target."""
        request = effect.request
        now_ms = self.clock.now_ms()
        left_ms = max(effect.deadline_at_ms - now_ms, 1)
        extra = b"%s: %d\r\n" % (self.dialect.deadline, left_ms)
        if request.retried and self.dialect.retried:
            extra += self.dialect.retried + b": 1\r\n"
        if request.account and self.dialect.account:
            account = request.account.encode("latin-1", "replace")
            extra += self.dialect.account + b": " + account + b"\r\n"
        if self.dialect.target:
            name = request.target.encode("latin-1", "replace")
            extra += self.dialect.target + b": " + name + b"\r\n"
        parts = _http.request_parts(
            request.method,
            request.path,
            request.headers or b"",
            request.body or b"",
            extra,
        )
        connection = self._acquire(effect.port, now_ms)
        connection.request = request
        connection.started_ms = now_ms
        connection.suspect = False
        connection.discarded = 0
        connection.reader.bodiless = request.method == "HEAD"
        self.busy[request.request_id] = connection
        self._detector(effect.port, request).sent_at(
            request.request_id, now_ms
        )
        if connection.stream.connecting:
            connection.unsent_request = parts
        else:
            _write(connection.stream, parts)

    def abort(self, request_id: int) -> None:
        """Abort a request by closing its connection to the target."""
        connection = self.busy.pop(request_id, None)
        if connection is not None:
            request = connection.request
            self._detector(connection.port, request).dropped(request_id)
            connection.request = None
            connection.stream.close()

    def tick(self) -> None:
        """Close expired idle connections and look for silent ones."""
        now_ms = self.clock.now_ms()
        for connections in self.idle.values():
            for connection in list(connections):
                if now_ms > connection.idle_until_ms:
                    # A device on the path may drop its state of a
                    # connection that idles long; a new one costs 1 ms.
                    connection.stream.close()
        for detector in self.detectors.values():
            for request_id in detector.silent(now_ms):
                connection = self.busy.get(request_id)
                if connection is not None and not connection.suspect:
                    self._suspect(connection, now_ms)

    def _suspect(self, connection: TargetConnection, now_ms: int) -> None:
        """Use no idle connection that may have gone silent with this one.

        The request is left at work: that it takes longer than others does not
        show that its connection is silent. A late answer is still passed on.
        """
        connection.suspect = True
        for idle in list(self.idle.get(connection.port, ())):
            if idle.answered_ms <= connection.started_ms:
                idle.stream.close()
        self.owner.target_silent(
            connection.request.request_id, now_ms - connection.started_ms
        )

    def check(self, target: str, port: int) -> None:
        """Connect once; report whether the target accepts connections."""
        stream = self.transport.connect(
            f"{self.ip}:{port}", lambda stream: stream.close()
        )

        def on_closed(stream: transports.Stream) -> None:
            self.owner.target_checked(target, not stream.connecting)

        stream.on_close = on_closed

    def _detector(
        self, port: int, request: messages.Request
    ) -> silent_connections.SilentConnectionDetector:
        key = DetectorKey(port, request.route or "")
        detector = self.detectors.get(key)
        if detector is None:
            detector = self.detectors[key] = (
                silent_connections.SilentConnectionDetector()
            )
        return detector

    def _acquire(self, port: int, now_ms: int) -> TargetConnection:
        connections = self.idle.get(port)
        while connections:
            connection = connections.pop()
            if not connection.stream.closed:
                return connection
        stream = self.transport.connect(f"{self.ip}:{port}", self._on_open)
        connection = TargetConnection(
            stream,
            port,
            _http.MessageReader(_http.RESPONSE, self.max_body),
        )
        stream.owner = connection
        stream.on_data = self._on_data
        stream.on_close = self._on_close
        return connection

    def _on_open(self, stream: transports.Stream) -> None:
        connection = stream.owner
        parts, connection.unsent_request = connection.unsent_request, ()
        _write(stream, parts)

    def _on_data(self, stream: transports.Stream, data: bytes) -> None:
        connection = stream.owner
        if connection.request is None:
            # No request is in flight. If kept, these bytes would be taken
            # for the answer to the next request, and reach another caller.
            stream.close()
            return
        self._feed(connection, data)

    def _feed_deferred(self, connection: TargetConnection) -> None:
        """Decode more of what was received, once others had their turn."""
        if connection.request is None or connection.stream.closed:
            return
        connection.stream.set_paused(False)
        self._feed(connection, b"")

    def _feed(self, connection: TargetConnection, data: bytes) -> None:
        try:
            message = connection.reader.feed(data)
            while message is not None and not self._is_expected_answer(
                connection, message
            ):
                self._discard(connection)
                message = connection.reader.next()
            self._check_held_bytes(connection)
        except errors.ProtocolError as error:
            self._on_malformed_answer(connection, error)
            return
        if message is not None:
            self._on_answer(connection, message)
        elif connection.reader.is_behind:
            connection.stream.set_paused(True)
            self.transport.defer(lambda: self._feed_deferred(connection))

    def _discard(self, connection: TargetConnection) -> None:
        """Count a message that is not the answer that is waited for.

        Raises:
            ProtocolError: There were too many of them.
        """
        connection.discarded += 1
        if connection.discarded > MAX_DISCARDED:
            raise errors.ProtocolError(400, "too many other answers")

    def _check_held_bytes(self, connection: TargetConnection) -> None:
        """Bound the memory that incomplete answers take.

        Raises:
            ProtocolError: Together they hold too much.
        """
        reader = connection.reader
        if reader.held_bytes <= transports.READ_BYTES:
            return
        held_bytes = sum(
            other.reader.held_bytes for other in self.busy.values()
        )
        now_ms = self.clock.now_ms()
        claimed = self.memory.claim(
            connection.holding, reader.held_bytes, now_ms
        )
        is_refused = isinstance(claimed, held_memory.Refused)
        if is_refused or held_bytes > MAX_HELD_BYTES:
            raise errors.ProtocolError(413, "too many large answers at once")
        for other in claimed.released:
            other.holder.release(other)

    def _is_expected_answer(
        self, connection: TargetConnection, message: _http.Message
    ) -> bool:
        """Return whether a message answers the request in flight.

        A duplicate, late or additional answer arrives where the answer to the
        next request is expected, and would reach the wrong caller. Targets
        return the id of each request that has one, so an answer without an id
        belongs to no request, also if it states that it did not run.
        """
        if message.status < 200:
            return False
        expected_id = connection.request.caller_id
        if not expected_id or not self.dialect.request_id:
            return True
        answer_id = message.fields.get(self.dialect.request_id.lower())
        if answer_id is None:
            connection.strayed = True
        return answer_id == expected_id.encode("latin-1", "replace")

    def _on_malformed_answer(
        self, connection: TargetConnection, error: errors.ProtocolError
    ) -> None:
        request = connection.request
        connection.request = None
        self.busy.pop(request.request_id, None)
        self.memory.drop(connection.holding)
        self._detector(connection.port, request).dropped(request.request_id)
        connection.stream.close()
        self.owner.target_answered(
            messages.Answer(
                request_id=request.request_id,
                status=502,
                reason=f"the target's answer is malformed: {error.reason}",
                ran=True,
                unusable=True,
            )
        )

    def _on_answer(
        self, connection: TargetConnection, message: _http.Message
    ) -> None:
        request = connection.request
        now_ms = self.clock.now_ms()
        connection.request = None
        self.busy.pop(request.request_id, None)
        self.memory.drop(connection.holding)
        detector = self._detector(connection.port, request)
        detector.answered(request.request_id, now_ms)
        is_clean = not (connection.reader.started or connection.strayed)
        connection.answered_ms = now_ms
        if message.keep_alive and is_clean and not connection.stream.closed:
            connection.idle_until_ms = now_ms + _idle_ms(message)
            self.idle.setdefault(connection.port, []).append(connection)
        else:
            connection.stream.close()
        self.owner.target_answered(
            messages.Answer(
                request_id=request.request_id,
                status=message.status,
                reason=message.reason,
                headers=message.headers,
                body=message.body,
                ran=True,
                service_us=(now_ms - connection.started_ms) * 1000,
            ),
            notice_reader.read(message, self.dialect),
        )

    def _on_close(self, stream: transports.Stream) -> None:
        connection = stream.owner
        self.memory.drop(connection.holding)
        self._end(connection, stream)
        # The two refer to each other, and are collected much later.
        connection.reader.drop()

    def _end(
        self, connection: TargetConnection, stream: transports.Stream
    ) -> None:
        """End the request of a connection that closed."""
        idle = self.idle.get(connection.port, [])
        if connection in idle:
            idle.remove(connection)
        request = connection.request
        if request is None:
            return
        # After a reset, the rest of a body without a length may be lost.
        message = connection.reader.feed_eof() if stream.eof_received else None
        if message is not None and self._is_expected_answer(
            connection, message
        ):
            self._on_answer(connection, message)
            return
        connection.request = None
        self.busy.pop(request.request_id, None)
        self._detector(connection.port, request).dropped(request.request_id)
        if connection.unsent_request or stream.connecting:
            self.owner.target_unsent(request.request_id)
        else:
            self.owner.target_disconnected(request.request_id)


def _write(stream: transports.Stream, parts: _http.Parts) -> None:
    for part in parts:
        stream.write(part)


def _idle_ms(message: _http.Message) -> int:
    """Return how long a connection may idle after an answer, in ms."""
    for part in message.field(b"keep-alive").split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout":
            idle_s = digits.whole_number(value, MAX_KEEP_ALIVE_S)
            if idle_s is not None:
                return max(idle_s * 1000 - KEEP_ALIVE_MARGIN_MS, 0)
    return DEFAULT_IDLE_MS
