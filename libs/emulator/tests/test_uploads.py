"""Uploads and small calls to the same targets, over slow links.

There are five targets of five slots. The links of their hosts together have
capacity for 57 uploads per second; small calls take a tenth of it.
"""

import pytest

from trefoil_emulator import core_fleet

UPLOAD = core_fleet.RequestKind(
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
VERIFY = core_fleet.RequestKind("verify", 315, 30, 120, 400, 400, 1, 0.5, 400)
# A link of 5.5 Mbit/s.
LINK_BYTES_PER_MS = 687.5
DURATION_MS = 8000
SLOWDOWNS = [0.7, 0.7, 1.6, 0.7, 0.7]
TARGETS = len(SLOWDOWNS)
LATE_CREDIT = 0.1


def make_fleet() -> core_fleet.CoreFleet:
    """Return a fleet of 65 hosts."""
    return core_fleet.CoreFleet(
        SLOWDOWNS,
        domains=3,
        slots=5,
        kinds=[UPLOAD, VERIFY],
        retries=1,
        seed=1,
        uplink_bytes_per_ms=LINK_BYTES_PER_MS,
        downlink_bytes_per_ms=LINK_BYTES_PER_MS,
        hosts_without_target=60,
    )


def simulate_load(load: float) -> core_fleet.CoreFleet:
    """Return a fleet after eight seconds of load."""
    return make_fleet().simulate(DURATION_MS, load)


def simulate_with_slow_senders(
    interval: int, link_share: float
) -> core_fleet.CoreFleet:
    """Return a fleet in which some senders have slower links than others.

    Args:
        interval: One in this many hosts without a target is slow.
        link_share: Uplink bandwidth of slow hosts, as a share of the
            others'.
    """
    fleet = make_fleet()
    for host in list(fleet.hosts.values())[TARGETS::interval]:
        host.uplink.bytes_per_ms *= link_share
    return fleet.simulate(DURATION_MS, 0.7)


@pytest.fixture(scope="module")
def normal_load() -> core_fleet.CoreFleet:
    """Return the fleet at the highest rate that its links carry."""
    return simulate_load(1.0)


@pytest.fixture(scope="module")
def overload() -> core_fleet.CoreFleet:
    """Return the fleet at a rate of which its links carry 0.7."""
    return simulate_load(1.3)


def test_incoming_uploads_take_no_slots_from_small_calls(
    normal_load: core_fleet.CoreFleet,
) -> None:
    """Uploads must not hold slots while their bodies are received.

    Otherwise idle targets refuse small calls.
    """
    assert normal_load.credit(LATE_CREDIT, "verify") >= 0.95


def test_uploads_within_link_capacity_are_in_time(
    normal_load: core_fleet.CoreFleet,
) -> None:
    """The queue of bodies must be short.

    A queue as long as the timeout makes nearly all uploads late.
    """
    assert normal_load.credit(LATE_CREDIT, "upload") >= 0.75


def test_an_upload_overload_does_not_reduce_timely_uploads(
    overload: core_fleet.CoreFleet,
) -> None:
    """Excess uploads must not reduce the number that is in time.

    The links carry 0.7 of the uploads; four fifths of these have to be in
    time.
    """
    assert overload.credit(LATE_CREDIT, "upload") >= 0.8 * 0.7
    assert overload.credit(LATE_CREDIT, "verify") >= 0.95


@pytest.mark.parametrize(("interval", "link_share"), [(10, 0.1), (3, 0.3)])
def test_slow_senders_do_not_delay_other_uploads(
    interval: int, link_share: float
) -> None:
    """A slow body must not leave the link of a target's host idle.

    The links carry all uploads of the other senders; four fifths have to be
    in time.
    """
    fleet = simulate_with_slow_senders(interval, link_share)
    assert fleet.credit(LATE_CREDIT, "upload") >= 0.8
