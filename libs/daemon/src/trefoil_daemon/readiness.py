"""The readiness page, for load balancers in front of the proxies."""

import typing

from . import _page
from . import exchanges


class Process(typing.Protocol):
    """The state that the readiness page needs from its process."""

    @property
    def ready(self) -> bool:
        """Whether callers are served here."""


class Readiness(_page.Page):
    """Answers every GET with 200 while callers are served, else with 503.

    Args:
        process: The process engine.
    """

    __slots__ = ("process",)

    def __init__(self, process: Process) -> None:
        self.process = process

    def get(self, exchange: exchanges.Exchange) -> None:
        """Answer a GET."""
        if self.process.ready:
            exchange.answer(200, "OK")
        else:
            exchange.answer_text(503, "not ready")
