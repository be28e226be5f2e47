"""Control processes that find each other from a few addresses."""

import typing

import pytest

from trefoil_daemon import control_process
from trefoil_emulator import control_net
from trefoil_model import effects as common
from trefoil_quorum import raft as rafts
from trefoil_settings import configuration
from trefoil_store import disk as disks
from trefoil_wire import frames
from trefoil_wire import messages

SEEDS = control_net.SEEDS
Net = control_net.Net
founded = control_net.founded


def test_the_seeds_found_it_and_a_fourth_joins() -> None:
    """All start together; the fourth knows the seeds, nobody knows it."""
    net = founded("10.0.0.9")
    assert len(net.leaders()) == 1
    for name in net.processes:
        assert net.voters(name) == set(net.processes)


def test_a_fourth_with_a_lesser_name_joins() -> None:
    """None of the seeds dials a stranger; it dials them."""
    net = founded("10.0.0.0")
    assert net.voters(net.leaders()[0]) == set(net.processes)


def test_two_halves_that_start_apart_found_one_agreement() -> None:
    """A cut stands between the seeds at the very first start.

    One half has two seeds, the other one seed and a newcomer. Were any two
    enough, both halves would acknowledge configurations.
    """
    net = Net()
    net.cut(set(SEEDS[:2]), {SEEDS[2], "10.0.0.9"})
    for name in SEEDS + ["10.0.0.9"]:
        net.start(name, found=True)
    net.run(5000)
    assert len(net.leaders()) == 1
    assert net.leaders()[0] in SEEDS[:2]


def test_a_wiped_founder_does_not_found_again() -> None:
    """Two of three lose their disks and start as on the first day.

    Under their first identities they would make a majority that knows
    nothing and acknowledge over what is agreed.
    """
    net = founded()
    for name in SEEDS[:2]:
        net.stop(name)
        net.disks[name] = disks.MemoryDisk()
        net.start(name, found=False)
    net.run(6000)
    assert net.leaders() == []


def test_a_wiped_host_is_let_in_again() -> None:
    net = founded("10.0.0.9")
    net.stop("10.0.0.2")
    net.disks["10.0.0.2"] = disks.MemoryDisk()
    net.start("10.0.0.2", found=False)
    net.run(4000)
    (leader,) = net.leaders()
    voters = net.processes[leader].raft.voters
    assert "10.0.0.2#first" not in voters
    assert net.voters(leader) == set(net.processes)


def test_a_host_gone_for_good_loses_its_vote_and_is_replaced() -> None:
    """One is lost; later an empty one comes at another address."""
    net = founded("10.0.0.9")
    net.stop("10.0.0.3")
    net.run(rafts.VOTER_REMOVAL_MS + 3000)
    (leader,) = net.leaders()
    assert net.voters(leader) == {"10.0.0.1", "10.0.0.2", "10.0.0.9"}
    net.start("10.0.0.7", found=False)
    net.run(4000)
    assert net.voters(net.leaders()[0]) == set(net.processes)


def test_a_dropped_host_that_comes_back_votes_again() -> None:
    """It was cut off for long; in its own log it is a voter still."""
    net = founded("10.0.0.9")
    everyone = set(net.processes)
    net.cut(everyone - {"10.0.0.1"}, {"10.0.0.1"})
    net.run(rafts.VOTER_REMOVAL_MS + 4000)
    net.halves = ()
    net.run(8000)
    (leader,) = net.leaders()
    assert net.voters(leader) == everyone
    assert net.voters("10.0.0.1") == everyone


def read_document(net: Net, at: str) -> list[messages.QueryReply]:
    """Ask a process for the document; return what the operator is told."""
    told: list[messages.QueryReply] = []
    net.processes[at].ask(
        messages.Query("q", "", 0, messages.QueryKind.DOCUMENT, ""),
        told.append,
    )
    return told


def test_a_query_survives_its_leader() -> None:
    """The leader that was asked dies before it answers.

    The process that passed the query on asks the next leader, so that the
    operator gets a confirmed answer and need not ask again.
    """
    net = founded()
    (leader,) = net.leaders()
    at = next(name for name in SEEDS if name != leader)
    net.stop(leader)
    told = read_document(net, at)
    net.run(2500)
    assert [reply.confirmed for reply in told] == [True]


