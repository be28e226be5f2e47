"""The agreement core: who leads, what is agreed, what may be answered.

After Raft (Ongaro, "Consensus: Bridging Theory and Practice", 2014) with
pre-vote, check-quorum, read index, snapshots and one change of voters at a
time. It does no input or output: messages and ticks go in, effects come out.
"""

import dataclasses
import enum
import functools
import lzma
import random
import typing
import zlib

from trefoil_model import effects as common
from trefoil_model import errors
from trefoil_wire import frames
from trefoil_wire import messages

from . import effects
from . import log as logs

HEARTBEAT_MS = 150
ELECTION_MS = 600
BATCH_ENTRIES = 128
# Well under the largest frame; a configuration of some hundred routes is
# tens of kilobytes.
BATCH_BYTES = 512 * 1024
# Entries sent to a follower that it has not acknowledged yet.
WINDOW_ENTRIES = 256
# A follower that has been silent for longer gets no entries until it is
# heard again.
WINDOW_MS = 1000
COMPRESS_BYTES = 2048
# Beyond zlib's window of 32 KiB; a configuration names each of its routes
# twice, in the document as sent and in what was read from it.
FAR_COMPRESS_BYTES = 32 * 1024
FAR_MAGIC = b"\xfd7zXZ\x00"
# The top bit of the type code; there are far fewer than 128 types.
COMPRESSED = 0x80
CATCH_UP_ENTRIES = 2
# After a loss of power all processes are linked at the same moment; those that
# ask for votes together would split them, so they ask in turn.
FIRST_TRY_MS = 100
# A frozen or cut-off host is back within seconds on most occasions; one
# that stays away longer only raises the majority that the others must make.
GONE_MS = 8000
CHANGE_VOTERS_CODE = frames.CODES[messages.ChangeVoters]


