"""Effects that decision cores return instead of doing input or output.

A core takes a typed message or a tick and returns a plain list of these.
The daemon carries them out in list order, so an effect that must be durable
stands before the message that promises it.
"""

import dataclasses
import typing


@dataclasses.dataclass(slots=True)
class Send:
    """Send a message to a peer process, best effort.

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
        event: Name of the event, dotted.
        fields: Values of the key=value pairs.
        level: ``debug``, ``info``, ``warning`` or ``error``.
    """

    event: str
    fields: dict[str, typing.Any] = dataclasses.field(default_factory=dict)
    level: str = "info"


@dataclasses.dataclass(slots=True)
class Count:
    """Add to a metric's counter.

    Args:
        name: Name of the counter, dotted.
        value: How much to add.
    """

    name: str
    value: int = 1
