"""Limits of accounts over a simulated fleet under load and partitions."""

import pytest

from trefoil_emulator import account_fleet

SECONDS = 15
SETTLE_MS = 6000
FLOOD = "a1"


def flooded_fleet(
    way: str, hosts: int = 24, seed: int = 1
) -> account_fleet.AccountFleet:
    """Play 78 accounts of which one sends 2.5 times its limit."""
    loads = account_fleet.skewed_loads(78, 7.0 * hosts, flooding=4.0)
    fleet = account_fleet.AccountFleet(loads, hosts=hosts, way=way, seed=seed)
    return fleet.play(SECONDS * 1000)


@pytest.mark.parametrize("seed", [1, 2])
def test_a_flooding_account_gets_its_limit_and_no_more(seed: int) -> None:
    fleet = flooded_fleet(account_fleet.KEEPERS, seed=seed)
    assert fleet.worst_window() <= 1.0
    assert fleet.used(FLOOD, SETTLE_MS, SECONDS * 1000) >= 0.9
    assert fleet.refused_wrongly() <= 1 / 500


def test_the_check_fails_where_each_host_uses_the_whole_limit() -> None:
    assert flooded_fleet(account_fleet.WHOLE).worst_window() > 1.0


def test_the_check_fails_where_the_limit_is_divided_by_the_hosts() -> None:
    assert flooded_fleet(account_fleet.EQUAL).refused_wrongly() > 1 / 500


def test_callers_of_one_domain_may_use_the_whole_limit() -> None:
    """Its keeper borrows what the others do not need."""
    loads = [account_fleet.account_load("a0", 30, 60, domain="d0")]
    fleet = account_fleet.AccountFleet(loads, hosts=9).play(12_000)
    assert fleet.worst_window() <= 1.0
    assert fleet.used("a0", 2000, 12_000) >= 0.9


def test_a_partitioned_domain_keeps_its_part_and_gets_more_after() -> None:
    loads = [account_fleet.account_load("a0", 30, 60, domain="d0")]
    fleet = account_fleet.AccountFleet(loads, hosts=9)
    fleet._schedule(3000, lambda: fleet.cut.add("d0"))
    fleet._schedule(8000, lambda: fleet.cut.remove("d0"))
    fleet.play(15_000)
    assert fleet.worst_window() <= 1.0
    assert 0.9 / 3 <= fleet.used("a0", 5000, 8000) <= 1.1 / 3
    assert fleet.used("a0", 10_000, 15_000) >= 0.9


def test_a_first_request_waits_for_one_round_trip() -> None:
    """Two thirds of the accounts send a request now and then."""
    loads = account_fleet.skewed_loads(60, 30.0)
    fleet = account_fleet.AccountFleet(loads, hosts=24).play(6000)
    round_trip_ms = 2 * account_fleet.LOCAL_MS
    loan_ms = 2 * account_fleet.REMOTE_MS
    hops_ms = 2.0
    assert fleet.added_ms() <= round_trip_ms + loan_ms + hops_ms
