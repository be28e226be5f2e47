"""A small deployment with a relay before each port, and what harms it."""

import dataclasses
import pathlib
import signal
import time
import typing

from trefoil_emulator import fleet as fleets

from . import plan as plans
from . import relays as relay_store

DOMAINS = ["ariana", "manouba"]
HOSTS = {"h1": "ariana", "h2": "ariana", "h3": "manouba", "h4": "manouba"}
CONTROLS = 3
# A torn write leaves the beginning of a record, which no sync covered.
TORN = b"\x00\x00\x01\x40torn"
# A process that was told to leave has 8 s for what runs on it.
GRACE_S = 8.0
LEAVE_S = GRACE_S + 4.0


@dataclasses.dataclass(slots=True, frozen=True)
class Leave:
    """A proxy that was told to leave, and when it was gone."""

    host: str
    began_s: float
    ended_s: float


class Deployment(fleets.LocalFleet):
    """Three control hosts, four proxies and their targets.

    Args:
        folder: Where settings, data folders and logs go.
        relays: Makes the relays.
    """

    def __init__(
        self, folder: pathlib.Path, relays: relay_store.Relays
    ) -> None:
        super().__init__(
            folder,
            domains=DOMAINS,
            controls=CONTROLS,
            control_extra={"snapshot_entries": 30},
            proxy_extra={"grace": f"{GRACE_S:g}s"},
        )
        self.relays = relays
        self.before: dict[str, dict[str, relay_store.Relay]] = {}
        self.expected_gone: set[str] = set()
        self.leaves: list[Leave] = []
        for name, ports in self.control_ports.items():
            ip = self.control_ips[name]
            self.before[name] = {"peers": relays.before(ip, ports["peers"])}
        self.build()

    @property
    def controls(self) -> dict[str, str]:
        """Return where others reach the control processes."""
        return {
            name: self._front(name, "peers") for name in self.control_names
        }

    def _front(self, name: str, port: str) -> str:
        relay = self.before[name][port]
        return f"{relay.ip}:{relay.port}"

    def build(self) -> None:
        """Write the settings of all processes."""
        self.add_controls()
        self.add_proxies(HOSTS)
        for host in HOSTS:
            self._add_relayed_target(host)

    def _configure_proxy(self, member: fleets.Member) -> None:
        if member.name not in self.before:
            self._relay_proxies()
        super()._configure_proxy(member)

    def _relay_proxies(self) -> None:
        for host in HOSTS:
            member = self.members[host]
            self.before[host] = {
                port: self.relays.before(member.ip, member.ports[port])
                for port in ("peers", "callers")
            }
        for seeds in self.seeds.values():
            seeds.update({host: self._front(host, "peers") for host in seeds})

    def _write(self, name: str, settings: dict[str, typing.Any]) -> str:
        settings["advertise"] = self._front(name, "peers")
        ip = settings["admin"].rpartition(":")[0]
        port = fleets.free_ports(1, ip)[0]
        settings["metrics"] = f"{ip}:{port}"
        member = self.members.get(name)
        if member is not None:
            member.ports["metrics"] = port
        return super()._write(name, settings)

    def _add_relayed_target(self, host: str) -> None:
        name = f"t-{host}"
        self.add_target(
            name,
            host,
            service="tables",
            version="v1",
            slots=8,
            resources="listings,payments",
            behave={"delay_ms": 20},
        )
        member = self.members[name]
        relay = self.relays.before(member.ip, member.ports["http"])
        self.before[name] = {"http": relay}
        member.command += [
            f"--announced_port={relay.port}",
            f"--runs_file={self.folder / 'runs.txt'}",
        ]

    @property
    def names(self) -> plans.Members:
        """Return the processes by role."""
        targets = [f"t-{host}" for host in HOSTS]
        return plans.Members(self.control_names, list(HOSTS), targets)

    def caller_address(self, host: str) -> str:
        """Return where callers reach a proxy."""
        return self._front(host, "callers")

    def runs(self) -> list[str]:
        """Return the names of the requests that ran, one for each run."""
        path = self.folder / "runs.txt"
        return path.read_text("utf-8").split() if path.exists() else []

    def is_up(self, name: str) -> bool:
        """Tell whether a process runs."""
        process = self.members[name].process
        return process is not None and process.poll() is None

    # Faults

    def kill_if_up(self, name: str) -> bool:
        """Kill a process; False if another fault has already."""
        if not self.is_up(name) or name in self.expected_gone:
            return False
        self.expected_gone.add(name)
        self.kill(name)
        return True

    def start_again(self, name: str) -> None:
        """Start a process that a fault ended."""
        if not self.is_up(name):
            self.start(name)
        self.expected_gone.discard(name)

    def pause(self, name: str, for_s: float) -> None:
        """Stop a process for a while without ending it."""
        process = self.members[name].process
        process.send_signal(signal.SIGSTOP)
        time.sleep(for_s)
        if process.poll() is None:
            process.send_signal(signal.SIGCONT)

    def leave(self, name: str) -> bool:
        """Have a process leave and start it again; False if it is not up.

        Raises:
            TimeoutExpired: It did not end within its grace time.
        """
        if not self.is_up(name) or name in self.expected_gone:
            return False
        self.expected_gone.add(name)
        began_s = time.monotonic()
        self.terminate(name)
        try:
            self.members[name].process.wait(LEAVE_S)
            self.leaves.append(Leave(name, began_s, time.monotonic()))
        finally:
            self.start_again(name)
        return True

    def tear_log(self, name: str) -> None:
        """Leave the beginning of a record at the log's end."""
        with open(self.folder / f"{name}.data" / "log", "ab") as log:
            log.write(TORN)
