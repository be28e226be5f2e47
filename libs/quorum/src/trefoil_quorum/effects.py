"""Effects that the Raft core returns to its process.

The process must carry out the effects of one call in list order.
"""

import dataclasses

from trefoil_wire import messages


@dataclasses.dataclass(slots=True)
class SaveHardState:
    """Make the term and vote durable before performing later effects."""

    state: messages.HardState


@dataclasses.dataclass(slots=True)
class AppendLog:
    """Make entries durable in the log.

    Attributes:
        entries: The entries to append; may be empty.
        truncate_from: Index from which existing entries are dropped first; 0
            drops none.
    """

    entries: list[messages.Entry]
    truncate_from: int = 0


@dataclasses.dataclass(slots=True)
class SaveSnapshot:
    """Make a snapshot durable and drop the log entries that it covers."""

    snapshot: messages.Snapshot


# They block the process until the disk has synced.
WRITES = (SaveHardState, AppendLog, SaveSnapshot)


@dataclasses.dataclass(slots=True)
class Restore:
    """Replace the applied state by that of a snapshot."""

    snapshot: messages.Snapshot


@dataclasses.dataclass(slots=True)
class Apply:
    """Apply one committed entry to the state."""

    entry: messages.Entry


@dataclasses.dataclass(slots=True)
class ReadReady:
    """Answer a read.

    The applied state includes every entry committed when the read arrived.
    """

    read_id: int


@dataclasses.dataclass(slots=True)
class ReadFailed:
    """Fail a read: this process cannot confirm that it is the leader."""

    read_id: int
