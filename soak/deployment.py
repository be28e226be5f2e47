"""A small deployment behind TCP relays, and faults of its processes."""

import dataclasses
import pathlib
import signal
import time
import typing

from trefoil_emulator import fleet as fleets
from trefoil_emulator import loopback

from . import plan as plans
from . import relays as relay_module

DOMAINS = ["ariana", "manouba"]
HOSTS = {"h1": "ariana", "h2": "ariana", "h3": "manouba", "h4": "manouba"}
CONTROL_COUNT = 3
# A torn write: the beginning of a record that was never synced.
TORN_RECORD = b"\x00\x00\x01\x40torn"
# Time that a process has for its requests in flight when it shuts down.
GRACE_S = 8.0
SHUTDOWN_TIMEOUT_S = GRACE_S + 4.0
# Targets whose long runs fill their slots, so that requests wait for one.
HALL_HOSTS = ("h1", "h3")
HALL_SLOTS = 2
HALL_ANSWER_BYTES = 40_000


@dataclasses.dataclass(slots=True, frozen=True)
class Shutdown:
    """A planned shutdown of a proxy.

    Args:
        host: The proxy.
        started_s: When it was asked to shut down, in seconds of the
            monotonic clock.
        ended_s: When its process had exited, likewise.
    """

    host: str
    started_s: float
    ended_s: float


class Deployment(fleets.LocalFleet):
    """Three control hosts, four proxies and their targets.

    Args:
        folder: Folder for settings, data folders and logs.
        relays: Creates the relays.
        hall_ms: Mean duration of a request to the service ``halls``.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        relays: relay_module.Relays,
        hall_ms: float,
    ) -> None:
        super().__init__(
            folder,
            domains=DOMAINS,
            controls=CONTROL_COUNT,
            control_extra={"snapshot_entries": 30},
            proxy_extra={"grace": f"{GRACE_S:g}s"},
        )
        self.relays = relays
        self.hall_ms = hall_ms
        self.relays_by_member: dict[str, dict[str, relay_module.Relay]] = {}
        self.expected_down: set[str] = set()
        self.shutdowns: list[Shutdown] = []
        for name, ports in self.control_ports.items():
            ip = self.control_ips[name]
            self.relays_by_member[name] = {
                "peers": relays.create_relay(ip, ports["peers"])
            }
        self.build()

    @property
    def controls(self) -> dict[str, str]:
        """Return the relayed peer address of each control process."""
        return {
            name: self._relay_address(name, "peers")
            for name in self.control_names
        }

    def _relay_address(self, name: str, port: str) -> str:
        relay = self.relays_by_member[name][port]
        return f"{relay.ip}:{relay.port}"

    def build(self) -> None:
        """Write the settings of all processes."""
        self.add_controls()
        self.add_proxies(HOSTS)
        for host in HOSTS:
            self._add_relayed_target(host)
        for host in HALL_HOSTS:
            self._add_hall(host)

    def _configure_proxy(self, member: fleets.Member) -> None:
        if member.name not in self.relays_by_member:
            self._add_proxy_relays()
        super()._configure_proxy(member)

    def _add_proxy_relays(self) -> None:
        for host in HOSTS:
            member = self.members[host]
            self.relays_by_member[host] = {
                port: self.relays.create_relay(member.ip, member.ports[port])
                for port in ("peers", "callers")
            }
        for seeds in self.seeds.values():
            seeds.update(
                {host: self._relay_address(host, "peers") for host in seeds}
            )

    def _write(self, name: str, settings: dict[str, typing.Any]) -> str:
        settings["advertise"] = self._relay_address(name, "peers")
        ip = settings["admin"].rpartition(":")[0]
        port = loopback.free_ports(1, ip)[0]
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
        relay = self.relays.create_relay(member.ip, member.ports["http"])
        self.relays_by_member[name] = {"http": relay}
        member.command += [
            f"--announced_port={relay.port}",
            f"--runs_file={self.folder / 'runs.txt'}",
        ]

    def _add_hall(self, host: str) -> None:
        name = f"hall-{host}"
        self.add_target(
            name,
            host,
            service="halls",
            version="v1",
            slots=HALL_SLOTS,
            behave={
                "delay_ms": self.hall_ms,
                "padding_bytes": HALL_ANSWER_BYTES,
            },
        )
        runs_file = f"--runs_file={self.folder / 'runs.txt'}"
        self.members[name].command.append(runs_file)

    @property
    def members_by_role(self) -> plans.Members:
        """Return the processes by role."""
        targets = [f"t-{host}" for host in HOSTS]
        return plans.Members(self.control_names, list(HOSTS), targets)

    def caller_address(self, host: str) -> str:
        """Return the address of the relay between callers and a proxy."""
        return self._relay_address(host, "callers")

    def runs(self) -> list[str]:
        """Return the name of each request that ran, repeated for each run."""
        path = self.folder / "runs.txt"
        return path.read_text("utf-8").split() if path.exists() else []

    def is_up(self, name: str) -> bool:
        """Return whether a process is running."""
        process = self.members[name].process
        return process is not None and process.poll() is None

    # Faults

    def kill_if_up(self, name: str) -> bool:
        """Kill a process.

        Returns:
            False if it is down already or another fault is restarting it.
        """
        if not self.is_up(name) or name in self.expected_down:
            return False
        self.expected_down.add(name)
        self.kill(name)
        return True

    def restart(self, name: str) -> None:
        """Start a process that a fault has ended."""
        if not self.is_up(name):
            self.start(name)
        self.expected_down.discard(name)

    def pause(self, name: str, for_s: float) -> None:
        """Suspend a process with SIGSTOP for a number of seconds."""
        process = self.members[name].process
        process.send_signal(signal.SIGSTOP)
        time.sleep(for_s)
        if process.poll() is None:
            process.send_signal(signal.SIGCONT)

    def restart_gracefully(self, name: str) -> bool:
        """Shut a process down and start it.

        Returns:
            False if it is down already or another fault is restarting it.

        Raises:
            TimeoutExpired: It did not exit within ``SHUTDOWN_TIMEOUT_S``.
        """
        if not self.is_up(name) or name in self.expected_down:
            return False
        self.expected_down.add(name)
        started_s = time.monotonic()
        self.terminate(name)
        try:
            self.members[name].process.wait(SHUTDOWN_TIMEOUT_S)
            self.shutdowns.append(Shutdown(name, started_s, time.monotonic()))
        finally:
            self.restart(name)
        return True

    def append_torn_record(self, name: str) -> None:
        """Append an incomplete record to a control process's log."""
        with open(self.folder / f"{name}.data" / "log", "ab") as log:
            log.write(TORN_RECORD)
