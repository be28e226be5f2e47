"""Operators' commands and queries, and the replies they wait for."""

import collections.abc
import dataclasses
import datetime
import itertools
import json
import random
import typing

from trefoil_language import statements
from trefoil_model import errors
from trefoil_moves import command_results
from trefoil_settings import configuration
from trefoil_wire import frames
from trefoil_wire import messages

from . import sendable

COMMAND_TIMEOUT_MS = 2500
RETRY_AFTER_MS = 500
QUERY_TIMEOUT_MS = 1500
MAX_WAITING_IDS = 1024
NONCE_BITS = 64

OnReply = collections.abc.Callable[[typing.Any], None]


@dataclasses.dataclass(slots=True)
class Waiter:
    """A pending request and the callback for its reply.

    Args:
        request: The command or query.
        reply: Receives the reply.
        until_ms: When it is answered without an outcome.
    """

    request: typing.Any
    reply: OnReply
    until_ms: int


class Waiters:
    """Pending requests by command or query id."""

    __slots__ = ("by_id",)

    def __init__(self) -> None:
        self.by_id: dict[str, list[Waiter]] = {}

    def add(
        self, key: str, request: typing.Any, reply: OnReply, until_ms: int
    ) -> bool:
        """Add a pending request; return False if there are too many.

        Args:
            key: The command or query id.
            request: The command or query.
            reply: Receives the reply.
            until_ms: When it is answered without an outcome.
        """
        if len(self.by_id) >= MAX_WAITING_IDS and key not in self.by_id:
            return False
        self.by_id.setdefault(key, []).append(Waiter(request, reply, until_ms))
        return True

    def all(self) -> list[Waiter]:
        """Return the first pending request of each id."""
        return [waiters[0] for waiters in self.by_id.values()]

    def take(self, key: str) -> list[Waiter]:
        """Remove and return the pending requests of an id."""
        return self.by_id.pop(key, [])

    def take_all(self) -> list[Waiter]:
        """Remove and return all pending requests."""
        taken = [waiter for group in self.by_id.values() for waiter in group]
        self.by_id = {}
        return taken

    def expired(self, now_ms: int) -> list[Waiter]:
        """Remove and return the pending requests that have expired."""
        expired = []
        for key, waiters in list(self.by_id.items()):
            expired.extend(w for w in waiters if now_ms >= w.until_ms)
            remaining = [w for w in waiters if now_ms < w.until_ms]
            if remaining:
                self.by_id[key] = remaining
            else:
                del self.by_id[key]
        return expired


class UniqueIds:
    """Ids that no process has used before.

    The leader may still hold questions of the process that ran here before.
    Were ids used again, its answers to them would be taken for answers to the
    questions of this process.

    Args:
        name: How the ids begin.
        rng: Draws what tells this process from earlier ones.
    """

    __slots__ = ("prefix", "numbers")

    def __init__(self, name: str, rng: random.Random) -> None:
        self.prefix = f"{name}-{rng.getrandbits(NONCE_BITS):x}"
        self.numbers = itertools.count(1)

    def next(self) -> str:
        """Return the next id."""
        return f"{self.prefix}-{next(self.numbers)}"


def pending(command_id: str, why: str) -> messages.CommandReply:
    """Return the reply to a command whose outcome is not known yet."""
    return messages.CommandReply(
        command_id=command_id,
        outcome=messages.Outcome.PENDING,
        reason=why,
        revision=0,
        retry_after_ms=RETRY_AFTER_MS,
    )


def reply_from(past: messages.PastCommand) -> messages.CommandReply:
    """Return the reply for a recorded outcome."""
    return messages.CommandReply(
        command_id=past.command_id,
        outcome=past.outcome,
        reason=past.reason,
        revision=past.revision,
        cause=past.cause or messages.Cause.OTHER,
    )


def refused(
    command_id: str, refusal: command_results.CommandResult
) -> messages.CommandReply:
    """Return the reply to a command that was refused before it was appended.

    Args:
        command_id: Its id.
        refusal: Why it was refused.
    """
    return messages.CommandReply(
        command_id=command_id,
        outcome=refusal.outcome,
        reason=refusal.reason,
        revision=0,
        cause=refusal.cause,
    )


@dataclasses.dataclass(slots=True)
class Envelope:
    """The metadata and document that accompany an operator's line.

    Args:
        command_id: The operator's id of the command.
        operator: Name of the operator.
        issued_ms: When it was first issued, Unix time in milliseconds.
        document: A configuration document, for ``apply``.
    """

    command_id: str
    operator: str
    issued_ms: int
    document: str = ""


def command_from(
    statement: typing.Any, envelope: Envelope
) -> messages.Command | None:
    """Return the command for a statement; None if the statement is a query.

    Raises:
        ProtocolError: The document or deadline is invalid, or no message
            can hold the command; it was not run.
    """
    body = _body_of(statement, envelope)
    if body is None:
        return None
    kind, data = frames.pack_any(sendable.checked(body))
    command = messages.Command(
        command_id=envelope.command_id,
        operator_name=envelope.operator,
        issued_ms=envelope.issued_ms,
        kind=kind,
        body=data,
    )
    return sendable.checked(command)


def _body_of(statement: typing.Any, envelope: Envelope) -> typing.Any:
    match statement:
        case statements.Apply():
            return _configuration(statement, envelope.document)
        case statements.Move():
            return messages.StartMove(
                service_name=statement.service,
                from_version=statement.from_version,
                to_version=statement.to_version,
                deadline_ms=_deadline(statement, envelope.issued_ms),
                risk_permille=statement.risk_permille,
                watch_ms=statement.watch_ms,
            )
        case statements.Reverse():
            return messages.ReverseMove(service_name=statement.service)
        case statements.Drain():
            return messages.DrainHost(
                host=statement.host, draining=statement.draining
            )
        case statements.Evacuate():
            return messages.EvacuateDomain(
                domain=statement.domain,
                evacuated=statement.evacuated,
                reason=statement.reason,
            )
        case statements.Cancel():
            return messages.CancelCommand(cancelled_id=statement.command_id)
    return None


def _configuration(
    statement: statements.Apply, document: str
) -> messages.ApplyConfiguration:
    checked = configuration.parse(document, file=statement.file)
    if checked.is_error():
        raise errors.ProtocolError(400, str(checked.error))
    body = checked.ok
    body.expected_revision = statement.expected
    return body


def _deadline(statement: statements.Move, issued_ms: int) -> int:
    if not statement.deadline:
        return issued_ms + statement.deadline_in_ms
    try:
        deadline = datetime.datetime.fromisoformat(statement.deadline)
        return int(deadline.timestamp() * 1000)
    except (ValueError, OverflowError) as error:
        raise errors.ProtocolError(400, f"bad deadline: {error}")


def render_reply(reply: messages.CommandReply) -> str:
    """Return a reply as JSON."""
    outcome = messages.Outcome._VALUES_TO_NAMES[reply.outcome]
    return json.dumps(
        {
            "command_id": reply.command_id,
            "outcome": outcome.lower().replace("_", " "),
            "reason": reply.reason,
            "revision": reply.revision,
            "retry_after_ms": reply.retry_after_ms or 0,
        }
    )
