"""A fleet of real processes on loopback, for tests, benches and demos.

It stands outside the product: trefoilroute's own processes start none.
"""

import dataclasses
import itertools
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import time
import typing
import urllib.request

import yaml

from trefoil_cli import client

LOOPBACK = "127.0.0.1"
IPS_PER_BLOCK = 250
STOP_S = 10.0
SAY_AGAIN_S = 0.05
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


class NeverCame(Exception):
    """Something that was waited for did not come in time."""


def free_ports(count: int, ip: str) -> list[int]:
    """Return ports that the kernel has free at an address, all different."""
    socks = []
    for _ in range(count):
        sock = socket.socket()
        sock.bind((ip, 0))
        socks.append(sock)
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return ports


def host_ip(number: int) -> str:
    """Return a loopback address of its own for a host.

    Connections go out from 127.0.0.1. If hosts listened there too, the port
    that one was given could be taken by a connection before it starts.
    """
    block, place = divmod(number, IPS_PER_BLOCK)
    return f"127.1.{block}.{place + 1}"


def wait_for(
    what: str,
    condition: typing.Callable[[], typing.Any],
    within_s: float = 20.0,
    pause_s: float = 0.05,
) -> typing.Any:
    """Return what a condition gives once it holds.

    Raises:
        NeverCame: It did not hold in time; says how often it was asked for,
            and the longest pause between two times: a machine that stood
            still shows there.
    """
    asked_s = [time.monotonic()]
    until = asked_s[0] + within_s
    while True:
        found = condition()
        if found:
            return found
        asked_s.append(time.monotonic())
        if asked_s[-1] >= until:
            pauses = [b - a for a, b in itertools.pairwise(asked_s)]
            raise NeverCame(
                f"{what}: not within {within_s} s, asked {len(pauses)} times "
                f"with pauses of {max(pauses):.2f} s at most"
            )
        time.sleep(pause_s)


@dataclasses.dataclass(slots=True)
class Member:
    """One process of the fleet.

    Args:
        name: Its name.
        command: Its command line.
        ports: Its ports by what they are for.
        domain: Its failure domain.
        ip: Address of its host.
    """

    name: str
    command: list[str]
    ports: dict[str, int]
    domain: str = ""
    ip: str = LOOPBACK
    process: subprocess.Popen | None = None

    def state(self, log: pathlib.Path) -> str:
        """Return what the process is doing, as the kernel tells it.

        Args:
            log: Where it writes.
        """
        written = log.stat().st_size if log.exists() else 0
        ended = self.process.poll()
        if ended is not None:
            return f"{self.name}: ended with {ended}, {written} bytes of log"
        proc = pathlib.Path("/proc") / str(self.process.pid)
        # After the name in brackets, which may hold spaces.
        fields = (proc / "stat").read_text().rpartition(")")[2].split()
        ticks = int(fields[11]) + int(fields[12])
        used_s = ticks / os.sysconf("SC_CLK_TCK")
        waits_in = (proc / "wchan").read_text() or "?"
        return (
            f"{self.name}: state {fields[0]} in {waits_in}, "
            f"{used_s:.2f} s of processor time, {written} bytes of log"
        )

    def address(self, port: str) -> str:
        """Return the address of one of its ports."""
        return f"{self.ip}:{self.ports[port]}"

    @property
    def pid(self) -> int:
        """Return its process id."""
        return self.process.pid

    @property
    def cpu_s(self) -> float:
        """Return its processor time in seconds."""
        stat = pathlib.Path(f"/proc/{self.pid}/stat").read_text()
        fields = stat.split()
        return (int(fields[13]) + int(fields[14])) / TICKS_PER_S

    @property
    def rss_mb(self) -> float:
        """Return its resident memory in MB."""
        pages = pathlib.Path(f"/proc/{self.pid}/statm").read_text().split()
        return int(pages[1]) * PAGE_BYTES / 1e6


