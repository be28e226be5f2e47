"""The agreed state: configuration, moves and past commands.

Every control process applies the same entries in the same order and must
come to the same state, so nothing here reads a clock or draws at random: the
leader stamps the time into the command.
"""

import dataclasses
import functools
import typing

from trefoil_fleet import check
from trefoil_fleet import items as item_store
from trefoil_model import errors
from trefoil_model import hashing
from trefoil_wire import frames
from trefoil_wire import messages

from . import phases

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


@dataclasses.dataclass(slots=True, frozen=True)
class Ruling:
    """What came of a command, and what its operator is told."""

    outcome: int
    reason: str
    cause: int = messages.Cause.OTHER


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

    def refusal(self, command: messages.Command) -> Ruling | None:
        """Return why a command must not be agreed, None if it may.

        Past outcomes are dropped after a day. A resend of an older command
        would run again, so commands that old are refused; their outcome is
        no longer known, and "not run" would be a guess.
        """
        if not command.command_id or not command.operator_name:
            reason = "a command needs an id and an operator"
            return Ruling(Outcome.NOT_RUN, reason)
        dated = not command.content_id
        if dated and command.issued_ms < self.clock_ms - REMEMBER_MS:
            reason = "issued over a day ago; its outcome is no longer kept"
            return Ruling(Outcome.EXPIRED, reason)
        if len(self.past) >= MAX_PAST and command.command_id not in self.past:
            reason = "the table of past commands is full"
            return Ruling(Outcome.NOT_RUN, reason)
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

    def _run(self, index: int, command: messages.Command) -> Ruling:
        try:
            body = frames.unpack_any(command.kind, command.body)
            return run(body, self, index, command)
        except (errors.FrameError, KeyError, TypeError) as error:
            return Ruling(Outcome.NOT_RUN, f"malformed command: {error}")

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


@functools.singledispatch
def run(
    body: typing.Any, state: State, index: int, command: messages.Command
) -> Ruling:
    """Run one kind of command and return its outcome and reason."""
    return Ruling(Outcome.NOT_RUN, f"not a command: {type(body).__name__}")


@run.register
def _(
    body: messages.ApplyConfiguration,
    state: State,
    index: int,
    command: messages.Command,
) -> Ruling:
    current = configuration_revision(state.items)
    if body.expected_revision and body.expected_revision != current:
        return Ruling(
            Outcome.NOT_RUN,
            f"expected revision {body.expected_revision}, "
            f"but {current} is in force",
            messages.Cause.CONFLICT,
        )
    if body.document is not None:
        refused = _document_refusal(state.document, body.document)
        if refused is not None:
            return refused
    candidate = state.items.copy()
    _put_configuration(candidate, index, body)
    found = check.problems(candidate) + _move_problems(state, candidate)
    if found:
        return Ruling(
            Outcome.NOT_RUN, "; ".join(found), messages.Cause.INVALID
        )
    state.items = candidate
    state.document = body.document
    return Ruling(Outcome.DONE, f"revision {candidate.revision}")


def _document_refusal(
    current: messages.Document | None, offered: messages.Document
) -> Ruling | None:
    """Return why a numbered document may not follow the one in force.

    Two writers who build on the same document would else overwrite each
    other; the second is told that another one is in force.
    """
    number = current.number if current is not None else 0
    if offered.base != number:
        return Ruling(
            Outcome.NOT_RUN,
            f"builds on document {offered.base}, but {number} is in force",
            messages.Cause.CONFLICT,
        )
    if offered.number <= number:
        return Ruling(
            Outcome.NOT_RUN,
            f"document {offered.number} is not above {number}",
            messages.Cause.INVALID,
        )
    return None


def configuration_revision(items: item_store.Items) -> int:
    """Return the revision at which services or routes last changed."""
    return max(
        (
            item.revision
            for item in items.by_key.values()
            if item.key.startswith(item_store.OF_DOCUMENT)
        ),
        default=0,
    )


def _put_configuration(
    items: item_store.Items, index: int, body: messages.ApplyConfiguration
) -> None:
    wanted: dict[str, typing.Any] = {}
    for service in body.services:
        wanted[item_store.SERVICE + service.name] = service
        if items.get(item_store.SHARES + service.name) is None:
            wanted[item_store.SHARES + service.name] = messages.Shares(
                service_name=service.name,
                shares=[messages.VersionShare(service.version, 1000)],
                move_id="",
            )
    for route in body.routes:
        wanted[item_store.ROUTE + route.name] = route
    if body.limits is not None:
        wanted[item_store.LIMITS] = body.limits
    names = {service.name for service in body.services}
    for key, item in list(items.by_key.items()):
        kind, _, name = key.partition("/")
        owned = kind + "/" in item_store.OF_DOCUMENT
        orphan = kind + "/" == item_store.SHARES and name not in names
        if not item.deleted and (orphan or (owned and key not in wanted)):
            items.delete(index, key)
    for key, record in wanted.items():
        if items.get(key) != record:
            items.set(index, key, record)


def _move_problems(state: State, candidate: item_store.Items) -> list[str]:
    found = []
    for move in state.running_moves():
        key = item_store.SERVICE + move.service_name
        if candidate.get(key) is None:
            found.append(
                f"service {move.service_name}: a move runs on it; "
                "reverse it first"
            )
    return found


