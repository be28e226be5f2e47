"""Runs a fleet of real processes on loopback, for tests, benches and demos.

The product does not use this module: trefoilroute's own processes start no
others.
"""

import contextlib
import dataclasses
from http import client as http_client
import itertools
import json
import os
import pathlib
import re
import shutil
import signal
import subprocess
import sys
import time
import typing
import urllib.request

import yaml

from trefoil_cli import client

from . import loopback

LOOPBACK = "127.0.0.1"
STOP_TIMEOUT_S = 10.0
# A target that sends hundreds of long answers is late with these.
STATS_TIMEOUT_S = 60.0
RETRY_INTERVAL_S = 0.05
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
PEAK_KIB = re.compile(r"VmHWM:\s+(\d+)")


class WaitTimeout(Exception):
    """A condition did not hold within the time limit."""


def wait_for(
    what: str,
    condition: typing.Callable[[], typing.Any],
    within_s: float = 20.0,
    interval_s: float = 0.05,
) -> typing.Any:
    """Wait until a condition returns a true value.

    Args:
        what: Description of the condition for the error message.
        condition: Function that is called until its result is true.
        within_s: Time limit in seconds.
        interval_s: Pause between two checks in seconds.

    Returns:
        The result of the condition.

    Raises:
        WaitTimeout: The condition did not hold in time. The message has the
            number of checks and the longest interval between two, which
            shows whether the machine stalled.
    """
    checked_s = [time.monotonic()]
    deadline = checked_s[0] + within_s
    while True:
        value = condition()
        if value:
            return value
        checked_s.append(time.monotonic())
        if checked_s[-1] >= deadline:
            intervals_s = [b - a for a, b in itertools.pairwise(checked_s)]
            raise WaitTimeout(
                f"{what}: timed out after {within_s} s and "
                f"{len(intervals_s)} checks with intervals of up to "
                f"{max(intervals_s):.2f} s"
            )
        time.sleep(interval_s)


@dataclasses.dataclass(slots=True)
class Member:
    """One process of the fleet.

    Args:
        name: Name of the process.
        command: Its command line.
        ports: Its ports by purpose.
        domain: Its failure domain.
        ip: IP address of its host.
        process: The running process, once started.
    """

    name: str
    command: list[str]
    ports: dict[str, int]
    domain: str = ""
    ip: str = LOOPBACK
    process: subprocess.Popen | None = None

    def state(self, log: pathlib.Path) -> str:
        """Return a description of the process state for error messages.

        Args:
            log: Its log file.
        """
        log_bytes = log.stat().st_size if log.exists() else 0
        exit_code = self.process.poll()
        if exit_code is not None:
            return (
                f"{self.name}: exited with {exit_code}, "
                f"{log_bytes} bytes of log"
            )
        proc = pathlib.Path("/proc") / str(self.process.pid)
        # Skip the command name in parentheses, which may contain spaces.
        fields = (proc / "stat").read_text().rpartition(")")[2].split()
        ticks = int(fields[11]) + int(fields[12])
        cpu_s = ticks / os.sysconf("SC_CLK_TCK")
        wait_channel = (proc / "wchan").read_text() or "?"
        return (
            f"{self.name}: state {fields[0]} in {wait_channel}, "
            f"{cpu_s:.2f} s of CPU time, {log_bytes} bytes of log"
        )

    def address(self, port: str) -> str:
        """Return the address of one of the process's ports.

        Args:
            port: Purpose of the port, a key of ``ports``.
        """
        return f"{self.ip}:{self.ports[port]}"

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self.process.pid

    @property
    def cpu_s(self) -> float:
        """Return the CPU time in seconds."""
        stat = pathlib.Path(f"/proc/{self.pid}/stat").read_text()
        fields = stat.split()
        return (int(fields[13]) + int(fields[14])) / TICKS_PER_S

    @property
    def peak_bytes(self) -> int:
        """Return the largest resident memory so far."""
        status = pathlib.Path(f"/proc/{self.pid}/status").read_text()
        return int(PEAK_KIB.search(status)[1]) * 1024

    @property
    def open_descriptors(self) -> int:
        """Return how many descriptors are open."""
        return len(os.listdir(f"/proc/{self.pid}/fd"))

    @property
    def queued_bytes(self) -> int:
        """Return what the kernel holds unsent and unread for its sockets."""
        inodes = set()
        for descriptor in pathlib.Path(f"/proc/{self.pid}/fd").iterdir():
            with contextlib.suppress(OSError):
                inodes.add(os.readlink(descriptor))
        queued = 0
        for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]:
            fields = line.split()
            if f"socket:[{fields[9]}]" in inodes:
                queued += sum(int(part, 16) for part in fields[4].split(":"))
        return queued

    @property
    def rss_mb(self) -> float:
        """Return the resident memory in MB."""
        pages = pathlib.Path(f"/proc/{self.pid}/statm").read_text().split()
        return int(pages[1]) * PAGE_BYTES / 1e6


