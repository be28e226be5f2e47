"""Founding, joining, restarts and full disks of control processes."""

import typing

import pytest

from trefoil_daemon import control_process
from trefoil_emulator import control_net
from trefoil_emulator import full_disk
from trefoil_model import effects as common
from trefoil_quorum import raft as rafts
from trefoil_settings import configuration
from trefoil_store import disk as disks
from trefoil_wire import frames
from trefoil_wire import messages

FOUNDERS = control_net.FOUNDERS
Network = control_net.Network
founded_network = control_net.founded_network


def test_the_founders_start_and_a_fourth_joins() -> None:
    """All start together; the founders do not know the fourth's address."""
    net = founded_network("10.0.0.9")
    assert len(net.leaders()) == 1
    for name in net.processes:
        assert net.voters(name) == set(net.processes)


def test_a_fourth_with_a_lower_name_joins() -> None:
    """Founders don't connect to unknown hosts; the fourth connects to them."""
    net = founded_network("10.0.0.0")
    assert net.voters(net.leaders()[0]) == set(net.processes)


def test_partitioned_founders_start_only_one_agreement() -> None:
    """The founders are partitioned at their first start.

    One side has two founders, the other one founder and a new host. If any
    two hosts were enough, both sides would acknowledge configurations.
    """
    net = Network()
    net.partition(set(FOUNDERS[:2]), {FOUNDERS[2], "10.0.0.9"})
    for name in FOUNDERS + ["10.0.0.9"]:
        net.start(name, found=True)
    net.run(5000)
    assert len(net.leaders()) == 1
    assert net.leaders()[0] in FOUNDERS[:2]


def test_wiped_founders_do_not_found_a_second_agreement() -> None:
    """Two of three founders lose their disks and start again.

    Under their first identities they would be a majority with an empty log
    and could acknowledge commands that conflict with agreed ones.
    """
    net = founded_network()
    for name in FOUNDERS[:2]:
        net.stop(name)
        net.disks[name] = disks.MemoryDisk()
        net.start(name, found=False)
    net.run(6000)
    assert net.leaders() == []


def test_a_wiped_host_joins_under_a_new_identity() -> None:
    net = founded_network("10.0.0.9")
    net.stop("10.0.0.2")
    net.disks["10.0.0.2"] = disks.MemoryDisk()
    net.start("10.0.0.2", found=False)
    net.run(4000)
    (leader,) = net.leaders()
    voters = net.processes[leader].raft.voters
    assert "10.0.0.2#first" not in voters
    assert net.voters(leader) == set(net.processes)


def test_a_lost_host_is_removed_and_can_be_replaced() -> None:
    """One host is lost; later an empty one starts at another address."""
    net = founded_network("10.0.0.9")
    net.stop("10.0.0.3")
    net.run(rafts.VOTER_REMOVAL_MS + 3000)
    (leader,) = net.leaders()
    assert net.voters(leader) == {"10.0.0.1", "10.0.0.2", "10.0.0.9"}
    net.start("10.0.0.7", found=False)
    net.run(4000)
    assert net.voters(net.leaders()[0]) == set(net.processes)


def test_a_removed_host_that_returns_becomes_a_voter_again() -> None:
    """It was partitioned for long and is still a voter in its own log."""
    net = founded_network("10.0.0.9")
    everyone = set(net.processes)
    net.partition(everyone - {"10.0.0.1"}, {"10.0.0.1"})
    net.run(rafts.VOTER_REMOVAL_MS + 4000)
    net.partitions = ()
    net.run(8000)
    (leader,) = net.leaders()
    assert net.voters(leader) == everyone
    assert net.voters("10.0.0.1") == everyone


def read_document(net: Network, at: str) -> list[messages.QueryReply]:
    """Query a process for the document; return the list of replies."""
    replies: list[messages.QueryReply] = []
    net.processes[at].ask(
        messages.Query("q", "", 0, messages.QueryKind.DOCUMENT, ""),
        replies.append,
    )
    return replies


def test_a_query_survives_a_crash_of_the_leader() -> None:
    """The leader crashes before it answers a forwarded query.

    The process that forwarded the query must send it to the next leader, so
    that the operator gets a confirmed answer without repeating it.
    """
    net = founded_network()
    (leader,) = net.leaders()
    at = next(name for name in FOUNDERS if name != leader)
    net.stop(leader)
    replies = read_document(net, at)
    net.run(2500)
    assert [reply.confirmed for reply in replies] == [True]


