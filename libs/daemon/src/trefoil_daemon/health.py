"""Health checks of the targets of this host."""

import typing

from trefoil_model import errors

from . import _http
from . import dialect as dialects
from . import transport as transports

MAX_BODY = 64 * 1024


class Owner(typing.Protocol):
    """What health checks tell their process."""

    def target_warmup(self, target: str, left_ms: int) -> None:
        """Take how much longer a target is cold."""


class HealthChecks:
    """Asks targets for what only they know of themselves.

    A target that does not answer, or does not tell, leaves the process with
    what it presumed.

    Args:
        transport: Carries the streams.
        owner: The process.
        ip: Address of this host, where its targets take requests.
        dialect: The headers' names.
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
        """Ask a target how much longer it is cold."""
        reader = _http.MessageReader(_http.RESPONSE, MAX_BODY)
        question = f"GET {path} HTTP/1.1\r\nHost: {self.ip}:{port}\r\n\r\n"

        def opened(stream: transports.Stream) -> None:
            stream.write(question.encode("latin-1", "replace"))

        def take(stream: transports.Stream, data: bytes) -> None:
            try:
                message = reader.feed(data)
            except errors.ProtocolError:
                # Garbage tells nothing; what was presumed holds.
                stream.close()
                return
            if message is not None:
                stream.close()
                self._told(target, message)

        stream = self.transport.connect(f"{self.ip}:{port}", opened)
        stream.on_data = take

    def _told(self, target: str, message: _http.Message) -> None:
        left = message.field(self.dialect.warmup_left.lower())
        if left.isascii() and left.isdigit():
            self.owner.target_warmup(target, int(left))
