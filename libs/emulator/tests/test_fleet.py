"""Ports and state descriptions of processes that a fleet starts."""

import pathlib
import subprocess
import sys
import typing

from trefoil_emulator import fleet as fleets


def start_member(code: str) -> fleets.Member:
    """Return a member whose process runs some code."""
    member = fleets.Member("one", [sys.executable, "-c", code], {})
    member.process = subprocess.Popen(member.command)
    return member


def test_state_of_a_waiting_process(tmp_path: pathlib.Path) -> None:
    """The state shows why a process that logs nothing does not proceed.

    Without it, a leader that is not elected in time cannot be diagnosed.
    """
    member = start_member("import time; time.sleep(60)")
    try:
        description = member.state(tmp_path / "one.log")
    finally:
        member.process.kill()
        member.process.wait()
    assert description.startswith("one: state ")
    assert description.endswith("s of CPU time, 0 bytes of log")


def test_state_of_an_exited_process(tmp_path: pathlib.Path) -> None:
    member = start_member("raise SystemExit(3)")
    member.process.wait()
    log = tmp_path / "one.log"
    log.write_text("why", encoding="utf-8")
    assert member.state(log) == "one: exited with 3, 3 bytes of log"


class RepeatingSocket:
    """A socket for which the kernel chooses each port twice."""

    ports = iter([5000, 5000, 5001, 5001, 5002])

    def __enter__(self) -> typing.Self:
        return self

    def __exit__(self, *details: object) -> None:
        """Ignore."""

    def bind(self, address: tuple[str, int]) -> None:
        """Record the IP address."""
        self.ip = address[0]

    def getsockname(self) -> tuple[str, int]:
        """Return the next address."""
        return self.ip, next(self.ports)


def test_no_two_processes_get_the_same_port(monkeypatch) -> None:
    """A target was given the port of its host's proxy and could not run."""
    monkeypatch.setattr(fleets.socket, "socket", RepeatingSocket)
    monkeypatch.setattr(fleets, "reserved_addresses", set())
    first = fleets.free_ports(1, "127.1.0.1")
    assert first + fleets.free_ports(2, "127.1.0.1") == [5000, 5001, 5002]
