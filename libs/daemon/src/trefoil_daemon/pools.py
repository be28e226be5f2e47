"""Connections to the targets of this host, and requests on them."""

import dataclasses
import typing

from trefoil_model import clock as clocks
from trefoil_model import errors
from trefoil_requests import effects
from trefoil_requests import silence as silent_connections
from trefoil_wire import messages

from . import _http
from . import dialect as dialects
from . import transport as transports

IDLE_MS = 5000
# A target closes a connection at the end of the time that it states; a
# request that is on its way then is lost. One beat and a slow loop fit in.
KEEP_ALIVE_MARGIN_MS = 1000


class Owner(typing.Protocol):
    """What the pools tell their process."""

    def target_answered(self, answer: messages.Answer) -> None:
        """Take a target's whole answer."""

    def target_unsent(self, request_id: int) -> None:
        """Note a request of which no byte was sent."""

    def target_broke(self, request_id: int) -> None:
        """Note a connection that broke under a request."""

    def target_checked(self, target: str, accepts: bool) -> None:
        """Take whether a target takes connections."""


@dataclasses.dataclass(slots=True, eq=False)
class TargetConnection:
    """One connection to a target; it carries one request at a time."""

    stream: transports.Stream
    port: int
    reader: _http.MessageReader
    request: messages.Request | None = None
    waiting: bytes = b""
    idle_until_ms: int = 0
    started_ms: int = 0


class WatchKey(typing.NamedTuple):
    """What a silence watch is kept for.

    Beside requests that take a tenth of its time, one that its target is at
    work on looks like one whose connection went silent; those of its own
    route tell how long it may take.
    """

    port: int
    route: str


