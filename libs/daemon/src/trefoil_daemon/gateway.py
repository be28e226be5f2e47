"""The caller side of a proxy: turns HTTP requests into calls."""

import typing

from trefoil_model import digits
from trefoil_requests import call as calls

from . import _http
from . import _outcome
from . import dialect as dialects
from . import exchanges

IDEMPOTENCY_KEY_HEADER = b"idempotency-key"
AUTHORIZATION_HEADER = b"authorization"
MAX_KEY_CHARS = 256
# Routes' own timeouts are far shorter.
MAX_DEADLINE_MS = 24 * 3600 * 1000


class Process(typing.Protocol):
    """What the gateway requires of its process."""

    def call(self, call: calls.Call) -> None:
        """Start a caller's request."""

    def caller_disconnected(self, call_id: int) -> None:
        """Cancel the call of a caller that disconnected."""

    def may_overlap(self, host: str, path: str, method: str) -> bool:
        """Return whether a request may run beside others of its caller."""


class Gateway:
    """Passes callers' requests to the process and returns its answers.

    Args:
        process: The process engine.
        dialect: Header names.
        service: Service of the target on this host, sent to called targets
            as the name of their caller; empty for none.
    """

    __slots__ = (
        "process",
        "dialect",
        "service",
        "reserved_headers",
        "exchanges",
    )

    def __init__(
        self,
        process: Process,
        dialect: dialects.Dialect = dialects.DEFAULT,
        service: str = "",
    ) -> None:
        self.process = process
        self.dialect = dialect
        self.service = service
        header_names = (
            dialect.deadline,
            dialect.retried,
            dialect.caller_service,
            dialect.target,
            dialect.account,
        )
        self.reserved_headers = frozenset(
            name.lower() for name in header_names if name
        )
        self.exchanges: dict[int, exchanges.Exchange] = {}

    def handle_request(
        self,
        exchange: exchanges.Exchange,
        message: _http.Message,
    ) -> None:
        """Start a call for a request, or reject the request."""
        host = message.field(b"host")
        if not host:
            exchange.answer_text(400, "a Host header is needed")
            return
        key = message.field(IDEMPOTENCY_KEY_HEADER)
        if len(key) > MAX_KEY_CHARS:
            exchange.answer_text(400, "the idempotency key is too long")
            return
        exchange.request_id = message.field(self.dialect.request_id.lower())
        call = calls.Call(
            call_id=exchange.number,
            method=message.method,
            host=host.partition(":")[0].lower(),
            path=message.path,
            headers=self._headers_of(message),
            body=message.body,
            key=key,
            deadline_ms=_deadline(
                message.field(self.dialect.deadline.lower())
            ),
            retried=message.field(self.dialect.retried.lower()) == "1",
            caller_id=exchange.request_id,
            entered_ms=exchange.entered_ms,
            account_key=self._key_of(message),
            received_boot_ms=exchange.server.clock.boot_ms(),
        )
        if AUTHORIZATION_HEADER in message.fields:
            _separate_authorization(call)
        self.exchanges[exchange.number] = exchange
        self.process.call(call)

    def _key_of(self, message: _http.Message) -> str:
        """Return the key of the caller's account, empty without one."""
        scheme, _, key = message.field(AUTHORIZATION_HEADER).partition(" ")
        if scheme.lower() != self.dialect.key_scheme.decode().lower():
            return ""
        return key.strip()

    def _headers_of(self, message: _http.Message) -> bytes:
        """Return the header lines for the target.

        Headers that proxies set are removed first. Otherwise a caller could
        claim to be another service.
        """
        headers = message.headers
        if any(name in message.fields for name in self.reserved_headers):
            lines = headers.split(b"\r\n")[:-1]
            headers = b"".join(
                line + b"\r\n"
                for line in lines
                if _name_of(line) not in self.reserved_headers
            )
        if self.dialect.caller_service and self.service:
            service = self.service.encode("latin-1", "replace")
            headers += self.dialect.caller_service + b": " + service + b"\r\n"
        return headers

    def may_overlap(self, message: _http.Message) -> bool:
        """Return whether a request may run beside others of its caller."""
        host = message.field(b"host").partition(":")[0].lower()
        return self.process.may_overlap(host, message.path, message.method)

    def on_disconnect(self, exchange: exchanges.Exchange) -> None:
        """Cancel the call of a caller that disconnected before its answer."""
        if self.exchanges.pop(exchange.number, None) is not None:
            self.process.caller_disconnected(exchange.number)

    def finish(self, final: calls.Final) -> None:
        """Send the final answer of a call."""
        exchange = self.exchanges.pop(final.call_id, None)
        if exchange is None:
            return
        if not final.own:
            exchange.answer(
                final.status, final.reason, final.headers, final.body
            )
            return
        headers = _outcome.header_lines(
            ran=final.ran,
            retry_after_ms=final.retry_after_ms,
            fractions=self.dialect.retry_fractions,
        )
        if final.status == 401:
            scheme = self.dialect.key_scheme
            headers += b"WWW-Authenticate: " + scheme + b"\r\n"
        exchange.answer_text(final.status, final.reason, headers)


def _separate_authorization(call: calls.Call) -> None:
    """Move a call's authorization out of the headers for its target."""
    lines = [line + b"\r\n" for line in call.headers.split(b"\r\n")[:-1]]
    call.authorization = b"".join(
        line for line in lines if _name_of(line) == AUTHORIZATION_HEADER
    )
    call.headers = b"".join(
        line for line in lines if _name_of(line) != AUTHORIZATION_HEADER
    )


def _name_of(line: bytes) -> bytes:
    return line.partition(b":")[0].lower()


def _deadline(text: str) -> int:
    """Return a stated deadline in milliseconds, 0 if there is none."""
    return digits.whole_number(text, MAX_DEADLINE_MS) or 0
