"""Control processes that are killed, frozen and lose their disks."""

import collections.abc
import pathlib
import threading
import time

import pytest

from trefoil_cli import client
from trefoil_emulator import fleet as fleets

ROOT = pathlib.Path(__file__).parent.parent
DOCUMENT = (ROOT / "demo" / "matbakh.yaml").read_text(encoding="utf-8")
pytestmark = pytest.mark.processes


@pytest.fixture
def fleet(tmp_path) -> collections.abc.Iterator[fleets.LocalFleet]:
    """Three control processes and four proxies in two failure domains."""
    made = fleets.LocalFleet(
        tmp_path,
        domains=["ariana", "manouba"],
        control_extra={"snapshot_entries": 50},
    )
    with made:
        made.add_controls()
        made.add_proxies(
            {"h1": "ariana", "h2": "ariana", "h3": "manouba", "h4": "manouba"}
        )
        made.start()
        made.wait_leader()
        answer = made.execute("apply matbakh.yaml", document=DOCUMENT)
        assert answer["outcome"] == "done"
        made.wait_ready(4)
        yield made


def others(fleet: fleets.LocalFleet, *names: str) -> list[str]:
    """Return the control processes that are not named."""
    return [name for name in fleet.control_names if name not in names]


def change(fleet: fleets.LocalFleet, number: int, at: str) -> str:
    """Drain or undrain a host; return the outcome."""
    word = "drain" if number % 2 else "undrain"
    answer = fleet.execute(f"{word} h{number % 3 + 5}", at=at, wait_s=15)
    return answer["outcome"]


def revisions(fleet: fleets.LocalFleet, at: str) -> dict[str, int]:
    """Return what is in force at each host, as one process knows it."""
    return {row["host"]: row["revision"] for row in fleet.in_force(at)}


def test_the_leader_is_killed_amid_commands(fleet) -> None:
    """An operator sends commands while the leader dies.

    Some answers are lost with it. Sent again under its number, each command
    has one outcome, and none that was told "done" is lost.
    """
    leader = fleet.leader()
    at = others(fleet, leader)[0]
    killer = threading.Timer(0.3, fleet.kill, [leader])
    killer.start()
    told = {}
    for number in range(12):
        line = f"drain d{number}"
        name = f"{int(time.time() * 1000)}-{number}"
        answer = fleet.execute(line, at=at, number=name, wait_s=20)
        told[name] = (line, answer["outcome"])
    killer.join()
    assert {outcome for _, outcome in told.values()} == {"done"}
    for name, (line, outcome) in told.items():
        again = fleet.execute(line, at=at, number=name)
        assert again["outcome"] == outcome
    fleet.wait_ready(4)


def test_a_leader_is_frozen_and_wakes(fleet) -> None:
    """The leader is stopped for longer than its lease, then goes on.

    Meanwhile another leads and changes the configuration. The first must
    neither answer from its old state nor take any proxy back.
    """
    old = fleet.leader()
    at = others(fleet, old)[0]
    fleet.pause(old)
    fleets.wait_for("another leader", lambda: fleet.leader(others(fleet, old)))
    assert change(fleet, 1, at) == "done"
    # What only the frozen leader had heard reaches the next one once its
    # seeds have linked elsewhere; until then it names them "not heard from".
    fleets.wait_for(
        "all reports at the next leader",
        lambda: None not in revisions(fleet, at).values(),
    )
    before = revisions(fleet, at)
    assert len(before) == 4
    fleet.resume(old)
    answer = fleets.wait_for(
        "an answer",
        lambda: fleet.try_execute("in force by host", at=old, wait_s=5),
    )
    assert answer["confirmed"]
    woken = {row["host"]: row["revision"] for row in answer["rows"]}
    assert all(woken[h] >= before[h] for h in before if woken.get(h))
    assert change(fleet, 2, old) == "done"
    fleet.wait_ready(4)


def test_a_disk_is_lost_and_another_host_right_after(fleet) -> None:
    """A control process comes back without its data folder.

    It joins under a new identity, catches up and votes. Then another is
    killed: the repair was whole, so commands still run.
    """
    leader = fleet.leader()
    lost, second = others(fleet, leader)
    fleet.kill(lost)
    fleet.lose_disk(lost)
    assert change(fleet, 1, leader) == "done"
    fleet.start(lost)

    def repaired() -> bool:
        answer = fleet.try_execute("show controls", at=leader, wait_s=2)
        rows = answer["rows"] if answer else []
        found = [row for row in rows if row["control"] == lost]
        return (
            len(found) == 1
            and found[0]["role"] == "voter"
            and not found[0]["identity"].endswith("#first")
        )

    fleets.wait_for("the repair", repaired, 30)
    fleet.kill(second)
    assert change(fleet, 2, leader) == "done"
    assert "store.new_identity" in fleet.log(lost)


def test_all_are_killed_and_started_together(fleet) -> None:
    """Power goes in every host at once, after a hundred changes.

    The state comes back from snapshots and logs; the proxies, which forgot
    everything, come back to the same revision.
    """
    leader = fleet.leader()
    for number in range(100):
        assert change(fleet, number, leader) == "done"
    fleet.wait_ready(4)
    before = revisions(fleet, leader)
    names = list(fleet.members)
    fleet.kill(*names)
    fleet.start(*names)
    fleet.wait_leader()
    fleet.wait_ready(4)
    after = revisions(fleet, fleet.leader())
    assert all(after[host] >= before[host] for host in before)


def test_a_process_restarts_after_five_hundred_changes(fleet) -> None:
    """A control process is away while hundreds of changes go by."""
    leader = fleet.leader()
    away = others(fleet, leader)[0]
    fleet.kill(away)
    speaker = client.Client(fleet.members[leader].address("admin"))
    for number in range(500):
        word = "drain" if number % 2 else "undrain"
        now_ms = int(time.time() * 1000)
        line = client.Line(
            f"{word} h{number % 5 + 5}", f"{now_ms}-{number}", "ann", now_ms
        )
        assert speaker.settle(line, 10)["outcome"] == "done"
    fleet.start(away)

    def caught_up() -> bool:
        answer = fleet.try_execute("show controls", at=away, wait_s=2)
        return bool(answer and answer["confirmed"])

    fleets.wait_for("the restarted process", caught_up)
    fleet.kill(*others(fleet, leader, away))
    assert change(fleet, 1, leader) == "done"
    fleet.wait_ready(4)


def test_operators_race_with_equal_numbers(fleet) -> None:
    """Two operators send different commands under one number at once."""
    outcomes = {}

    def send(operator: str, at: str, line: str) -> None:
        answer = fleet.execute(line, at=at, number="77", operator=operator)
        outcomes[operator] = answer["outcome"]

    threads = [
        threading.Thread(target=send, args=args)
        for args in (
            ("ann", "control1", "drain x1"),
            ("ben", "control2", "drain x2"),
        )
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert sorted(outcomes.values()) == ["done", "not run"]


def test_a_proxy_that_restarts_in_a_cut_off_domain_serves_again(
    fleet,
) -> None:
    """All control hosts are away; a proxy restarts.

    The seeds of its failure domain vouch for the revision that it had.
    """
    before = revisions(fleet, "control1")["h1"]
    fleet.kill(*fleet.control_names)
    fleet.kill("h1")
    fleet.start("h1")
    fleets.wait_for(
        "the restarted proxy",
        lambda: f"event=config.in_force process=h1 revision={before}"
        in fleet.log("h1").rpartition("proxy.started")[2],
        30,
    )
