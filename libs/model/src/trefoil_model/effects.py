"""Effects that decision cores return instead of doing input or output.

A core handles a typed message or a tick and returns a list of effects. The
daemon runs them in list order, so a write that must be durable precedes the
message that acknowledges it.
"""

import dataclasses
import typing


@dataclasses.dataclass(slots=True)
class Send:
    """Send a message to a peer process; it may be lost.

    Args:
        to: Name of the peer.
        message: A generated struct of ``trefoil_wire``.
    """

    to: str
    message: typing.Any


@dataclasses.dataclass(slots=True)
class Note:
    """Write one log line.

    Args:
        event: Dotted name of the event, a key of ``events.CATALOGUE``.
        fields: Keys and values of the line.
        level: ``debug``, ``info``, ``warning`` or ``error``.
    """

    event: str
    fields: dict[str, typing.Any] = dataclasses.field(default_factory=dict)
    level: str = "info"


@dataclasses.dataclass(slots=True)
class Count:
    """Add to a counter.

    Args:
        name: Dotted name of the counter.
        value: The amount to add.
    """

    name: str
    value: int = 1
