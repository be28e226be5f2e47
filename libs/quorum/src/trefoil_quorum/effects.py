"""What the agreement core asks its process to do, in list order."""

import dataclasses

from trefoil_wire import messages


@dataclasses.dataclass(slots=True)
class SaveHardState:
    """Make the term and the vote durable before anything that follows."""

    state: messages.HardState


@dataclasses.dataclass(slots=True)
class AppendLog:
    """Make entries durable, after dropping any at or after the first."""

    entries: list[messages.Entry]
    truncate_from: int = 0


@dataclasses.dataclass(slots=True)
class SaveSnapshot:
    """Make a snapshot durable and drop the log that it covers."""

    snapshot: messages.Snapshot


@dataclasses.dataclass(slots=True)
class Restore:
    """Put the agreed state of a snapshot in place of the present one."""

    snapshot: messages.Snapshot


@dataclasses.dataclass(slots=True)
class Apply:
    """Apply one agreed entry to the state."""

    entry: messages.Entry


@dataclasses.dataclass(slots=True)
class ReadReady:
    """Answer a read: the state holds all that was agreed when it came."""

    read_id: int


@dataclasses.dataclass(slots=True)
class ReadFailed:
    """Give a read up: this process no longer leads."""

    read_id: int
