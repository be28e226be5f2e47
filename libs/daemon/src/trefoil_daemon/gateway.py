"""The callers' side of a proxy: HTTP in, calls out, answers back."""

import typing

from trefoil_requests import call as calls

from . import _http
from . import dialect as dialects
from . import http_server

KEY_HEADER = b"idempotency-key"
MAX_KEY = 256


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
        dialect: The headers' names.
        service: Service of this host's own target.
    """

    __slots__ = ("process", "dialect", "service", "own", "waiting")

    def __init__(
        self,
        process: Process,
        dialect: dialects.Dialect = dialects.DEFAULT,
        service: str = "",
    ) -> None:
        self.process = process
        self.dialect = dialect
        self.service = service
        named = (
            dialect.deadline,
            dialect.retried,
            dialect.caller_service,
            dialect.target,
        )
        self.own = frozenset(name.lower() for name in named if name)
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
        now_ms = connection.server.clock.now_ms()
        connection.request_id = message.field(self.dialect.request_id.lower())
        call = calls.Call(
            call_id=connection.number,
            method=message.method,
            host=host.partition(":")[0].lower(),
            path=message.path,
            headers=self._headers_of(message),
            body=message.body,
            key=key,
            deadline_ms=_number(message.field(self.dialect.deadline.lower())),
            retried=message.field(self.dialect.retried.lower()) == "1",
            caller_id=connection.request_id,
            entered_ms=connection.waited_ms(now_ms),
        )
        self.waiting[connection.number] = connection
        self.process.call(call)

    def _headers_of(self, message: _http.Message) -> bytes:
        """Return the header lines for the target.

        Lines that the proxies set themselves are dropped: a caller could
        else name itself as another service.
        """
        headers = message.headers
        if any(name in message.fields for name in self.own):
            lines = headers.split(b"\r\n")[:-1]
            headers = b"".join(
                line + b"\r\n"
                for line in lines
                if line.partition(b":")[0].lower() not in self.own
            )
        if self.dialect.caller_service and self.service:
            service = self.service.encode("latin-1", "replace")
            headers += self.dialect.caller_service + b": " + service + b"\r\n"
        return headers

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
            headers += b"Retry-After: %s\r\n" % self._seconds(
                final.retry_after_ms
            )
            headers += b"X-Trefoil-Retry-After-Ms: %d\r\n" % (
                final.retry_after_ms
            )
        connection.answer_own(final.status, final.reason, headers)

    def _seconds(self, wait_ms: int) -> bytes:
        if self.dialect.retry_fractions:
            return b"%.3f" % (wait_ms / 1000)
        return b"%d" % -(-wait_ms // 1000)


def _number(text: str) -> int:
    return int(text) if text.isascii() and text.isdigit() else 0
