"""The HTTP admin interface for targets and operators."""

import json
import typing

from trefoil_language import statements
from trefoil_model import errors
from trefoil_wire import messages

from . import _http
from . import announcements
from . import exchanges
from . import metrics as metric_store
from . import operators
from . import sendable

COMMAND_PATH = "/v1/command"
TARGETS_PATH = "/v1/targets"
HEALTH_PATH = "/v1/health"
# The longest statement names a few things.
MAX_LINE_CHARS = 4096
JSON_HEADER = b"Content-Type: application/json\r\n"


class Process(typing.Protocol):
    """What the admin interface requires of its process."""

    def submit(
        self, command: messages.Command, reply: operators.OnReply
    ) -> None:
        """Submit an operator's command."""

    def ask(self, query: messages.Query, reply: operators.OnReply) -> None:
        """Run an operator's query."""


class Admin:
    """Handles announcements of targets and command lines of operators.

    Args:
        process: The process engine.
        metrics: The process's metrics, for queries answered locally.
        bytes_out: Control bytes sent, by message kind, for the same queries.
        name: Name of the process.
        query_ids: The ids of its queries.
    """

    __slots__ = (
        "process",
        "metrics",
        "bytes_out",
        "name",
        "query_ids",
    )

    def __init__(
        self,
        process: Process,
        metrics: metric_store.Metrics,
        bytes_out: dict[str, int],
        name: str,
        query_ids: operators.UniqueIds,
    ) -> None:
        self.process = process
        self.metrics = metrics
        self.bytes_out = bytes_out
        self.name = name
        self.query_ids = query_ids

    def handle_request(
        self,
        exchange: exchanges.Exchange,
        message: _http.Message,
    ) -> None:
        """Handle a request."""
        try:
            self._route(exchange, message)
        except errors.ProtocolError as error:
            exchange.answer_text(error.status, error.reason)

    def may_overlap(self, message: _http.Message) -> bool:
        """Return False: requests are handled one after the other."""
        return False

    def on_disconnect(self, exchange: exchanges.Exchange) -> None:
        """Do nothing: a reply to a closed connection is discarded."""

    def _route(
        self,
        exchange: exchanges.Exchange,
        message: _http.Message,
    ) -> None:
        path = message.path.partition("?")[0]
        if path == HEALTH_PATH and message.method == "GET":
            self._health(exchange)
        elif path == COMMAND_PATH and message.method == "POST":
            self._command(exchange, message)
        elif path.startswith(TARGETS_PATH):
            self._targets(exchange, message, path)
        else:
            raise errors.ProtocolError(404, "no such interface")

    def _health(self, exchange: exchanges.Exchange) -> None:
        ready = getattr(self.process, "ready", True)
        status = 200 if ready else 503
        _answer_json(exchange, status, {"ready": ready, "name": self.name})

    # Targets

    def _targets(
        self,
        exchange: exchanges.Exchange,
        message: _http.Message,
        path: str,
    ) -> None:
        announced = getattr(self.process, "announced", None)
        if announced is None:
            raise errors.ProtocolError(404, "targets announce at proxies")
        name = path.removeprefix(TARGETS_PATH).strip("/")
        if message.method == "GET" and not name:
            busy = self.process.targets.busy
            _answer_json(exchange, 200, announced.describe(busy))
        elif message.method == "PUT" and name and "/" not in name:
            announcement = announcements.parse(name, message.body)
            self.process.announce(announcement)
            _answer_json(exchange, 200, {"lease_ms": announced.lease_ms})
        elif message.method == "DELETE" and name:
            removed = self.process.drop_target(name, "deregistered")
            _answer_json(exchange, 200 if removed else 404, {"left": removed})
        else:
            raise errors.ProtocolError(405, "PUT, DELETE or GET")

    # Operators

    def _command(
        self,
        exchange: exchanges.Exchange,
        message: _http.Message,
    ) -> None:
        # Loading the grammar takes a tenth of a second, which would delay
        # serving callers after a restart.
        from trefoil_language import parser

        line, envelope = _parse_command_body(message.body)
        parsed = parser.parse(line)
        if parsed.is_error():
            raise errors.ProtocolError(400, str(parsed.error))
        statement = parsed.ok
        rows = self._local_rows(statement)
        if rows is not None:
            _answer_json(exchange, 200, _local_answer(rows, self.name))
            return
        command = operators.command_from(statement, envelope)
        if command is not None:
            self.process.submit(
                command, lambda reply: _answer_reply(exchange, reply)
            )
            return
        query = messages.Query(self.query_ids.next(), line, 0)
        self.process.ask(
            sendable.checked(query),
            lambda reply: _answer_query(exchange, reply),
        )

    def _local_rows(
        self, statement: typing.Any
    ) -> list[dict[str, typing.Any]] | None:
        match statement:
            case statements.ShowLatency():
                return self.metrics.quantiles()
            case statements.ShowBytes():
                return [
                    {"kind": kind, "bytes": count}
                    for kind, count in sorted(self.bytes_out.items())
                ]
        return None


def _parse_command_body(body: bytes) -> tuple[str, operators.Envelope]:
    try:
        fields = json.loads(body)
        line = fields["line"]
        envelope = operators.Envelope(
            command_id=str(fields.get("id", "")),
            operator=str(fields.get("operator", "")),
            issued_ms=int(fields.get("issued_ms", 0)),
            document=str(fields.get("document", "")),
        )
    except (
        ValueError,
        KeyError,
        TypeError,
        OverflowError,
        RecursionError,
    ) as error:
        raise errors.ProtocolError(400, f"not a command: {error!r}")
    if not isinstance(line, str):
        raise errors.ProtocolError(400, "line must be text")
    if len(line) > MAX_LINE_CHARS:
        raise errors.ProtocolError(400, "the line is too long")
    return line, envelope


def _local_answer(
    rows: list[dict[str, typing.Any]], name: str
) -> dict[str, typing.Any]:
    return {"rows": rows, "confirmed": True, "told_by": name}


def _answer_json(
    exchange: exchanges.Exchange, status: int, value: typing.Any
) -> None:
    body = json.dumps(value).encode() + b"\n"
    exchange.answer(status, "OK", JSON_HEADER, body)


def _answer_reply(
    exchange: exchanges.Exchange, reply: messages.CommandReply
) -> None:
    body = operators.render_reply(reply).encode() + b"\n"
    exchange.answer(200, "OK", JSON_HEADER, body)


def _answer_query(
    exchange: exchanges.Exchange, reply: messages.QueryReply
) -> None:
    status = 200 if reply.ok else 400
    content_type = JSON_HEADER if reply.ok else b"Content-Type: text/plain\r\n"
    exchange.answer(status, "OK", content_type, reply.body.encode() + b"\n")
