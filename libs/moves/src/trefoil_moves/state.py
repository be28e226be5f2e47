"""The agreed state: configuration, moves and past commands.

Every control process applies the same entries in the same order and must
come to the same state, so nothing here reads a clock or draws at random: the
leader stamps the time into the command.
"""

import typing

from trefoil_fleet import items as item_store
from trefoil_model import errors
from trefoil_model import hashing
from trefoil_wire import frames
from trefoil_wire import messages

from . import phases
from . import rulings

REMEMBER_MS = 24 * 3600 * 1000
MAX_PAST = 8192
MAX_FINISHED_MOVES = 256
MAX_HISTORY = 64

Outcome = messages.Outcome


def command_digest(command: messages.Command) -> int:
    """Return a hash of what an operator asked, stamps left out."""
    issued_ms = 0 if command.content_id else command.issued_ms
    head = f"{command.operator_name}\0{issued_ms}\0{command.kind}\0"
    return hashing.hash64(head.encode() + command.body)


class State:
    """What the control processes have agreed on so far."""

    __slots__ = ("items", "moves", "past", "clock_ms", "document")

    def __init__(self) -> None:
        self.items = item_store.Items()
        self.moves: dict[str, messages.MoveRecord] = {}
        self.past: dict[str, messages.PastCommand] = {}
        self.clock_ms = 0
        self.document: messages.Document | None = None

    @classmethod
    def from_bytes(cls, data: bytes) -> typing.Self:
        """Read a snapshot."""
        saved = frames.unpack(messages.AgreedState, data)
        state = cls()
        state.items = item_store.Items.from_list(saved.revision, saved.items)
        state.moves = {move.move_id: move for move in saved.moves}
        state.past = {past.command_id: past for past in saved.commands}
        state.clock_ms = saved.clock_ms
        state.document = saved.document
        return state

    def to_bytes(self) -> bytes:
        """Return a snapshot."""
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
        """Return the move that runs on a service, if any."""
        for move in self.moves.values():
            if move.service_name == service and not move.outcome:
                return move
        return None

    def running_moves(self) -> list[messages.MoveRecord]:
        """Return every move without an outcome."""
        return [move for move in self.moves.values() if not move.outcome]

    def answer(self, command: messages.Command) -> messages.PastCommand | None:
        """Return the recorded outcome of a command, None if not recorded.

        Two operators who race with equal command ids differ in digest: the
        first to be agreed wins, the other is told not run, which stays true
        since the id is taken for good.
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

    def refusal(self, command: messages.Command) -> rulings.Ruling | None:
        """Return why a command must not be agreed, None if it may.

        Past outcomes are dropped after a day. A resend of an older command
        would run again, so commands that old are refused; their outcome is
        no longer known, and "not run" would be a guess.
        """
        if not command.command_id or not command.operator_name:
            reason = "a command needs an id and an operator"
            return rulings.Ruling(Outcome.NOT_RUN, reason)
        dated = not command.content_id
        if dated and command.issued_ms < self.clock_ms - REMEMBER_MS:
            reason = "issued over a day ago; its outcome is no longer kept"
            return rulings.Ruling(Outcome.EXPIRED, reason)
        if len(self.past) >= MAX_PAST and command.command_id not in self.past:
            reason = "the table of past commands is full"
            return rulings.Ruling(Outcome.NOT_RUN, reason)
        return None

    def apply(self, index: int, command: messages.Command) -> typing.Any:
        """Apply an agreed command once and return its recorded outcome.

        A leader's own steps carry no id: they need no dedupe, since each
        names the move and the share that it sets, and they would crowd
        operators' commands out of the table.
        """
        if not command.command_id:
            self.clock_ms = max(self.clock_ms, command.stamped_ms)
            self._run(index, command)
            return None
        known = self.answer(command)
        if known is not None:
            return known
        self.clock_ms = max(self.clock_ms, command.stamped_ms)
        refusal = self.refusal(command)
        if refusal is None:
            refusal = self._run(index, command)
        past = messages.PastCommand(
            command_id=command.command_id,
            digest=command_digest(command),
            outcome=refusal.outcome,
            reason=refusal.reason,
            revision=self.items.revision,
            stamped_ms=self.clock_ms,
            cause=refusal.cause,
        )
        self._remember(past)
        return past

    def _run(self, index: int, command: messages.Command) -> rulings.Ruling:
        try:
            body = frames.unpack_any(command.kind, command.body)
            return rulings.run(body, self, index, command)
        except (errors.FrameError, KeyError, TypeError) as error:
            return rulings.Ruling(
                Outcome.NOT_RUN, f"malformed command: {error}"
            )

    def _remember(self, past: messages.PastCommand) -> None:
        self.past[past.command_id] = past
        oldest = self.clock_ms - REMEMBER_MS
        while self.past:
            first = next(iter(self.past.values()))
            if first.stamped_ms >= oldest:
                break
            del self.past[first.command_id]

    def document_tag(self) -> str:
        """Return what tells the agreed document from others."""
        if self.document is None:
            return ""
        return f"{self.document.number}-{hashing.hash64(self.document.text)}"

    def set_shares(
        self, index: int, service: str, shares: dict[str, int], move_id: str
    ) -> None:
        """Put a service's split of traffic in the configuration."""
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
        """Give a move its outcome and the traffic its final split."""
        won = outcome == Outcome.DONE
        version = move.to_version if won else move.from_version
        self.set_shares(index, move.service_name, {version: 1000}, "")
        move.outcome = outcome
        move.reason = reason
        move.permille = 1000 if won else 0
        move.phase = phases.ENDED
        move.step_ms = self.clock_ms
        self.note(move, reason)
        finished = [m for m in self.moves.values() if m.outcome]
        for old in finished[: max(len(finished) - MAX_FINISHED_MOVES, 0)]:
            del self.moves[old.move_id]

    def note(self, move: messages.MoveRecord, reason: str) -> None:
        """Add a line to what ``explain`` tells of a move."""
        elapsed_s = (self.clock_ms - move.started_ms) / 1000
        line = f"+{elapsed_s:.1f}s {move.phase} {move.permille}: {reason}"
        move.history = (move.history + [line])[-MAX_HISTORY:]
