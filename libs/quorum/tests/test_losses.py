"""Which sets of control hosts hold what was acknowledged, and can elect."""

import itertools

import pytest

from trefoil_quorum import raft as rafts
from trefoil_wire import messages

# Control hosts of a deployment, and how many disks it may lose at once.
BORNE = [(3, 1), (4, 1), (5, 2), (6, 2), (7, 3)]


def majority_of(hosts: int) -> int:
    """Return how many acknowledgements the agreement asks for."""
    raft = rafts.Raft(
        "h0",
        voters=[f"h{number}" for number in range(hosts)],
        hard_state=messages.HardState(0, ""),
    )
    return raft.majority


@pytest.mark.parametrize(("hosts", "lost_disks"), BORNE)
def test_every_electable_set_of_survivors_holds_what_was_acknowledged(
    hosts: int, lost_disks: int
) -> None:
    """Any disks that held an entry may be the ones that are lost."""
    majority = majority_of(hosts)
    everyone = set(range(hosts))
    for acknowledged in itertools.combinations(everyone, majority):
        for lost in itertools.combinations(everyone, lost_disks):
            survivors = everyone - set(lost)
            assert len(survivors) >= majority
            for electing in itertools.combinations(survivors, majority):
                assert set(electing) & set(acknowledged)
