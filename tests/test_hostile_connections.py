"""Clients that hold connections and say little or nothing on them."""

import collections.abc

import pytest

from trefoil_emulator import fleet as fleets
from trefoil_emulator import hostile_crowd
from trefoil_wire import frames
from trefoil_wire import messages

DOCUMENT = """
services: [{name: near, version: v1}]
routes:
  - {name: near, prefix: /near, service: near, tenant: t, timeout: 5s,
     repeat: any}
"""
MAX_DESCRIPTORS = 256
# The share that a host leaves to its processes, 3,900 of 4,100.
BOUND = MAX_DESCRIPTORS * 3900 // 4100
CROWD = 300
HELLO = frames.encode(
    messages.Hello("stranger", "d", "127.0.0.1:1", 1, False, 0, False)
)
pytestmark = pytest.mark.processes


@pytest.fixture
def fleet(tmp_path) -> collections.abc.Iterator[fleets.LocalFleet]:
    """One control process, two proxies and a target at the first one."""
    with fleets.LocalFleet(
        tmp_path,
        domains=["d"],
        controls=1,
        seeds_per_domain=1,
        max_descriptors=MAX_DESCRIPTORS,
        with_pages=True,
    ) as local_fleet:
        local_fleet.add_controls()
        local_fleet.add_proxies({"near": "d", "far": "d"})
        local_fleet.add_target("t", "near", service="near", version="v1")
        local_fleet.start()
        local_fleet.wait_leader()
        local_fleet.execute("apply x.yaml", document=DOCUMENT)
        local_fleet.wait_ready(2)
        wait_until_served(local_fleet, "near")
        wait_until_served(local_fleet, "far")
        yield local_fleet


def wait_until_served(fleet: fleets.LocalFleet, host: str) -> None:
    """Wait until a proxy answers an ordinary caller."""
    fleets.wait_for(
        f"an ordinary answer at {host}",
        lambda: fleet.call(host, "/near").status == 200,
    )


def check(fleet: fleets.LocalFleet, name: str, port: str) -> None:
    """Check that an address is served and that the processes live."""
    if port == "peers":
        # The connections that it had before would hide what it can't open.
        fleet.kill("far")
        fleet.start("far")
        wait_until_served(fleet, "far")
    else:
        address = fleet.members[name].address(port)
        paths = {"callers": "/near", "admin": "/v1/health"}
        url = f"http://{address}{paths.get(port, '/metrics')}"
        fleets.wait_for(
            f"an ordinary answer from {port}",
            lambda: fleets.http(url).status == 200,
        )
    wait_until_served(fleet, "near")
    fleets.wait_for("an answer to an operator", fleet.leader)
    for member in fleet.members.values():
        assert member.process.poll() is None, member.name
        assert member.open_descriptors < BOUND, member.name


@pytest.mark.parametrize("first", [b"", b"G"], ids=["silent", "begun"])
@pytest.mark.parametrize(
    ("name", "port"),
    [
        ("near", "callers"),
        ("near", "admin"),
        ("near", "ready"),
        ("near", "metrics"),
        ("near", "peers"),
        ("control1", "admin"),
        ("control1", "metrics"),
        ("control1", "peers"),
    ],
)
def test_silent_connections_keep_nobody_out(
    fleet, name: str, port: str, first: bytes
) -> None:
    """Those who came first kept all others out for as long as they stayed."""
    address = fleet.members[name].address(port)
    scripts = [hostile_crowd.Script(first)] * CROWD
    with hostile_crowd.Crowd(address, scripts):
        check(fleet, name, port)


@pytest.mark.parametrize(
    ("name", "port", "path"),
    [
        ("near", "callers", "/near"),
        ("near", "admin", "/v1/health"),
        ("near", "ready", "/"),
        ("near", "metrics", "/metrics"),
        ("control1", "admin", "/v1/health"),
        ("control1", "metrics", "/metrics"),
    ],
)
def test_idle_connections_keep_nobody_out(
    fleet, name: str, port: str, path: str
) -> None:
    """Callers who were answered once and stayed kept all others out."""
    address = fleet.members[name].address(port)
    request = hostile_crowd.head(path, method="GET")
    with hostile_crowd.Crowd(address, [hostile_crowd.Script(request)] * CROWD):
        check(fleet, name, port)


@pytest.mark.parametrize("name", ["near", "control1"])
def test_greeted_connections_keep_nobody_out(fleet, name: str) -> None:
    """Strangers who greeted and stayed kept the other processes out."""
    address = fleet.members[name].address("peers")
    with hostile_crowd.Crowd(address, [hostile_crowd.Script(HELLO)] * CROWD):
        check(fleet, name, "peers")
