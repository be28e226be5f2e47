"""The floors of restarted proxies, given by real agreement cores."""

import collections.abc

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from trefoil_emulator import control_net
from trefoil_store import disk as disks
from trefoil_wire import frames
from trefoil_wire import messages

HOSTS = control_net.FOUNDERS + ["10.0.0.9"]
PROXIES = ["p1", "p2"]
SERVICE = "tables"
# Longer than an election and a regular floor query together.
SETTLED_MS = 4000
# Elections, joins of wiped hosts and the longest retry of a link.
RECOVERY_MS = 15000

MakeCommand = collections.abc.Callable[[int], messages.Command]


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


def moved(number: int) -> messages.Command:
    """Return a move that is taken back for want of targets."""
    version = f"v{number + 2}"
    body = messages.StartMove(SERVICE, "", version, duration_ms=1500)
    return command(number, body)


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
    unchanging: MakeCommand,
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


class Floors(stateful.RuleBasedStateMachine):
    """Proxies restart beside control hosts that fail in any order.

    No proxy serves below a revision that was acknowledged, or in force
    anywhere, before it started. Once all run and are connected, every proxy
    has the newest revision in force.
    """

    @stateful.initialize()
    def start_fleet(self) -> None:
        self.net = control_net.Network()
        for host in HOSTS:
            self._start(host, found=True)
        self.net.run(SETTLED_MS)
        self.commands: list[messages.Command] = []
        self.acknowledged = 0
        self.wiped = ""
        self.floors: dict[str, int] = {}
        services = [messages.Service(SERVICE, [], "v1")]
        document = messages.ApplyConfiguration(services, [])
        self.commands.append(command(0, document))
        self._send(HOSTS[0], self.commands[0])
        for proxy in PROXIES:
            self.restart_proxy(proxy)

    def _start(self, host: str, found: bool = False) -> None:
        self.net.start(host, found=found, snapshot_entries=10)

    @stateful.rule(
        at=st.sampled_from(HOSTS),
        make=st.sampled_from([accepted, refused, without_effect, moved]),
    )
    def send_command(self, at: str, make: MakeCommand) -> None:
        """Send a new command to any control host that runs."""
        self.commands.append(make(len(self.commands)))
        self._send(at, self.commands[-1])

    @stateful.precondition(lambda self: self.commands)
    @stateful.rule(at=st.sampled_from(HOSTS), position=st.integers(0, 99))
    def repeat_command(self, at: str, position: int) -> None:
        """Send an earlier command again."""
        self._send(at, self.commands[position % len(self.commands)])

    def _send(self, at: str, sent: messages.Command) -> None:
        if at in self.net.processes:
            self.net.processes[at].submit(sent, self._on_reply)

    def _on_reply(self, reply: messages.CommandReply) -> None:
        if reply.outcome != messages.Outcome.DONE:
            return
        for process in self.net.processes.values():
            past = process.state.past.get(reply.command_id)
            revision = past.revision if past is not None else 0
            self.acknowledged = max(self.acknowledged, revision)

    @stateful.rule(for_ms=st.sampled_from([50, 100, 300, 1000, 9000]))
    def let_time_pass(self, for_ms: int) -> None:
        """Run the fleet."""
        self.net.run(for_ms)

    def _any_is_stopped(self) -> bool:
        return len(self.net.processes) < len(HOSTS)

    @stateful.rule(host=st.sampled_from(HOSTS))
    def stop_control(self, host: str) -> None:
        """Kill a control host; its disk remains."""
        if host in self.net.processes:
            self.net.stop(host)

    @stateful.precondition(_any_is_stopped)
    @stateful.rule(host=st.sampled_from(HOSTS))
    def start_control(self, host: str) -> None:
        """Start a control host that was killed."""
        if host not in self.net.processes:
            self._start(host)

    @stateful.precondition(_any_is_stopped)
    @stateful.rule(host=st.sampled_from(HOSTS))
    def lose_disk(self, host: str) -> None:
        """Start a killed control host with an empty disk, one at a time."""
        recovered = not self.wiped or self._is_voter(self.wiped)
        if host not in self.net.processes and recovered:
            self.wiped = host
            self.net.disks[host] = disks.MemoryDisk()
            self._start(host)

    def _is_voter(self, host: str) -> bool:
        """Return whether a host's new identity is agreed on as a voter."""
        process = self.net.processes.get(host)
        if process is None:
            return False
        raft = process.raft
        return (
            raft.identity in raft.voters and raft.config_index <= raft.commit
        )

    @stateful.rule(
        order=st.permutations(HOSTS),
        pauses_ms=st.lists(
            st.sampled_from([0, 50, 300, 1500]),
            min_size=len(HOSTS),
            max_size=len(HOSTS),
        ),
        wipe=st.booleans(),
        last=st.sampled_from([accepted, refused, without_effect]),
    )
    def lose_power(
        self,
        order: list[str],
        pauses_ms: list[int],
        wipe: bool,
        last: MakeCommand,
    ) -> None:
        """Restart all after a command; control hosts come back one by one."""
        self.send_command(order[-1], last)
        self.net.run(pauses_ms[-1])
        for name in self.net.members():
            self.net.stop(name)
        for proxy in PROXIES:
            self.restart_proxy(proxy)
        if wipe:
            self.lose_disk(order[0])
        for host, pause_ms in zip(order, pauses_ms):
            self.start_control(host)
            self.net.run(pause_ms)

    @stateful.rule(proxy=st.sampled_from(PROXIES))
    def restart_proxy(self, proxy: str) -> None:
        """Restart a proxy, which forgets all revisions."""
        self._check_floors()
        if proxy in self.net.proxies:
            self.net.stop(proxy)
        in_force = [other.revision for other in self.net.proxies.values()]
        in_force.append(self.floors.get(proxy, 0))
        self.floors[proxy] = max([self.acknowledged, *in_force])
        self.net.start_proxy(proxy)

    @stateful.rule(one=st.sampled_from(HOSTS), other=st.sampled_from(HOSTS))
    def partition(self, one: str, other: str) -> None:
        """Partition the control hosts; proxies reach both sides."""
        side = {one, other}
        proxies = set(PROXIES)
        self.net.partition(side | proxies, (set(HOSTS) - side) | proxies)

    @stateful.precondition(lambda self: self.net.partitions)
    @stateful.rule()
    def heal(self) -> None:
        """End the partition."""
        self.net.partition()

    @stateful.invariant()
    def no_proxy_serves_below_its_floor(self) -> None:
        if hasattr(self, "floors"):
            self._check_floors()

    def _check_floors(self) -> None:
        for name, proxy in self.net.proxies.items():
            for revision in proxy.in_force[:1]:
                assert revision >= self.floors[name], name

    def teardown(self) -> None:
        """Check that every proxy ends up at the newest revision."""
        if not hasattr(self, "floors"):
            return
        self.net.partition()
        for host in HOSTS:
            self.start_control(host)
        self.net.run(RECOVERY_MS)
        self._check_floors()
        revisions = [proxy.revision for proxy in self.net.proxies.values()]
        assert revisions == [newest(self.net)] * len(PROXIES)


TestFloors = Floors.TestCase
TestFloors.settings = settings(max_examples=25, stateful_step_count=25)
