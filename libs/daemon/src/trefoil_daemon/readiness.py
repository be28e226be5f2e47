"""Whether callers are served here, for what sends callers to proxies."""

import typing

from . import _http
from . import http_server


class Process(typing.Protocol):
    """What the readiness page needs of its process."""

    @property
    def ready(self) -> bool:
        """Tell whether callers are served here."""


class Readiness:
    """Answers every GET by 200 while callers are served, else by 503.

    Args:
        process: The process engine.
    """

    __slots__ = ("process",)

    def __init__(self, process: Process) -> None:
        self.process = process

    def take(
        self,
        connection: http_server.ServerConnection,
        message: _http.Message,
    ) -> None:
        """Take a request."""
        if message.method != "GET":
            connection.answer_own(405, "only GET")
        elif self.process.ready:
            connection.answer(200, "OK")
        else:
            connection.answer_own(503, "not ready")

    def gone(self, connection: http_server.ServerConnection) -> None:
        """Nothing is owed to a sender that went away."""
