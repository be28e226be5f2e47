"""Tests of who gives up a place at an address that is full."""

import pytest

from trefoil_requests import places

LIMIT = 2000


def clients(*activities: places.Activity) -> list[places.Client]:
    """Return clients with these activities, the last one for longest."""
    return [
        places.Client(activity, -number, number)
        for number, activity in enumerate(activities)
    ]


@pytest.mark.parametrize(
    ("activities", "leaves"),
    [
        ([places.Activity.SERVED, places.Activity.SILENT], [1]),
        ([places.Activity.BEGUN, places.Activity.IDLE], [0]),
        ([places.Activity.IDLE, places.Activity.IDLE], [1]),
        ([places.Activity.LEAVING, places.Activity.IDLE], [1]),
        ([places.Activity.LEAVING, places.Activity.SERVED], [0]),
        ([places.Activity.SERVED, places.Activity.SERVED], []),
        ([places.Activity.BEGUN, places.Activity.SILENT], [1]),
    ],
)
def test_whoever_says_least_for_longest_leaves_first(
    activities: list[places.Activity], leaves: list[int]
) -> None:
    """A client whose request is at work keeps its place."""
    replaced = places.replaced(clients(*activities), 2)
    assert [client.connection for client in replaced] == leaves


def test_a_silent_crowd_leaves_together_and_idle_clients_do_not() -> None:
    """To look for the next one at each accept took all of the time."""
    silent = clients(*[places.Activity.SILENT] * LIMIT)
    count = len(places.replaced(silent, LIMIT))
    assert count == LIMIT * places.FREE_SHARE
    idle = clients(*[places.Activity.IDLE] * LIMIT)
    assert len(places.replaced(idle, LIMIT)) == 1


@pytest.mark.parametrize("descriptors", [128, 256, 1024, 4100, 1_000_000])
def test_some_descriptors_are_left_for_own_connections(
    descriptors: int,
) -> None:
    """With all of them taken by clients, no target could be reached."""
    found = places.Places.from_descriptors(descriptors)
    addresses = found.callers + found.peers + 3 * found.page
    reserved = min(places.RESERVED, descriptors // 4)
    assert 0 < addresses < descriptors - reserved


def test_callers_have_half_of_the_places_up_to_a_limit() -> None:
    """What clients can't take is left to the process itself."""
    assert places.Places.from_descriptors(4100).callers == 1950
    assert places.Places.from_descriptors(8192).callers == places.MAX_CALLERS
