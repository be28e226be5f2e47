"""Targets state a rate limit or a departure to real processes."""

import collections.abc
import pathlib
import time

import pytest

from trefoil_emulator import fleet as fleets

ROOT = pathlib.Path(__file__).parent.parent
DOCUMENT = (ROOT / "demo" / "matbakh.yaml").read_text(encoding="utf-8")
HOSTS = {"h1": "ariana", "h2": "ariana", "h3": "manouba"}
LIMIT_PER_S = 4.0
CALLS = 150
pytestmark = pytest.mark.processes


@pytest.fixture
def fleet(tmp_path) -> collections.abc.Iterator[fleets.LocalFleet]:
    """One control process, three proxies and a target of tables on each."""
    local_fleet = fleets.LocalFleet(
        tmp_path, domains=["ariana", "manouba"], controls=1
    )
    with local_fleet:
        local_fleet.add_controls()
        local_fleet.add_proxies(HOSTS)
        for host in HOSTS:
            local_fleet.add_target(
                f"t-{host}",
                host,
                service="tables",
                version="v1",
                resources="listings,payments",
            )
        local_fleet.start()
        local_fleet.wait_leader()
        local_fleet.execute("apply matbakh.yaml", document=DOCUMENT)
        local_fleet.wait_ready(3)
        for host in HOSTS:
            fleets.wait_for(
                f"the target of {host}",
                lambda: _is_announced(local_fleet, host),
            )
        yield local_fleet


def _is_announced(fleet: fleets.LocalFleet, host: str) -> bool:
    return "event=target.announced " in fleet.log(host)


def call_all(fleet: fleets.LocalFleet, count: int) -> list[int]:
    """Return the statuses of calls that are sent through all proxies."""
    names = list(HOSTS)
    return [
        fleet.call(names[number % len(names)], "/slots").status
        for number in range(count)
    ]


def served(fleet: fleets.LocalFleet, target: str) -> int:
    """Return how many requests a target has answered."""
    return fleet.stats(target)["served"]


def test_a_limited_target_gets_its_rate_and_the_others_the_rest(
    fleet,
) -> None:
    """A target in need got a full share of all calls."""
    fleets.wait_for(
        "the target of h1 at h1",
        lambda: fleet.call("h1", "/slots").status == 200,
    )
    fleet.behave("t-h1", rate_limit=str(LIMIT_PER_S))
    call_all(fleet, 6)
    before, begun_s = served(fleet, "t-h1"), time.monotonic()
    statuses = call_all(fleet, CALLS)
    took_s = time.monotonic() - begun_s
    assert statuses == [200] * CALLS
    got = served(fleet, "t-h1") - before
    assert got <= LIMIT_PER_S * took_s + LIMIT_PER_S / 2 + 1
    assert "event=target.limit " in fleet.log("h1")


def test_a_target_that_states_its_departure_gets_no_more(fleet) -> None:
    """A target that was about to end still got calls."""
    fleet.behave("t-h1", leaving=True)
    fleets.wait_for(
        "an answer with the departure",
        lambda: call_all(fleet, 3)
        and "event=target.leaving " in fleet.log("h1"),
    )
    for host in HOSTS:
        fleets.wait_for(
            f"another target at {host}",
            lambda: fleet.call(host, "/slots").status == 200,
        )
    before = served(fleet, "t-h1")
    assert call_all(fleet, CALLS) == [200] * CALLS
    assert served(fleet, "t-h1") == before
