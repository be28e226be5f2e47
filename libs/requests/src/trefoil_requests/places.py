"""Which connections give up their places at an address that is full.

Whoever comes first would else keep all others out for as long as it stays. An
ordinary client soon sends a whole request, so those that have said nothing, or
have begun a request and not ended it, go first, the oldest of them before the
others. A client whose request is at work keeps its place.
"""

import collections.abc
import dataclasses
import enum
import typing

# Half of the descriptors are for callers, a part for each other address; the
# rest is for connections that the process opens itself.
CALLERS_SHARE = 1 / 2
PEERS_SHARE = 1 / 5
PAGE_SHARE = 1 / 32
MIN_PLACES = 8
MAX_CALLERS = 2000
MAX_PAGE_CLIENTS = 128
# Descriptors for files and pipes, and their share where there are few.
RESERVED = 200
RESERVED_SHARE = 1 / 4
# This share of the places is made free at once, of those that say little: to
# look for them takes longer, the more there are.
FREE_SHARE = 1 / 16


class Activity(enum.IntEnum):
    """What a client does; the lowest gives up its place first."""

    SILENT = 0
    BEGUN = 1
    IDLE = 2
    LEAVING = 3
    SERVED = 4


class Client(typing.NamedTuple):
    """A client that has a place.

    Args:
        activity: What it does.
        since_ms: Since when.
        connection: Its connection.
    """

    activity: Activity
    since_ms: int
    connection: typing.Any


@dataclasses.dataclass(slots=True, frozen=True)
class Places:
    """How many connections a process takes at its addresses.

    Args:
        callers: Of callers.
        peers: Of other processes.
        page: At each other address.
    """

    callers: int
    peers: int
    page: int

    @classmethod
    def from_descriptors(cls, descriptors: int) -> typing.Self:
        """Return the places of a process.

        Args:
            descriptors: How many descriptors it may open.
        """
        reserved = min(RESERVED, int(descriptors * RESERVED_SHARE))
        free = descriptors - reserved
        page = int(free * PAGE_SHARE)
        return cls(
            callers=min(int(free * CALLERS_SHARE), MAX_CALLERS),
            peers=int(free * PEERS_SHARE),
            page=max(min(page, MAX_PAGE_CLIENTS), MIN_PLACES),
        )


def replaced(
    clients: collections.abc.Iterable[Client], limit: int
) -> list[Client]:
    """Return who leaves so that one more client has a place.

    Args:
        clients: Those who have all of the places.
        limit: The number of places.

    Returns:
        Nobody if all are served.
    """
    ordered = sorted(
        (client for client in clients if client.activity < Activity.SERVED),
        key=lambda client: client[:2],
    )
    spare = max(int(limit * FREE_SHARE), 1)
    silent = [
        client for client in ordered if client.activity <= Activity.BEGUN
    ]
    return silent[:spare] or ordered[:1]
