"""What proves that a restarted proxy forgot nothing."""

import pytest

from trefoil_fleet import floor as floors

VOTERS = ["c1", "c2", "c3", "c4"]


@pytest.mark.parametrize(
    ("words", "proved", "revision"),
    [
        ({"c1": 7}, False, 0),
        ({"c1": 7, "c2": 9}, True, 9),
        ({"c1": 7, "x": 99}, False, 0),
        ({"c1": 7, "c2": -1}, False, 0),
    ],
)
def test_voters_vouch_for_each_other(
    words: dict[str, int], proved: bool, revision: int
) -> None:
    """A proxy restarts while no leader is known.

    Three of four voters hold what was acknowledged, so of any two one has
    it; one alone may be behind, and a stranger may know anything.
    """
    floor = floors.Floor("p1", [])
    for host, word in words.items():
        floor.hear(host, word, False, VOTERS)
    assert (floor.proved, floor.revision) == (proved, revision)


def test_the_leaders_word_is_enough() -> None:
    floor = floors.Floor("p1", [])
    floor.hear("c1", 5, True)
    assert floor.reached_by(5)
    assert not floor.reached_by(4)