class LocalFleet:
    """Processes of one deployment, with settings and logs in a folder.

    Args:
        folder: Folder for settings, data folders and logs.
        domains: Names of the failure domains.
        controls: Number of control processes.
        seeds_per_domain: Number of seeds in each failure domain.
        control_extra: Additional settings of control processes.
        proxy_extra: Additional settings of proxies.
        max_descriptors: Descriptors that each process may open; 0 for as
            many as this one.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        *,
        domains: list[str],
        controls: int = 3,
        seeds_per_domain: int = 2,
        control_extra: dict[str, typing.Any] | None = None,
        proxy_extra: dict[str, typing.Any] | None = None,
        max_descriptors: int = 0,
        with_pages: bool = False,
    ) -> None:
        self.folder = pathlib.Path(folder)
        self.folder.mkdir(parents=True, exist_ok=True)
        self.domains = domains
        self.seeds_per_domain = seeds_per_domain
        self.control_extra = control_extra or {}
        self.proxy_extra = proxy_extra or {}
        self.max_descriptors = max_descriptors
        self.control_kinds = ["peers", "admin"]
        self.proxy_kinds = ["callers", "peers", "admin"]
        if with_pages:
            self.control_kinds += ["metrics"]
            self.proxy_kinds += ["ready", "metrics"]
        self.members: dict[str, Member] = {}
        self.seeds: dict[str, dict[str, str]] = {d: {} for d in domains}
        self.control_names = [f"control{n + 1}" for n in range(controls)]
        self.host_count = 0
        self.control_ips = {
            name: self._new_ip() for name in self.control_names
        }
        self.control_ports = {
            name: self._new_ports(self.control_kinds, ip)
            for name, ip in self.control_ips.items()
        }
        self.last_number = 0

    @staticmethod
    def _new_ports(kinds: list[str], ip: str) -> dict[str, int]:
        """Return a free port of an address for each kind."""
        ports = loopback.free_ports(len(kinds), ip)
        return dict(zip(kinds, ports, strict=True))

    def _new_ip(self) -> str:
        self.host_count += 1
        return loopback.host_ip(self.host_count)

    @property
    def controls(self) -> dict[str, str]:
        """Return the peer addresses of the control processes by name."""
        return {
            name: f"{self.control_ips[name]}:{ports['peers']}"
            for name, ports in self.control_ports.items()
        }

    # Setup

    def add_controls(self) -> None:
        """Add the control processes and initialize their data folders."""
        for index, name in enumerate(self.control_names):
            ports = self.control_ports[name]
            ip = self.control_ips[name]
            settings = {
                "host": name,
                "domain": self.domains[index % len(self.domains)],
                "controls": self.controls,
                "voters": self.control_names,
                "data_folder": str(self.folder / f"{name}.data"),
            } | self.control_extra
            for kind, port in ports.items():
                settings[kind] = f"{ip}:{port}"
            path = self._write(name, settings)
            subprocess.run(
                _python("trefoil_daemon.main", "run_control", "init", path),
                check=True,
                stdout=subprocess.DEVNULL,
            )
            command = self._daemon("run_control", path)
            self.members[name] = Member(
                name, command, ports, settings["domain"], ip
            )

    def add_proxies(self, hosts: dict[str, str]) -> None:
        """Add proxies, the first ones of each domain as seeds.

        Args:
            hosts: Failure domains by name of the host.
        """
        for host, domain in hosts.items():
            ip = self._new_ip()
            ports = self._new_ports(self.proxy_kinds, ip)
            self.members[host] = Member(host, [], ports, domain, ip)
            if len(self.seeds[domain]) < self.seeds_per_domain:
                self.seeds[domain][host] = f"{ip}:{ports['peers']}"
        for host in hosts:
            self._configure_proxy(self.members[host])

    def _configure_proxy(self, member: Member) -> None:
        settings = {
            "host": member.name,
            "domain": member.domain,
            "controls": self.controls,
            "seeds": self.seeds[member.domain],
        } | self.proxy_extra
        for kind in member.ports:
            settings[kind] = member.address(kind)
        path = self._write(member.name, settings)
        member.command = self._daemon("run_proxy", path)

    def _daemon(self, function: str, path: str) -> list[str]:
        return _python(
            "trefoil_daemon.main",
            function,
            "run",
            path,
            max_descriptors=self.max_descriptors,
        )

    def add_target(
        self,
        name: str,
        host: str,
        *,
        service: str,
        version: str,
        slots: int = 12,
        resources: str = "",
        behave: dict[str, typing.Any] | None = None,
    ) -> None:
        """Add an emulated target on a host; see ``target.run``."""
        ip = self.members[host].ip
        port = loopback.free_ports(1, ip)[0]
        command = [
            sys.executable,
            "-m",
            "trefoil_emulator.target",
            f"--name={name}",
            f"--service={service}",
            f"--version={version}",
            f"--proxy={self.members[host].address('admin')}",
            f"--ip={ip}",
            f"--port={port}",
            f"--slots={slots}",
            f"--resources={resources},",
            f"--behave={json.dumps(behave or {})}",
        ]
        self.last_number += 1
        self.members[name] = Member(
            name, command, {"http": port}, self.members[host].domain, ip
        )

    def _write(self, name: str, settings: dict[str, typing.Any]) -> str:
        path = self.folder / f"{name}.yaml"
        path.write_text(yaml.safe_dump(settings), encoding="utf-8")
        return str(path)

    # Running

    def start(self, *names: str) -> None:
        """Start the named processes; all of them by default."""
        for name in names or list(self.members):
            member = self.members[name]
            log = open(self.folder / f"{name}.log", "ab")
            member.process = subprocess.Popen(
                member.command, stdout=log, stderr=log
            )
            log.close()

    def kill(self, *names: str) -> None:
        """Kill processes with SIGKILL, as in a crash."""
        for name in names:
            process = self.members[name].process
            process.kill()
            process.wait()

    def pause(self, name: str) -> None:
        """Suspend a process with SIGSTOP."""
        os.kill(self.members[name].pid, signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Resume a suspended process."""
        os.kill(self.members[name].pid, signal.SIGCONT)

    def terminate(self, name: str) -> None:
        """Send SIGTERM to a process."""
        self.members[name].process.terminate()

    def lose_disk(self, name: str) -> None:
        """Remove a control process's data folder."""
        shutil.rmtree(self.folder / f"{name}.data")

    def stop(self) -> None:
        """Kill all processes and wait for their exit."""
        running = [
            member.process
            for member in self.members.values()
            if member.process and member.process.poll() is None
        ]
        for process in running:
            process.kill()
        for process in running:
            process.wait(STOP_TIMEOUT_S)

    def __enter__(self) -> typing.Self:
        return self

    def __exit__(self, *failure: object) -> None:
        self.stop()

    # Requests

    def execute(
        self,
        text: str,
        *,
        at: str = "control1",
        document: str = "",
        number: str = "",
        operator: str = "tester",
        wait_s: float = 20.0,
    ) -> dict[str, typing.Any]:
        """Execute a line of the operator language at a process.

        Args:
            text: The line.
            at: Name of the process that receives it.
            document: Text of the document that the line refers to.
            number: Number that identifies the line; a new one by default.
            operator: Name of the operator.
            wait_s: Time limit in seconds.

        Returns:
            The answer.

        Raises:
            Unreachable: The process does not answer.
            Refused: The process refuses the line.
        """
        self.last_number += 1
        number = number or f"{int(time.time() * 1000)}-{self.last_number}"
        line = client.Line.from_number(text, number, operator, document)
        member = self.members[at]
        deadline = time.monotonic() + wait_s
        while True:
            try:
                operator_client = client.Client(member.address("admin"))
                return operator_client.send_and_wait(line, wait_s)
            except client.Unreachable:
                # Two of three control processes can elect a leader and
                # commit before the third one listens. The line keeps its
                # number, so it runs only once however often it is sent.
                is_running = member.process and member.process.poll() is None
                if not is_running or time.monotonic() >= deadline:
                    raise
            time.sleep(RETRY_INTERVAL_S)

    def try_execute(self, text: str, **options: typing.Any) -> typing.Any:
        """Execute a line; None if it is refused or nothing answers."""
        try:
            return self.execute(text, **options)
        except (client.Unreachable, client.Refused):
            return None

    def leader(self, names: typing.Iterable[str] = ()) -> str:
        """Return the name of the leader, or an empty string.

        Args:
            names: Control processes to query; all of them by default.
        """
        for name in names or self.control_names:
            answer = self.try_execute("show controls", at=name, wait_s=2)
            if not answer or not answer["confirmed"]:
                continue
            for row in answer["rows"]:
                if row["role"] == "leader":
                    return row["control"]
        return ""

    def wait_leader(self, within_s: float = 20.0) -> str:
        """Wait until there is a leader and return its name.

        Raises:
            WaitTimeout: There was none in time. The message has the state
                of each process, which distinguishes one that waits from one
                that got no CPU time.
        """
        try:
            return wait_for("a leader", self.leader, within_s)
        except WaitTimeout as error:
            states = "\n".join(self.states())
            raise WaitTimeout(f"{error}\n{states}") from error

    def states(self) -> list[str]:
        """Return a description of the state of each started process."""
        return [
            member.state(self.folder / f"{member.name}.log")
            for member in self.members.values()
            if member.process is not None
        ]

    def in_force(self, at: str = "control1") -> list[dict[str, typing.Any]]:
        """Return the reported revision in force by host."""
        answer = self.try_execute("in force by host", at=at)
        return answer["rows"] if answer else []

    def wait_ready(self, proxies: int, within_s: float = 30.0) -> None:
        """Wait until proxies report the newest configuration as in force.

        Args:
            proxies: How many proxies have to report it.
            within_s: Time limit in seconds.

        Raises:
            WaitTimeout: Too few proxies reported it in time.
        """
        wait_for(
            f"{proxies} proxies with a configuration",
            lambda: self._in_force_at(proxies),
            within_s,
        )

    def _in_force_at(self, proxies: int) -> bool:
        for name in self.control_names:
            answer = self.try_execute("in force", at=name, wait_s=2)
            if answer and answer["confirmed"]:
                rows = answer["rows"]
                return sum(row["in_force_at"] for row in rows) >= proxies
        return False

    def behave(self, target: str, **behaviour: typing.Any) -> None:
        """Change the behaviour of an emulated target."""
        http(
            f"http://{self.members[target].address('http')}/-/behave",
            method="PUT",
            body=json.dumps(behaviour).encode(),
        )

    def stats(self, target: str) -> dict[str, typing.Any]:
        """Return the counters of an emulated target."""
        url = f"http://{self.members[target].address('http')}/-/stats"
        return json.loads(http(url, timeout_s=STATS_TIMEOUT_S).body)

    def call(
        self, host: str, path: str, **options: typing.Any
    ) -> "HttpAnswer":
        """Send a caller's request to a proxy; see ``http`` for options."""
        address = self.members[host].address("callers")
        return http(f"http://{address}{path}", **options)

    def log(self, name: str) -> str:
        """Return the log of a process."""
        return (self.folder / f"{name}.log").read_text(errors="replace")


