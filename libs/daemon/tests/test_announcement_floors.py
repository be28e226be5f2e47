"""Announcements from before a target's end reach a restarted proxy."""

import random
import typing

import pytest

from trefoil_daemon import announcements
from trefoil_daemon import proxy_process
from trefoil_emulator import control_net
from trefoil_settings import settings as setting_store
from trefoil_wire import messages

PROXY = "10.0.1.1"
OTHER = "10.0.1.2"
SETTLED_MS = 4000
STARTED_MS = 1_700_000_000_000


class Driver(control_net.Driver):
    """Ignores what callers and targets would get."""

    def __getattr__(self, name: str) -> typing.Any:
        return lambda *args: None


class Network(control_net.Network):
    """Control processes and two proxies with targets."""

    def __init__(self) -> None:
        super().__init__()
        for name in control_net.FOUNDERS:
            self.start(name, found=True)
        self.run(SETTLED_MS)
        for name in (PROXY, OTHER):
            self.start_proxy(name)
        self.run(SETTLED_MS)

    def start_proxy(self, name: str) -> None:
        """Start a proxy with no memory of before."""
        joined = ", ".join(f"{s}:8000" for s in control_net.FOUNDERS)
        parsed = setting_store.parse(
            f"host: {name}\ndomain: d\npeers: {name}:7000\n"
            f"callers: {name}:1\nadmin: {name}:2\njoin: [{joined}]\n"
            "lease: 60s\n",
            "proxy",
        )
        assert parsed.is_ok(), str(parsed.error)
        self.proxies[name] = proxy_process.ProxyProcess(
            parsed.ok,
            peers_address=f"{name}:7000",
            driver=Driver(self, name),
            clock=self.clock,
            rng=random.Random(1),
        )
        self.proxies[name].node.overlay.set_configured(
            {founder: f"{founder}:7000" for founder in control_net.FOUNDERS}
        )

    def announce(
        self,
        sequence: int,
        state: int = messages.TargetState.READY,
        incarnation: int = STARTED_MS,
    ) -> None:
        """Announce the target of the first proxy."""
        record = messages.TargetRecord("t", "tables", "v1", [], 2, state)
        self.proxies[PROXY].announce(
            announcements.Announcement(record, 80, incarnation, sequence)
        )

    def restart(self, down_ms: int = 500) -> None:
        """Kill the first proxy, once its messages are sent; start another."""
        self.run(control_net.STEP_MS)
        self.stop(PROXY)
        self.run(down_ms)
        self.start_proxy(PROXY)

    def known_states(self) -> list[int]:
        """Return the states of the target that the other proxy knows."""
        records = self.proxies[OTHER].node.members.records
        record = records.get(PROXY)
        assert record is not None
        return [target.state for target in record.targets]


@pytest.mark.parametrize("late_ms", [0, 50, 1000, 4000])
@pytest.mark.parametrize("restarts", [1, 2])
def test_a_late_announcement_brings_back_no_deregistered_target(
    late_ms: int, restarts: int
) -> None:
    """Requests reached the target for the time of its lease."""
    net = Network()
    net.announce(7)
    net.run(SETTLED_MS)
    assert net.known_states() == [messages.TargetState.READY]
    assert net.proxies[PROXY].deregister_target("t", STARTED_MS)
    for _ in range(restarts):
        net.restart()
    net.run(late_ms)
    net.announce(6)
    net.run(1000)
    assert net.known_states() == []
    assert not net.proxies[PROXY].announced.by_name


def test_a_late_announcement_brings_back_no_draining_target() -> None:
    """It was acknowledged as draining; the report before that came late."""
    net = Network()
    net.announce(7)
    net.announce(8, messages.TargetState.DRAINING)
    net.restart()
    net.run(1000)
    net.announce(7)
    net.run(1000)
    assert net.known_states() == []
    net.announce(9, messages.TargetState.DRAINING)
    net.run(1000)
    assert net.known_states() == [messages.TargetState.DRAINING]


def test_a_target_that_starts_again_is_used_after_a_restart() -> None:
    net = Network()
    net.announce(7)
    net.proxies[PROXY].deregister_target("t", STARTED_MS)
    net.restart()
    net.run(1000)
    net.announce(1, incarnation=STARTED_MS + 1)
    net.run(1000)
    assert net.known_states() == [messages.TargetState.READY]


def test_a_running_target_is_used_at_once_after_a_restart() -> None:
    net = Network()
    net.announce(7)
    net.restart()
    net.run(100)
    net.announce(8)
    net.run(1000)
    assert net.known_states() == [messages.TargetState.READY]


def test_old_floors_are_no_longer_published() -> None:
    announced = announcements.Announcements(4000)
    announced.deregister("t", STARTED_MS, 0, STARTED_MS)
    lifetime_ms = announcements.MAX_ANNOUNCEMENT_DELAY_MS
    assert len(announced.published_floors(lifetime_ms - 1)) == 1
    assert announced.published_floors(lifetime_ms) == []
