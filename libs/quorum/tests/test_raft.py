"""The agreement under lost, doubled, crossed and late messages.

Three to four cores are joined by a list of messages; hypothesis draws which
of them travel, and which processes crash, lose their disk or freeze.
"""

import ast
import random
import typing
import zlib

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from trefoil_model import effects as common
from trefoil_quorum import effects
from trefoil_quorum import raft as rafts
from trefoil_store import disk as disks
from trefoil_store import store as stores
from trefoil_wire import messages

NAMES = ["a", "b", "c"]
FIRST = [f"{name}#first" for name in NAMES]
MAX_MESSAGES = 60


class Process:
    """One control process: its disk, its core and what it applied."""

    def __init__(self, name: str, rng: random.Random) -> None:
        self.name = name
        self.rng = rng
        self.disk = disks.MemoryDisk()
        stores.Store.create(self.disk, f"{name}#first")
        self.now_ms = 0
        self.restart()

    def restart(self) -> None:
        """Come back from what the disk holds."""
        self.store = stores.Store.open(self.disk)
        self.applied: list[tuple[int, bytes]] = []
        if self.store.snapshot is not None:
            text = self.store.snapshot.state.decode()
            self.applied = ast.literal_eval(text)
        self.raft = rafts.Raft(
            self.store.hard_state.identity,
            voters=FIRST,
            hard_state=self.store.hard_state,
            snapshot=self.store.snapshot,
            entries=self.store.entries,
            now_ms=self.now_ms,
            rng=self.rng,
        )

    def lose_disk(self, nonce: int) -> None:
        """Come back with nothing, under a new identity."""
        self.disk = disks.MemoryDisk()
        stores.Store.create(self.disk, f"{self.name}#{nonce}")
        self.restart()

    def perform(self, found: list[typing.Any]) -> list[common.Send]:
        """Carry out effects; return what is to be sent."""
        sends = []
        for effect in found:
            match effect:
                case common.Send():
                    sends.append(effect)
                case effects.SaveHardState():
                    self.store.save_hard_state(effect.state)
                case effects.AppendLog():
                    if effect.truncate_from:
                        self.store.truncate_from(effect.truncate_from)
                    self.store.append(effect.entries)
                case effects.SaveSnapshot():
                    self.store.save_snapshot(effect.snapshot)
                case effects.Restore():
                    self.applied = ast.literal_eval(
                        effect.snapshot.state.decode()
                    )
                case effects.Apply():
                    entry = effect.entry
                    self.applied.append((entry.index, entry.command))
        return sends


