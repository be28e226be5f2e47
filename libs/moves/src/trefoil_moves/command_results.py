"""How committed commands change the replicated state, and their results.

Every control process runs the same commands in the same order and must reach
the same state, so nothing here reads a clock or uses random numbers.
"""

import collections
import dataclasses
import functools
import typing

from trefoil_fleet import check
from trefoil_fleet import items as item_store
from trefoil_wire import frames
from trefoil_wire import messages

from . import knobs as parameters
from . import phases

if typing.TYPE_CHECKING:
    from . import state as states

Outcome = messages.Outcome
# What a snapshot holds beside the configuration and its document.
SNAPSHOT_RESERVE_BYTES = 1024 * 1024
MAX_CONFIGURATION_BYTES = frames.MAX_MESSAGE_BYTES - SNAPSHOT_RESERVE_BYTES
# Revision, lengths and field headers of an item.
ITEM_BYTES = 24
MAX_LISTED_PROBLEMS = 20
MAX_PROBLEM_CHARS = 512


@dataclasses.dataclass(slots=True, frozen=True)
class CommandResult:
    """Result of a command, as reported to its operator.

    Args:
        outcome: A value of ``messages.Outcome``.
        reason: Explanation for the operator.
        cause: A value of ``messages.Cause``.
    """

    outcome: int
    reason: str
    cause: int = messages.Cause.OTHER


@functools.singledispatch
def run(
    body: typing.Any,
    state: "states.State",
    index: int,
    command: messages.Command,
) -> CommandResult:
    """Apply a command's body to the state and return the result.

    Args:
        body: The unpacked command, whose type selects the handler.
        state: The replicated state.
        index: Index of the log entry, the revision of what changes.
        command: The command that carries the body.
    """
    return CommandResult(
        Outcome.NOT_RUN, f"not a command: {type(body).__name__}"
    )


@run.register(messages.ApplyConfiguration)
def _(
    body: messages.ApplyConfiguration,
    state: "states.State",
    index: int,
    command: messages.Command,
) -> CommandResult:
    current = configuration_revision(state.items)
    if body.expected_revision and body.expected_revision != current:
        return CommandResult(
            Outcome.NOT_RUN,
            f"expected revision {body.expected_revision}, "
            f"but {current} is in force",
            messages.Cause.CONFLICT,
        )
    if body.document is not None:
        refusal = _document_refusal(state.document, body.document)
        if refusal is not None:
            return refusal
    candidate = state.items.copy()
    _put_configuration(candidate, index, body)
    problems = _size_problems(candidate, body) or (
        _repeated_accounts(body)
        + check.find_problems(candidate)
        + _move_problems(state, candidate)
    )
    if problems:
        return CommandResult(
            Outcome.NOT_RUN, _joined(problems), messages.Cause.INVALID
        )
    state.items = candidate
    state.document = body.document
    return CommandResult(Outcome.DONE, f"revision {candidate.revision}")


def _document_refusal(
    current: messages.Document | None, offered: messages.Document
) -> CommandResult | None:
    """Return why a numbered document may not replace the current one.

    Otherwise two writers that build on the same document would overwrite
    each other; the second is refused with the number of the one in force.
    """
    number = current.number if current is not None else 0
    if offered.base != number:
        return CommandResult(
            Outcome.NOT_RUN,
            f"builds on document {offered.base}, but {number} is in force",
            messages.Cause.CONFLICT,
        )
    if offered.number <= number:
        return CommandResult(
            Outcome.NOT_RUN,
            f"document {offered.number} is not above {number}",
            messages.Cause.INVALID,
        )
    return None


def configuration_revision(items: item_store.Items) -> int:
    """Return the revision at which the configuration last changed."""
    return items.newest_revision(item_store.DOCUMENT_PREFIXES)


def _put_configuration(
    items: item_store.Items, index: int, body: messages.ApplyConfiguration
) -> None:
    new_records: dict[str, typing.Any] = {}
    for service in body.services:
        new_records[item_store.SERVICE + service.name] = service
        if items.get(item_store.SHARES + service.name) is None:
            new_records[item_store.SHARES + service.name] = messages.Shares(
                service_name=service.name,
                shares=[messages.VersionShare(service.version, 1000)],
                move_id="",
            )
    for route in body.routes:
        new_records[item_store.ROUTE + route.name] = route
    if body.limits is not None:
        new_records[item_store.LIMITS] = body.limits
    if body.accounts is not None:
        new_records[item_store.ACCESS_POLICY] = messages.AccessPolicy(True)
    for account in body.accounts or ():
        new_records[item_store.ACCOUNT + account.name] = account
    names = {service.name for service in body.services}
    for key, item in list(items.by_key.items()):
        kind, _, name = key.partition("/")
        is_in_document = kind + "/" in item_store.DOCUMENT_PREFIXES
        is_orphaned = kind + "/" == item_store.SHARES and name not in names
        if not item.deleted and (
            is_orphaned or (is_in_document and key not in new_records)
        ):
            items.delete(index, key)
    for key, record in new_records.items():
        if items.get(key) != record:
            items.set(index, key, record)


