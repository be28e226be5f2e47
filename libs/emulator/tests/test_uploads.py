"""Uploads and small calls at the same targets, over thin links.

Five targets of five slots; the links of their hosts carry 57 uploads a second
together, of which a tenth is taken by small calls.
"""

import pytest

from trefoil_emulator import core_fleet

UPLOAD = core_fleet.Kind(
    "upload",
    57,
    140,
    800,
    3000,
    3000,
    1,
    answer_bytes=1500,
    body_bytes=60_000,
)
VERIFY = core_fleet.Kind("verify", 315, 30, 120, 400, 400, 1, 0.5, 400)
# A link of 5.5 Mbit/s.
LINK_BYTES_PER_MS = 687.5
LASTS_MS = 8000
SLOWS = [0.7, 0.7, 1.6, 0.7, 0.7]
TARGETS = len(SLOWS)
LATE_WORTH = 0.1


def made() -> core_fleet.CoreFleet:
    """Return a fleet of 65 hosts."""
    return core_fleet.CoreFleet(
        SLOWS,
        domains=3,
        slots=5,
        kinds=[UPLOAD, VERIFY],
        returns=1,
        seed=1,
        link_bytes_a_ms=LINK_BYTES_PER_MS,
        in_bytes_a_ms=LINK_BYTES_PER_MS,
        callers_only=60,
    )


def played(load: float) -> core_fleet.CoreFleet:
    """Return a fleet after eight seconds of a load."""
    return made().play(LASTS_MS, load)


def played_with_slow_senders(every: int, part: float) -> core_fleet.CoreFleet:
    """Return a fleet some of whose senders have thinner links than others.

    Args:
        every: Each such host without a target is one of them.
        part: What their links carry, as a part of the others'.
    """
    fleet = made()
    for host in list(fleet.hosts.values())[TARGETS::every]:
        host.way_out.bytes_a_ms *= part
    return fleet.play(LASTS_MS, 0.7)


@pytest.fixture(scope="module")
def usual() -> core_fleet.CoreFleet:
    """Return the fleet at a rate that its links just bear."""
    return played(1.0)


@pytest.fixture(scope="module")
def beyond() -> core_fleet.CoreFleet:
    """Return the fleet at a rate of which its links bear 0.7."""
    return played(1.3)


def test_uploads_on_their_way_keep_no_slots_from_small_calls(
    usual: core_fleet.CoreFleet,
) -> None:
    """Slots were held for bodies, and small calls refused at idle targets."""
    assert usual.credit(LATE_WORTH, "verify") >= 0.95


def test_uploads_that_the_links_bear_are_in_time(
    usual: core_fleet.CoreFleet,
) -> None:
    """A queue of bodies as long as the time limit made nearly all late."""
    assert usual.credit(LATE_WORTH, "upload") >= 0.75


def test_an_overload_of_uploads_leaves_as_many_in_time(
    beyond: core_fleet.CoreFleet,
) -> None:
    """The more uploads came, the fewer were served in time.

    The links bear 0.7 of them; four fifths of these are to be in time.
    """
    assert beyond.credit(LATE_WORTH, "upload") >= 0.8 * 0.7
    assert beyond.credit(LATE_WORTH, "verify") >= 0.95


@pytest.mark.parametrize(("every", "part"), [(10, 0.1), (3, 0.3)])
def test_slow_senders_do_not_hold_up_the_uploads_of_others(
    every: int, part: float
) -> None:
    """The link of a target's host stood idle while a slow body had its turn.

    The links bear all uploads of the others; four fifths are to be in time.
    """
    fleet = played_with_slow_senders(every, part)
    assert fleet.credit(LATE_WORTH, "upload") >= 0.8
