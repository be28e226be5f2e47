"""Moves with real processes: the leader is killed, a move is reversed."""

import asyncio
import collections.abc
import pathlib
import threading
import typing

import pytest

from trefoil_emulator import fleet as fleets
from trefoil_emulator import load

ROOT = pathlib.Path(__file__).parent.parent
DOCUMENT = (ROOT / "demo" / "matbakh.yaml").read_text(encoding="utf-8")
HOSTS = {"h1": "ariana", "h2": "manouba"}
REQUESTS_PER_S = 150.0
pytestmark = pytest.mark.processes


@pytest.fixture
def fleet(tmp_path) -> collections.abc.Iterator[fleets.LocalFleet]:
    """Three control processes and two proxies, each with a target of v1."""
    local_fleet = fleets.LocalFleet(tmp_path, domains=["ariana", "manouba"])
    with local_fleet:
        local_fleet.add_controls()
        local_fleet.add_proxies(HOSTS)
        for host in HOSTS:
            _add_target(local_fleet, host, "v1", {})
        local_fleet.start()
        local_fleet.wait_leader()
        local_fleet.execute("apply matbakh.yaml", document=DOCUMENT)
        local_fleet.wait_ready(2)
        for host in HOSTS:
            fleets.wait_for(
                "targets",
                lambda: local_fleet.call(host, "/slots").status == 200,
            )
        yield local_fleet


def _add_target(
    fleet: fleets.LocalFleet,
    host: str,
    version: str,
    behave: dict[str, typing.Any],
) -> str:
    name = f"t-{version}-{host}"
    fleet.add_target(
        name,
        host,
        service="tables",
        version=version,
        resources="listings,payments",
        behave=behave,
    )
    return name


@pytest.mark.parametrize(
    ("behave", "outcome"), [({}, "done"), ({"fail_share": 0.3}, "taken back")]
)
def test_a_move_continues_after_its_leader_is_killed(
    fleet, behave, outcome
) -> None:
    """The leader is killed a few seconds into a move.

    The next leader must continue from the agreed step. A good version gets
    all traffic in time; a faulty one is taken back.
    """
    fleet.start(*[_add_target(fleet, host, "v2", behave) for host in HOSTS])
    answer = fleet.execute("move tables from v1 to v2 in 25s watch 4s")
    assert answer["outcome"] == "done"
    leader = fleet.leader()
    at = next(name for name in fleet.control_names if name != leader)
    addresses = [fleet.members[host].address("callers") for host in HOSTS]
    generator = load.Load(addresses, REQUESTS_PER_S)
    shapes = [load.RequestTemplate(path="/slots")]
    traffic = threading.Thread(
        target=lambda: asyncio.run(generator.run(40, shapes)), daemon=True
    )
    traffic.start()
    kill_timer = threading.Timer(5, fleet.kill, [leader])
    kill_timer.start()

    def final_outcome() -> str:
        answer = fleet.try_execute("is move of tables done", at=at, wait_s=2)
        row = answer["rows"][0] if answer else {}
        return (
            row.get("outcome", "") if row.get("outcome") != "running" else ""
        )

    assert fleets.wait_for("the outcome", final_outcome, 60, 0.3) == outcome
    kill_timer.join()
    steps = fleet.execute("explain tables", at=at)["rows"]
    assert steps[0]["what"].endswith("started")
    share = "v2=100%" if outcome == "done" else "v1=100%"
    rows = fleet.execute("show services", at=at)["rows"]
    assert share in [r["versions"] for r in rows if r["service"] == "tables"]


def test_an_operator_reverses_a_move(fleet) -> None:
    fleet.start(*[_add_target(fleet, host, "v2", {}) for host in HOSTS])
    fleet.execute("move tables from v1 to v2 in 60s")
    fleets.wait_for(
        "the first step",
        lambda: "trial"
        in str(fleet.execute("show moves tables")["rows"][0]["phase"]),
    )
    assert fleet.execute("reverse tables")["outcome"] == "done"
    row = fleet.execute("is move of tables done")["rows"][0]
    assert (row["outcome"], row["reason"]) == (
        "taken back",
        "reversed by tester",
    )
