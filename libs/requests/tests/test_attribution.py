"""Tests of which requests count as targets' calls, and of which runs."""

import dataclasses

import pytest

from trefoil_requests import attribution

HOSTS = {"front": 8, "back": 4}


@dataclasses.dataclass
class Run:
    """Stub of a request that runs on a target."""

    route: str
    repeat: float = 0.0
    calls: float = 0.0


def make_origins(front: int, back: int) -> attribution.Origins:
    """Return the request counts of a target.

    Args:
        front: Requests from hosts with the service front.
        back: Requests from hosts with the service back.
    """
    origins = attribution.Origins()
    origins.hosts = HOSTS
    for services, count in (("front", front), ("back", back)):
        for _ in range(count):
            origins.note("r", services)
    return origins


@pytest.mark.parametrize(
    ("front", "back", "share"),
    [
        (40, 0, 1.0),
        (80, 40, 0.0),
        (160, 40, 0.5),
        (40, 40, -1.0),
        (0, 0, 1.0),
    ],
)
def test_calls_come_only_from_the_hosts_whose_targets_make_them(
    front: int, back: int, share: float
) -> None:
    """The share follows from the requests per host with each service."""
    origins = make_origins(front, back)
    assert origins.call_share("r", "front") == pytest.approx(share)


def test_no_request_counts_as_a_call_if_all_hosts_are_alike() -> None:
    origins = attribution.Origins()
    origins.hosts = {"front": 8}
    origins.note("r", "front")
    assert origins.call_share("r", "front") == 0.0


def test_old_requests_lose_their_weight() -> None:
    """Callers start to use a route that only targets have used so far."""
    origins = make_origins(attribution.MAX_COUNTED, 0)
    for _ in range(3 * attribution.MAX_COUNTED):
        origins.note("r", "front")
        origins.note("r", "front")
        origins.note("r", "back")
    assert origins.call_share("r", "front") == pytest.approx(0, abs=0.1)


def test_a_call_is_divided_among_the_runs_that_may_have_made_it() -> None:
    """Each run's part is weighted by the usual calls per run of its route."""
    parents = attribution.Parents({"calls": 1.0, "quiet": 0.0})
    runs = [Run("calls"), Run("calls", repeat=1.0), Run("quiet", repeat=1.0)]
    assert parents.repeat_share(runs, 1.0) == pytest.approx(0.5)
    assert parents.repeat_share(runs, 0.5) == pytest.approx(0.25)
    assert [run.calls for run in runs] == [0.75, 0.75, 0.0]
    assert parents.repeat_share([], 1.0) == 0.0


def test_routes_whose_runs_make_no_calls_are_learned() -> None:
    """Runs of two routes overlap, and only those of one route make calls."""
    parents = attribution.Parents()
    for number in range(2000):
        calling, quiet = Run("calls"), Run("quiet")
        if number % 2:
            parents.repeat_share([calling, quiet], 1.0)
            parents.ended(quiet)
        else:
            parents.repeat_share([calling], 1.0)
            parents.ended(quiet)
        parents.ended(calling)
    assert parents.calls_of["calls"] > 0.9
    assert parents.calls_of["quiet"] < 0.1


def test_reports_of_several_targets_are_averaged() -> None:
    """Targets see different mixes of hosts; invalid reports are ignored."""
    call_shares = attribution.CallShares()
    assert call_shares.share("r") == 1.0
    for _ in range(30):
        for permille in (-400, 100, 400):
            call_shares.add_report("r", permille)
    assert call_shares.share("r") == 0.0
    call_shares.add_report("r", attribution.MIN_PERMILLE - 1)
    call_shares.add_report("r", None)
    assert call_shares.share("r") == 0.0


def test_removed_routes_are_dropped() -> None:
    call_shares = attribution.CallShares({"r": 1.0, "s": 0.5})
    call_shares.keep_only({"s"})
    assert call_shares.shares == {"s": 0.5}
    parents = attribution.Parents({"r": 1.0, "s": 0.5})
    parents.keep_only({"s"})
    assert parents.calls_of == {"s": 0.5}


def test_hosts_are_counted_by_their_services() -> None:
    host_counts = attribution.hosts_by_services(
        [["b", "a"], ["a", "b"], [], ["a"]]
    )
    assert host_counts == {"a,b": 2, "": 1, "a": 1}