def apply_document_command(number: int, text: bytes) -> messages.Command:
    """Return a command that applies a numbered document."""
    parsed = configuration.parse(DOCUMENT).ok
    parsed.document = messages.Document(number, number - 1, text)
    code, body = frames.pack_any(parsed)
    return messages.Command(f"d{number}", "op", 0, code, body)


def test_a_document_that_the_sender_holds_is_not_transferred() -> None:
    """An operator may query any control host, which asks the leader."""
    net = founded_network()
    (leader,) = net.leaders()
    at = next(name for name in FOUNDERS if name != leader)
    net.processes[leader].submit(
        apply_document_command(1, b"the text"), lambda reply: None
    )
    net.run(1000)
    replies = read_document(net, at)
    net.run(500)
    reply_type = messages.QueryReply
    (forwarded,) = [m for m in net.delivered if isinstance(m, reply_type)]
    assert forwarded.body == ""
    assert [reply.confirmed for reply in replies] == [True]
    assert "the text" in replies[0].body


def test_a_newer_document_is_transferred_to_the_sender() -> None:
    """A lagging control host must not confirm the document that it holds."""
    net = founded_network()
    (leader,) = net.leaders()
    at = next(name for name in FOUNDERS if name != leader)
    net.processes[leader].submit(
        apply_document_command(1, b"old"), lambda reply: None
    )
    net.run(1000)
    state = net.processes[at].state
    state.document = messages.Document(0, 0, b"older")
    replies = read_document(net, at)
    net.run(500)
    assert "old" in replies[0].body and "older" not in replies[0].body


def test_a_process_with_a_full_disk_acknowledges_nothing() -> None:
    """A follower's disk refuses the entry that the leader sends.

    Its core holds the entry in memory. A reply would count as a copy on
    disk, and an acknowledged configuration could be lost in a power loss. The
    process must not reply.
    """
    net = founded_network()
    (leader,) = net.leaders()
    follower = next(name for name in FOUNDERS if name != leader)
    process = net.processes[follower]
    process.store.disk = full_disk.FullDisk(net.disks[follower].files)
    raft = net.processes[leader].raft
    index, found = raft.propose(messages.Noop(term=raft.term), 0)
    (request,) = [
        effect.message
        for effect in found
        if isinstance(effect, common.Send)
        and rafts.process_name(effect.to) == follower
    ]
    net.in_transit = []
    process.link_message(leader, request)
    replies = [
        message
        for source, _, message in net.in_transit
        if source == follower and isinstance(message, messages.AppendReply)
    ]
    assert replies == []
    assert index == request.entries[-1].index
    assert "store.failed" in process.driver.events


def fill_disk(net: Network, name: str) -> None:
    """Make the disk of a process full."""
    process = net.processes[name]
    process.disk = process.store.disk = full_disk.FullDisk(
        net.disks[name].files
    )


def free_disk(net: Network, name: str) -> None:
    """Make the disk of a process accept writes again."""
    net.processes[name].disk = net.disks[name]


def configuration_command(number: int) -> messages.Command:
    """Return a command that changes the configuration."""
    parsed = configuration.parse(DOCUMENT.replace("1s", f"{number}s")).ok
    code, body = frames.pack_any(parsed)
    return messages.Command(f"c{number}", "op", 0, code, body)


@pytest.mark.parametrize("leads", [True, False])
def test_a_process_with_a_full_disk_runs_on_without_a_vote(
    leads: bool,
) -> None:
    """The disk of a control host is full for three seconds.

    If its process restarted in a loop, its failure domain's proxies would
    lose their links. It must leave the agreement instead: others lead, a
    command is acknowledged, and once the disk accepts writes the process
    catches up.
    """
    net = founded_network()
    (leader,) = net.leaders()
    follower = next(name for name in FOUNDERS if name != leader)
    full_host = leader if leads else follower
    fill_disk(net, full_host)
    replies: list[messages.CommandReply] = []
    net.processes[full_host].submit(configuration_command(2), replies.append)
    net.run(3000)
    assert net.leaders() and full_host not in net.leaders()
    assert [reply.outcome for reply in replies] == [messages.Outcome.DONE]
    process = net.processes[full_host]
    assert process.gauges()["disk_refuses"] == 1
    free_disk(net, full_host)
    net.run(2000)
    other = net.processes[net.leaders()[0]]
    assert process.state.items.revision == other.state.items.revision
    assert process.raft.commit == other.raft.commit
    assert "store.works_again" in process.driver.events


