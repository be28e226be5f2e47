"""The replicated state: configuration, moves and past commands.

Every control process applies the same log entries in the same order and must
reach the same state, so nothing here reads a clock or uses random numbers.
The leader writes the time into each command.
"""

import typing

from trefoil_fleet import items as item_store
from trefoil_model import errors
from trefoil_model import hashing
from trefoil_wire import frames
from trefoil_wire import messages

from . import command_results
from . import phases

# How long outcomes of past commands are kept.
RETENTION_MS = 24 * 3600 * 1000
# Further commands are refused until old outcomes are deleted.
MAX_PAST_COMMANDS = 8192
MAX_FINISHED_MOVES = 256
# Lines of a move's history.
MAX_HISTORY = 64

Outcome = messages.Outcome


def command_digest(command: messages.Command) -> int:
    """Return a hash of a command, without the time that the leader adds.

    The time of issue is left out too if the id is derived from the content.
    """
    issued_ms = 0 if command.content_id else command.issued_ms
    head = f"{command.operator_name}\0{issued_ms}\0{command.kind}\0"
    return hashing.hash64(head.encode() + command.body)


class State:
    """The state machine that the Raft log is applied to."""

    __slots__ = ("items", "moves", "past", "clock_ms", "document")

    def __init__(self) -> None:
        self.items = item_store.Items()
        self.moves: dict[str, messages.MoveRecord] = {}
        self.past: dict[str, messages.PastCommand] = {}
        self.clock_ms = 0
        self.document: messages.Document | None = None

    @classmethod
    def from_bytes(cls, data: bytes) -> typing.Self:
        """Restore the state from a snapshot."""
        saved = frames.unpack(messages.AgreedState, data)
        state = cls()
        state.items = item_store.Items.from_list(saved.revision, saved.items)
        state.moves = {move.move_id: move for move in saved.moves}
        state.past = {past.command_id: past for past in saved.commands}
        state.clock_ms = saved.clock_ms
        state.document = saved.document
        return state

    def to_bytes(self) -> bytes:
        """Return a snapshot of the state."""
        return frames.pack(
            messages.AgreedState(
                revision=self.items.revision,
                clock_ms=self.clock_ms,
                items=list(self.items.by_key.values()),
                moves=list(self.moves.values()),
                commands=list(self.past.values()),
                document=self.document,
            )
        )

    def running_move(self, service: str) -> messages.MoveRecord | None:
        """Return the move that runs on a service, None if none does."""
        for move in self.moves.values():
            if move.service_name == service and not move.outcome:
                return move
        return None

    def running_moves(self) -> list[messages.MoveRecord]:
        """Return every move without an outcome."""
        return [move for move in self.moves.values() if not move.outcome]

    def recorded_outcome(
        self, command: messages.Command
    ) -> messages.PastCommand | None:
        """Return the recorded outcome of a command, None if not recorded.

        Commands of two operators with the same id differ in their digests.
        The first to be committed runs. The other gets the outcome "not run",
        which stays correct since the id remains taken.
        """
        past = self.past.get(command.command_id)
        if past is None:
            return None
        if past.digest in (command_digest(command), 0):
            return past
        return messages.PastCommand(
            command_id=command.command_id,
            digest=command_digest(command),
            outcome=Outcome.NOT_RUN,
            reason="the command id was taken by another command",
            revision=past.revision,
            stamped_ms=past.stamped_ms,
            cause=messages.Cause.CONFLICT,
        )

    def refusal(
        self, command: messages.Command
    ) -> command_results.CommandResult | None:
        """Return why a command must not run, None if it may.

        Past outcomes are deleted after a day. If an older command were sent
        again, it would run twice, so commands of that age are refused. Their
        outcome is no longer known, so "not run" might be wrong.
        """
        if not command.command_id or not command.operator_name:
            reason = "a command needs an id and an operator"
            return command_results.CommandResult(Outcome.NOT_RUN, reason)
        can_expire = not command.content_id
        if can_expire and command.issued_ms < self.clock_ms - RETENTION_MS:
            reason = "issued over a day ago; its outcome is no longer kept"
            return command_results.CommandResult(Outcome.EXPIRED, reason)
        if (
            len(self.past) >= MAX_PAST_COMMANDS
            and command.command_id not in self.past
        ):
            reason = "the table of past commands is full"
            return command_results.CommandResult(Outcome.NOT_RUN, reason)
        return None

    def apply(self, index: int, command: messages.Command) -> typing.Any:
        """Apply a committed command once and return its recorded outcome.

        Commands of the leader itself carry no id and return None. They need
        no deduplication, since each names the move and the share that it
        sets, and they would displace operators' commands from the table.
        """
        if not command.command_id:
            self.clock_ms = max(self.clock_ms, command.stamped_ms)
            self._run(index, command)
            return None
        recorded = self.recorded_outcome(command)
        if recorded is not None:
            return recorded
        self.clock_ms = max(self.clock_ms, command.stamped_ms)
        result = self.refusal(command)
        if result is None:
            result = self._run(index, command)
        past = messages.PastCommand(
            command_id=command.command_id,
            digest=command_digest(command),
            outcome=result.outcome,
            reason=result.reason,
            revision=self.items.revision,
            stamped_ms=self.clock_ms,
            cause=result.cause,
        )
        self._record_outcome(past)
        return past

    def _run(
        self, index: int, command: messages.Command
    ) -> command_results.CommandResult:
        try:
            body = frames.unpack_any(command.kind, command.body)
            return command_results.run(body, self, index, command)
        except (
            errors.FrameError,
            errors.EncodeError,
            KeyError,
            TypeError,
        ) as error:
            return command_results.CommandResult(
                Outcome.NOT_RUN, f"malformed command: {error}"
            )

    def _record_outcome(self, past: messages.PastCommand) -> None:
        self.past[past.command_id] = past
        oldest = self.clock_ms - RETENTION_MS
        while self.past:
            first = next(iter(self.past.values()))
            if first.stamped_ms >= oldest:
                break
            del self.past[first.command_id]

    def document_tag(self) -> str:
        """Return an identifier of the current document, "" if none."""
        if self.document is None:
            return ""
        return f"{self.document.number}-{hashing.hash64(self.document.text)}"

    def set_shares(
        self, index: int, service: str, shares: dict[str, int], move_id: str
    ) -> None:
        """Set a service's traffic shares, in permille by version."""
        record = messages.Shares(
            service_name=service,
            shares=[
                messages.VersionShare(version, permille)
                for version, permille in sorted(shares.items())
            ],
            move_id=move_id,
        )
        self.items.set(index, item_store.SHARES + service, record)

    def end_move(
        self,
        index: int,
        move: messages.MoveRecord,
        outcome: int,
        reason: str,
    ) -> None:
        """End a move with an outcome and set the final traffic shares."""
        is_done = outcome == Outcome.DONE
        version = move.to_version if is_done else move.from_version
        self.set_shares(index, move.service_name, {version: 1000}, "")
        move.outcome = outcome
        move.reason = reason
        move.permille = 1000 if is_done else 0
        move.phase = phases.ENDED
        move.step_ms = self.clock_ms
        self.add_history_line(move, reason)
        finished = [m for m in self.moves.values() if m.outcome]
        for old in finished[: max(len(finished) - MAX_FINISHED_MOVES, 0)]:
            del self.moves[old.move_id]

    def add_history_line(self, move: messages.MoveRecord, reason: str) -> None:
        """Add a line to a move's history, which ``explain`` prints."""
        elapsed_s = (self.clock_ms - move.started_ms) / 1000
        line = f"+{elapsed_s:.1f}s {move.phase} {move.permille}: {reason}"
        move.history = (move.history + [line])[-MAX_HISTORY:]