def _size_problems(
    candidate: item_store.Items, body: messages.ApplyConfiguration
) -> list[str]:
    """Return a problem if no message holds the whole configuration.

    It would be acknowledged, and neither proxies nor control hosts that have
    lost their disks could be told. Beside it and its document, a snapshot
    holds moves and the outcomes of past commands.
    """
    size = sum(
        len(item.key.encode()) + len(item.value) + ITEM_BYTES
        for item in candidate.by_key.values()
    )
    if body.document is not None:
        size += len(body.document.text)
    if size <= MAX_CONFIGURATION_BYTES:
        return []
    return [f"{size} bytes, but only {MAX_CONFIGURATION_BYTES} can be sent"]


def _joined(problems: list[str]) -> str:
    """Return problems as one text; past outcomes are kept for a day."""
    more = len(problems) - MAX_LISTED_PROBLEMS
    listed = [
        problem[:MAX_PROBLEM_CHARS]
        for problem in problems[:MAX_LISTED_PROBLEMS]
    ]
    if more > 0:
        listed.append(f"and {more} more")
    return "; ".join(listed)


def _repeated_accounts(body: messages.ApplyConfiguration) -> list[str]:
    """Return a problem for each account that is given more than once.

    Only the last one would be in force, with its keys and its limits.
    """
    counts = collections.Counter(
        account.name for account in body.accounts or ()
    )
    return [
        f"account {name} is given twice"
        for name, count in sorted(counts.items())
        if count > 1
    ]


def _move_problems(
    state: "states.State", candidate: item_store.Items
) -> list[str]:
    problems = []
    for move in state.running_moves():
        key = item_store.SERVICE + move.service_name
        if candidate.get(key) is None:
            problems.append(
                f"service {move.service_name}: a move runs on it; "
                "reverse it first"
            )
    return problems


@run.register(messages.StartMove)
def _(
    body: messages.StartMove,
    state: "states.State",
    index: int,
    command: messages.Command,
) -> CommandResult:
    name = body.service_name
    shares = state.items.get(item_store.SHARES + name)
    if shares is None:
        return CommandResult(Outcome.NOT_RUN, f"there is no service {name}")
    running = state.running_move(name)
    if running is not None:
        return CommandResult(
            Outcome.NOT_RUN, f"move {running.move_id} runs on {name}"
        )
    present = {s.version for s in shares.shares if s.permille}
    from_version = body.from_version or version_in_force(shares)
    if from_version not in present:
        present_versions = ", ".join(sorted(present))
        return CommandResult(
            Outcome.NOT_RUN, f"{name} is at version {present_versions}"
        )
    if body.to_version == from_version:
        return CommandResult(Outcome.NOT_RUN, "both versions are the same")
    deadline_ms = body.deadline_ms
    if body.duration_ms:
        deadline_ms = state.clock_ms + body.duration_ms
    span_ms = deadline_ms - state.clock_ms
    if span_ms <= 0:
        return CommandResult(Outcome.NOT_RUN, "the deadline has passed")
    move = messages.MoveRecord(
        move_id=command.command_id,
        service_name=name,
        from_version=from_version,
        to_version=body.to_version,
        deadline_ms=deadline_ms,
        risk_permille=body.risk_permille or parameters.RISK_PERMILLE,
        watch_ms=body.watch_ms or parameters.default_watch_ms(span_ms),
        started_ms=state.clock_ms,
        permille=0,
        phase=phases.WAITING,
        outcome=0,
        reason="",
        step_ms=state.clock_ms,
        history=[],
    )
    state.moves[move.move_id] = move
    state.add_history_line(move, "started")
    return CommandResult(Outcome.DONE, f"move {move.move_id} runs")


def version_in_force(shares: messages.Shares) -> str:
    """Return the version with the largest share of a service."""
    return max(shares.shares, key=lambda share: share.permille).version


