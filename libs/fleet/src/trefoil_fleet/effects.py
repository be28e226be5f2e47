"""Effects that the fleet core requests from its process."""

import dataclasses

from . import items as item_store


@dataclasses.dataclass(slots=True)
class Dial:
    """Open a subscribed link to a peer."""

    host: str
    address: str


@dataclasses.dataclass(slots=True)
class Disconnect:
    """Close the links to a peer."""

    host: str


@dataclasses.dataclass(slots=True)
class Probe:
    """Connect to a peer once and report whether it answered."""

    host: str
    address: str


@dataclasses.dataclass(slots=True)
class PutInForce:
    """Replace the configuration that serves requests, in one step."""

    items: item_store.Items


@dataclasses.dataclass(slots=True)
class RecordsChanged:
    """Records of hosts changed; routing must be computed again."""

    hosts: list[str]


@dataclasses.dataclass(slots=True)
class AskFloor:
    """Read the newest agreed revision through Raft (control hosts only)."""

    nonce: int
    host: str
