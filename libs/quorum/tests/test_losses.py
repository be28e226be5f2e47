"""Tests that acknowledged entries survive the tolerated disk losses."""

import itertools

import pytest

from trefoil_quorum import raft as rafts
from trefoil_wire import messages

# Number of control hosts and how many of their disks may be lost together.
TOLERATED_DISK_LOSSES = [(3, 1), (4, 1), (5, 2), (6, 2), (7, 3)]


def raft_majority(hosts: int) -> int:
    """Return how many acknowledgements commit an entry."""
    raft = rafts.Raft(
        "h0",
        voters=[f"h{number}" for number in range(hosts)],
        hard_state=messages.HardState(0, ""),
    )
    return raft.majority


@pytest.mark.parametrize(("hosts", "lost_disks"), TOLERATED_DISK_LOSSES)
def test_every_electable_quorum_holds_acknowledged_entries(
    hosts: int, lost_disks: int
) -> None:
    """An acknowledged entry must be on a disk of every possible quorum.

    The lost disks may be any of those that stored the entry.
    """
    majority = raft_majority(hosts)
    all_hosts = set(range(hosts))
    for acknowledged in itertools.combinations(all_hosts, majority):
        for lost in itertools.combinations(all_hosts, lost_disks):
            survivors = all_hosts - set(lost)
            assert len(survivors) >= majority
            for quorum in itertools.combinations(survivors, majority):
                assert set(quorum) & set(acknowledged)
