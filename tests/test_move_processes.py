"""Moves with real processes, their leader killed in the middle."""

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
RATE = 150.0
pytestmark = pytest.mark.processes


@pytest.fixture
def fleet(tmp_path) -> collections.abc.Iterator[fleets.LocalFleet]:
    """Three control processes, two proxies, v1 of tables on each."""
    made = fleets.LocalFleet(tmp_path, domains=["ariana", "manouba"])
    with made:
        made.add_controls()
        made.add_proxies(HOSTS)
        for host in HOSTS:
            _add(made, host, "v1", {})
        made.start()
        made.wait_leader()
        made.execute("apply matbakh.yaml", document=DOCUMENT)
        made.wait_ready(2)
        for host in HOSTS:
            fleets.wait_for(
                "targets", lambda: made.call(host, "/slots").status == 200
            )
        yield made


def _add(
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
def test_a_move_goes_on_when_its_leader_is_killed(
    fleet, behave, outcome
) -> None:
    """The leader dies a few seconds into a move.

    The next leader goes on from the agreed step: a good version has all
    traffic in time, a bad one is taken back and callers get the old one.
    """
    fleet.start(*[_add(fleet, host, "v2", behave) for host in HOSTS])
    answer = fleet.execute("move tables from v1 to v2 in 25s watch 4s")
    assert answer["outcome"] == "done"
    leader = fleet.leader()
    at = next(name for name in fleet.control_names if name != leader)
    addresses = [fleet.members[host].address("callers") for host in HOSTS]
    sender = load.Load(addresses, RATE)
    shapes = [load.RequestTemplate(path="/slots")]
    traffic = threading.Thread(
        target=lambda: asyncio.run(sender.run(40, shapes)), daemon=True
    )
    traffic.start()
    killer = threading.Timer(5, fleet.kill, [leader])
    killer.start()

    def ended() -> str:
        found = fleet.try_execute("is move of tables done", at=at, wait_s=2)
        row = found["rows"][0] if found else {}
        return (
            row.get("outcome", "") if row.get("outcome") != "running" else ""
        )

    assert fleets.wait_for("the outcome", ended, 60, 0.3) == outcome
    killer.join()
    steps = fleet.execute("explain tables", at=at)["rows"]
    assert steps[0]["what"].endswith("started")
    share = "v2=100%" if outcome == "done" else "v1=100%"
    rows = fleet.execute("show services", at=at)["rows"]
    assert share in [r["versions"] for r in rows if r["service"] == "tables"]


def test_an_operator_reverses_a_move(fleet) -> None:
    fleet.start(*[_add(fleet, host, "v2", {}) for host in HOSTS])
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
