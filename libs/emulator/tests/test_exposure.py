"""Share of the calls that a new version serves during a move."""

import pytest

from trefoil_emulator import core_fleet

KIND = core_fleet.RequestKind("r", 300.0, 90.0, 300, 2000, 1000)
SHARE_PERMILLE = 80


def make_fleet(seed: int) -> core_fleet.CoreFleet:
    """Return a fleet with six targets of the old version, two of the new."""
    return core_fleet.CoreFleet(
        [1.0] * 8,
        domains=4,
        slots=6,
        kinds=[KIND],
        seed=seed,
        new_version_hosts=2,
        new_version_permille=SHARE_PERMILLE,
    )


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize("load", [1.0, 2.0])
def test_a_full_old_version_does_not_overflow_onto_the_new_one(
    load: float, seed: int
) -> None:
    """Full targets must not redirect callers to the new version.

    Otherwise a faulty version serves more callers than its share.
    """
    simulated = make_fleet(seed).simulate(3_000, load)
    share = simulated.ran[core_fleet.NEW_VERSION] / simulated.calls_started
    assert share <= 1.25 * SHARE_PERMILLE / 1000


def test_a_new_version_short_of_slots_costs_callers_nothing() -> None:
    """Calls are served by the old version if the new one refuses them.

    The new version has one target, which is full, and a share of 40%.
    """
    simulated = core_fleet.CoreFleet(
        [1.0] * 8,
        domains=4,
        slots=6,
        kinds=[KIND],
        new_version_hosts=1,
        new_version_permille=400,
    ).simulate(3_000)
    assert simulated.credit(0.2) >= 0.9
