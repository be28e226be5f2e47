"""Control processes are killed, suspended or lose their disks."""

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
    local_fleet = fleets.LocalFleet(
        tmp_path,
        domains=["ariana", "manouba"],
        control_extra={"snapshot_entries": 50},
    )
    with local_fleet:
        local_fleet.add_controls()
        local_fleet.add_proxies(
            {"h1": "ariana", "h2": "ariana", "h3": "manouba", "h4": "manouba"}
        )
        local_fleet.start()
        local_fleet.wait_leader()
        answer = local_fleet.execute("apply matbakh.yaml", document=DOCUMENT)
        assert answer["outcome"] == "done"
        local_fleet.wait_ready(4)
        yield local_fleet


def other_controls(fleet: fleets.LocalFleet, *names: str) -> list[str]:
    """Return the names of all other control processes."""
    return [name for name in fleet.control_names if name not in names]


def toggle_drain(fleet: fleets.LocalFleet, number: int, at: str) -> str:
    """Drain a host for odd numbers, else undrain it; return the outcome."""
    command = "drain" if number % 2 else "undrain"
    answer = fleet.execute(f"{command} h{number % 3 + 5}", at=at, wait_s=15)
    return answer["outcome"]


def revisions(fleet: fleets.LocalFleet, at: str) -> dict[str, int]:
    """Return the revision in force at each host, as one process reports it."""
    return {row["host"]: row["revision"] for row in fleet.in_force(at)}


def test_the_leader_is_killed_amid_commands(fleet) -> None:
    """The leader is killed while an operator sends commands.

    Some replies are lost. Each command is sent again under its number and
    must keep its outcome; none answered "done" may be lost.
    """
    leader = fleet.leader()
    at = other_controls(fleet, leader)[0]
    kill_timer = threading.Timer(0.3, fleet.kill, [leader])
    kill_timer.start()
    results = {}
    for number in range(12):
        line = f"drain d{number}"
        command_number = f"{int(time.time() * 1000)}-{number}"
        answer = fleet.execute(line, at=at, number=command_number, wait_s=20)
        results[command_number] = (line, answer["outcome"])
    kill_timer.join()
    assert {outcome for _, outcome in results.values()} == {"done"}
    for command_number, (line, outcome) in results.items():
        resent = fleet.execute(line, at=at, number=command_number)
        assert resent["outcome"] == outcome
    fleet.wait_ready(4)


def _known_hosts(fleet: fleets.LocalFleet, at: str) -> int:
    """Return the number of hosts whose revision a control process knows."""
    known = revisions(fleet, at).values()
    return sum(revision is not None for revision in known)


def test_a_leader_is_suspended_and_resumes(fleet) -> None:
    """The leader is suspended for longer than its lease, then resumes.

    Meanwhile another leader changes the configuration. The first must not
    answer from outdated state nor return any proxy to an older revision.
    """
    first_leader = fleet.leader()
    at = other_controls(fleet, first_leader)[0]
    fleet.pause(first_leader)
    fleets.wait_for(
        "another leader",
        lambda: fleet.leader(other_controls(fleet, first_leader)),
    )
    assert toggle_drain(fleet, 1, at) == "done"
    # Reports that only the suspended leader had received reach the next one
    # once its seeds have connected to another control process. Until then
    # their revisions are unknown ("not heard from").
    fleets.wait_for(
        "all reports at the next leader",
        lambda: _known_hosts(fleet, at) == 4,
    )
    previous = revisions(fleet, at)
    assert len(previous) == 4
    fleet.resume(first_leader)
    answer = fleets.wait_for(
        "an answer",
        lambda: fleet.try_execute(
            "in force by host", at=first_leader, wait_s=5
        ),
    )
    assert answer["confirmed"]
    resumed = {row["host"]: row["revision"] for row in answer["rows"]}
    assert all(resumed[h] >= previous[h] for h in previous if resumed.get(h))
    assert toggle_drain(fleet, 2, first_leader) == "done"
    fleet.wait_ready(4)


def test_a_disk_is_lost_and_then_another_host(fleet) -> None:
    """A control process restarts without its data folder.

    It must join under a new identity, catch up and become a voter, so that
    commands still run when another control process is killed.
    """
    leader = fleet.leader()
    lost, other = other_controls(fleet, leader)
    fleet.kill(lost)
    fleet.lose_disk(lost)
    assert toggle_drain(fleet, 1, leader) == "done"
    fleet.start(lost)

    def repaired() -> bool:
        answer = fleet.try_execute("show controls", at=leader, wait_s=2)
        rows = answer["rows"] if answer else []
        matching = [row for row in rows if row["control"] == lost]
        return (
            len(matching) == 1
            and matching[0]["role"] == "voter"
            and not matching[0]["identity"].endswith("#first")
        )

    fleets.wait_for("the repair", repaired, 30)
    fleet.kill(other)
    assert toggle_drain(fleet, 2, leader) == "done"
    assert "store.new_identity" in fleet.log(lost)


def test_all_are_killed_and_started_together(fleet) -> None:
    """All processes are killed together after a hundred changes.

    The control processes must restore their state from snapshots and logs.
    The proxies, which keep no state on disk, must reach at least the same
    revision.
    """
    leader = fleet.leader()
    for number in range(100):
        assert toggle_drain(fleet, number, leader) == "done"
    fleet.wait_ready(4)
    previous = revisions(fleet, leader)
    names = list(fleet.members)
    fleet.kill(*names)
    fleet.start(*names)
    fleet.wait_leader()
    fleet.wait_ready(4)
    recovered = revisions(fleet, fleet.leader())
    assert all(recovered[host] >= previous[host] for host in previous)


def test_a_process_restarts_after_five_hundred_changes(fleet) -> None:
    """A control process is down during five hundred changes.

    It must catch up, so that commands still run when the third control
    process is killed.
    """
    leader = fleet.leader()
    restarted = other_controls(fleet, leader)[0]
    fleet.kill(restarted)
    operator_client = client.Client(fleet.members[leader].address("admin"))
    for number in range(500):
        command = "drain" if number % 2 else "undrain"
        now_ms = int(time.time() * 1000)
        line = client.Line(
            f"{command} h{number % 5 + 5}", f"{now_ms}-{number}", "ann", now_ms
        )
        assert operator_client.send_and_wait(line, 10)["outcome"] == "done"
    fleet.start(restarted)

    def caught_up() -> bool:
        answer = fleet.try_execute("show controls", at=restarted, wait_s=2)
        return bool(answer and answer["confirmed"])

    fleets.wait_for("the restarted process", caught_up)
    fleet.kill(*other_controls(fleet, leader, restarted))
    assert toggle_drain(fleet, 1, leader) == "done"
    fleet.wait_ready(4)


def test_operators_race_with_equal_numbers(fleet) -> None:
    """Two operators send different commands under one number concurrently.

    Only one of the commands may run.
    """
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


def test_a_proxy_restarts_in_an_isolated_domain_and_serves(fleet) -> None:
    """A proxy restarts while all control hosts are down.

    The seeds of its failure domain must confirm the floor, so that the proxy
    puts the same revision in force as before.
    """
    previous = revisions(fleet, "control1")["h1"]
    fleet.kill(*fleet.control_names)
    fleet.kill("h1")
    fleet.start("h1")
    fleets.wait_for(
        "the restarted proxy",
        lambda: f"event=config.in_force process=h1 revision={previous}"
        in fleet.log("h1").rpartition("proxy.started")[2],
        30,
    )
