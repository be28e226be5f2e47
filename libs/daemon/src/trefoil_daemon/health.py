"""Health checks of the targets of this host."""

import dataclasses
import typing

from trefoil_model import clock as clocks
from trefoil_model import digits
from trefoil_model import errors

from . import _http
from . import dialect as dialects
from . import transport as transports

MAX_BODY_BYTES = 64 * 1024
# A check waits for a slot like any other request.
TIMEOUT_MS = 10_000
MAX_WARMUP_MS = 24 * 3600 * 1000
# Informational answers before the answer to a check.
MAX_DISCARDED = 8


class Owner(typing.Protocol):
    """Callbacks of the process that runs health checks."""

    def target_warmup(self, target: str, left_ms: int) -> None:
        """Handle a target's report of how many milliseconds it stays cold."""


@dataclasses.dataclass(slots=True, eq=False)
class Check:
    """One health check in flight.

    Args:
        target: Name of the target.
        stream: Its connection.
        reader: Reads the answer.
        asked_ms: When it began.
        discarded: Number of informational answers so far.
    """

    target: str
    stream: transports.Stream
    reader: _http.MessageReader
    asked_ms: int
    discarded: int = 0


class HealthChecks:
    """Asks targets how much longer they are cold.

    If a target does not answer or its answer lacks the header, the process
    keeps its estimate.

    Args:
        transport: Opens the streams.
        owner: The process.
        clock: The runtime's clock.
        ip: Address of this host, where its targets accept requests.
        dialect: The header names.
    """

    __slots__ = ("transport", "owner", "clock", "ip", "dialect", "checks")

    def __init__(
        self,
        transport: transports.Transport,
        owner: Owner,
        clock: clocks.Clock,
        *,
        ip: str,
        dialect: dialects.Dialect,
    ) -> None:
        self.transport = transport
        self.owner = owner
        self.clock = clock
        self.ip = ip
        self.dialect = dialect
        self.checks: dict[str, Check] = {}

    def ask(self, target: str, port: int, path: str) -> None:
        """Send a health check to a target.

        Args:
            target: Name of the target.
            port: Its port.
            path: Path of its health check.
        """
        old = self.checks.pop(target, None)
        if old is not None:
            old.stream.close()
        request = f"GET {path} HTTP/1.1\r\nHost: {self.ip}:{port}\r\n\r\n"

        def send_request(stream: transports.Stream) -> None:
            stream.write(request.encode("latin-1", "replace"))

        stream = self.transport.connect(f"{self.ip}:{port}", send_request)
        reader = _http.MessageReader(_http.RESPONSE, MAX_BODY_BYTES)
        check = Check(target, stream, reader, self.clock.now_ms())
        stream.owner = check
        stream.on_data = self._on_data
        stream.on_close = self._on_close
        self.checks[target] = check

    def tick(self) -> None:
        """End the checks that take too long.

        A target in trouble may answer in drips without end. Each check would
        keep a connection of the target open for good.
        """
        now_ms = self.clock.now_ms()
        for check in list(self.checks.values()):
            if now_ms - check.asked_ms >= TIMEOUT_MS:
                check.stream.close()

    def _on_data(self, stream: transports.Stream, data: bytes) -> None:
        check = stream.owner
        if stream.closed:
            return
        try:
            message = check.reader.feed(data)
            while message is not None and message.status < 200:
                check.discarded += 1
                if check.discarded > MAX_DISCARDED:
                    raise errors.ProtocolError(400, "too many other answers")
                message = check.reader.next()
        except errors.ProtocolError:
            # A malformed answer leaves the estimate unchanged.
            stream.close()
            return
        if message is not None:
            stream.close()
            self._on_response(check.target, message)
        elif check.reader.is_behind:
            self.transport.defer(lambda: self._on_data(stream, b""))

    def _on_close(self, stream: transports.Stream) -> None:
        check = stream.owner
        check.reader.drop()
        if self.checks.get(check.target) is check:
            del self.checks[check.target]

    def _on_response(self, target: str, message: _http.Message) -> None:
        header = message.field(self.dialect.warmup_left.lower())
        left_ms = digits.whole_number(header, MAX_WARMUP_MS)
        if left_ms is not None:
            self.owner.target_warmup(target, left_ms)