class Agreement(stateful.RuleBasedStateMachine):
    """What must hold whatever happens to messages and processes."""

    @stateful.initialize(seed=st.integers(0, 1 << 30))
    def begin(self, seed: int) -> None:
        rng = random.Random(seed)
        self.processes = {name: Process(name, rng) for name in NAMES}
        self.wire: list[tuple[str, common.Send]] = []
        self.cut = ""
        self.leaders: dict[int, str] = {}
        self.agreed: dict[int, bytes] = {}
        self.proposals = 0
        self.nonce = 0
        self.lost = ""
        self.now_ms = 0

    def _post(self, source: str, found: list[typing.Any]) -> None:
        for send in self.processes[source].perform(found):
            self.wire.append((source, send))
        del self.wire[:-MAX_MESSAGES]

    def _tick(self, name: str) -> None:
        process = self.processes[name]
        process.now_ms = self.now_ms
        self._post(name, process.raft.tick(self.now_ms))

    @stateful.rule(
        name=st.sampled_from(NAMES), by_ms=st.sampled_from([10, 200, 1300])
    )
    def one_clock_moves(self, name: str, by_ms: int) -> None:
        """One process goes on; the others are frozen meanwhile."""
        self.now_ms += by_ms
        self._tick(name)

    @stateful.rule(for_ms=st.sampled_from([200, 2500]))
    def all_go_on(self, for_ms: int) -> None:
        """Time passes for all; messages arrive but across the cut."""
        for _ in range(for_ms // 50):
            self.now_ms += 50
            for name in NAMES:
                self._tick(name)
            waiting, self.wire = self.wire, []
            for source, send in waiting:
                self._deliver(source, send)

    @stateful.rule(name=st.sampled_from(NAMES))
    def one_is_cut_off(self, name: str) -> None:
        self.cut = name

    @stateful.rule()
    def the_cut_heals(self) -> None:
        self.cut = ""

    @stateful.rule(at=st.integers(0, MAX_MESSAGES), twice=st.booleans())
    def a_message_arrives(self, at: int, twice: bool) -> None:
        """Any message in flight may come next, once or twice."""
        if not self.wire:
            return
        source, send = self.wire[at % len(self.wire)]
        if not twice:
            del self.wire[at % len(self.wire)]
        self._deliver(source, send)

    def _deliver(self, source: str, send: common.Send) -> None:
        target = rafts.name_of(send.to)
        process = self.processes[target]
        if send.to != process.raft.identity or self.cut in (source, target):
            return
        process.now_ms = self.now_ms
        found = process.raft.receive(source, send.message, self.now_ms)
        self._post(target, found)

    @stateful.rule(name=st.sampled_from(NAMES))
    def an_operator_proposes(self, name: str) -> None:
        self.proposals += 1
        process = self.processes[name]
        command = messages.CancelCommand(str(self.proposals))
        _, found = process.raft.propose(command, self.now_ms)
        self._post(name, found)

    @stateful.rule(name=st.sampled_from(NAMES))
    def a_process_crashes(self, name: str) -> None:
        self.processes[name].restart()

    @stateful.rule(name=st.sampled_from(NAMES))
    def a_disk_is_lost(self, name: str) -> None:
        """Only one at a time: two of three lost disks lose the quorum."""
        if self.lost and not self._repaired():
            return
        self.lost = name
        self.nonce += 1
        self.processes[name].lose_disk(self.nonce)

    def _repaired(self) -> bool:
        """Tell whether the last lost disk's process votes again."""
        identity = self.processes[self.lost].raft.identity
        return any(
            identity in process.raft.voters
            and process.raft.config_index <= process.raft.commit
            for process in self.processes.values()
            if process.raft.is_leader
        )

    @stateful.rule()
    def the_lost_asks_to_join(self) -> None:
        if not self.lost:
            return
        raft = self.processes[self.lost].raft
        request = messages.JoinRequest(raft.identity, self.lost, "")
        for name in NAMES:
            if name != self.lost:
                peer = self.processes[name].raft.identity
                self.wire.append((self.lost, common.Send(peer, request)))

    @stateful.rule(name=st.sampled_from(NAMES))
    def a_snapshot_is_taken(self, name: str) -> None:
        process = self.processes[name]
        if process.applied:
            index = process.applied[-1][0]
            if index == process.raft.applied:
                state = repr(process.applied).encode()
                process.perform(process.raft.compact(state, index))

    @stateful.invariant()
    def one_leader_a_term(self) -> None:
        for process in getattr(self, "processes", {}).values():
            raft = process.raft
            if raft.is_leader:
                known = self.leaders.setdefault(raft.term, raft.identity)
                assert known == raft.identity

    @stateful.invariant()
    def agreed_entries_never_change(self) -> None:
        for process in getattr(self, "processes", {}).values():
            for index, command in process.applied:
                assert self.agreed.setdefault(index, command) == command

    @stateful.invariant()
    def applied_without_gaps(self) -> None:
        for process in getattr(self, "processes", {}).values():
            found = [index for index, _ in process.applied]
            assert found == list(range(1, len(found) + 1))


class Calm:
    """Processes joined by a network that delivers, unless it is cut."""

    def __init__(self, seed: int = 1) -> None:
        rng = random.Random(seed)
        self.processes = {name: Process(name, rng) for name in NAMES}
        self.cut: set[str] = set()
        self.frozen: set[str] = set()
        self.wire: list[tuple[str, common.Send]] = []
        self.ready: list[int] = []
        self.failed: list[int] = []
        self.now_ms = 0

    def perform(self, name: str, found: list[typing.Any]) -> None:
        """Carry out one process's effects."""
        for effect in found:
            if isinstance(effect, effects.ReadReady):
                self.ready.append(effect.read_id)
            elif isinstance(effect, effects.ReadFailed):
                self.failed.append(effect.read_id)
        for send in self.processes[name].perform(found):
            self.wire.append((name, send))

    def run(self, for_ms: int) -> None:
        """Let time pass for all that are not frozen."""
        until_ms = self.now_ms + for_ms
        while self.now_ms < until_ms:
            self.now_ms += 25
            for name, process in self.processes.items():
                process.now_ms = self.now_ms
                if name not in self.frozen:
                    self.perform(name, process.raft.tick(self.now_ms))
            self._deliver()

    def _deliver(self) -> None:
        held = []
        while self.wire:
            source, send = self.wire.pop(0)
            target = rafts.name_of(send.to)
            if target in self.frozen:
                held.append((source, send))
                continue
            process = self.processes[target]
            if self.cut & {source, target}:
                continue
            if send.to == process.raft.identity:
                found = process.raft.receive(source, send.message, self.now_ms)
                self.perform(target, found)
        self.wire = held

    def leader(self) -> Process:
        """Return the process that leads in the newest term."""
        leading = [p for p in self.processes.values() if p.raft.is_leader]
        return max(leading, key=lambda p: p.raft.term)

    def propose(self, process: Process, word: str) -> int:
        """Propose a command at a process."""
        index, found = process.raft.propose(
            messages.CancelCommand(word), self.now_ms
        )
        self.perform(process.name, found)
        return index

    def read(self, process: Process, number: int) -> None:
        """Ask a process for a read."""
        self.perform(process.name, process.raft.read(number, self.now_ms))

    def words(self, name: str) -> list[str]:
        """Return the commands that a process applied."""
        found = []
        for _, command in self.processes[name].applied:
            message = rafts.frames.unpack_any(command[0], command[1:])
            if isinstance(message, messages.CancelCommand):
                found.append(message.cancelled_id)
        return found


def test_commands_reach_everybody() -> None:
    calm = Calm()
    calm.run(3000)
    calm.propose(calm.leader(), "one")
    calm.propose(calm.leader(), "two")
    calm.run(400)
    assert [calm.words(name) for name in NAMES] == [["one", "two"]] * 3


def test_a_leader_that_wakes_cannot_answer() -> None:
    """A leader is frozen for longer than an election, then goes on.

    Meanwhile another leads and agrees on more. The first still believes
    that it leads when an operator asks it; an answer from its state would
    be old. Its read waits for a majority that never acknowledges.
    """
    calm = Calm()
    calm.run(3000)
    old = calm.leader()
    calm.propose(old, "before")
    calm.run(400)
    calm.frozen.add(old.name)
    calm.run(5000)
    calm.propose(calm.leader(), "meanwhile")
    calm.run(400)
    calm.frozen.clear()
    assert old.raft.is_leader
    calm.read(old, 7)
    calm.run(1000)
    assert calm.ready == []
    assert calm.failed == [7]
    assert calm.words(old.name) == ["before", "meanwhile"]


def test_a_leader_that_leads_answers_reads() -> None:
    calm = Calm()
    calm.run(3000)
    calm.read(calm.leader(), 7)
    calm.run(300)
    assert calm.ready == [7]


def test_a_leader_that_is_cut_off_steps_down() -> None:
    """A leader on the minority's side of a cut holds a command for ever.

    It hears nobody for two election times and steps down, so that its
    process can say "pending" and look elsewhere; the command is not run
    there and is dropped when the cut heals.
    """
    calm = Calm()
    calm.run(3000)
    old = calm.leader()
    calm.cut.add(old.name)
    calm.propose(old, "lost")
    calm.run(3000)
    assert not old.raft.is_leader
    calm.propose(calm.leader(), "kept")
    calm.cut.clear()
    calm.run(2000)
    assert [calm.words(name) for name in NAMES] == [["kept"]] * 3


def test_a_process_back_from_a_cut_does_not_depose_the_leader() -> None:
    """A voter is cut off for a while and holds elections nobody hears.

    Without pre-vote its term grows meanwhile, and when it is back the
    leader steps down for no reason: operators see a gap.
    """
    calm = Calm()
    calm.run(3000)
    leader = calm.leader()
    term = leader.raft.term
    away = next(n for n in NAMES if n != leader.name)
    calm.cut.add(away)
    calm.run(20_000)
    calm.cut.clear()
    calm.run(3000)
    assert calm.leader() is leader
    assert leader.raft.term == term


@pytest.mark.parametrize("then_lost", [0, 1])
def test_a_lost_disk_comes_back_as_learner_then_votes(then_lost: int) -> None:
    """A voter loses its disk, and right after its repair another is lost.

    It joins under a new identity, catches up, then takes its old vote.
    Since the repair is whole, the second loss leaves a quorum.
    """
    calm = Calm()
    calm.run(3000)
    for number in range(5):
        calm.propose(calm.leader(), str(number))
    calm.run(500)
    followers = [n for n in NAMES if n != calm.leader().name]
    lost = calm.processes[followers[0]]
    lost.lose_disk(1)
    calm.run(500)
    assert lost.raft.identity not in calm.leader().raft.voters
    request = messages.JoinRequest(lost.raft.identity, lost.name, "")
    leader = calm.leader()
    calm.perform(
        leader.name, leader.raft.receive(lost.name, request, calm.now_ms)
    )
    calm.run(2000)
    assert sorted(leader.raft.voters) == sorted(
        p.raft.identity for p in calm.processes.values()
    )
    calm.cut.add([leader.name, followers[1]][then_lost])
    calm.run(4000)
    calm.propose(calm.leader(), "after")
    calm.run(500)
    assert calm.words(lost.name) == ["0", "1", "2", "3", "4", "after"]


def test_a_lost_disk_never_votes_under_its_old_promise() -> None:
    """A voter grants its vote, loses its disk and is asked again.

    Under its old identity it would grant a second vote in the same term and
    two leaders would follow. Its new identity is no voter.
    """
    calm = Calm()
    voter = calm.processes["a"]
    request = messages.VoteRequest(1, "b#first", 0, 0, False)
    voter.perform(voter.raft.receive("b", request, 10_000))
    voter.lose_disk(1)
    other = messages.VoteRequest(1, "c#first", 0, 0, False)
    sends = voter.perform(voter.raft.receive("c", other, 20_000))
    assert [send.message.granted for send in sends] == [False]


def test_a_vote_is_durable_before_it_is_told() -> None:
    calm = Calm()
    raft = calm.processes["a"].raft
    request = messages.VoteRequest(1, "b#first", 0, 0, False)
    saved = ""
    for effect in raft.receive("b", request, 10_000):
        if isinstance(effect, effects.SaveHardState):
            saved = effect.state.voted_for
        if isinstance(effect, common.Send):
            assert effect.message.granted
            assert saved == "b#first"


def test_entries_are_durable_before_they_are_acknowledged() -> None:
    calm = Calm()
    raft = calm.processes["a"].raft
    entry = messages.Entry(1, 1, rafts.command_bytes(messages.Noop(1)))
    request = messages.AppendRequest(1, "b#first", 0, 0, [entry], 0, 1)
    found = raft.receive("b", request, 10_000)
    kinds = [type(effect) for effect in found]
    assert kinds.index(effects.AppendLog) < kinds.index(common.Send)


def test_a_follower_far_behind_gets_a_snapshot() -> None:
    calm = Calm()
    calm.run(3000)
    leader = calm.leader()
    away = next(n for n in NAMES if n != leader.name)
    calm.cut.add(away)
    for number in range(300):
        calm.propose(leader, str(number))
    calm.run(500)
    state = repr(leader.applied).encode()
    calm.perform(leader.name, leader.raft.compact(state, leader.raft.applied))
    calm.cut.clear()
    calm.run(2000)
    assert calm.words(away) == [str(number) for number in range(300)]
    restarted = calm.processes[away]
    restarted.restart()
    calm.run(500)
    assert calm.words(away) == [str(number) for number in range(300)]


def test_an_old_terms_entry_does_not_commit_by_counting() -> None:
    """Figure 8 of the Raft paper.

    A new leader finds an entry of an older term on a majority. If it told
    its operator "done" now and died, a process with a newer term's entry
    could still lead and replace it: the command would be undone.
    """
    calm = Calm()
    raft = calm.processes["a"].raft
    old = messages.Entry(1, 1, rafts.command_bytes(messages.Noop(1)))
    request = messages.AppendRequest(1, "b#first", 0, 0, [old], 0, 1)
    calm.processes["a"].perform(raft.receive("b", request, 0))
    raft.tick(10_000)
    raft.receive("b", messages.VoteReply(2, "b#first", True, True), 10_000)
    raft.receive("b", messages.VoteReply(2, "b#first", True, False), 10_000)
    assert raft.is_leader
    raft.receive("b", messages.AppendReply(2, "b#first", True, 1, 0), 10_000)
    assert raft.commit == 0
    raft.receive("b", messages.AppendReply(2, "b#first", True, 2, 0), 10_000)
    assert raft.commit == 2


def test_a_learner_votes_only_once_it_caught_up() -> None:
    """A process that lost its disk joins while it hears nothing.

    If it were given its vote at once, it would count towards a quorum with
    an empty log, and the loss of one more would stop every command.
    """
    calm = Calm()
    calm.run(3000)
    leader = calm.leader()
    for number in range(20):
        calm.propose(leader, str(number))
    calm.run(500)
    lost = next(n for n in NAMES if n != leader.name)
    calm.processes[lost].lose_disk(1)
    calm.cut.add(lost)
    request = messages.JoinRequest(f"{lost}#1", lost, "")
    calm.perform(leader.name, leader.raft.receive(lost, request, calm.now_ms))
    calm.run(2000)
    assert leader.raft.learners == [f"{lost}#1"]
    assert f"{lost}#first" in leader.raft.voters
    calm.cut.clear()
    calm.run(2000)
    assert f"{lost}#1" in leader.raft.voters


def test_one_change_of_voters_at_a_time() -> None:
    """Two changes in flight could make majorities that do not meet."""
    calm = Calm()
    calm.run(3000)
    leader = calm.leader()
    calm.cut |= set(NAMES) - {leader.name}
    raft = leader.raft
    raft.change_voters(["a#first", "b#first"], [], calm.now_ms)
    raft.change_voters(["a#first"], [], calm.now_ms)
    assert raft.voters == ["a#first", "b#first"]


TestAgreement = Agreement.TestCase
TestAgreement.settings = settings(max_examples=150, stateful_step_count=50)


def test_a_large_command_is_stored_small_and_read_back() -> None:
    """Names far apart in it repeat beyond the reach of a small window."""
    rng = random.Random(1)
    names = [rng.randbytes(12).hex() for _ in range(2000)]
    text = " ".join(names + names).encode()
    body = messages.Command("c", "op", 0, 1, text)
    stored = rafts.command_bytes(messages.CommandRequest(body, 0))
    assert len(stored) < 0.6 * len(zlib.compress(text, 1))
    entry = messages.Entry(1, 1, stored)
    assert rafts.command_of(entry).command.body == text
