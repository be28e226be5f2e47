"""Tests of limits and departures that targets state, over the whole fleet."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from trefoil_emulator import core_fleet
from trefoil_emulator import limited_fleet
from trefoil_emulator import troubled_fleet

BROWSE = core_fleet.RequestKind("browse", 150, 150, 500, 3000, 3000, 2)
CHARGE = core_fleet.RequestKind("charge", 60, 180, 600, 4000, 4000, 1)
SERVICE = "tables"
HOSTS = 6
LIMIT_PER_S = 9.0
OVERLOAD = 2.5


def make_fleet(
    seed: int = 1, hosts: int = HOSTS
) -> limited_fleet.LimitedFleet:
    """Return a fleet of one service that has served for two seconds."""
    fleet = limited_fleet.LimitedFleet(
        [troubled_fleet.Service(SERVICE, hosts, [BROWSE, CHARGE])],
        {},
        slack=60,
        seed=seed,
    )
    fleet.run(2000)
    return fleet


@pytest.mark.parametrize("load", [1.0, OVERLOAD])
def test_a_limit_that_a_target_names_holds_over_all_hosts(
    load: float,
) -> None:
    """A target in need got as many requests as before it named a limit."""
    fleet = make_fleet()
    fleet.load = load
    fleet.name_limit("tables0", LIMIT_PER_S)
    fleet.name_limit("tables1", 1.5)
    fleet.run(12_000)
    assert fleet.excesses() == {}


def test_a_limit_outlives_the_proxy_of_its_target() -> None:
    """A restarted proxy let its limited target be overrun by other hosts."""
    fleet = make_fleet()
    fleet.load = OVERLOAD
    fleet.name_limit("tables0", LIMIT_PER_S)
    fleet.run(4000)
    for _ in range(5):
        fleet.restart("tables0")
        fleet.run(900)
    fleet.run(4000)
    assert fleet.excesses() == {}


def test_a_limit_holds_when_a_frozen_proxy_resumes() -> None:
    """A resumed proxy sent all that had waited for it to its target."""
    fleet = make_fleet()
    fleet.load = OVERLOAD
    fleet.name_limit("tables0", LIMIT_PER_S)
    fleet.run(4000)
    for _ in range(3):
        fleet.pause("tables0", 1500)
        fleet.run(2500)
    assert fleet.excesses() == {}


def test_a_limit_below_one_request_a_second_holds() -> None:
    fleet = make_fleet()
    fleet.load = OVERLOAD
    fleet.name_limit("tables0", 0.3)
    fleet.name_limit("tables1", 0.0)
    fleet.run(20_000)
    assert fleet.excesses() == {}


def test_a_limited_target_refuses_few_calls_of_other_hosts() -> None:
    """All hosts came for each token; each refusal cost its caller a hop."""
    fleet = make_fleet()
    fleet.name_limit("tables0", LIMIT_PER_S)
    fleet.run(limited_fleet.SETTLING_MS)
    since_ms, refused = fleet.now_ms, fleet.refused_remotely
    fleet.run(8000)
    ran = fleet.arrivals_since("tables0", since_ms)
    assert ran >= 0.9 * LIMIT_PER_S * 8
    assert fleet.refused_remotely - refused <= ran


@pytest.mark.parametrize("restarts", [False, True])
def test_a_target_that_says_it_leaves_gets_no_later_request(
    restarts: bool,
) -> None:
    """A target that stated its departure went on to get requests."""
    fleet = make_fleet()
    fleet.leave("tables0")
    fleet.run(1000)
    if restarts:
        fleet.restart("tables0")
    fleet.run(5000)
    assert fleet.late_arrivals() == {}


class StatedFaults(stateful.RuleBasedStateMachine):
    """Limits and departures hold under faults of the proxies."""

    def __init__(self) -> None:
        super().__init__()
        self.fleet = make_fleet(hosts=4)

    def host(self, number: int) -> str:
        """Return one of the hosts."""
        return sorted(self.fleet.hosts)[number % len(self.fleet.hosts)]

    @stateful.rule(
        number=strategies.integers(0, 3),
        per_s=strategies.sampled_from([None, 0.0, 0.4, 3.0, 9.0, 30.0]),
    )
    def limit_changes(self, number: int, per_s: float | None) -> None:
        """Let a target name another limit."""
        self.fleet.name_limit(self.host(number), per_s)

    @stateful.precondition(
        lambda self: not any(t.leaving for t in self.fleet.limited.values())
    )
    @stateful.rule(number=strategies.integers(0, 3))
    def target_leaves(self, number: int) -> None:
        """Let a target state its departure."""
        self.fleet.leave(self.host(number))

    @stateful.rule(load=strategies.sampled_from([0.3, 1.0, 2.5]))
    def load_changes(self, load: float) -> None:
        """Change the number of callers."""
        self.fleet.load = load

    @stateful.rule(
        number=strategies.integers(0, 3),
        for_ms=strategies.sampled_from([300, 900, 3000]),
    )
    def host_freezes(self, number: int, for_ms: int) -> None:
        """Freeze a host for a while."""
        self.fleet.pause(self.host(number), for_ms)

    @stateful.rule(
        number=strategies.integers(0, 3), count=strategies.integers(1, 4)
    )
    def hosts_restart(self, number: int, count: int) -> None:
        """Kill some or all proxies and restart them."""
        for step in range(count):
            self.fleet.restart(self.host(number + step))

    @stateful.rule(lasts_ms=strategies.sampled_from([200, 1000, 4500]))
    def time_passes(self, lasts_ms: int) -> None:
        """Run the fleet for some time."""
        self.fleet.run(lasts_ms)

    def teardown(self) -> None:
        """Check every window of every target."""
        self.fleet.run(3500)
        assert self.fleet.excesses() == {}
        assert self.fleet.late_arrivals() == {}


StatedFaults.TestCase.settings = hypothesis.settings(
    max_examples=25, stateful_step_count=15
)
TestStatedFaults = StatedFaults.TestCase
