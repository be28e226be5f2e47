"""Identities of control processes, and the stores that hold them.

A process votes under an identity that lasts as long as its disk. A process
that lost its disk returns under a new identity, so that it cannot contradict
a vote of which it has no record.
"""

import random

from trefoil_model import errors
from trefoil_store import disk as disks
from trefoil_store import store as stores
from trefoil_wire import commands
from trefoil_wire import messages

FIRST_SUFFIX = "first"
FIRST_TERM = 1


def first_identity(name: str) -> str:
    """Return the identity of a control process at its first start."""
    return f"{name}#{FIRST_SUFFIX}"


def create_founder_store(
    disk: disks.Disk, name: str, founders: list[str]
) -> None:
    """Prepare a founder's data folder for its first start.

    Every founder writes the same first entry, which makes all founders
    voters. If the founders start partitioned, both sides know the same
    voters, so only one side can have a majority.

    Args:
        disk: The founder's disk.
        name: Its name.
        founders: Names of all founders.
    """
    store = stores.Store.create(disk, first_identity(name))
    voters = [first_identity(founder) for founder in founders]
    entry = messages.Entry(
        index=1,
        term=FIRST_TERM,
        command=commands.encode(
            messages.ChangeVoters(voters=sorted(voters), learners=[])
        ),
    )
    store.save_hard_state(
        messages.HardState(
            term=FIRST_TERM, voted_for="", identity=first_identity(name)
        )
    )
    store.append([entry])


def open_store(
    disk: disks.Disk, name: str, rng: random.Random
) -> tuple[stores.Store, str]:
    """Open the store of a control process, or create an empty one.

    Args:
        disk: Its disk.
        name: Its name.
        rng: Source of a new identity if the old one is lost.

    Returns:
        The store, and why its identity is new (empty if it is not).
    """
    try:
        store = stores.Store.open(disk)
        why = "" if store.hard_state else "the data folder is empty"
    except errors.StoreDamaged as error:
        store = stores.Store(disk)
        why = f"the store is damaged: {error}"
    if not why:
        return store, ""
    # The old identity may have given votes that are lost now. Under a new
    # one this process votes only after the leader has made it a voter.
    identity = f"{name}#{rng.getrandbits(40):010x}"
    return stores.Store.create(disk, identity), why
