"""A proxy leaves while its callers wait, send ahead or read slowly."""

import collections.abc
import concurrent.futures
import contextlib
import http.client
import time

import pytest

from trefoil_emulator import eager_caller
from trefoil_emulator import fleet as fleets

DOCUMENT = """
services: [{name: files, version: v1}]
routes:
  - {name: files, prefix: /files, service: files, tenant: t, timeout: 20s,
     repeat: any}
  - {name: orders, prefix: /orders, service: files, tenant: t, timeout: 20s,
     repeat: once}
"""
HOSTS = ("h1", "h2")
OUTCOME_UNKNOWN = 504
pytestmark = pytest.mark.processes


@pytest.fixture
def fleet(tmp_path) -> collections.abc.Iterator[fleets.LocalFleet]:
    """One control process and two proxies, each with a target of two slots."""
    local_fleet = fleets.LocalFleet(
        tmp_path,
        domains=["d"],
        controls=1,
        proxy_extra={"linger": "1s", "grace": "6s"},
    )
    with local_fleet:
        local_fleet.add_controls()
        local_fleet.add_proxies(dict.fromkeys(HOSTS, "d"))
        for host in HOSTS:
            local_fleet.add_target(
                f"t-{host}", host, service="files", version="v1", slots=2
            )
        local_fleet.start()
        local_fleet.wait_leader()
        local_fleet.execute("apply files.yaml", document=DOCUMENT)
        local_fleet.wait_ready(2)
        fleets.wait_for("both targets", lambda: _serves_both(local_fleet))
        yield local_fleet


def _serves_both(fleet: fleets.LocalFleet) -> bool:
    """Return whether h1 knows both targets."""
    answer = fleet.try_execute("show targets")
    served = fleet.call("h1", "/files/warm-up").status == 200
    return served and answer is not None and len(answer["rows"]) == 2


def runs(fleet: fleets.LocalFleet) -> set[str]:
    """Return the names of the requests that a target has run."""
    return {
        name for host in HOSTS for name in fleet.stats(f"t-{host}")["runs"]
    }


def wait_for_exit(fleet: fleets.LocalFleet, name: str) -> None:
    """Wait until a process has ended."""
    process = fleet.members[name].process
    fleets.wait_for("the exit", lambda: process.poll() is not None)


@pytest.mark.parametrize("path", ["/files", "/orders"])
def test_no_request_that_waits_for_a_slot_is_left_without_an_answer(
    fleet, path: str
) -> None:
    """Callers who waited when a proxy left got a closed connection."""
    for host in HOSTS:
        fleet.behave(f"t-{host}", delay_ms=3500, jitter=0)
    # More than the targets can run within the time limit of their route.
    names = [f"n{number}" for number in range(32)]
    with concurrent.futures.ThreadPoolExecutor(len(names)) as pool:
        jobs = [
            pool.submit(
                fleet.call,
                "h1",
                f"{path}/{name}",
                headers={"X-Request-Name": name},
                timeout_s=30,
            )
            for name in names
        ]
        fleets.wait_for("four runs", lambda: len(runs(fleet)) >= 4)
        fleet.terminate("h1")
        answers = dict(zip(names, (job.result() for job in jobs)))
    wait_for_exit(fleet, "h1")
    statuses = {name: answer.status for name, answer in answers.items()}
    assert set(statuses.values()) <= {200, 503, OUTCOME_UNKNOWN}
    refused = {name for name, status in statuses.items() if status == 503}
    assert refused
    assert not refused & runs(fleet)
    assert all("Retry-After" in answers[name].headers for name in refused)


def test_no_answer_is_lost_by_a_reset_behind_requests_sent_ahead(
    fleet,
) -> None:
    """Callers who send ahead and read slowly lost whole answers."""
    for host in HOSTS:
        fleet.behave(f"t-{host}", delay_ms=20, jitter=0, padding_bytes=40_000)
    address = fleet.members["h1"].address("callers")
    callers = [
        eager_caller.EagerCaller(
            f"c{number}",
            address,
            "/files",
            ahead=ahead,
            bytes_per_s=bytes_per_s,
        )
        for number, (ahead, bytes_per_s) in enumerate(
            [(2, 0), (8, 0), (2, 80_000), (4, 80_000)]
        )
    ]
    fleets.wait_for("answers", lambda: all(c.answers for c in callers))
    fleet.terminate("h1")
    wait_for_exit(fleet, "h1")
    for caller in callers:
        caller.join(within_s=20)
    ran = runs(fleet)
    for caller in callers:
        served = [a for a in caller.answers if a.status == 200]
        assert all(a.path == f"/files/{a.name}" for a in served)
        unanswered = set(caller.sent) & ran - {a.name for a in caller.answers}
        assert not unanswered, caller.name


class KeptConnection:
    """A connection that has served a request and is used once more.

    Attributes:
        status: Status of the second answer; 0 if none came.
    """

    def __init__(self, name: str, address: str, path: str) -> None:
        self.name = name
        self.path = path
        self.status = 0
        self.connection = http.client.HTTPConnection(address, timeout=20)
        self._ask("/files/warm-up", f"{name}-first")

    def send(self, after_s: float) -> None:
        """Send the second request some time from now."""
        time.sleep(after_s)
        with contextlib.suppress(OSError, http.client.HTTPException):
            self.status = self._ask(f"{self.path}/{self.name}", self.name)

    def _ask(self, path: str, name: str) -> int:
        connection = self.connection
        # It would open another connection by itself.
        connection.auto_open = connection.sock is None
        connection.request("POST", path, headers={"X-Request-Name": name})
        response = connection.getresponse()
        response.read()
        return response.status


@pytest.mark.parametrize("changes", [False, True])
def test_no_request_late_in_the_grace_is_cut_without_an_answer(
    fleet, changes: bool
) -> None:
    """What came late was passed on, and cut when the proxy exited."""
    address = fleet.members["h1"].address("callers")
    paths = ["/orders", "/files"]
    kept = [
        KeptConnection(f"k{number}", address, paths[number % 2])
        for number in range(48)
    ]
    for host in HOSTS:
        fleet.behave(f"t-{host}", delay_ms=1200, jitter=0.9)
    fleet.terminate("h1")
    with concurrent.futures.ThreadPoolExecutor(len(kept)) as pool:
        for number, connection in enumerate(kept):
            pool.submit(connection.send, number * 0.13)
        for version in range(8 if changes else 0):
            timeout_s = 20 + version
            document = DOCUMENT.replace("20s", f"{timeout_s}s")
            fleet.execute(f"apply files-{version}.yaml", document=document)
            time.sleep(0.6)
    wait_for_exit(fleet, "h1")
    ran = runs(fleet)
    by_name = {connection.name: connection.status for connection in kept}
    refused = {name for name, status in by_name.items() if status == 503}
    cut = {name for name, status in by_name.items() if not status}
    assert set(by_name.values()) <= {0, 200, 503, OUTCOME_UNKNOWN}
    # Some came in time and some too late, or nothing was tried.
    assert 200 in by_name.values()
    assert refused | cut
    assert not (refused | cut) & ran
