"""Health checks of the targets of this host."""

import typing

from trefoil_model import errors

from . import _http
from . import dialect as dialects
from . import transport as transports

MAX_BODY_BYTES = 64 * 1024


class Owner(typing.Protocol):
    """Callbacks of the process that runs health checks."""

    def target_warmup(self, target: str, left_ms: int) -> None:
        """Handle a target's report of how many milliseconds it stays cold."""


class HealthChecks:
    """Asks targets how much longer they are cold.

    If a target does not answer or its answer lacks the header, the process
    keeps its estimate.

    Args:
        transport: Opens the streams.
        owner: The process.
        ip: Address of this host, where its targets accept requests.
        dialect: The header names.
    """

    __slots__ = ("transport", "owner", "ip", "dialect")

    def __init__(
        self,
        transport: transports.Transport,
        owner: Owner,
        *,
        ip: str,
        dialect: dialects.Dialect,
    ) -> None:
        self.transport = transport
        self.owner = owner
        self.ip = ip
        self.dialect = dialect

    def ask(self, target: str, port: int, path: str) -> None:
        """Send a health check to a target.

        Args:
            target: Name of the target.
            port: Its port.
            path: Path of its health check.
        """
        reader = _http.MessageReader(_http.RESPONSE, MAX_BODY_BYTES)
        request = f"GET {path} HTTP/1.1\r\nHost: {self.ip}:{port}\r\n\r\n"

        def send_request(stream: transports.Stream) -> None:
            stream.write(request.encode("latin-1", "replace"))

        def read_response(stream: transports.Stream, data: bytes) -> None:
            try:
                message = reader.feed(data)
            except errors.ProtocolError:
                # A malformed answer leaves the estimate unchanged.
                stream.close()
                return
            if message is not None:
                stream.close()
                self._on_response(target, message)

        stream = self.transport.connect(f"{self.ip}:{port}", send_request)
        stream.on_data = read_response

    def _on_response(self, target: str, message: _http.Message) -> None:
        header = message.field(self.dialect.warmup_left.lower())
        if header.isascii() and header.isdigit():
            self.owner.target_warmup(target, int(header))
