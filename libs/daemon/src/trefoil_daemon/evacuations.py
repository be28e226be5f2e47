"""Evacuations asked for by callers that number nothing.

Such a call is sent again to any control host until it is answered, and the
same call may come anew hours later, so it can't be known by its content. Each
call becomes a command of its own that runs only if the failure domain did not
change since this host last knew.
"""

import dataclasses
import itertools
import typing

from trefoil_wire import frames
from trefoil_wire import messages

from . import operators

if typing.TYPE_CHECKING:
    from . import control_process

# A host that lags learns from the first refusal; changes by others come
# seconds apart.
MOST_TRIES = 4
# A connection that its caller has closed is known to be closed after the poll
# that follows; between two ticks there is one.
TICKS_HELD = 2


@dataclasses.dataclass(slots=True)
class EvacuationCall:
    """A call that is not answered yet.

    Args:
        wanted: What is asked for.
        operator: Who asks.
        still_waits: Tells whether the caller still waits for the answer.
        reply: Takes the answer.
        ticks: How many ticks it has been held.
        tries: How often it was submitted.
        known: The newest revision that this host knew, 0 before the first
            try.
    """

    wanted: messages.EvacuateDomain
    operator: str
    still_waits: typing.Callable[[], bool]
    reply: operators.OnReply
    ticks: int = 0
    tries: int = 0
    known: int = 0


class EvacuationCalls:
    """Makes commands of evacuations and follows them to an answer.

    A call that stood unread while this host was frozen was answered by
    another host since, and its caller has hung up; so calls are held until
    that would show.

    Args:
        process: The control process.
    """

    __slots__ = ("process", "numbers", "held")

    def __init__(self, process: "control_process.ControlProcess") -> None:
        self.process = process
        self.numbers = itertools.count(1)
        self.held: list[EvacuationCall] = []

    def ask(self, call: EvacuationCall) -> None:
        """Evacuate a failure domain, or take it back."""
        self.held.append(call)

    def tick(self) -> None:
        """Submit the calls that were held for long enough."""
        held, self.held = self.held, []
        for call in held:
            call.ticks += 1
            if call.ticks < TICKS_HELD:
                self.held.append(call)
            else:
                self._submit(call)

    def _submit(self, call: EvacuationCall) -> None:
        if not call.still_waits():
            return
        newest = self.process.state.items.revision
        call.known = max(call.known, newest, 1)
        call.wanted.known_revision = call.known
        call.tries += 1
        self.process.submit(
            self._command(call), lambda answer: self._told(call, answer)
        )

    def _told(
        self, call: EvacuationCall, answer: messages.CommandReply
    ) -> None:
        """Pass an answer on, or try again where this host lagged."""
        conflict = answer.cause == messages.Cause.CONFLICT
        if not conflict or call.tries == MOST_TRIES:
            call.reply(answer)
            return
        call.known = answer.revision
        self._submit(call)

    def _command(self, call: EvacuationCall) -> messages.Command:
        kind, data = frames.pack_any(call.wanted)
        wall_ms = self.process.clock.wall_ms()
        host = self.process.settings.host
        return messages.Command(
            command_id=f"evacuation-{host}-{wall_ms}-{next(self.numbers)}",
            operator_name=call.operator,
            issued_ms=wall_ms,
            kind=kind,
            body=data,
        )
