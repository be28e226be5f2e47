"""Evacuation calls from an interface without command ids.

A caller repeats such a call to any control host until it is answered, and may
make the same call again hours later, so the content can't identify it. Each
call becomes a separate command, which runs only if the failure domain has not
changed since the revision that this host knows.
"""

import dataclasses
import typing

from trefoil_wire import frames
from trefoil_wire import messages

from . import operators

if typing.TYPE_CHECKING:
    from . import control_process

# A lagging host learns the newest revision from the first refusal; changes by
# others are seconds apart.
MAX_ATTEMPTS = 4
# A connection that the caller has closed is detected by the next poll, and
# there is one between two ticks.
HOLD_TICKS = 2


@dataclasses.dataclass(slots=True)
class EvacuationCall:
    """A call that is not answered yet.

    Args:
        request: The evacuation or its withdrawal.
        operator: Name of the operator.
        is_caller_waiting: Returns whether the caller is still connected.
        reply: Receives the answer.
        ticks: For how many ticks it has been held.
        attempts: How often it was submitted.
        newest_revision: The newest revision known to this host or named by
            a refusal; 0 before the first attempt.
    """

    request: messages.EvacuateDomain
    operator: str
    is_caller_waiting: typing.Callable[[], bool]
    reply: operators.OnReply
    ticks: int = 0
    attempts: int = 0
    newest_revision: int = 0


class EvacuationCalls:
    """Submits evacuation calls as commands until they are answered.

    While this host is suspended, a call may wait unread and its caller may
    disconnect and get its answer from another host. Calls are therefore held
    until such a disconnection would be detected.

    Args:
        process: The control process.
    """

    __slots__ = ("process", "ids", "held")

    def __init__(self, process: "control_process.ControlProcess") -> None:
        self.process = process
        name = f"evacuation-{process.settings.host}"
        self.ids = operators.UniqueIds(name, process.rng)
        self.held: list[EvacuationCall] = []

    def ask(self, call: EvacuationCall) -> None:
        """Queue a call that evacuates a failure domain or withdraws that."""
        self.held.append(call)

    def tick(self) -> None:
        """Submit the calls that were held for ``HOLD_TICKS``."""
        held, self.held = self.held, []
        for call in held:
            call.ticks += 1
            if call.ticks < HOLD_TICKS:
                self.held.append(call)
            else:
                self._submit(call)

    def _submit(self, call: EvacuationCall) -> None:
        if not call.is_caller_waiting():
            return
        newest = self.process.state.items.revision
        call.newest_revision = max(call.newest_revision, newest, 1)
        call.request.known_revision = call.newest_revision
        call.attempts += 1
        self.process.submit(
            self._command(call), lambda answer: self._on_reply(call, answer)
        )

    def _on_reply(
        self, call: EvacuationCall, answer: messages.CommandReply
    ) -> None:
        """Pass on an answer, or retry if this host lagged."""
        conflict = answer.cause == messages.Cause.CONFLICT
        if not conflict or call.attempts == MAX_ATTEMPTS:
            call.reply(answer)
            return
        call.newest_revision = answer.revision
        self._submit(call)

    def _command(self, call: EvacuationCall) -> messages.Command:
        kind, data = frames.pack_any(call.request)
        return messages.Command(
            command_id=self.ids.next(),
            operator_name=call.operator,
            issued_ms=self.process.clock.wall_ms(),
            kind=kind,
            body=data,
        )
