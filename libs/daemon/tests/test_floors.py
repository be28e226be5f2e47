"""The floors of restarted proxies, given by real agreement cores."""

import pytest

from trefoil_emulator import control_net
from trefoil_store import disk as disks
from trefoil_wire import frames
from trefoil_wire import messages

HOSTS = control_net.FOUNDERS + ["10.0.0.9"]
PROXIES = ["p1", "p2"]
# Longer than an election and a regular floor query together.
SETTLED_MS = 4000


def command(number: int, body: object) -> messages.Command:
    """Return an operator's command."""
    kind, data = frames.pack_any(body)
    return messages.Command(f"c{number}", "ann", 0, kind, data)


def accepted(number: int) -> messages.Command:
    """Return a command that makes a new revision."""
    return command(number, messages.DrainHost(f"h{number}", True))


def refused(number: int) -> messages.Command:
    """Return a command that is agreed on and refused."""
    return command(number, messages.ReverseMove("no such service"))


def without_effect(number: int) -> messages.Command:
    """Return a command that is accepted and changes nothing."""
    return command(number, messages.DrainHost("undrained", False))


def running_fleet() -> control_net.Network:
    """Return a fleet of four voters and two proxies at one revision."""
    net = control_net.founded_network(HOSTS[-1])
    submit(net, accepted(1))
    for proxy in PROXIES:
        net.start_proxy(proxy)
    net.run(SETTLED_MS)
    assert [net.proxies[p].revision for p in PROXIES] == [newest(net)] * 2
    return net


def submit(net: control_net.Network, sent: messages.Command) -> None:
    """Have a command agreed on."""
    replies: list[messages.CommandReply] = []
    (leader,) = net.leaders()
    net.processes[leader].submit(sent, replies.append)
    net.run(500)
    assert replies and replies[0].outcome != messages.Outcome.PENDING


def newest(net: control_net.Network) -> int:
    """Return the newest agreed revision."""
    (leader,) = net.leaders()
    return net.processes[leader].state.items.revision


@pytest.mark.parametrize("unchanging", [refused, without_effect])
def test_proxies_serve_after_a_power_loss_behind_a_refused_command(
    unchanging,
) -> None:
    """Voters give a floor that no revision reaches; the leader corrects it."""
    net = running_fleet()
    submit(net, unchanging(2))
    revision = newest(net)
    for name in [*net.processes, *net.proxies]:
        net.stop(name)
    net.disks[HOSTS[3]] = disks.MemoryDisk()
    for name in (HOSTS[0], HOSTS[1], HOSTS[3]):
        net.start(name, found=False)
    for proxy in PROXIES:
        net.start_proxy(proxy)
    net.run(1000)
    assert not net.leaders()
    net.start(HOSTS[2], found=False)
    net.run(SETTLED_MS)
    assert [net.proxies[p].revision for p in PROXIES] == [revision] * 2