class LocalFleet:
    """Processes of one deployment, their settings and logs in a folder.

    Args:
        folder: Where settings, data folders and logs go.
        domains: Names of the failure domains.
        controls: How many control processes.
        seeds_per_domain: How many proxies of a domain are its seeds.
        control_extra: More settings of control processes.
        proxy_extra: More settings of proxies.
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
    ) -> None:
        self.folder = pathlib.Path(folder)
        self.folder.mkdir(parents=True, exist_ok=True)
        self.domains = domains
        self.seeds_per_domain = seeds_per_domain
        self.control_extra = control_extra or {}
        self.proxy_extra = proxy_extra or {}
        self.members: dict[str, Member] = {}
        self.seeds: dict[str, dict[str, str]] = {d: {} for d in domains}
        self.control_names = [f"control{n + 1}" for n in range(controls)]
        self.hosts = 0
        self.control_ips = {
            name: self._new_ip() for name in self.control_names
        }
        self.control_ports = {
            name: dict(zip(("peers", "admin"), free_ports(2, ip)))
            for name, ip in self.control_ips.items()
        }
        self.numbers = 0

    def _new_ip(self) -> str:
        self.hosts += 1
        return host_ip(self.hosts)

    @property
    def controls(self) -> dict[str, str]:
        """Return the control processes' addresses."""
        return {
            name: f"{self.control_ips[name]}:{ports['peers']}"
            for name, ports in self.control_ports.items()
        }

    # Building

    def add_controls(self) -> None:
        """Write the control processes' settings and prepare their data."""
        for at, name in enumerate(self.control_names):
            ports = self.control_ports[name]
            ip = self.control_ips[name]
            settings = {
                "host": name,
                "domain": self.domains[at % len(self.domains)],
                "peers": f"{ip}:{ports['peers']}",
                "admin": f"{ip}:{ports['admin']}",
                "controls": self.controls,
                "voters": self.control_names,
                "data_folder": str(self.folder / f"{name}.data"),
            } | self.control_extra
            path = self._write(name, settings)
            subprocess.run(
                _python("trefoil_daemon.main", "run_control", "init", path),
                check=True,
                stdout=subprocess.DEVNULL,
            )
            command = _python(
                "trefoil_daemon.main", "run_control", "run", path
            )
            self.members[name] = Member(
                name, command, ports, settings["domain"], ip
            )

    def add_proxies(self, hosts: dict[str, str]) -> None:
        """Write the settings of proxies.

        Args:
            hosts: Failure domain of each host by name.
        """
        kinds = ("callers", "peers", "admin")
        for host, domain in hosts.items():
            ip = self._new_ip()
            ports = dict(zip(kinds, free_ports(3, ip), strict=True))
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
        member.command = _python(
            "trefoil_daemon.main", "run_proxy", "run", path
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
        """Add a stand-in target on a host."""
        ip = self.members[host].ip
        port = free_ports(1, ip)[0]
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
        self.numbers += 1
        self.members[name] = Member(
            name, command, {"http": port}, self.members[host].domain, ip
        )

    def _write(self, name: str, settings: dict[str, typing.Any]) -> str:
        path = self.folder / f"{name}.yaml"
        path.write_text(yaml.safe_dump(settings), encoding="utf-8")
        return str(path)

    # Running

    def start(self, *names: str) -> None:
        """Start processes, all of them by default."""
        for name in names or list(self.members):
            member = self.members[name]
            log = open(self.folder / f"{name}.log", "ab")
            member.process = subprocess.Popen(
                member.command, stdout=log, stderr=log
            )
            log.close()

    def kill(self, *names: str) -> None:
        """Kill processes as a crash would."""
        for name in names:
            process = self.members[name].process
            process.kill()
            process.wait()

    def freeze(self, name: str) -> None:
        """Stop a process without ending it."""
        os.kill(self.members[name].pid, signal.SIGSTOP)

    def thaw(self, name: str) -> None:
        """Let a frozen process go on."""
        os.kill(self.members[name].pid, signal.SIGCONT)

    def terminate(self, name: str) -> None:
        """Ask a process to end."""
        self.members[name].process.terminate()

    def lose_disk(self, name: str) -> None:
        """Remove a control process's data folder."""
        shutil.rmtree(self.folder / f"{name}.data")

    def stop(self) -> None:
        """End every process."""
        running = [
            member.process
            for member in self.members.values()
            if member.process and member.process.poll() is None
        ]
        for process in running:
            process.kill()
        for process in running:
            process.wait(STOP_S)

    def __enter__(self) -> typing.Self:
        return self

    def __exit__(self, *failure: object) -> None:
        self.stop()

    # Speaking to it

    def say(
        self,
        text: str,
        *,
        at: str = "control1",
        document: str = "",
        number: str = "",
        operator: str = "tester",
        wait_s: float = 20.0,
    ) -> dict[str, typing.Any]:
        """Say a line of the operators' language to a process."""
        self.numbers += 1
        number = number or f"{int(time.time() * 1000)}-{self.numbers}"
        line = client.Line.from_number(text, number, operator, document)
        member = self.members[at]
        until = time.monotonic() + wait_s
        while True:
            try:
                speaker = client.Client(member.address("admin"))
                return speaker.send_and_wait(line, wait_s)
            except client.Unreachable:
                # Two of three control processes may lead and agree before
                # the third has opened its port. The line keeps its number,
                # so it runs once however often it is said.
                starting = member.process and member.process.poll() is None
                if not starting or time.monotonic() >= until:
                    raise
            time.sleep(SAY_AGAIN_S)

    def try_say(self, text: str, **options: typing.Any) -> typing.Any:
        """Say a line; None if nothing answers."""
        try:
            return self.say(text, **options)
        except (client.Unreachable, client.Refused):
            return None

    def leader(self, among: typing.Iterable[str] = ()) -> str:
        """Return the name of the control process that leads, or nothing."""
        for name in among or self.control_names:
            answer = self.try_say("show controls", at=name, wait_s=2)
            if not answer or not answer["confirmed"]:
                continue
            for row in answer["rows"]:
                if row["role"] == "leader":
                    return row["control"]
        return ""

    def wait_leader(self, within_s: float = 20.0) -> str:
        """Return the control process that leads, once one does.

        Raises:
            NeverCame: None did in time; says what each process was doing,
                which tells one that waits from one that got no processor.
        """
        try:
            return wait_for("a leader", self.leader, within_s)
        except NeverCame as error:
            states = "\n".join(self.states())
            raise NeverCame(f"{error}\n{states}") from error

    def states(self) -> list[str]:
        """Return a line on each started process: state, time used, log."""
        return [
            member.state(self.folder / f"{member.name}.log")
            for member in self.members.values()
            if member.process is not None
        ]

    def in_force(self, at: str = "control1") -> list[dict[str, typing.Any]]:
        """Return what is in force at each host, as reported."""
        answer = self.try_say("in force by host", at=at)
        return answer["rows"] if answer else []

    def wait_ready(self, proxies: int, within_s: float = 30.0) -> None:
        """Wait until some proxies report the newest configuration."""
        wait_for(
            f"{proxies} proxies with a configuration",
            lambda: self._in_force_at(proxies),
            within_s,
        )

    def _in_force_at(self, proxies: int) -> bool:
        for name in self.control_names:
            answer = self.try_say("in force", at=name, wait_s=2)
            if answer and answer["confirmed"]:
                rows = answer["rows"]
                return sum(row["in_force_at"] for row in rows) >= proxies
        return False

    def behave(self, target: str, **behaviour: typing.Any) -> None:
        """Tell a stand-in target how to behave from now on."""
        http(
            f"http://{self.members[target].address('http')}/-/behave",
            method="PUT",
            body=json.dumps(behaviour).encode(),
        )

    def stats(self, target: str) -> dict[str, typing.Any]:
        """Return what a stand-in target counted."""
        address = self.members[target].address("http")
        return json.loads(http(f"http://{address}/-/stats").body)

    def call(
        self, host: str, path: str, **options: typing.Any
    ) -> "HttpAnswer":
        """Send a caller's request to a proxy."""
        address = self.members[host].address("callers")
        return http(f"http://{address}{path}", **options)

    def log(self, name: str) -> str:
        """Return a process's log."""
        return (self.folder / f"{name}.log").read_text(errors="replace")


@dataclasses.dataclass(slots=True)
class HttpAnswer:
    """An HTTP answer; status 0 if none came."""

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
    """Send one HTTP request and return its answer, whatever its status."""
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
    except OSError:
        return HttpAnswer(0)


def _python(module: str, function: str, *arguments: str) -> list[str]:
    # A process that writes nothing more was stopped by its imports, or later.
    code = (
        "print('loading', flush=True); "
        f"import {module} as main; "
        "print('loaded', flush=True); "
        f"main.{function}()"
    )
    return [sys.executable, "-c", code, *arguments]
