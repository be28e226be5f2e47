"""Identities of control processes, and the stores that carry them.

A process votes under an identity that lives as long as its disk. One that
lost its disk comes back under a new identity, so that it can't break a
promise that it has forgotten.
"""

import random

from trefoil_model import errors
from trefoil_quorum import raft as rafts
from trefoil_store import disk as disks
from trefoil_store import store as stores
from trefoil_wire import messages

FIRST = "first"
FIRST_TERM = 1


def first_identity(name: str) -> str:
    """Return the identity of a control process's first life."""
    return f"{name}#{FIRST}"


def create_founder_store(
    disk: disks.Disk, name: str, founders: list[str]
) -> None:
    """Prepare a founder's data folder for its first life.

    Every founder writes the same first entry, which names them all as the
    voters. Two halves that start apart share these voters, so only one of
    them can have a majority.
    """
    store = stores.Store.create(disk, first_identity(name))
    voters = [first_identity(founder) for founder in founders]
    entry = messages.Entry(
        index=1,
        term=FIRST_TERM,
        command=rafts.encode_command(
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
    """Open a control process's store.

    Args:
        disk: Its disk.
        name: Its name.
        rng: Draws a new identity where the old one is lost.

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
    # The old identity may have promised votes that are forgotten now. Under
    # a new one this process votes only once the leader has taken it in.
    identity = f"{name}#{rng.getrandbits(40):010x}"
    return stores.Store.create(disk, identity), why
