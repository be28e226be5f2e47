"""Plays a flooding account beside others on the product's admission."""

import pytest

from trefoil_emulator import shared_slots

DURATION_MS = 60_000
FLOODING = 6.0


def _play(flooding, way="over_share_last"):
    draws = shared_slots.draw(flooding, DURATION_MS, seed=1)
    return shared_slots.SharedSlots(draws, way).play()


def test_a_flooding_account_leaves_its_neighbours_as_they_were():
    """Guards against neighbours that wait behind one account's flood."""
    flooder, *others = shared_slots.names()
    usual, flooded = _play(1.0), _play(FLOODING)
    assert flooded.p99_ms(others) < 1.1 * usual.p99_ms(others)
    assert usual.in_time(others) - flooded.in_time(others) < 0.01
    assert flooded.answers([flooder]) > 2 * usual.answers([flooder])


@pytest.mark.parametrize("flooding", [1.0, FLOODING])
def test_shares_keep_the_slots_busy(flooding):
    """Guards against answers that are lost to keep shares."""
    names = shared_slots.names()
    shared, without = _play(flooding), _play(flooding, "none")
    assert shared.answers(names) > 0.99 * without.answers(names)