@run.register
def _(
    body: messages.StartMove,
    state: State,
    index: int,
    command: messages.Command,
) -> Ruling:
    name = body.service_name
    shares = state.items.get(item_store.SHARES + name)
    if shares is None:
        return Ruling(Outcome.NOT_RUN, f"there is no service {name}")
    running = state.running_move(name)
    if running is not None:
        return Ruling(
            Outcome.NOT_RUN, f"move {running.move_id} runs on {name}"
        )
    present = {s.version for s in shares.shares if s.permille}
    from_version = body.from_version or version_in_force(shares)
    if from_version not in present:
        there = ", ".join(sorted(present))
        return Ruling(Outcome.NOT_RUN, f"{name} is at version {there}")
    if body.to_version == from_version:
        return Ruling(Outcome.NOT_RUN, "both versions are the same")
    deadline_ms = body.deadline_ms
    if body.duration_ms:
        deadline_ms = state.clock_ms + body.duration_ms
    if deadline_ms <= state.clock_ms:
        return Ruling(Outcome.NOT_RUN, "the deadline has passed")
    move = messages.MoveRecord(
        move_id=command.command_id,
        service_name=name,
        from_version=from_version,
        to_version=body.to_version,
        deadline_ms=deadline_ms,
        risk_permille=body.risk_permille,
        watch_ms=body.watch_ms,
        started_ms=state.clock_ms,
        permille=0,
        phase=phases.WAITING,
        outcome=0,
        reason="",
        step_ms=state.clock_ms,
        history=[],
    )
    state.moves[move.move_id] = move
    state.note(move, "started")
    return Ruling(Outcome.DONE, f"move {move.move_id} runs")


def version_in_force(shares: messages.Shares) -> str:
    """Return the version with the greatest share of a service."""
    return max(shares.shares, key=lambda share: share.permille).version


@run.register
def _(
    body: messages.AdoptVersion,
    state: State,
    index: int,
    command: messages.Command,
) -> Ruling:
    """Take a version that targets announced for the one in force.

    A document need not name versions. Without an agreed one, targets of a
    version that no move has brought in yet would get traffic as soon as
    they start.
    """
    shares = state.items.get(item_store.SHARES + body.service_name)
    if shares is None or version_in_force(shares):
        return Ruling(Outcome.NOT_RUN, "a version is in force already")
    if state.running_move(body.service_name) is not None:
        return Ruling(Outcome.NOT_RUN, "a move runs")
    state.set_shares(index, body.service_name, {body.version: 1000}, "")
    return Ruling(Outcome.DONE, f"version {body.version}")


@run.register
def _(
    body: messages.StepMove,
    state: State,
    index: int,
    command: messages.Command,
) -> Ruling:
    move = state.moves.get(body.move_id)
    if move is None or move.outcome:
        return Ruling(Outcome.NOT_RUN, "no such move runs")
    if body.permille != move.permille:
        rest = 1000 - body.permille
        state.set_shares(
            index,
            move.service_name,
            {move.from_version: rest, move.to_version: body.permille},
            move.move_id,
        )
    move.permille = body.permille
    move.phase = body.phase
    move.step_ms = state.clock_ms
    state.note(move, body.reason)
    return Ruling(Outcome.DONE, "")


@run.register
def _(
    body: messages.EndMove,
    state: State,
    index: int,
    command: messages.Command,
) -> Ruling:
    move = state.moves.get(body.move_id)
    if move is None or move.outcome:
        return Ruling(Outcome.NOT_RUN, "no such move runs")
    state.end_move(index, move, body.outcome, body.reason)
    return Ruling(Outcome.DONE, "")


@run.register
def _(
    body: messages.ReverseMove,
    state: State,
    index: int,
    command: messages.Command,
) -> Ruling:
    move = state.running_move(body.service_name)
    if move is None:
        return Ruling(Outcome.NOT_RUN, f"no move runs on {body.service_name}")
    reason = f"reversed by {command.operator_name}"
    state.end_move(index, move, Outcome.TAKEN_BACK, reason)
    return Ruling(Outcome.DONE, f"move {move.move_id} taken back")


@run.register
def _(
    body: messages.DrainHost,
    state: State,
    index: int,
    command: messages.Command,
) -> Ruling:
    key = item_store.DRAIN + body.host
    present = state.items.get(key) is not None
    if present == body.draining:
        return Ruling(Outcome.DONE, "nothing to change")
    if body.draining:
        state.items.set(index, key, messages.Drain(host=body.host))
    else:
        state.items.delete(index, key)
    return Ruling(Outcome.DONE, f"revision {index}")


@run.register
def _(
    body: messages.CancelCommand,
    state: State,
    index: int,
    command: messages.Command,
) -> Ruling:
    past = state.past.get(body.cancelled_id)
    if past is not None:
        name = Outcome._VALUES_TO_NAMES[past.outcome].lower()
        return Ruling(Outcome.NOT_RUN, f"it has an outcome already: {name}")
    state._remember(
        messages.PastCommand(
            command_id=body.cancelled_id,
            digest=0,
            outcome=Outcome.NOT_RUN,
            reason="cancelled before it was agreed",
            revision=state.items.revision,
            stamped_ms=state.clock_ms,
        )
    )
    return Ruling(Outcome.DONE, f"{body.cancelled_id} will never run")