def numbered(number: int, text: bytes) -> messages.Command:
    """Return a command that applies a document with a number."""
    made = configuration.parse(DOCUMENT).ok
    made.document = messages.Document(number, number - 1, text)
    code, body = frames.pack_any(made)
    return messages.Command(f"d{number}", "op", 0, code, body)


def test_a_document_that_the_asker_holds_does_not_travel() -> None:
    """An operator reads it from each control host, which asks the leader."""
    net = founded()
    (leader,) = net.leaders()
    at = next(name for name in SEEDS if name != leader)
    net.processes[leader].submit(numbered(1, b"the text"), lambda reply: None)
    net.run(1000)
    told = read_document(net, at)
    net.run(500)
    replies = messages.QueryReply
    (passed,) = [m for m in net.arrived if isinstance(m, replies)]
    assert passed.body == ""
    assert [reply.confirmed for reply in told] == [True]
    assert "the text" in told[0].body


def test_a_newer_document_than_the_askers_does_travel() -> None:
    """A control host that lags must not vouch for what it holds."""
    net = founded()
    (leader,) = net.leaders()
    at = next(name for name in SEEDS if name != leader)
    net.processes[leader].submit(numbered(1, b"old"), lambda reply: None)
    net.run(1000)
    state = net.processes[at].state
    state.document = messages.Document(0, 0, b"older")
    told = read_document(net, at)
    net.run(500)
    assert "old" in told[0].body and "older" not in told[0].body


class FullDisk(disks.MemoryDisk):
    """A disk that takes no more bytes once it is full."""

    def __init__(self, files: dict[str, bytes]) -> None:
        super().__init__()
        self.files = files

    def append(self, name: str, data: bytes) -> None:
        """Refuse."""
        raise OSError(28, "No space left on device")

    replace = append


def test_a_process_whose_disk_is_full_vouches_for_nothing() -> None:
    """A follower's disk refuses the entry that the leader sends.

    Its core holds the entry in memory. Were the process to go on, its next
    reply would count as a copy on a disk, and an acknowledged configuration
    could be lost with the power. It falls silent before it replies.
    """
    net = founded()
    (leader,) = net.leaders()
    follower = next(name for name in SEEDS if name != leader)
    process = net.processes[follower]
    process.store.disk = FullDisk(net.disks[follower].files)
    raft = net.processes[leader].raft
    index, found = raft.propose(messages.Noop(term=raft.term), 0)
    (request,) = [
        effect.message
        for effect in found
        if isinstance(effect, common.Send)
        and rafts.process_name(effect.to) == follower
    ]
    net.wire = []
    process.link_message(leader, request)
    replies = [
        message
        for source, _, message in net.wire
        if source == follower and isinstance(message, messages.AppendReply)
    ]
    assert replies == []
    assert index == request.entries[-1].index
    assert "store.failed" in process.driver.notes


def fill(net: Net, name: str) -> None:
    """Let a process's disk be full from now on."""
    process = net.processes[name]
    process.disk = process.store.disk = FullDisk(net.disks[name].files)


def free(net: Net, name: str) -> None:
    """Let a process's disk take writes again."""
    net.processes[name].disk = net.disks[name]


def document(number: int) -> messages.Command:
    """Return a command that changes the configuration."""
    made = configuration.parse(DOCUMENT.replace("1s", f"{number}s")).ok
    code, body = frames.pack_any(made)
    return messages.Command(f"c{number}", "op", 0, code, body)


@pytest.mark.parametrize("leads", [True, False])
def test_a_full_disk_costs_the_vote_not_the_process(leads: bool) -> None:
    """The disk of a control host is full for three seconds.

    Its process ended and started in a loop, and with it the links of its
    failure domain's proxies. It now stays silent in the agreement, others
    lead, a command is acknowledged, and once the disk takes writes it has
    what was agreed meanwhile.
    """
    net = founded()
    (leader,) = net.leaders()
    follower = next(name for name in SEEDS if name != leader)
    full = leader if leads else follower
    fill(net, full)
    told: list[messages.CommandReply] = []
    net.processes[full].submit(document(2), told.append)
    net.run(3000)
    assert net.leaders() and full not in net.leaders()
    assert [reply.outcome for reply in told] == [messages.Outcome.DONE]
    process = net.processes[full]
    assert process.gauges()["disk_refuses"] == 1
    free(net, full)
    net.run(2000)
    other = net.processes[net.leaders()[0]]
    assert process.state.items.revision == other.state.items.revision
    assert process.raft.commit == other.raft.commit
    assert "store.works_again" in process.driver.notes


