"""The proof of the floor after a restart of a proxy."""

import pytest

from trefoil_fleet import distribution as distributions
from trefoil_fleet import floor as floors
from trefoil_wire import messages

VOTERS = ["c1", "c2", "c3", "c4"]


@pytest.mark.parametrize(
    ("confirmed", "proved", "revision"),
    [
        ({"c1": 7}, False, 0),
        ({"c1": 7, "c2": 9}, True, 9),
        ({"c1": 7, "x": 99}, False, 0),
        ({"c1": 7, "c2": -1}, False, 0),
    ],
)
def test_floor_needs_confirmations_of_enough_voters(
    confirmed: dict[str, int], proved: bool, revision: int
) -> None:
    """A proxy restarts while no leader is known.

    Three of four voters hold an acknowledged revision, so one of any two has
    it. One voter alone may lag, and an unknown host may report any revision.
    """
    floor = floors.Floor("p1", [])
    for host, host_revision in confirmed.items():
        floor.add_reply(host, host_revision, False, VOTERS)
    assert (floor.proved, floor.revision) == (proved, revision)


def test_leader_reply_alone_proves_the_floor() -> None:
    """A reply confirmed by the leader's quorum needs no second one."""
    floor = floors.Floor("p1", [])
    floor.add_reply("c1", 5, True)
    assert floor.reached_by(5)
    assert not floor.reached_by(4)


def test_a_restarted_seed_confirms_no_less_than_its_floor() -> None:
    """It has proved its floor and does not hold that revision yet."""
    seed = distributions.Distribution(
        floors.Floor("s1", ["s1", "s2", "s3"]),
        is_seed=True,
        other_seeds=["s2", "s3"],
        control=False,
        floor_nonce=5,
    )
    assert seed.confirmed_revision() == -1
    seed.on_floor_reply(messages.FloorReply(5, 9, True, "c1"), 0)
    assert seed.confirmed_revision() == 9


def test_a_waiting_proxy_logs_which_revision_it_waits_for() -> None:
    """Callers get 503 for as long as the floor is above every revision."""
    copy = distributions.Distribution(
        floors.Floor("p1", []),
        is_seed=False,
        other_seeds=[],
        control=False,
        floor_nonce=5,
    )
    for voter in VOTERS[:2]:
        reply = messages.FloorReply(5, 9, False, voter, VOTERS)
        copy.on_floor_reply(reply, 0)
    for now_ms in range(100, 6000, 100):
        copy.tick([], now_ms)
    (note,) = copy.pending_effects
    assert note.event == "config.waiting"
    assert note.fields == {"floor": 9, "given_by": "c1,c2", "newest": 0}


def test_the_leader_lowers_a_floor_that_voters_gave() -> None:
    """Voters named an entry that will never be a revision."""
    floor = floors.Floor("p1", [])
    for voter in VOTERS[:2]:
        floor.add_reply(voter, 9, False, VOTERS)
    assert not floor.reached_by(8)
    floor.add_reply("c3", 8, True)
    assert floor.reached_by(8)
    assert not floor.reached_by(7)
    floor.add_reply("c3", 10, True)
    assert floor.reached_by(8)