def test_an_entry_that_a_full_disk_refused_is_not_acknowledged_later() -> None:
    """A leader's disk refuses an entry that no follower has received.

    The leader holds it in memory. Once the disk accepts writes, the leader
    must not resume with an entry that was never on any disk.
    """
    net = founded_network()
    (leader,) = net.leaders()
    net.partition({leader}, set(FOUNDERS) - {leader})
    fill_disk(net, leader)
    replies: list[messages.CommandReply] = []
    net.processes[leader].submit(configuration_command(2), replies.append)
    last_index = net.processes[leader].store.entries[-1].index
    free_disk(net, leader)
    net.run(1000)
    entries = net.processes[leader].raft.log.entries
    assert max(entry.index for entry in entries) <= last_index
    assert all(reply.outcome != messages.Outcome.DONE for reply in replies)


def restart_all(seed: int) -> Network:
    """Return a network whose processes all lost power and restarted."""
    net = founded_network("10.0.0.9")
    names = list(net.processes)
    for name in names:
        net.stop(name)
    net.rng.seed(seed)
    for name in names:
        net.start(name, found=False)
    return net


def time_to_leader_ms(net: Network) -> int:
    """Run until there is a leader; return how long that took."""
    waited_ms = 0
    while not net.leaders():
        net.run(control_net.STEP_MS)
        waited_ms += control_net.STEP_MS
    return waited_ms


def test_a_leader_is_elected_soon_after_a_power_loss() -> None:
    """All start together and the first elections precede the links.

    If the second election waited for a full election time-out, callers would
    go unserved for 0.9 s longer. Early elections must follow at shorter
    intervals, and the next one must start with the first link.
    """
    waits_ms = [time_to_leader_ms(restart_all(seed)) for seed in range(20)]
    assert max(waits_ms) <= 700
    assert sum(waits_ms) / len(waits_ms) <= 200


def test_a_floor_query_before_the_election_is_answered_soon_after() -> None:
    """A proxy queries its floor before a leader is elected.

    All proxies do so after a power loss. If the query were dropped, the proxy
    would repeat it only at its next interval and refuse its callers for up to
    0.4 s after the election.
    """
    net = restart_all(1)
    name, process = next(iter(net.processes.items()))
    replies: list[messages.FloorReply] = []
    net.processes[name].driver.link_send = (
        lambda host, message, send=process.driver.link_send: (
            replies.append(message) if host == "proxy" else send(host, message)
        )
    )
    query = messages.FloorQuery(0, "proxy")
    process.perform(process.node.receive("proxy", query, 0))
    time_to_leader_ms(net)
    net.run(2 * control_net.STEP_MS)
    assert any(reply.certain for reply in replies)


DOCUMENT = """\
services: [{name: s, version: v1}]
routes: [{name: r, prefix: /, service: s, timeout: 1s, repeat: any}]
"""


def submit_first_configuration(
    net: Network, at: str
) -> typing.Callable[[], bool]:
    """Submit a first configuration.

    Returns:
        A function that returns whether it was acknowledged.
    """
    parsed = configuration.parse(DOCUMENT).ok
    code, body = frames.pack_any(parsed)
    command = messages.Command("first", "op", 0, code, body)
    replies: list[messages.CommandReply] = []
    net.processes[at].submit(command, replies.append)
    return lambda: any(r.outcome == messages.Outcome.DONE for r in replies)


def test_the_first_configuration_waits_for_enough_voters() -> None:
    """Five hosts tolerate the loss of two disks, but only three are founders.

    The first configuration arrives before the others are voters. If it were
    acknowledged with copies on two of three disks, the loss of these two
    would lose it.
    """
    net = Network()
    for name in FOUNDERS:
        net.start(name, found=True, lost_disks=2)
    while not net.leaders():
        net.run(control_net.STEP_MS)
    is_acknowledged = submit_first_configuration(net, net.leaders()[0])
    net.run(500)
    assert not is_acknowledged()
    for name in ("10.0.0.4", "10.0.0.5"):
        net.start(name, found=True, lost_disks=2)
    net.run(2000)
    assert len(net.voters(net.leaders()[0])) == 5
    assert is_acknowledged()


def test_the_first_configuration_waits_only_for_a_limited_time() -> None:
    """Two of five hosts never start; the others accept it nevertheless."""
    net = Network()
    for name in FOUNDERS:
        net.start(name, found=True, lost_disks=2)
    net.run(control_process.FOUNDING_TIMEOUT_MS + 2000)
    is_acknowledged = submit_first_configuration(net, net.leaders()[0])
    net.run(500)
    assert is_acknowledged()
