"""Control processes joined in memory, without sockets or disks."""

import random
import typing

from trefoil_daemon import control_process
from trefoil_model import clock as clocks
from trefoil_model import effects as common
from trefoil_quorum import raft as rafts
from trefoil_settings import settings as setting_store
from trefoil_store import disk as disks

SEEDS = ["10.0.0.1", "10.0.0.2", "10.0.0.3"]
STEP_MS = 50


class Driver:
    """Carries one process's effects into the net."""

    def __init__(self, net: "Net", name: str) -> None:
        self.net = net
        self.name = name
        self.notes: list[str] = []

    def link_send(self, host: str, message: typing.Any) -> None:
        """Send on a link if there is one."""
        if frozenset((self.name, host)) in self.net.links:
            self.net.wire.append((self.name, host, message))

    def dial(self, host: str, address: str) -> None:
        """Open a link if the peer is there."""
        self.net.dial(self.name, host)

    def close_link(self, host: str) -> None:
        """Close a link."""
        self.net.unlink(self.name, host)

    def probe(self, host: str, address: str) -> None:
        """Ignore."""

    def reply(self, origin: str, message: typing.Any) -> None:
        """Ignore."""

    def note(self, note: common.Note) -> None:
        """Keep the event."""
        self.notes.append(note.event)

    def count(self, count: common.Count) -> None:
        """Ignore."""


class Net:
    """Control processes joined by links that a cut takes away."""

    def __init__(self) -> None:
        self.clock = clocks.PausedClock()
        self.rng = random.Random(5)
        self.processes: dict[str, control_process.ControlProcess] = {}
        self.disks: dict[str, disks.MemoryDisk] = {}
        self.links: set[frozenset[str]] = set()
        self.wire: list[tuple[str, str, typing.Any]] = []
        self.arrived: list[typing.Any] = []
        self.halves: tuple[set[str], ...] = ()

    def start(self, name: str, *, found: bool, lost_disks: int = 1) -> None:
        """Start a process, with the disk that it had."""
        checked = setting_store.parse(
            f"host: {name}\ndomain: d\npeers: {name}:7000\n"
            f"admin: {name}:8000\ndata_folder: x\nfound: {str(found).lower()}"
            f"\nlost_disks: {lost_disks}"
            f"\njoin: [{', '.join(f'{s}:8000' for s in SEEDS)}]\n",
            "control",
        )
        assert checked.is_ok(), str(checked.error)
        disk = self.disks.setdefault(name, disks.MemoryDisk())
        self.processes[name] = control_process.ControlProcess(
            checked.ok,
            peers_address=f"{name}:7000",
            driver=Driver(self, name),
            clock=self.clock,
            rng=self.rng,
            disk=disk,
        )

    def stop(self, name: str) -> None:
        """End a process."""
        del self.processes[name]
        for pair in [pair for pair in self.links if name in pair]:
            self.unlink(*pair)

    def reaches(self, one: str, other: str) -> bool:
        """Tell whether no cut stands between two processes."""
        together = not self.halves or any(
            {one, other} <= half for half in self.halves
        )
        return together and one in self.processes and other in self.processes

    def dial(self, one: str, other: str) -> None:
        """Link two processes, or fail the dial."""
        if not self.reaches(one, other):
            self.processes[one].link_down(other, 0)
            return
        self.links.add(frozenset((one, other)))
        for name, peer, served in ((one, other, False), (other, one, True)):
            hello = self.processes[peer].greeting(True)
            self.processes[name].link_up(peer, hello, served)

    def unlink(self, one: str, other: str) -> None:
        """Break a link."""
        if frozenset((one, other)) in self.links:
            self.links.remove(frozenset((one, other)))
            for name, peer in ((one, other), (other, one)):
                if name in self.processes:
                    self.processes[name].link_down(peer, 0)

    def cut(self, *halves: set[str]) -> None:
        """Cut the processes apart; nothing heals the cut."""
        self.halves = halves
        for one, other in [tuple(pair) for pair in self.links]:
            if not self.reaches(one, other):
                self.unlink(one, other)

    def run(self, by_ms: int) -> None:
        """Let time pass and messages arrive."""
        for _ in range(by_ms // STEP_MS):
            self.clock.advance(STEP_MS)
            for process in list(self.processes.values()):
                process.tick()
            for _ in range(20):
                arriving, self.wire = self.wire, []
                for source, target, message in arriving:
                    if frozenset((source, target)) in self.links:
                        self.arrived.append(message)
                        self.processes[target].link_message(source, message)

    def leaders(self) -> list[str]:
        """Return who believes that it leads."""
        return [n for n, p in self.processes.items() if p.raft.is_leader]

    def voters(self, at: str) -> set[str]:
        """Return the voters as one process knows them."""
        return {rafts.process_name(v) for v in self.processes[at].raft.voters}


def founded(*more: str) -> Net:
    """Return a net that its seeds have founded, and others joined."""
    net = Net()
    for name in SEEDS + list(more):
        net.start(name, found=True)
    net.run(4000)
    return net
