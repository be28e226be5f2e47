"""In-memory network of control processes, without sockets or disks."""

import random
import typing

from trefoil_daemon import _fleet_process
from trefoil_daemon import control_process
from trefoil_fleet import effects as fleet_effects
from trefoil_fleet import node as nodes
from trefoil_model import clock as clocks
from trefoil_model import effects as common
from trefoil_quorum import raft as rafts
from trefoil_settings import settings as setting_store
from trefoil_store import disk as disks
from trefoil_wire import messages

FOUNDERS = ["10.0.0.1", "10.0.0.2", "10.0.0.3"]
STEP_MS = 50


class Driver:
    """Carries out the effects of one process on the network.

    Args:
        net: The network.
        name: Name of the process.
    """

    def __init__(self, net: "Network", name: str) -> None:
        self.net = net
        self.name = name
        self.events: list[str] = []

    def link_send(self, host: str, message: typing.Any) -> None:
        """Queue a message for a peer; drop it without a link."""
        if frozenset((self.name, host)) in self.net.links:
            self.net.in_transit.append((self.name, host, message))

    def dial(self, host: str, address: str) -> None:
        """Open a link to a peer."""
        self.net.dial(self.name, host)

    def close_link(self, host: str) -> None:
        """Close the link to a peer."""
        self.net.unlink(self.name, host)

    def probe(self, host: str, address: str) -> None:
        """Ignore the probe."""

    def reply(self, origin: str, message: typing.Any) -> None:
        """Ignore the reply."""

    def note(self, note: common.Note) -> None:
        """Record the name of a log event."""
        self.events.append(note.event)

    def count(self, count: common.Count) -> None:
        """Ignore the count."""


class FleetMember(_fleet_process.FleetProcess):
    """A proxy without requests: its fleet core alone.

    Args:
        node: The fleet core.
        driver: Does the input and output of effects.
        clock: The runtime's clock.

    Attributes:
        in_force: Every revision that was in force since its start, in order.
    """

    def __init__(
        self, node: nodes.Node, driver: Driver, clock: clocks.Clock
    ) -> None:
        super().__init__(node, driver, clock)
        self.in_force: list[int] = []

    @property
    def revision(self) -> int:
        """Return the revision in force, 0 if there is none."""
        return self.in_force[-1] if self.in_force else 0

    def execute(self, effect: typing.Any) -> None:
        """Execute one effect."""
        match effect:
            case fleet_effects.PutInForce():
                self.in_force.append(effect.items.revision)
            case fleet_effects.RecordsChanged():
                pass
            case _:
                super().execute(effect)

    def link_message(self, host: str, message: typing.Any) -> None:
        """Handle a message from a subscribed link."""
        now_ms = self.clock.now_ms()
        self.perform(self.node.receive(host, message, now_ms))

    def tick(self) -> None:
        """Run the periodic work."""
        self.perform(self.node.tick(self.clock.now_ms()))