class Role(enum.Enum):
    """What a process does in its term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


def name_of(identity: str) -> str:
    """Return the name of the process that an identity belongs to."""
    return identity.partition("#")[0]


@dataclasses.dataclass(slots=True)
class Progress:
    """What a leader knows of one follower."""

    next_index: int
    match_index: int = 0
    acked_round: int = 0
    acked_ms: int = 0
    snapshot_again_ms: int = 0


@dataclasses.dataclass(slots=True)
class Read:
    """A read that waits for a round of acknowledgements."""

    read_id: int
    round: int
    index: int


def command_bytes(message: typing.Any) -> bytes:
    """Return a message as the command of a log entry.

    Large ones are compressed: a configuration of hundreds of routes shrinks
    to a tenth, on every disk and on its way to each follower.
    """
    code, body = frames.pack_any(message)
    if len(body) < COMPRESS_BYTES:
        return bytes((code,)) + body
    if len(body) < FAR_COMPRESS_BYTES:
        return bytes((code | COMPRESSED,)) + zlib.compress(body, 1)
    return bytes((code | COMPRESSED,)) + lzma.compress(body, preset=0)


def code_of(entry: messages.Entry) -> int:
    """Return the type code of the message inside a log entry."""
    return entry.command[0] & ~COMPRESSED


def command_of(entry: messages.Entry) -> typing.Any:
    """Return the message inside a log entry.

    Raises:
        FrameError: The entry is malformed.
    """
    body = entry.command[1:]
    if entry.command[0] & COMPRESSED:
        try:
            far = body.startswith(FAR_MAGIC)
            body = lzma.decompress(body) if far else zlib.decompress(body)
        except (lzma.LZMAError, zlib.error) as error:
            raise errors.FrameError(f"malformed entry: {error}")
    return frames.unpack_any(code_of(entry), body)


class Raft:
    """One control process's part in the agreement.

    Args:
        identity: Name and nonce, ``name#nonce``; a new nonce after a lost
            disk.
        voters: The first voters, used until the log says otherwise.
        hard_state: The durable term and vote.
        snapshot: The durable snapshot, if any.
        entries: The durable entries after it.
        now_ms: The time on the runtime's clock.
        rng: Draws the election timeouts.
        heartbeat_ms: Pause between a leader's rounds.
        election_ms: Shortest silence before an election; the longest is
            twice that.
        least_voters: How many voters stay when others are gone for long;
            0 keeps all.
    """

    __slots__ = (
        "identity",
        "first_voters",
        "hard_state",
        "snapshot",
        "log",
        "rng",
        "heartbeat_ms",
        "election_ms",
        "least_voters",
        "met_leader",
        "role",
        "leader",
        "commit",
        "applied",
        "voters",
        "learners",
        "config_index",
        "election_at_ms",
        "heard_ms",
        "grants",
        "progress",
        "round",
        "round_sent_ms",
        "heartbeat_at_ms",
        "quorum_check_at_ms",
        "reads",
        "out",
        "now_ms",
    )

    def __init__(
        self,
        identity: str,
        *,
        voters: list[str],
        hard_state: messages.HardState,
        snapshot: messages.Snapshot | None = None,
        entries: list[messages.Entry] | None = None,
        now_ms: int = 0,
        rng: random.Random | None = None,
        heartbeat_ms: int = HEARTBEAT_MS,
        election_ms: int = ELECTION_MS,
        least_voters: int = 0,
    ) -> None:
        self.least_voters = least_voters
        self.identity = identity
        self.first_voters = sorted(voters)
        self.hard_state = hard_state
        self.snapshot = snapshot
        self.log = logs.Log(snapshot, entries or [])
        self.rng = rng or random.Random()
        self.heartbeat_ms = heartbeat_ms
        self.election_ms = election_ms
        self.role = Role.FOLLOWER
        self.leader = ""
        self.commit = self.log.base_index
        self.applied = self.log.base_index
        self.voters: list[str] = []
        self.learners: list[str] = []
        self.config_index = 0
        self.heard_ms = now_ms - election_ms
        self.grants: set[str] = set()
        self.progress: dict[str, Progress] = {}
        self.round = 0
        self.round_sent_ms: dict[int, int] = {}
        self.heartbeat_at_ms = 0
        self.quorum_check_at_ms = 0
        self.reads: list[Read] = []
        self.out: list[typing.Any] = []
        self.now_ms = now_ms
        self.election_at_ms = 0
        self._find_config()
        self.met_leader = False
        # Until a peer is reached there is nobody to ask for a vote.
        alone = self.majority == 1
        first_ms = 0 if alone else election_ms // 4
        self.election_at_ms = (
            now_ms + first_ms + self.rng.randrange(election_ms // 4)
        )

    # Facts

    @property
    def term(self) -> int:
        """Return the current term."""
        return self.hard_state.term

    @property
    def is_leader(self) -> bool:
        """Tell whether this process believes that it leads."""
        return self.role is Role.LEADER

    @property
    def majority(self) -> int:
        """Return how many voters make a quorum."""
        return len(self.voters) // 2 + 1

    # Input

    def tick(self, now_ms: int) -> list[typing.Any]:
        """Let time pass: elections, heartbeats, the quorum check."""
        self.now_ms = now_ms
        if self.is_leader:
            self._tick_leader()
        elif now_ms >= self.election_at_ms:
            self._campaign(pre_vote=True)
        return self._flush()

    def receive(
        self, sender: str, message: typing.Any, now_ms: int
    ) -> list[typing.Any]:
        """Take a peer's message.

        Args:
            sender: The peer's identity.
            message: One of the agreement's structs.
            now_ms: The time on the runtime's clock.
        """
        self.now_ms = now_ms
        handle(message, self, sender)
        return self._flush()

    def propose(
        self, message: typing.Any, now_ms: int
    ) -> tuple[int, list[typing.Any]]:
        """Append a message if this process leads.

        Returns:
            The entry's index, 0 if this process does not lead, and the
            effects.
        """
        self.now_ms = now_ms
        if not self.is_leader:
            return 0, []
        index = self._append(command_bytes(message))
        self._broadcast()
        self._advance_commit()
        return index, self._flush()

    def read(self, read_id: int, now_ms: int) -> list[typing.Any]:
        """Ask to answer a read from the agreed state.

        A leader that was frozen past its lease still believes that it leads
        and would answer from an old state. Each read waits for a majority
        to acknowledge a round begun after it came, which a deposed leader
        never gets.
        """
        self.now_ms = now_ms
        if not self.is_leader or self._own_term_uncommitted():
            return [effects.ReadFailed(read_id)]
        self.reads.append(Read(read_id, self.round + 1, self.commit))
        self._broadcast()
        self._answer_reads()
        return self._flush()

    def compact(self, state: bytes, index: int) -> list[typing.Any]:
        """Cover the entries up to an index by a snapshot.

        Args:
            state: The agreed state after the entry at the index.
            index: The entry that was applied last.
        """
        if index <= self.log.base_index:
            return []
        voters, learners = self._config_at(index)
        self.snapshot = messages.Snapshot(
            last_index=index,
            last_term=self.log.term_at(index),
            voters=voters,
            learners=learners,
            state=state,
        )
        self.log.compact(index, self.snapshot.last_term)
        return [effects.SaveSnapshot(self.snapshot)]

    def peer_reached(self, now_ms: int) -> None:
        """Note that a peer can be reached.

        After a loss of power the first tries of an election meet links that
        are not up. Callers are refused until somebody leads, so the next try
        does not wait for its turn.
        """
        self.now_ms = now_ms
        if not self.met_leader and self.role is not Role.LEADER:
            before = sum(peer < self.identity for peer in self.voters)
            soon_ms = now_ms + before * FIRST_TRY_MS
            self.election_at_ms = min(self.election_at_ms, soon_ms)

    def retire(self) -> None:
        """Neither lead nor answer any more; this core is not used again."""
        self.role = Role.FOLLOWER
        self.leader = ""
        self.reads = []
        self.out = []

    def change_voters(
        self, voters: list[str], learners: list[str], now_ms: int
    ) -> list[typing.Any]:
        """Append a change of the voters, one at a time.

        Two changes in flight could make majorities that do not meet, so a
        change waits until the one before it is agreed.
        """
        self.now_ms = now_ms
        if self.is_leader and self.config_index <= self.commit:
            self._change(voters, learners)
        return self._flush()

    # Elections

    def _reset_election(self) -> None:
        """Set when to campaign next.

        Nobody leads right after a loss of power, and the first try comes
        before the links are up. Pre-vote keeps a process that starts alone
        from disturbing a leader, so until one is met in this life the tries
        follow each other faster than a leader's silence would allow.
        """
        least_ms = spread_ms = self.election_ms
        if not self.met_leader:
            least_ms //= 4
            spread_ms //= 2
        self.election_at_ms = (
            self.now_ms + least_ms + self.rng.randrange(spread_ms)
        )

    def _campaign(self, *, pre_vote: bool) -> None:
        self._reset_election()
        if self.identity not in self.voters:
            return
        self.role = Role.PRE_CANDIDATE if pre_vote else Role.CANDIDATE
        self.leader = ""
        if not pre_vote:
            self._save(self.term + 1, self.identity)
        self.grants = {self.identity}
        request = messages.VoteRequest(
            term=self.term + 1 if pre_vote else self.term,
            candidate=self.identity,
            last_index=self.log.last_index,
            last_term=self.log.last_term,
            pre_vote=pre_vote,
        )
        for peer in self._others():
            self.out.append(common.Send(peer, request))
        self._count_grants()

    def _count_grants(self) -> None:
        if len(self.grants & set(self.voters)) < self.majority:
            return
        if self.role is Role.PRE_CANDIDATE:
            self._campaign(pre_vote=False)
        elif self.role is Role.CANDIDATE:
            self._lead()

    def _lead(self) -> None:
        self.role = Role.LEADER
        self.met_leader = True
        self.leader = self.identity
        self.reads = []
        self.round_sent_ms = {}
        self.progress = {}
        self.quorum_check_at_ms = self.now_ms + self.election_ms
        self._append(command_bytes(messages.Noop(term=self.term)))
        self._sync_progress()
        self.out.append(common.Note("quorum.leading", {"term": self.term}))
        self._broadcast()
        self._advance_commit()

    def _step_down(self, term: int, leader: str = "") -> None:
        if term > self.term:
            self._save(term, "")
        if self.is_leader:
            self.out.append(
                common.Note("quorum.stepped_down", {"term": self.term})
            )
        self.role = Role.FOLLOWER
        self.leader = leader
        for read in self.reads:
            self.out.append(effects.ReadFailed(read.read_id))
        self.reads = []
        self._reset_election()

    def _save(self, term: int, voted_for: str) -> None:
        self.hard_state = messages.HardState(
            term=term, voted_for=voted_for, identity=self.identity
        )
        self.out.append(effects.SaveHardState(self.hard_state))

    def on_vote_request(self, request: messages.VoteRequest) -> None:
        """Grant or refuse a vote."""
        granted = self._may_grant(request)
        if request.pre_vote:
            self._reply_vote(request, granted, self.term)
            return
        if request.term > self.term and self._ignores_candidates():
            # A peer that was cut off or removed would else depose a leader
            # that serves well; pre-vote stops most such calls, this stops
            # the rest.
            return
        if request.term > self.term:
            self._step_down(request.term)
            granted = self._may_grant(request)
        if granted:
            self._save(self.term, request.candidate)
            self._reset_election()
        self._reply_vote(request, granted, self.term)

    def _ignores_candidates(self) -> bool:
        fresh = self.now_ms - self.heard_ms < self.election_ms
        return self.is_leader or (bool(self.leader) and fresh)

    def _may_grant(self, request: messages.VoteRequest) -> bool:
        if self.identity not in self.voters or request.term < self.term:
            return False
        mine = (self.log.last_term, self.log.last_index)
        if (request.last_term, request.last_index) < mine:
            return False
        if request.pre_vote:
            return request.term > self.term and not self._ignores_candidates()
        if request.term > self.term:
            return True
        return self.hard_state.voted_for in ("", request.candidate)

    def _reply_vote(
        self, request: messages.VoteRequest, granted: bool, term: int
    ) -> None:
        reply = messages.VoteReply(
            term=request.term if granted else term,
            voter=self.identity,
            granted=granted,
            pre_vote=request.pre_vote,
        )
        self.out.append(common.Send(request.candidate, reply))

    def on_vote_reply(self, reply: messages.VoteReply) -> None:
        """Count a vote."""
        if not reply.granted:
            if reply.term > self.term:
                self._step_down(reply.term)
            return
        if reply.pre_vote:
            expected = self.role is Role.PRE_CANDIDATE
            current = reply.term == self.term + 1
        else:
            expected = self.role is Role.CANDIDATE
            current = reply.term == self.term
        if expected and current:
            self.grants.add(reply.voter)
            self._count_grants()

    # Replication, leader's side

    def _tick_leader(self) -> None:
        if self.now_ms >= self.quorum_check_at_ms:
            self.quorum_check_at_ms = self.now_ms + self.election_ms
            if not self._quorum_heard():
                # A leader on the minority's side of a cut would hold
                # commands for ever; stepping down lets its process say
                # that the outcome is pending and look for the new leader.
                self._step_down(self.term)
                return
        if self.now_ms >= self.heartbeat_at_ms:
            self._broadcast()
        self._promote_learner()
        self._drop_gone_voter()

    def _quorum_heard(self) -> bool:
        since = self.now_ms - 2 * self.election_ms
        heard = sum(
            1
            for peer in self._others()
            if peer in self.progress and self.progress[peer].acked_ms > since
        )
        own = 1 if self.identity in self.voters else 0
        return heard + own >= self.majority

    def _append(self, command: bytes) -> int:
        entry = messages.Entry(
            index=self.log.last_index + 1, term=self.term, command=command
        )
        self.log.append(entry)
        self.out.append(effects.AppendLog([entry]))
        return entry.index

    def _broadcast(self) -> None:
        self.round += 1
        self.round_sent_ms[self.round] = self.now_ms
        self.round_sent_ms.pop(self.round - 64, None)
        self.heartbeat_at_ms = self.now_ms + self.heartbeat_ms
        for peer in self.progress:
            self._send_append(peer)

    def _send_append(self, peer: str) -> None:
        progress = self.progress[peer]
        previous = progress.next_index - 1
        previous_term = self.log.term_at(previous)
        if previous_term is None:
            if self.now_ms < progress.snapshot_again_ms:
                return
            progress.snapshot_again_ms = self.now_ms + WINDOW_MS
            self.out.append(
                common.Send(
                    peer,
                    messages.SnapshotRequest(
                        term=self.term,
                        leader=self.identity,
                        snapshot=self.snapshot,
                    ),
                )
            )
            return
        request = messages.AppendRequest(
            term=self.term,
            leader=self.identity,
            prev_index=previous,
            prev_term=previous_term,
            entries=self._batch_for(progress),
            commit=self.commit,
            round=self.round,
        )
        progress.next_index += len(request.entries)
        self.out.append(common.Send(peer, request))

    def _batch_for(self, progress: Progress) -> list[messages.Entry]:
        """Return the entries to send to a follower now.

        What was sent is not sent again until the follower says that it is
        missing, and one that is frozen or cut off gets none. With each
        heartbeat the whole difference would else pile up on its way, and
        the follower would run out of memory when it wakes.
        """
        waiting = progress.next_index - 1 - progress.match_index
        silent = self.now_ms - progress.acked_ms >= WINDOW_MS
        if waiting >= WINDOW_ENTRIES or (waiting > 0 and silent):
            return []
        found = self.log.slice_from(progress.next_index, BATCH_ENTRIES)
        size = 0
        for count, entry in enumerate(found):
            size += len(entry.command)
            if size > BATCH_BYTES and count:
                return found[:count]
        return found

    def on_append_reply(self, reply: messages.AppendReply) -> None:
        """Note how far a follower has come."""
        if reply.term > self.term:
            self._step_down(reply.term)
            return
        progress = self.progress.get(reply.follower)
        if not self.is_leader or progress is None or reply.term < self.term:
            return
        self._note_ack(progress, reply.round)
        if not reply.success:
            if reply.match_index >= progress.next_index - 1:
                # An earlier refusal was answered already.
                return
            progress.next_index = max(reply.match_index + 1, 1)
            self._send_append(reply.follower)
            return
        grew = reply.match_index > progress.match_index
        progress.match_index = max(progress.match_index, reply.match_index)
        progress.next_index = max(
            progress.next_index, progress.match_index + 1
        )
        self._advance_commit()
        self._answer_reads()
        if grew and progress.next_index <= self.log.last_index:
            self._send_append(reply.follower)

    def _note_ack(self, progress: Progress, at_round: int) -> None:
        sent_ms = self.round_sent_ms.get(at_round)
        if sent_ms is None:
            return
        progress.acked_round = max(progress.acked_round, at_round)
        progress.acked_ms = max(progress.acked_ms, sent_ms)

    def _advance_commit(self) -> None:
        matches = [
            (
                self.log.last_index
                if voter == self.identity
                else self._match_of(voter)
            )
            for voter in self.voters
        ]
        agreed = sorted(matches, reverse=True)[self.majority - 1]
        # Only an entry of the own term commits by counting; an older one
        # could still be replaced by a leader that never saw it (figure 8
        # of the Raft paper).
        if agreed > self.commit and self.log.term_at(agreed) == self.term:
            self.commit = agreed
            self._apply()
            self._leave_if_removed()
            if self.is_leader and self.progress:
                # Followers serve the fleet too; waiting for the next
                # heartbeat would add its period to every convergence.
                self._broadcast()

    def _match_of(self, voter: str) -> int:
        progress = self.progress.get(voter)
        return progress.match_index if progress else 0

    def _leave_if_removed(self) -> None:
        if self.identity not in self.voters:
            self._step_down(self.term)

    def _answer_reads(self) -> None:
        waiting = []
        for read in self.reads:
            acks = sum(
                1
                for voter in self.voters
                if voter == self.identity
                or self._acked_round(voter) >= read.round
            )
            if acks >= self.majority and self.applied >= read.index:
                self.out.append(effects.ReadReady(read.read_id))
            else:
                waiting.append(read)
        self.reads = waiting

    def _acked_round(self, voter: str) -> int:
        progress = self.progress.get(voter)
        return progress.acked_round if progress else 0

    def _own_term_uncommitted(self) -> bool:
        return self.log.term_at(self.commit) != self.term

    # Replication, follower's side

    def on_append(self, request: messages.AppendRequest) -> None:
        """Take entries from the leader."""
        if request.term < self.term:
            self._reply_append(request.leader, False, 0, request.round)
            return
        self._follow(request.term, request.leader)
        covered = request.prev_index < self.log.base_index
        known_term = self.log.term_at(request.prev_index)
        if not covered and known_term != request.prev_term:
            hint = min(self.log.last_index, request.prev_index - 1)
            self._reply_append(
                request.leader, False, max(hint, 0), request.round
            )
            return
        matched = self._merge(request)
        if request.commit > self.commit:
            self.commit = max(self.commit, min(request.commit, matched))
            self._apply()
        self._reply_append(request.leader, True, matched, request.round)

    def _follow(self, term: int, leader: str) -> None:
        if term > self.term or self.role is not Role.FOLLOWER:
            self._step_down(term, leader)
        self.leader = leader
        self.met_leader = True
        self.heard_ms = self.now_ms
        self._reset_election()

    def _merge(self, request: messages.AppendRequest) -> int:
        fresh: list[messages.Entry] = []
        truncate_from = 0
        for entry in request.entries:
            if entry.index <= self.log.base_index:
                continue
            if not fresh and self.log.term_at(entry.index) == entry.term:
                continue
            if not fresh and entry.index <= self.log.last_index:
                truncate_from = entry.index
                self.log.truncate_from(entry.index)
            fresh.append(entry)
            self.log.append(entry)
        if fresh:
            self.out.append(effects.AppendLog(fresh, truncate_from))
            self._find_config()
        return max(
            request.prev_index + len(request.entries), self.log.base_index
        )

    def _reply_append(
        self, leader: str, success: bool, match_index: int, at_round: int
    ) -> None:
        reply = messages.AppendReply(
            term=self.term,
            follower=self.identity,
            success=success,
            match_index=match_index,
            round=at_round,
        )
        self.out.append(common.Send(leader, reply))

    def on_snapshot(self, request: messages.SnapshotRequest) -> None:
        """Take a snapshot from the leader."""
        if request.term < self.term:
            self._reply_append(request.leader, False, 0, 0)
            return
        self._follow(request.term, request.leader)
        snapshot = request.snapshot
        if snapshot.last_index > self.commit:
            keep = self.log.term_at(snapshot.last_index) == snapshot.last_term
            if not keep:
                self.log.entries = []
                self.log.base_index = snapshot.last_index
            self.log.compact(snapshot.last_index, snapshot.last_term)
            self.snapshot = snapshot
            if not keep:
                self.out.append(effects.AppendLog([], snapshot.last_index + 1))
            self.out.append(effects.SaveSnapshot(snapshot))
            self.out.append(effects.Restore(snapshot))
            self.commit = snapshot.last_index
            self.applied = snapshot.last_index
            self._find_config()
        self._reply_append(
            request.leader, True, max(self.commit, snapshot.last_index), 0
        )

    # Common

    def _apply(self) -> None:
        while self.applied < self.commit:
            self.applied += 1
            self.out.append(effects.Apply(self.log.entry(self.applied)))

    def _others(self) -> list[str]:
        return [peer for peer in self.voters if peer != self.identity]

    def _config_at(self, index: int) -> tuple[list[str], list[str]]:
        """Return voters and learners as of an index."""
        for entry in reversed(self.log.entries):
            if entry.index > index:
                continue
            if code_of(entry) == CHANGE_VOTERS_CODE:
                change = command_of(entry)
                return change.voters, change.learners
        if self.snapshot is not None:
            return self.snapshot.voters, self.snapshot.learners
        return self.first_voters, []

    def _find_config(self) -> None:
        self.voters, self.learners = self._config_at(self.log.last_index)
        self.config_index = next(
            (
                entry.index
                for entry in reversed(self.log.entries)
                if code_of(entry) == CHANGE_VOTERS_CODE
            ),
            self.log.base_index,
        )
        if self.is_leader:
            self._sync_progress()

    def _sync_progress(self) -> None:
        peers = set(self.voters) | set(self.learners)
        peers.discard(self.identity)
        self.progress = {
            peer: self.progress.get(peer)
            or Progress(
                next_index=self.log.last_index + 1, acked_ms=self.now_ms
            )
            for peer in sorted(peers)
        }

    # Membership

    def _change(self, voters: list[str], learners: list[str]) -> None:
        change = messages.ChangeVoters(
            voters=sorted(voters), learners=sorted(learners)
        )
        self._append(command_bytes(change))
        self._find_config()
        self._broadcast()
        self._advance_commit()

    def on_join(self, request: messages.JoinRequest) -> None:
        """Take a process that lost its disk as a learner."""
        known = set(self.voters) | set(self.learners)
        if not self.is_leader or request.identity in known:
            return
        if self.config_index > self.commit:
            return
        name = name_of(request.identity)
        learners = [peer for peer in self.learners if name_of(peer) != name]
        self._change(self.voters, learners + [request.identity])

    def _promote_learner(self) -> None:
        """Let a learner that has caught up take its old identity's vote.

        Swapping both in one entry is safe though it changes two names: the
        old identity's process runs under the new one and never votes again,
        so every majority that can still form under the old voters meets
        every majority under the new ones. Removing first would leave no
        spare while the learner catches up.
        """
        if self.config_index > self.commit:
            return
        for learner in self.learners:
            progress = self.progress.get(learner)
            if progress is None:
                continue
            behind = self.log.last_index - progress.match_index
            if progress.match_index == 0 or behind > CATCH_UP_ENTRIES:
                continue
            name = name_of(learner)
            voters = [v for v in self.voters if name_of(v) != name]
            learners = [peer for peer in self.learners if peer != learner]
            self._change(voters + [learner], learners)
            return

    def _drop_gone_voter(self) -> None:
        """Take the vote of a host that has been silent for long.

        Hosts that are lost for good and replaced would else count for ever:
        after two replacements of four, all four that live must agree, and
        the next loss stops every command. One that comes back asks to be
        let in again.
        """
        keeps_all = not self.least_voters
        if keeps_all or len(self.voters) <= self.least_voters:
            return
        if self.config_index > self.commit:
            return
        for voter in self._others():
            progress = self.progress.get(voter)
            if progress and self.now_ms - progress.acked_ms >= GONE_MS:
                left = [peer for peer in self.voters if peer != voter]
                self.out.append(
                    common.Note("quorum.voter_dropped", {"voter": voter})
                )
                self._change(left, self.learners)
                return

    def _flush(self) -> list[typing.Any]:
        out = self.out
        self.out = []
        return out


@functools.singledispatch
def handle(message: typing.Any, raft: Raft, sender: str) -> None:
    """Take a message of the agreement; others are ignored."""


@handle.register
def _(message: messages.VoteRequest, raft: Raft, sender: str) -> None:
    raft.on_vote_request(message)


@handle.register
def _(message: messages.VoteReply, raft: Raft, sender: str) -> None:
    raft.on_vote_reply(message)


@handle.register
def _(message: messages.AppendRequest, raft: Raft, sender: str) -> None:
    raft.on_append(message)


@handle.register
def _(message: messages.AppendReply, raft: Raft, sender: str) -> None:
    raft.on_append_reply(message)


@handle.register
def _(message: messages.SnapshotRequest, raft: Raft, sender: str) -> None:
    raft.on_snapshot(message)


@handle.register
def _(message: messages.JoinRequest, raft: Raft, sender: str) -> None:
    raft.on_join(message)