@run.register(messages.AdoptVersion)
def _(
    body: messages.AdoptVersion,
    state: "states.State",
    index: int,
    command: messages.Command,
) -> CommandResult:
    """Record an announced version as the one in force.

    A document need not name versions. Without a recorded one, targets of a
    version that no move has introduced yet would get traffic as soon as they
    start.
    """
    shares = state.items.get(item_store.SHARES + body.service_name)
    if shares is None or version_in_force(shares):
        return CommandResult(Outcome.NOT_RUN, "a version is in force already")
    if state.running_move(body.service_name) is not None:
        return CommandResult(Outcome.NOT_RUN, "a move runs")
    state.set_shares(index, body.service_name, {body.version: 1000}, "")
    return CommandResult(Outcome.DONE, f"version {body.version}")


@run.register(messages.StepMove)
def _(
    body: messages.StepMove,
    state: "states.State",
    index: int,
    command: messages.Command,
) -> CommandResult:
    move = state.moves.get(body.move_id)
    if move is None or move.outcome:
        return CommandResult(Outcome.NOT_RUN, "no such move runs")
    if body.permille != move.permille:
        old_permille = 1000 - body.permille
        state.set_shares(
            index,
            move.service_name,
            {move.from_version: old_permille, move.to_version: body.permille},
            move.move_id,
        )
    move.permille = body.permille
    move.phase = body.phase
    move.step_ms = state.clock_ms
    state.add_history_line(move, body.reason)
    return CommandResult(Outcome.DONE, "")


@run.register(messages.EndMove)
def _(
    body: messages.EndMove,
    state: "states.State",
    index: int,
    command: messages.Command,
) -> CommandResult:
    move = state.moves.get(body.move_id)
    if move is None or move.outcome:
        return CommandResult(Outcome.NOT_RUN, "no such move runs")
    state.end_move(index, move, body.outcome, body.reason)
    return CommandResult(Outcome.DONE, "")


@run.register(messages.ReverseMove)
def _(
    body: messages.ReverseMove,
    state: "states.State",
    index: int,
    command: messages.Command,
) -> CommandResult:
    move = state.running_move(body.service_name)
    if move is None:
        return CommandResult(
            Outcome.NOT_RUN, f"no move runs on {body.service_name}"
        )
    reason = f"reversed by {command.operator_name}"
    state.end_move(index, move, Outcome.TAKEN_BACK, reason)
    return CommandResult(Outcome.DONE, f"move {move.move_id} taken back")


@run.register(messages.DrainHost)
def _(
    body: messages.DrainHost,
    state: "states.State",
    index: int,
    command: messages.Command,
) -> CommandResult:
    key = item_store.DRAIN + body.host
    present = state.items.get(key) is not None
    if present == body.draining:
        return CommandResult(Outcome.DONE, "nothing to change")
    if body.draining:
        state.items.set(index, key, messages.Drain(host=body.host))
    else:
        state.items.delete(index, key)
    return CommandResult(Outcome.DONE, f"revision {index}")


@run.register(messages.EvacuateDomain)
def _(
    body: messages.EvacuateDomain,
    state: "states.State",
    index: int,
    command: messages.Command,
) -> CommandResult:
    """Evacuate a failure domain, or return it to service.

    A delayed command may arrive after its operator has sent it again and then
    returned the domain to service. It would evacuate the domain again, and no
    operator would know to end it. So it runs only if the domain has not
    changed since the revision that its sender knew.
    """
    key = item_store.EVACUATION + body.domain
    present = state.items.get(key) is not None
    if present == body.evacuated:
        return CommandResult(Outcome.DONE, "nothing to change")
    changed = state.items.revision_of(key)
    if body.known_revision and changed > body.known_revision:
        reason = f"{body.domain} was changed at revision {changed} meanwhile"
        return CommandResult(Outcome.NOT_RUN, reason, messages.Cause.CONFLICT)
    if body.evacuated:
        record = messages.Evacuation(
            body.domain, command.operator_name, state.clock_ms, body.reason
        )
        state.items.set(index, key, record)
    else:
        state.items.delete(index, key)
    return CommandResult(Outcome.DONE, f"revision {index}")


@run.register(messages.CancelCommand)
def _(
    body: messages.CancelCommand,
    state: "states.State",
    index: int,
    command: messages.Command,
) -> CommandResult:
    past = state.past.get(body.cancelled_id)
    if past is not None:
        name = Outcome._VALUES_TO_NAMES[past.outcome].lower()
        return CommandResult(
            Outcome.NOT_RUN, f"it has an outcome already: {name}"
        )
    state._record_outcome(
        messages.PastCommand(
            command_id=body.cancelled_id,
            digest=0,
            outcome=Outcome.NOT_RUN,
            reason="cancelled before it was agreed",
            revision=state.items.revision,
            stamped_ms=state.clock_ms,
        )
    )
    return CommandResult(Outcome.DONE, f"{body.cancelled_id} will never run")
