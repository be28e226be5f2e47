"""What the fleet core asks its process to do."""

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
    """Connect to a peer once and tell whether it answered."""

    host: str
    address: str


@dataclasses.dataclass(slots=True)
class PutInForce:
    """Swap the configuration that requests are served by, in one step."""

    items: item_store.Items


@dataclasses.dataclass(slots=True)
class RecordsChanged:
    """Hosts' records changed; routing must look again."""

    hosts: list[str]


@dataclasses.dataclass(slots=True)
class AskFloor:
    """Ask the agreement for the newest revision (control hosts only)."""

    nonce: int
    host: str
