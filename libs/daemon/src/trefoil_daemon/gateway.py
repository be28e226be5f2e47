"""The callers' side of a proxy: HTTP in, calls out, answers back."""

import typing

from trefoil_requests import call as calls

from . import _http
from . import http_server

KEY_HEADER = b"idempotency-key"
DEADLINE_HEADER = b"x-trefoil-deadline-ms"
RETRIED_HEADER = b"x-trefoil-retried"
MAX_KEY = 256
OWN_HEADERS = (DEADLINE_HEADER, RETRIED_HEADER)


class Process(typing.Protocol):
    """What the gateway needs of its process."""

    def call(self, call: calls.Call) -> None:
        """Take a caller's request."""

    def caller_gone(self, call_id: int) -> None:
        """Note a caller that went away."""


class Gateway:
    """Hands callers' requests to the process and answers back.

    Args:
        process: The process engine.
    """

    __slots__ = ("process", "waiting")

    def __init__(self, process: Process) -> None:
        self.process = process
        self.waiting: dict[int, http_server.ServerConnection] = {}

    def take(
        self,
        connection: http_server.ServerConnection,
        message: _http.Message,
    ) -> None:
        """Take a request."""
        host = message.field(b"host")
        if not host:
            connection.answer_own(400, "a Host header is needed")
            return
        key = message.field(KEY_HEADER)
        if len(key) > MAX_KEY:
            connection.answer_own(400, "the idempotency key is too long")
            return
        call = calls.Call(
            call_id=connection.number,
            method=message.method,
            host=host.partition(":")[0].lower(),
            path=message.path,
            headers=_without_own(message),
            body=message.body,
            key=key,
            deadline_ms=_number(message.field(DEADLINE_HEADER)),
            retried=message.field(RETRIED_HEADER) == "1",
        )
        self.waiting[connection.number] = connection
        self.process.call(call)

    def gone(self, connection: http_server.ServerConnection) -> None:
        """Note a caller that went away before its answer."""
        if self.waiting.pop(connection.number, None) is not None:
            self.process.caller_gone(connection.number)

    def finish(self, final: calls.Final) -> None:
        """Send a final answer."""
        connection = self.waiting.pop(final.call_id, None)
        if connection is None:
            return
        if not final.own:
            connection.answer(
                final.status, final.reason, final.headers, final.body
            )
            return
        ran = b"unknown" if final.ran else b"not-run"
        headers = b"X-Trefoil-Outcome: " + ran + b"\r\n"
        if final.retry_after_ms:
            seconds = -(-final.retry_after_ms // 1000)
            headers += b"Retry-After: %d\r\n" % seconds
            headers += b"X-Trefoil-Retry-After-Ms: %d\r\n" % (
                final.retry_after_ms
            )
        connection.answer_own(final.status, final.reason, headers)


def _number(text: str) -> int:
    return int(text) if text.isascii() and text.isdigit() else 0


def _without_own(message: _http.Message) -> bytes:
    """Drop the lines that the target's proxy sets itself."""
    if not any(name in message.fields for name in OWN_HEADERS):
        return message.headers
    lines = message.headers.split(b"\r\n")[:-1]
    return b"".join(
        line + b"\r\n"
        for line in lines
        if line.partition(b":")[0].lower() not in OWN_HEADERS
    )
