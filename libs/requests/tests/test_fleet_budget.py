"""Tests of a fleet's retry budget, by the requests that reach targets."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from trefoil_emulator import core_fleet
from trefoil_emulator import troubled_fleet

SLACK_REPEATS = 60
BROWSE = core_fleet.RequestKind("browse", 140, 120, 500, 3000, 1500, 2)
CHARGE = core_fleet.RequestKind("charge", 60, 150, 600, 4000, 2000, 1)
BOOK = core_fleet.RequestKind("book", 40, 80, 300, 2000, 1000)
LOOK_UP = core_fleet.RequestKind("look-up", 50, 60, 200, 1200, 1000, 1)
CHECK = core_fleet.RequestKind("check", 0, 40, 150, 500, 500)
FRONT = "front"
BACK = "back"
FAULT_SHARES = strategies.sampled_from([0.0, 0.1, 0.3, 0.5, 0.7])


def make_fleet(seed: int = 1) -> troubled_fleet.FaultyFleet:
    """Return a fleet of two services.

    Most browse runs, on the six targets of the front, make a call to the
    back.
    """
    return troubled_fleet.FaultyFleet(
        [
            troubled_fleet.Service(FRONT, 6, [BROWSE, CHARGE]),
            troubled_fleet.Service(BACK, 3, [BOOK, LOOK_UP], [CHECK]),
        ],
        {"browse": troubled_fleet.NestedCall(CHECK, BACK, 0.7)},
        slack=SLACK_REPEATS,
        seed=seed,
    )


def services_over_budget(
    fleet: troubled_fleet.FaultyFleet,
) -> dict[str, str]:
    """Return the services whose repeats exceed the budget, and the excess."""
    return {
        name: str(window)
        for name, window in fleet.worst_window().items()
        if window.excess > 0
    }


def test_calls_of_repeated_runs_count_in_the_called_services_budget() -> None:
    """Both services of a chain of calls refuse requests.

    Guards against repeats at the called service that no budget is charged
    for, since the calls of repeated runs look like first requests there.
    """
    fleet = make_fleet()
    fleet.run(5000)
    fleet.behaviour[FRONT].refuse_share = 0.45
    fleet.behaviour[BACK].refuse_share = 0.55
    fleet.run(12_000)
    assert services_over_budget(fleet) == {}


class FleetFaults(stateful.RuleBasedStateMachine):
    """No service gets more repeats than its budget under any fault."""

    def __init__(self) -> None:
        super().__init__()
        self.fleet = make_fleet()
        self.fleet.run(2000)

    def host(self, number: int) -> str:
        """Return one of the hosts."""
        return sorted(self.fleet.hosts)[number % len(self.fleet.hosts)]

    @stateful.rule(
        service=strategies.sampled_from([FRONT, BACK]),
        refuse_share=FAULT_SHARES,
        disconnect_share=FAULT_SHARES,
        slowdown=strategies.sampled_from([1.0, 4.0, 12.0]),
    )
    def targets_change(
        self,
        service: str,
        refuse_share: float,
        disconnect_share: float,
        slowdown: float,
    ) -> None:
        """Make the targets of a service refuse, break off or slow down."""
        self.fleet.behaviour[service] = troubled_fleet.Behaviour(
            refuse_share, disconnect_share, slowdown
        )

    @stateful.rule(load=strategies.sampled_from([0.5, 1.0, 1.8]))
    def load_changes(self, load: float) -> None:
        """Change the number of callers."""
        self.fleet.load = load

    @stateful.rule(
        number=strategies.integers(0, 20),
        for_ms=strategies.sampled_from([300, 900, 3000]),
    )
    def host_freezes(self, number: int, for_ms: int) -> None:
        """Freeze a host for a while."""
        self.fleet.pause(self.host(number), for_ms)

    @stateful.rule(
        number=strategies.integers(0, 20),
        count=strategies.sampled_from([1, 3, 20]),
    )
    def hosts_restart(self, number: int, count: int) -> None:
        """Kill some or all proxies and restart them."""
        for step in range(min(count, len(self.fleet.hosts))):
            self.fleet.restart(self.host(number + step))

    @stateful.precondition(lambda self: len(self.fleet.hosts) < 13)
    @stateful.rule(
        service=strategies.sampled_from([FRONT, BACK]),
        known_share=strategies.sampled_from([0.5, 1.0]),
    )
    def host_joins(self, service: str, known_share: float) -> None:
        """Add a host that is announced to only some of the others."""
        self.fleet.join(service, known_share)

    @stateful.rule(lasts_ms=strategies.sampled_from([300, 2000, 8000]))
    def time_passes(self, lasts_ms: int) -> None:
        """Run the fleet for some time."""
        self.fleet.run(lasts_ms)

    def teardown(self) -> None:
        """Check the sum of every window."""
        self.fleet.run(3000)
        assert services_over_budget(self.fleet) == {}


FleetFaults.TestCase.settings = hypothesis.settings(
    max_examples=30, stateful_step_count=20
)
TestFleetFaults = FleetFaults.TestCase
