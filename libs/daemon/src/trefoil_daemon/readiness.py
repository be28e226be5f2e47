"""Whether callers are served here, for what sends callers to proxies."""

import typing

from . import _page
from . import http_server


class Process(typing.Protocol):
    """What the readiness page needs of its process."""

    @property
    def ready(self) -> bool:
        """Tell whether callers are served here."""


class Readiness(_page.Page):
    """Answers every GET by 200 while callers are served, else by 503.

    Args:
        process: The process engine.
    """

    __slots__ = ("process",)

    def __init__(self, process: Process) -> None:
        self.process = process

    def get(self, connection: http_server.ServerConnection) -> None:
        """Answer a GET."""
        if self.process.ready:
            connection.answer(200, "OK")
        else:
            connection.answer_text(503, "not ready")