@dataclasses.dataclass(slots=True)
class HttpAnswer:
    """HTTP answer; a status of 0 means that no whole one was received."""

    status: int
    body: bytes = b""
    headers: dict[str, str] = dataclasses.field(default_factory=dict)


def http(
    url: str,
    *,
    method: str = "GET",
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 10.0,
) -> HttpAnswer:
    """Send an HTTP request and return the answer, whatever its status.

    One that is cut or no HTTP counts as none: its process may have been
    killed.
    """
    request = urllib.request.Request(
        url, data=body, method=method, headers=headers or {}
    )
    try:
        with urllib.request.urlopen(request, timeout=timeout_s) as answer:
            return HttpAnswer(
                answer.status, answer.read(), dict(answer.headers)
            )
    except urllib.error.HTTPError as error:
        return HttpAnswer(error.code, error.read(), dict(error.headers))
    except (OSError, http_client.HTTPException):
        return HttpAnswer(0)


def _python(
    module: str, function: str, *arguments: str, max_descriptors: int = 0
) -> list[str]:
    limit = ""
    if max_descriptors:
        limit = (
            "import resource; resource.setrlimit(resource.RLIMIT_NOFILE, "
            f"({max_descriptors}, {max_descriptors})); "
        )
    # The output shows whether a process stalled before, during or after
    # its imports.
    code = (
        f"{limit}"
        "print('loading', flush=True); "
        f"import {module} as main; "
        "print('loaded', flush=True); "
        f"main.{function}()"
    )
    return [sys.executable, "-c", code, *arguments]
