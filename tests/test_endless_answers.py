"""Targets in trouble answer without end; all others are served meanwhile."""

import asyncio
import collections.abc
import socket
import threading
import time

import pytest

from trefoil_emulator import endless_target
from trefoil_emulator import fleet as fleets
from trefoil_emulator import load

DOCUMENT = """
services:
  - {name: tables, version: v1}
  - {name: troubled, version: v1}
routes:
  - {name: sound, prefix: /sound, service: tables, tenant: t, timeout: 5s,
     repeat: any}
  - {name: endless, prefix: /endless, service: troubled, tenant: t,
     timeout: 2s, repeat: once}
  - {name: patient, prefix: /patient, service: troubled, tenant: t,
     timeout: 10m, repeat: once}
"""
TROUBLED = "t-troubled"
CALLS = 8
# A proxy may hold 32 MiB of incomplete answers beside what it needs itself.
MAX_RSS_MB = 150
pytestmark = pytest.mark.processes


@pytest.fixture(scope="module")
def fleet(
    tmp_path_factory,
) -> collections.abc.Iterator[fleets.LocalFleet]:
    """One control process and two proxies with a sound target each."""
    folder = tmp_path_factory.mktemp("endless")
    with fleets.LocalFleet(folder, domains=["d"], controls=1) as local_fleet:
        local_fleet.add_controls()
        local_fleet.add_proxies({"near": "d", "far": "d"})
        for host in ("near", "far"):
            local_fleet.add_target(
                f"t-{host}", host, service="tables", version="v1"
            )
        local_fleet.start()
        local_fleet.wait_leader()
        local_fleet.execute("apply x.yaml", document=DOCUMENT)
        local_fleet.wait_ready(2)
        for host in ("near", "far"):
            fleets.wait_for(
                "the sound targets",
                lambda: local_fleet.call(host, "/sound").status == 200,
            )
        yield local_fleet


class Troubled:
    """A target in trouble beside the proxy ``near``, and its announcements."""

    def __init__(
        self, fleet: fleets.LocalFleet, name: str, pause_s: float
    ) -> None:
        near = fleet.members["near"]
        self.url = f"http://{near.address('admin')}/v1/targets/{TROUBLED}"
        ip = near.address("callers").partition(":")[0]
        answer = endless_target.ANSWERS[name]
        self.target = endless_target.EndlessTarget(ip, answer, pause_s)
        self.left = threading.Event()
        self.announcing = threading.Thread(target=self._announce, daemon=True)
        self.announcing.start()

    def _announce(self) -> None:
        body = (
            '{"service": "troubled", "version": "v1", "slots": 12, '
            f'"port": {self.target.port}}}'
        )
        while not self.left.is_set():
            fleets.http(self.url, method="PUT", body=body.encode())
            self.left.wait(0.5)

    def __enter__(self) -> endless_target.EndlessTarget:
        return self.target

    def __exit__(self, *failure: object) -> None:
        self.left.set()
        self.announcing.join()
        fleets.http(self.url, method="DELETE")
        self.target.close()


def call_in_parallel(
    fleet: fleets.LocalFleet, host: str
) -> list[fleets.HttpAnswer]:
    """Return the answers to calls of the troubled target."""
    answers: list[fleets.HttpAnswer] = []

    def call() -> None:
        answers.append(fleet.call(host, "/endless", method="POST"))

    threads = [threading.Thread(target=call) for _ in range(CALLS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return answers


def wait_until_known(fleet: fleets.LocalFleet, host: str) -> None:
    """Wait until a proxy sends requests to the troubled target."""
    fleets.wait_for(
        "the troubled target",
        lambda: fleet.call(host, "/endless", method="POST").status != 503,
    )


@pytest.mark.parametrize("host", ["near", "far"])
@pytest.mark.parametrize("name", endless_target.ANSWERS)
def test_bytes_without_end_harm_only_their_own_callers(
    fleet, name: str, host: str
) -> None:
    """A proxy read on for as long as they came, and served nobody else."""
    with Troubled(fleet, name, 0) as target:
        wait_until_known(fleet, host)
        statuses, others = call_beside_others(fleet, host)
        # Chunks of 64 bytes are read so slowly that the time limit ends them.
        assert set(statuses) <= {502, 504 if "64" in name else 502}
        assert others == {200}
        fleets.wait_for(
            "the proxy to close", lambda: target.closed == target.requests
        )
    assert fleet.members["near"].rss_mb < MAX_RSS_MB


@pytest.mark.parametrize(
    "name", ["a head line", "a body without a length", "chunks of one byte"]
)
def test_drips_without_end_end_at_the_time_limit(fleet, name: str) -> None:
    """Their caller gets a true answer, and the proxy closes."""
    with Troubled(fleet, name, 0.05) as target:
        wait_until_known(fleet, "far")
        statuses, others = call_beside_others(fleet, "far")
        assert statuses == [504] * CALLS
        assert others == {200}
        fleets.wait_for(
            "the proxy to close", lambda: target.closed == target.requests
        )
    assert fleet.members["near"].rss_mb < MAX_RSS_MB


def call_and_leave(fleet: fleets.LocalFleet, host: str) -> socket.socket:
    """Return a connection whose request waits for the troubled target."""
    address, _, port = fleet.members[host].address("callers").rpartition(":")
    connection = socket.create_connection((address, int(port)))
    connection.sendall(b"POST /patient HTTP/1.1\r\nHost: h\r\n\r\n")
    return connection


@pytest.mark.parametrize("host", ["near", "far"])
@pytest.mark.parametrize(
    "name", ["a head line", "a body without a length", "chunks of one byte"]
)
def test_drips_without_end_end_when_their_callers_leave(
    fleet, name: str, host: str
) -> None:
    """The proxy read on for callers that were gone, and kept it all."""
    with Troubled(fleet, name, 0.05) as target:
        wait_until_known(fleet, host)
        before = target.requests
        callers = [call_and_leave(fleet, host) for _ in range(CALLS)]
        fleets.wait_for(
            "the requests", lambda: target.requests == before + CALLS
        )
        for caller in callers:
            caller.close()
        fleets.wait_for(
            "the proxy to close", lambda: target.closed == target.requests
        )
        assert fleet.call(host, "/sound").status == 200
    assert fleet.members["near"].rss_mb < MAX_RSS_MB


def call_beside_others(
    fleet: fleets.LocalFleet, host: str
) -> tuple[list[int], set[int]]:
    """Return the statuses of troubled calls, and of others meanwhile."""
    address = fleet.members["near"].address("callers")
    others = load.Load([address], 50, timeout_s=10.0)
    sending = threading.Thread(
        target=lambda: asyncio.run(
            others.run(2.5, [load.RequestTemplate(path="/sound")])
        )
    )
    sending.start()
    time.sleep(0.2)
    answers = call_in_parallel(fleet, host)
    sending.join()
    assert all(b"not-run" not in outcome_of(answer) for answer in answers)
    return (
        [answer.status for answer in answers],
        {sample.status for sample in others.samples},
    )


def outcome_of(answer: fleets.HttpAnswer) -> bytes:
    """Return what a proxy's own answer states about its request."""
    return answer.headers.get("X-Trefoil-Outcome", "").encode()