def test_what_a_full_disk_refused_is_not_acknowledged_later() -> None:
    """A leader's disk refuses an entry that one follower never got.

    The leader had it in memory. Once its disk is free it must not come back
    with an entry that no disk ever held.
    """
    net = founded()
    (leader,) = net.leaders()
    net.cut({leader}, set(SEEDS) - {leader})
    fill(net, leader)
    told: list[messages.CommandReply] = []
    net.processes[leader].submit(document(2), told.append)
    last_index = net.processes[leader].store.entries[-1].index
    free(net, leader)
    net.run(1000)
    entries = net.processes[leader].raft.log.entries
    assert max(entry.index for entry in entries) <= last_index
    assert all(reply.outcome != messages.Outcome.DONE for reply in told)


def restarted(seed: int) -> Net:
    """Return a net whose processes all lost power and start again."""
    net = founded("10.0.0.9")
    names = list(net.processes)
    for name in names:
        net.stop(name)
    net.rng.seed(seed)
    for name in names:
        net.start(name, found=False)
    return net


def leader_found_ms(net: Net) -> int:
    """Let time pass until somebody leads; return how long it took."""
    waited_ms = 0
    while not net.leaders():
        net.run(control_net.STEP_MS)
        waited_ms += control_net.STEP_MS
    return waited_ms


def test_a_leader_is_found_soon_after_a_loss_of_power() -> None:
    """All start together and the first tries meet links that are not up.

    Waiting a leader's whole silence before the second try left callers
    unserved for 0.9 s more; the tries now follow each other faster, and the
    next one comes with the first link.
    """
    waits_ms = [leader_found_ms(restarted(seed)) for seed in range(20)]
    assert max(waits_ms) <= 700
    assert sum(waits_ms) / len(waits_ms) <= 200


def test_a_floor_asked_for_before_there_is_a_leader_is_told_soon() -> None:
    """A proxy asks while nobody leads, as all do after a loss of power.

    Asked again only at its next turn, the proxy refused its callers for up
    to 0.4 s after there was a leader who could tell.
    """
    net = restarted(1)
    name, process = next(iter(net.processes.items()))
    told: list[messages.FloorReply] = []
    net.processes[name].driver.link_send = (
        lambda host, message, send=process.driver.link_send: (
            told.append(message) if host == "proxy" else send(host, message)
        )
    )
    query = messages.FloorQuery(0, "proxy")
    process.perform(process.node.receive("proxy", query, 0))
    leader_found_ms(net)
    net.run(2 * control_net.STEP_MS)
    assert any(reply.certain for reply in told)


DOCUMENT = """\
services: [{name: s, version: v1}]
routes: [{name: r, prefix: /, service: s, timeout: 1s, repeat: any}]
"""


def accepts(net: Net, at: str) -> typing.Callable[[], bool]:
    """Submit a first configuration; return whether it was acknowledged."""
    made = configuration.parse(DOCUMENT).ok
    code, body = frames.pack_any(made)
    command = messages.Command("first", "op", 0, code, body)
    told: list[messages.CommandReply] = []
    net.processes[at].submit(command, told.append)
    return lambda: any(r.outcome == messages.Outcome.DONE for r in told)


def test_the_first_configuration_waits_for_all_disks_it_needs() -> None:
    """Five hosts bear the loss of two disks, but three of them found.

    The first configuration comes before the others are voters. Acknowledged
    on two disks of three, it is gone once these two are lost.
    """
    net = Net()
    for name in SEEDS:
        net.start(name, found=True, lost_disks=2)
    while not net.leaders():
        net.run(control_net.STEP_MS)
    done = accepts(net, net.leaders()[0])
    net.run(500)
    assert not done()
    for name in ("10.0.0.4", "10.0.0.5"):
        net.start(name, found=True, lost_disks=2)
    net.run(2000)
    assert len(net.voters(net.leaders()[0])) == 5
    assert done()


def test_the_first_configuration_does_not_wait_for_ever() -> None:
    """Two of five hosts never start; the others take it all the same."""
    net = Net()
    for name in SEEDS:
        net.start(name, found=True, lost_disks=2)
    net.run(control_process.FOUNDING_TIMEOUT_MS + 2000)
    done = accepts(net, net.leaders()[0])
    net.run(500)
    assert done()