class Network:
    """Control processes on a network that can be partitioned.

    Time is simulated: it only advances in ``run``.
    """

    def __init__(self) -> None:
        self.clock = clocks.PausedClock()
        self.rng = random.Random(5)
        self.processes: dict[str, control_process.ControlProcess] = {}
        self.proxies: dict[str, FleetMember] = {}
        self.disks: dict[str, disks.MemoryDisk] = {}
        self.links: set[frozenset[str]] = set()
        self.in_transit: list[tuple[str, str, typing.Any]] = []
        self.delivered: list[typing.Any] = []
        self.partitions: tuple[set[str], ...] = ()

    def start(
        self,
        name: str,
        *,
        found: bool,
        lost_disks: int = 1,
        snapshot_entries: int = 500,
    ) -> None:
        """Start a process, on its previous disk if it has one.

        Args:
            name: Name of the process, which is its host.
            found: Whether it may take part in founding the cluster.
            lost_disks: Control hosts that may lose their disks together.
            snapshot_entries: Log entries after which a snapshot is taken.
        """
        parsed = setting_store.parse(
            f"host: {name}\ndomain: d\npeers: {name}:7000\n"
            f"admin: {name}:8000\ndata_folder: x\nfound: {str(found).lower()}"
            f"\nlost_disks: {lost_disks}"
            f"\nsnapshot_entries: {snapshot_entries}"
            f"\njoin: [{', '.join(f'{s}:8000' for s in FOUNDERS)}]\n",
            "control",
        )
        assert parsed.is_ok(), str(parsed.error)
        disk = self.disks.setdefault(name, disks.MemoryDisk())
        self.processes[name] = control_process.ControlProcess(
            parsed.ok,
            peers_address=f"{name}:7000",
            driver=Driver(self, name),
            clock=self.clock,
            rng=self.rng,
            disk=disk,
        )

    def start_proxy(self, name: str) -> None:
        """Start a proxy, which knows the founders and has no disk."""
        record = messages.HostRecord(
            host=name,
            domain="d",
            region="",
            address=f"{name}:7000",
            incarnation=self.clock.wall_ms(),
            sequence=1,
            state=messages.HostState.ALIVE,
            targets=[],
        )
        node = nodes.Node(
            record,
            control=False,
            seeds={},
            controls={founder: f"{founder}:7000" for founder in FOUNDERS},
            now_ms=self.clock.now_ms(),
            rng=self.rng,
        )
        driver = Driver(self, name)
        self.proxies[name] = FleetMember(node, driver, self.clock)

    def members(self) -> dict[str, _fleet_process.FleetProcess]:
        """Return the control processes and proxies that run, by name."""
        return self.processes | self.proxies

    def stop(self, name: str) -> None:
        """Stop a process and break its links; its disk remains."""
        self.processes.pop(name, None)
        self.proxies.pop(name, None)
        for pair in [pair for pair in self.links if name in pair]:
            self.unlink(*pair)

    def can_reach(self, one: str, other: str) -> bool:
        """Return whether two processes run in the same partition."""
        is_connected = not self.partitions or any(
            {one, other} <= group for group in self.partitions
        )
        return is_connected and {one, other} <= self.members().keys()

    def dial(self, one: str, other: str) -> None:
        """Link two processes, or report a failed dial to the first."""
        members = self.members()
        if not self.can_reach(one, other):
            members[one].link_down(other, 0)
            return
        self.links.add(frozenset((one, other)))
        for name, peer, served in ((one, other, False), (other, one, True)):
            hello = members[peer].greeting(True)
            members[name].link_up(peer, hello, served)

    def unlink(self, one: str, other: str) -> None:
        """Break the link between two processes, if any."""
        if frozenset((one, other)) in self.links:
            self.links.remove(frozenset((one, other)))
            for name, peer in ((one, other), (other, one)):
                if name in self.members():
                    self.members()[name].link_down(peer, 0)

    def partition(self, *partitions: set[str]) -> None:
        """Partition the network until ``partitions`` is reset.

        Args:
            partitions: Names of the processes of each partition.
        """
        self.partitions = partitions
        for one, other in [tuple(pair) for pair in self.links]:
            if not self.can_reach(one, other):
                self.unlink(one, other)

    def run(self, duration_ms: int) -> None:
        """Advance the time in steps and deliver messages."""
        for _ in range(duration_ms // STEP_MS):
            self.clock.advance(STEP_MS)
            for process in list(self.members().values()):
                process.tick()
            for _ in range(20):
                batch, self.in_transit = self.in_transit, []
                for source, destination, message in batch:
                    if frozenset((source, destination)) in self.links:
                        self.delivered.append(message)
                        self.members()[destination].link_message(
                            source, message
                        )

    def leaders(self) -> list[str]:
        """Return the processes that consider themselves leader."""
        return [n for n, p in self.processes.items() if p.raft.is_leader]

    def voters(self, at: str) -> set[str]:
        """Return the names of the voters that one process knows."""
        return {rafts.process_name(v) for v in self.processes[at].raft.voters}


def founded_network(*joiners: str) -> Network:
    """Return a network with a founded cluster.

    Args:
        joiners: Names of processes that join in addition to the founders.
    """
    net = Network()
    for name in FOUNDERS + list(joiners):
        net.start(name, found=True)
    net.run(4000)
    return net