class TargetPools:
    """The connections to all targets of this host.

    Args:
        transport: Carries the streams.
        owner: The process.
        clock: The runtime's clock.
        ip: Address of this host, where its targets take requests.
        max_body: Largest body of an answer, in bytes.
        dialect: The headers' names.
    """

    __slots__ = (
        "dialect",
        "ip",
        "transport",
        "owner",
        "clock",
        "max_body",
        "idle",
        "busy",
        "watches",
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
    ) -> None:
        self.dialect = dialect
        self.ip = ip
        self.transport = transport
        self.owner = owner
        self.clock = clock
        self.max_body = max_body
        self.idle: dict[int, list[TargetConnection]] = {}
        self.busy: dict[int, TargetConnection] = {}
        self.watches: dict[
            WatchKey, silent_connections.SilentConnectionDetector
        ] = {}

    def dispatch(self, effect: effects.Dispatch) -> None:
        """Send a request to a target."""
        request = effect.request
        now_ms = self.clock.now_ms()
        left_ms = max(effect.deadline_at_ms - now_ms, 1)
        extra = b"%s: %d\r\n" % (self.dialect.deadline, left_ms)
        if request.retried and self.dialect.retried:
            extra += self.dialect.retried + b": 1\r\n"
        if self.dialect.target:
            name = request.target.encode("latin-1", "replace")
            extra += self.dialect.target + b": " + name + b"\r\n"
        data = _http.request_bytes(
            request.method,
            request.path,
            request.headers or b"",
            request.body or b"",
            extra,
        )
        connection = self._take(effect.port, now_ms)
        connection.request = request
        connection.started_ms = now_ms
        connection.reader.bodiless = request.method == "HEAD"
        self.busy[request.request_id] = connection
        self._watch(effect.port, request).sent_at(request.request_id, now_ms)
        if connection.stream.connecting:
            connection.waiting = data
        else:
            connection.stream.write(data)

    def abort(self, request_id: int) -> None:
        """Close the connection under a request; the target sees it."""
        connection = self.busy.pop(request_id, None)
        if connection is not None:
            request = connection.request
            self._watch(connection.port, request).dropped(request_id)
            connection.request = None
            connection.stream.close()

    def tick(self) -> None:
        """Close stale idle connections and those that went silent."""
        now_ms = self.clock.now_ms()
        for connections in self.idle.values():
            for connection in list(connections):
                if now_ms > connection.idle_until_ms:
                    # A connection that idles long may have been forgotten
                    # by what stands between; a fresh one costs 1 ms.
                    connection.stream.close()
        for watch in self.watches.values():
            for request_id in watch.silent(now_ms):
                self._silent(request_id, watch)

    def _silent(
        self,
        request_id: int,
        watch: silent_connections.SilentConnectionDetector,
    ) -> None:
        connection = self.busy.pop(request_id, None)
        watch.dropped(request_id)
        if connection is None:
            return
        connection.request = None
        connection.stream.close()
        self.owner.target_answered(
            messages.Answer(
                request_id=request_id,
                status=502,
                reason="the connection to the target went silent",
                ran=True,
                unusable=True,
            )
        )

    def check(self, target: str, port: int) -> None:
        """Connect once and tell whether the target takes connections."""
        stream = self.transport.connect(
            f"{self.ip}:{port}", lambda stream: stream.close()
        )

        def told(stream: transports.Stream) -> None:
            self.owner.target_checked(target, not stream.connecting)

        stream.on_close = told

    def _watch(
        self, port: int, request: messages.Request
    ) -> silent_connections.SilentConnectionDetector:
        key = WatchKey(port, request.route or "")
        watch = self.watches.get(key)
        if watch is None:
            watch = self.watches[key] = (
                silent_connections.SilentConnectionDetector()
            )
        return watch

    def _take(self, port: int, now_ms: int) -> TargetConnection:
        connections = self.idle.get(port)
        while connections:
            connection = connections.pop()
            if not connection.stream.closed:
                return connection
        stream = self.transport.connect(f"{self.ip}:{port}", self._opened)
        connection = TargetConnection(
            stream,
            port,
            _http.MessageReader(_http.RESPONSE, self.max_body),
        )
        stream.owner = connection
        stream.on_data = self._data
        stream.on_close = self._closed
        return connection

    def _opened(self, stream: transports.Stream) -> None:
        connection = stream.owner
        waiting, connection.waiting = connection.waiting, b""
        if waiting:
            stream.write(waiting)

    def _data(self, stream: transports.Stream, data: bytes) -> None:
        connection = stream.owner
        if connection.request is None:
            # Nothing was asked, so these bytes answer nothing; given to the
            # next request they would be another caller's answer.
            stream.close()
            return
        try:
            message = connection.reader.feed(data)
            while message is not None and not self._answers(
                connection, message
            ):
                message = connection.reader.next()
        except errors.ProtocolError as error:
            self._bad_answer(connection, error)
            return
        if message is not None:
            self._answered(connection, message)

    def _answers(
        self, connection: TargetConnection, message: _http.Message
    ) -> bool:
        """Tell whether a message is the answer to the request that waits.

        A target may send an answer twice, or late: it then stands where
        the next one is expected, and would be given to another caller.
        """
        if message.status < 200:
            return False
        wanted = connection.request.caller_id
        if not wanted or not self.dialect.request_id:
            return True
        name = self.dialect.request_id.lower()
        given = message.fields.get(name)
        return given is None or given == wanted.encode("latin-1", "replace")

    def _bad_answer(
        self, connection: TargetConnection, error: errors.ProtocolError
    ) -> None:
        request = connection.request
        connection.request = None
        self.busy.pop(request.request_id, None)
        self._watch(connection.port, request).dropped(request.request_id)
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

    def _answered(
        self, connection: TargetConnection, message: _http.Message
    ) -> None:
        request = connection.request
        now_ms = self.clock.now_ms()
        connection.request = None
        self.busy.pop(request.request_id, None)
        watch = self._watch(connection.port, request)
        watch.answered(request.request_id, now_ms)
        clean = not connection.reader.started
        if message.keep_alive and clean and not connection.stream.closed:
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
            )
        )

    def _closed(self, stream: transports.Stream) -> None:
        connection = stream.owner
        idle = self.idle.get(connection.port, [])
        if connection in idle:
            idle.remove(connection)
        request = connection.request
        if request is None:
            return
        # A reset may have swallowed the rest of a body without a length.
        message = connection.reader.end() if stream.ended else None
        if message is not None and self._answers(connection, message):
            self._answered(connection, message)
            return
        connection.request = None
        self.busy.pop(request.request_id, None)
        self._watch(connection.port, request).dropped(request.request_id)
        if connection.waiting or stream.connecting:
            self.owner.target_unsent(request.request_id)
        else:
            self.owner.target_broke(request.request_id)


def _idle_ms(message: _http.Message) -> int:
    """Return how long a connection may idle after an answer."""
    for part in message.field(b"keep-alive").split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.isdigit():
            return max(int(value) * 1000 - KEEP_ALIVE_MARGIN_MS, 0)
    return IDLE_MS
