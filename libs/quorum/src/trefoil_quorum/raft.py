"""The Raft core: leader election, log replication and linearizable reads.

Implements Raft (Ongaro, "Consensus: Bridging Theory and Practice", 2014) with
pre-vote, check-quorum, read index, snapshots and single-step membership
changes. It does no input or output: it takes messages and ticks and returns
effects.
"""

import dataclasses
import enum
import functools
import random
import typing

from trefoil_model import effects as common
from trefoil_wire import commands
from trefoil_wire import frames
from trefoil_wire import messages

from . import effects
from . import log as logs
from . import pacing

HEARTBEAT_MS = 150
ELECTION_MS = 600
BATCH_ENTRIES = 128
# Well below the frame size limit. A configuration of a few hundred routes
# takes hundreds of kilobytes.
BATCH_BYTES = 512 * 1024
# Limit on the entries sent to a follower but not yet acknowledged by it.
WINDOW_ENTRIES = 256
# A follower with unacknowledged entries that has not replied for this long
# gets no more until it replies. Also the interval for resending a snapshot.
FOLLOWER_TIMEOUT_MS = 1000
# A learner that lacks at most this many entries may become a voter.
MAX_PROMOTION_LAG_ENTRIES = 2
# After a power loss all processes connect at the same moment. Simultaneous
# candidates would split the vote, so the voters' first elections are staggered
# by this interval.
ELECTION_STAGGER_MS = 100
# A suspended or partitioned host usually returns within seconds. A voter that
# stays silent longer only enlarges the majority that the others must form.
VOTER_REMOVAL_MS = 8000
CHANGE_VOTERS_CODE = frames.CODES[messages.ChangeVoters]


class Role(enum.Enum):
    """Role of a process in its current term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


def process_name(identity: str) -> str:
    """Return the process name in an identity of the form ``name#nonce``."""
    return identity.partition("#")[0]


@dataclasses.dataclass(slots=True)
class Progress:
    """The leader's replication state for one follower.

    Attributes:
        next_index: Index of the next entry to send.
        match_index: Highest index known to be stored on the follower.
        acked_round: Latest round of append requests that it acknowledged.
        acked_ms: When that round was sent, or when tracking began.
        snapshot_retry_ms: Earliest time to send the snapshot again.
    """

    next_index: int
    match_index: int = 0
    acked_round: int = 0
    acked_ms: int = 0
    snapshot_retry_ms: int = 0


@dataclasses.dataclass(slots=True)
class Read:
    """A read that waits until a majority acknowledges a round.

    Attributes:
        read_id: Identifies the read to the caller.
        round: First round whose acknowledgements confirm the leader.
        index: Commit index when the read arrived; it must be applied.
    """

    read_id: int
    round: int
    index: int


class Raft:
    """The Raft state machine of one control process.

    Args:
        identity: Name and nonce, ``name#nonce``. A process that lost its disk
            gets a new nonce.
        voters: Identities of the initial voters, used until the log or the
            snapshot holds a membership change.
        hard_state: The durable term and vote.
        snapshot: The durable snapshot, if any.
        entries: The durable entries after the snapshot.
        now_ms: Current time on the runtime's clock.
        rng: Source of the randomized election timeouts.
        heartbeat_ms: Interval between a leader's heartbeats.
        election_ms: Minimum election timeout; the maximum is twice that.
        min_voters: Silent voters are removed only while more than this many
            voters remain. 0 disables removal.

    Attributes:
        leader_commit: Commit index in the newest message of a leader, -1
            before the first one.
        caught_up: Whether the applied state has been, since the start, as new
            as that of a leader. Until then it is that of the last snapshot.
    """

    __slots__ = (
        "identity",
        "initial_voters",
        "hard_state",
        "snapshot",
        "log",
        "rng",
        "heartbeat_ms",
        "election_ms",
        "min_voters",
        "leader_seen",
        "role",
        "leader",
        "commit",
        "applied",
        "leader_commit",
        "caught_up",
        "voters",
        "learners",
        "config_index",
        "election_at_ms",
        "pacing",
        "last_received_ms",
        "votes_granted",
        "progress",
        "round",
        "round_sent_ms",
        "heartbeat_at_ms",
        "quorum_check_at_ms",
        "reads",
        "pending_effects",
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
        min_voters: int = 0,
    ) -> None:
        self.min_voters = min_voters
        self.identity = identity
        self.initial_voters = sorted(voters)
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
        self.leader_commit = -1
        self.caught_up = False
        self.voters: list[str] = []
        self.learners: list[str] = []
        self.config_index = 0
        self.last_received_ms = now_ms - election_ms
        self.votes_granted: set[str] = set()
        self.progress: dict[str, Progress] = {}
        self.round = 0
        self.round_sent_ms: dict[int, int] = {}
        self.heartbeat_at_ms = 0
        self.quorum_check_at_ms = 0
        self.reads: list[Read] = []
        self.pending_effects: list[typing.Any] = []
        self.now_ms = now_ms
        self.election_at_ms = 0
        self.pacing = pacing.ElectionPacing(election_ms)
        self._update_config()
        self.leader_seen = False
        # A single voter starts an election immediately. With more voters, no
        # peer is reachable yet that could be asked for a vote.
        only_voter = self.majority == 1
        first_ms = 0 if only_voter else election_ms // 4
        self.election_at_ms = (
            now_ms + first_ms + self.rng.randrange(election_ms // 4)
        )

    # State

    @property
    def term(self) -> int:
        """Return the current term."""
        return self.hard_state.term

    @property
    def is_leader(self) -> bool:
        """Return whether this process considers itself the leader.

        A deposed leader does so until it learns of the newer term or its
        quorum check fails.
        """
        return self.role is Role.LEADER

    @property
    def majority(self) -> int:
        """Return the number of voters that form a quorum."""
        return len(self.voters) // 2 + 1

    # Input

    def tick(self, now_ms: int) -> list[typing.Any]:
        """Run what is due: elections, heartbeats and the quorum check.

        Args:
            now_ms: Current time on the runtime's clock.
        """
        self._advance_time(now_ms)
        if self.is_leader:
            self._tick_leader()
        elif now_ms >= self.election_at_ms:
            self._campaign(pre_vote=True)
        return self._flush()

    def receive(
        self, sender: str, message: typing.Any, now_ms: int
    ) -> list[typing.Any]:
        """Process a message from a peer.

        Args:
            sender: The peer's identity.
            message: A Raft message; messages of other types are ignored.
            now_ms: Current time on the runtime's clock.
        """
        self._advance_time(now_ms)
        handle_message(message, self, sender)
        return self._flush()

    def _advance_time(self, now_ms: int) -> None:
        """Set the time; the time of a write is no silence of the peers.

        A write to disk blocks the process. Messages of that time are read
        after it, behind the tick that would start an election.
        """
        self.now_ms = now_ms
        stalled_ms = self.pacing.stalled_ms(now_ms)
        self.election_at_ms += stalled_ms
        self.quorum_check_at_ms += stalled_ms

    def propose(
        self, message: typing.Any, now_ms: int
    ) -> tuple[int, list[typing.Any]]:
        """Append a message to the log if this process is the leader.

        Returns:
            The index of the new entry, or 0 if this process is not the
            leader; and the effects.
        """
        self._advance_time(now_ms)
        if not self.is_leader:
            return 0, []
        index = self._append(commands.encode(message))
        self._broadcast()
        self._advance_commit()
        return index, self._flush()

    def read(self, read_id: int, now_ms: int) -> list[typing.Any]:
        """Start a linearizable read of the applied state (read index).

        A leader that was suspended past its lease still considers itself the
        leader and would answer from stale state. Each read therefore waits
        until a majority has acknowledged a round started after the read
        arrived. A deposed leader never gets these acknowledgements.

        Args:
            read_id: Returned in the ``ReadReady`` or ``ReadFailed`` effect.
            now_ms: Current time on the runtime's clock.
        """
        self.now_ms = now_ms
        if not self.is_leader or self._own_term_uncommitted():
            return [effects.ReadFailed(read_id)]
        self.reads.append(Read(read_id, self.round + 1, self.commit))
        self._broadcast()
        self._answer_reads()
        return self._flush()

    def compact(self, state: bytes, index: int) -> list[typing.Any]:
        """Replace the log up to an index by a snapshot.

        Args:
            state: The serialized state after applying the entry at the index.
            index: Index of the entry that was applied last.
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

    def on_peer_reachable(self, now_ms: int) -> None:
        """Bring the next election forward, now that a peer is reachable.

        After a power loss the first election attempts fail because no links
        are up yet. Callers are refused until there is a leader, so the next
        attempt does not wait for the election timeout. Voters start in order
        of identity, staggered by ``ELECTION_STAGGER_MS``.
        """
        self.now_ms = now_ms
        if not self.leader_seen and self.role is not Role.LEADER:
            rank = sum(peer < self.identity for peer in self.voters)
            staggered_ms = now_ms + rank * ELECTION_STAGGER_MS
            self.election_at_ms = min(self.election_at_ms, staggered_ms)

    def retire(self) -> None:
        """Drop leadership and pending reads before the core is discarded."""
        self.role = Role.FOLLOWER
        self.leader = ""
        self.reads = []
        self.pending_effects = []

    def change_voters(
        self, voters: list[str], learners: list[str], now_ms: int
    ) -> list[typing.Any]:
        """Append a membership change unless another is still uncommitted.

        Two changes in flight could form majorities that do not overlap, so a
        request is ignored until the previous change is committed.
        """
        self.now_ms = now_ms
        if self.is_leader and self.config_index <= self.commit:
            self._append_voter_change(voters, learners)
        return self._flush()

    # Elections

    def _reset_election_timer(self, *, voted: bool = False) -> None:
        """Draw the time of the next election.

        Right after a power loss there is no leader, and the first election
        attempt comes before the links are up. Pre-vote keeps a process that
        starts alone from disrupting a leader. It is therefore safe to retry
        sooner than the regular election timeout until this process has seen a
        leader since its start. One that has voted leaves the candidate the
        regular time: its disk may be slower than this one.
        """
        first = not self.leader_seen and not voted
        self.election_at_ms = self.now_ms + self.pacing.draw_ms(
            self.rng, min_part=4 if first else 1, spread_part=2 if first else 1
        )

    def _campaign(self, *, pre_vote: bool) -> None:
        self._reset_election_timer()
        if self.identity not in self.voters:
            return
        self.role = Role.PRE_CANDIDATE if pre_vote else Role.CANDIDATE
        self.leader = ""
        if not pre_vote:
            self.pacing.failed_elections += 1
            self._save_hard_state(self.term + 1, self.identity)
        self.votes_granted = {self.identity}
        request = messages.VoteRequest(
            term=self.term + 1 if pre_vote else self.term,
            candidate=self.identity,
            last_index=self.log.last_index,
            last_term=self.log.last_term,
            pre_vote=pre_vote,
        )
        for peer in self._other_voters():
            self.pending_effects.append(common.Send(peer, request))
        self._count_votes()

    def _count_votes(self) -> None:
        if len(self.votes_granted & set(self.voters)) < self.majority:
            return
        if self.role is Role.PRE_CANDIDATE:
            self._campaign(pre_vote=False)
        elif self.role is Role.CANDIDATE:
            self._become_leader()

    def _become_leader(self) -> None:
        self.role = Role.LEADER
        self.leader_seen = True
        self.leader = self.identity
        self.reads = []
        self.round_sent_ms = {}
        self.progress = {}
        self.quorum_check_at_ms = self.now_ms + self.pacing.timeout_ms
        self._append(commands.encode(messages.Noop(term=self.term)))
        self._sync_progress()
        self.pending_effects.append(
            common.Note("quorum.leading", {"term": self.term})
        )
        self._broadcast()
        self._advance_commit()

    def _step_down(self, term: int, leader: str = "") -> None:
        if term > self.term:
            self._save_hard_state(term, "")
        if self.is_leader:
            self.pending_effects.append(
                common.Note("quorum.stepped_down", {"term": self.term})
            )
        self.role = Role.FOLLOWER
        self.leader = leader
        for read in self.reads:
            self.pending_effects.append(effects.ReadFailed(read.read_id))
        self.reads = []
        self._reset_election_timer()

    def _save_hard_state(self, term: int, voted_for: str) -> None:
        self.hard_state = messages.HardState(
            term=term, voted_for=voted_for, identity=self.identity
        )
        self.pending_effects.append(effects.SaveHardState(self.hard_state))

    def on_vote_request(self, request: messages.VoteRequest) -> None:
        """Reply to a vote or pre-vote request."""
        granted = self._can_grant(request)
        if request.pre_vote:
            self._reply_vote(request, granted, self.term)
            return
        if request.term > self.term and self._ignores_candidates():
            # Otherwise a peer that was partitioned or removed would depose a
            # healthy leader. Pre-vote prevents most such requests; this check
            # stops the rest.
            return
        if request.term > self.term:
            self._step_down(request.term)
            granted = self._can_grant(request)
        if granted:
            self._save_hard_state(self.term, request.candidate)
            self._reset_election_timer(voted=True)
        self._reply_vote(request, granted, self.term)

    def _ignores_candidates(self) -> bool:
        recent = self.now_ms - self.last_received_ms < self.pacing.timeout_ms
        return self.is_leader or (bool(self.leader) and recent)

    def _can_grant(self, request: messages.VoteRequest) -> bool:
        if self.identity not in self.voters or request.term < self.term:
            return False
        own_last = (self.log.last_term, self.log.last_index)
        if (request.last_term, request.last_index) < own_last:
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
        self.pending_effects.append(common.Send(request.candidate, reply))

    def on_vote_reply(self, reply: messages.VoteReply) -> None:
        """Count a granted vote, or step down if the voter's term is newer."""
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
            self.votes_granted.add(reply.voter)
            self._count_votes()

    # Replication: leader

    def _tick_leader(self) -> None:
        if self.now_ms >= self.quorum_check_at_ms:
            self.quorum_check_at_ms = self.now_ms + self.pacing.timeout_ms
            if not self._quorum_active():
                # A leader in the minority partition would keep its commands
                # waiting indefinitely. After stepping down, its process can
                # report the outcome as pending and look for the new leader.
                self._step_down(self.term)
                return
        if self.now_ms >= self.heartbeat_at_ms:
            self._broadcast()
        self._promote_learner()
        self._remove_silent_voter()

    def _quorum_active(self) -> bool:
        since_ms = self.now_ms - 2 * self.pacing.timeout_ms
        active = sum(
            1
            for peer in self._other_voters()
            if peer in self.progress
            and self.progress[peer].acked_ms > since_ms
        )
        own = 1 if self.identity in self.voters else 0
        return active + own >= self.majority

    def _append(self, command: bytes) -> int:
        entry = messages.Entry(
            index=self.log.last_index + 1, term=self.term, command=command
        )
        self.log.append(entry)
        self.pending_effects.append(effects.AppendLog([entry]))
        return entry.index

    def _broadcast(self) -> None:
        self.round += 1
        self.round_sent_ms[self.round] = self.now_ms
        # Only the send times of the last 64 rounds are kept.
        self.round_sent_ms.pop(self.round - 64, None)
        self.heartbeat_at_ms = self.now_ms + self.heartbeat_ms
        for peer in self.progress:
            self._send_append(peer)

    def _send_append(self, peer: str) -> None:
        progress = self.progress[peer]
        previous = progress.next_index - 1
        previous_term = self.log.term_at(previous)
        if previous_term is None:
            if self.now_ms < progress.snapshot_retry_ms:
                return
            progress.snapshot_retry_ms = self.now_ms + FOLLOWER_TIMEOUT_MS
            self.pending_effects.append(
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
        self.pending_effects.append(common.Send(peer, request))

    def _batch_for(self, progress: Progress) -> list[messages.Entry]:
        """Return the entries to send to a follower now.

        Entries are not sent again until the follower reports them missing,
        and a follower that is suspended or partitioned gets none. Otherwise
        each heartbeat would queue all missing entries again on the link, and
        the follower would run out of memory when it resumes.
        """
        unacknowledged = progress.next_index - 1 - progress.match_index
        silent = self.now_ms - progress.acked_ms >= FOLLOWER_TIMEOUT_MS
        if unacknowledged >= WINDOW_ENTRIES or (unacknowledged > 0 and silent):
            return []
        batch = self.log.slice_from(progress.next_index, BATCH_ENTRIES)
        size = 0
        for count, entry in enumerate(batch):
            size += len(entry.command)
            if size > BATCH_BYTES and count:
                return batch[:count]
        return batch

    def on_append_reply(self, reply: messages.AppendReply) -> None:
        """Update a follower's progress from its reply."""
        if reply.term > self.term:
            self._step_down(reply.term)
            return
        progress = self.progress.get(reply.follower)
        if not self.is_leader or progress is None or reply.term < self.term:
            return
        self._record_ack(progress, reply.round)
        if not reply.success:
            if reply.match_index >= progress.next_index - 1:
                # A duplicate rejection; the first was already handled.
                return
            progress.next_index = max(reply.match_index + 1, 1)
            self._send_append(reply.follower)
            return
        advanced = reply.match_index > progress.match_index
        progress.match_index = max(progress.match_index, reply.match_index)
        progress.next_index = max(
            progress.next_index, progress.match_index + 1
        )
        self._advance_commit()
        self._answer_reads()
        if advanced and progress.next_index <= self.log.last_index:
            self._send_append(reply.follower)

    def _record_ack(self, progress: Progress, round_number: int) -> None:
        sent_ms = self.round_sent_ms.get(round_number)
        if sent_ms is None:
            return
        progress.acked_round = max(progress.acked_round, round_number)
        progress.acked_ms = max(progress.acked_ms, sent_ms)

    def _advance_commit(self) -> None:
        matches = [
            (
                self.log.last_index
                if voter == self.identity
                else self._match_index(voter)
            )
            for voter in self.voters
        ]
        matched = sorted(matches, reverse=True)[self.majority - 1]
        # Only entries of the current term are committed by counting
        # replicas. An older entry could still be overwritten by a leader that
        # never received it (figure 8 of the Raft paper).
        if matched > self.commit and self.log.term_at(matched) == self.term:
            self.commit = matched
            self.caught_up = True
            self.pacing.failed_elections = 0
            self._apply()
            self._step_down_if_removed()
            if self.is_leader and self.progress:
                # Followers also distribute configurations to the fleet.
                # Waiting for the next heartbeat would add its interval to the
                # convergence time of every configuration.
                self._broadcast()

    def _match_index(self, voter: str) -> int:
        progress = self.progress.get(voter)
        return progress.match_index if progress else 0

    def _step_down_if_removed(self) -> None:
        if self.identity not in self.voters:
            self._step_down(self.term)

    def _answer_reads(self) -> None:
        pending = []
        for read in self.reads:
            acks = sum(
                1
                for voter in self.voters
                if voter == self.identity
                or self._acked_round(voter) >= read.round
            )
            if acks >= self.majority and self.applied >= read.index:
                self.pending_effects.append(effects.ReadReady(read.read_id))
            else:
                pending.append(read)
        self.reads = pending

    def _acked_round(self, voter: str) -> int:
        progress = self.progress.get(voter)
        return progress.acked_round if progress else 0

    def _own_term_uncommitted(self) -> bool:
        return self.log.term_at(self.commit) != self.term

    # Replication: follower

    def on_append(self, request: messages.AppendRequest) -> None:
        """Append entries from the leader and reply."""
        if request.term < self.term:
            self._reply_append(request.leader, False, 0, request.round)
            return
        self._follow_leader(request.term, request.leader)
        self.leader_commit = request.commit
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
            if not self._own_term_uncommitted():
                self.pacing.failed_elections = 0
            self._apply()
        self._check_caught_up()
        self._reply_append(request.leader, True, matched, request.round)

    def _follow_leader(self, term: int, leader: str) -> None:
        if term > self.term or self.role is not Role.FOLLOWER:
            self._step_down(term, leader)
        self.leader = leader
        self.leader_seen = True
        self.last_received_ms = self.now_ms
        self._reset_election_timer()

    def _merge(self, request: messages.AppendRequest) -> int:
        added: list[messages.Entry] = []
        truncate_from = 0
        for entry in request.entries:
            if entry.index <= self.log.base_index:
                continue
            if not added and self.log.term_at(entry.index) == entry.term:
                continue
            if not added and entry.index <= self.log.last_index:
                truncate_from = entry.index
                self.log.truncate_from(entry.index)
            added.append(entry)
            self.log.append(entry)
        if added:
            self.pending_effects.append(
                effects.AppendLog(added, truncate_from)
            )
            self._update_config()
        return max(
            request.prev_index + len(request.entries), self.log.base_index
        )

    def _check_caught_up(self) -> None:
        """Record whether all that was agreed before the start is applied.

        A leader whose own term has nothing committed may itself not know yet
        what is, and a message of a leader tells where its commit stands.
        """
        if self.leader_commit < 0 or self._own_term_uncommitted():
            return
        if self.commit >= self.leader_commit:
            self.caught_up = True

    def _reply_append(
        self, leader: str, success: bool, match_index: int, round_number: int
    ) -> None:
        reply = messages.AppendReply(
            term=self.term,
            follower=self.identity,
            success=success,
            match_index=match_index,
            round=round_number,
        )
        self.pending_effects.append(common.Send(leader, reply))

    def on_snapshot(self, request: messages.SnapshotRequest) -> None:
        """Install a snapshot from the leader and reply."""
        if request.term < self.term:
            self._reply_append(request.leader, False, 0, 0)
            return
        self._follow_leader(request.term, request.leader)
        snapshot = request.snapshot
        if snapshot.last_index > self.commit:
            keep = self.log.term_at(snapshot.last_index) == snapshot.last_term
            if not keep:
                self.log.entries = []
                self.log.base_index = snapshot.last_index
            self.log.compact(snapshot.last_index, snapshot.last_term)
            self.snapshot = snapshot
            if not keep:
                self.pending_effects.append(
                    effects.AppendLog([], snapshot.last_index + 1)
                )
            self.pending_effects.append(effects.SaveSnapshot(snapshot))
            self.pending_effects.append(effects.Restore(snapshot))
            self.commit = snapshot.last_index
            self.applied = snapshot.last_index
            self._update_config()
            self._check_caught_up()
        self._reply_append(
            request.leader, True, max(self.commit, snapshot.last_index), 0
        )

    # Common

    def _apply(self) -> None:
        while self.applied < self.commit:
            self.applied += 1
            self.pending_effects.append(
                effects.Apply(self.log.entry(self.applied))
            )

    def _other_voters(self) -> list[str]:
        return [peer for peer in self.voters if peer != self.identity]

    def _config_at(self, index: int) -> tuple[list[str], list[str]]:
        """Return the voters and learners in effect at an index."""
        for entry in reversed(self.log.entries):
            if entry.index > index:
                continue
            if commands.type_code(entry.command) == CHANGE_VOTERS_CODE:
                change = commands.decode(entry.command)
                return change.voters, change.learners
        if self.snapshot is not None:
            return self.snapshot.voters, self.snapshot.learners
        return self.initial_voters, []

    def _update_config(self) -> None:
        self.voters, self.learners = self._config_at(self.log.last_index)
        self.config_index = next(
            (
                entry.index
                for entry in reversed(self.log.entries)
                if commands.type_code(entry.command) == CHANGE_VOTERS_CODE
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

    def _append_voter_change(
        self, voters: list[str], learners: list[str]
    ) -> None:
        change = messages.ChangeVoters(
            voters=sorted(voters), learners=sorted(learners)
        )
        self._append(commands.encode(change))
        self._update_config()
        self._broadcast()
        self._advance_commit()

    def on_join(self, request: messages.JoinRequest) -> None:
        """Add a process that lost its disk as a learner."""
        known = set(self.voters) | set(self.learners)
        if not self.is_leader or request.identity in known:
            return
        if self.config_index > self.commit:
            return
        name = process_name(request.identity)
        learners = [
            peer for peer in self.learners if process_name(peer) != name
        ]
        self._append_voter_change(self.voters, learners + [request.identity])

    def _promote_learner(self) -> None:
        """Replace a voter by its new identity once that has caught up.

        Replacing the old identity in a single entry is safe although it
        changes two members. The process of the old identity now runs under
        the new one and the old one never votes again, so every majority that
        can still form among the old voters overlaps every majority of the new
        ones. Removing the old identity first would leave no fault tolerance
        while the learner catches up.
        """
        if self.config_index > self.commit:
            return
        for learner in self.learners:
            progress = self.progress.get(learner)
            if progress is None:
                continue
            lag = self.log.last_index - progress.match_index
            if progress.match_index == 0 or lag > MAX_PROMOTION_LAG_ENTRIES:
                continue
            name = process_name(learner)
            voters = [v for v in self.voters if process_name(v) != name]
            learners = [peer for peer in self.learners if peer != learner]
            self._append_voter_change(voters + [learner], learners)
            return

    def _remove_silent_voter(self) -> None:
        """Remove a voter that has been silent for ``VOTER_REMOVAL_MS``.

        Otherwise hosts that are permanently lost and replaced would count as
        voters indefinitely. After two of four hosts are replaced, all four
        live hosts would have to agree, and the next loss would block every
        command. A removed process that returns asks to join again. Only one
        voter is removed per call.
        """
        removal_disabled = not self.min_voters
        if removal_disabled or len(self.voters) <= self.min_voters:
            return
        if self.config_index > self.commit:
            return
        for voter in self._other_voters():
            progress = self.progress.get(voter)
            if (
                progress
                and self.now_ms - progress.acked_ms >= VOTER_REMOVAL_MS
            ):
                remaining = [peer for peer in self.voters if peer != voter]
                self.pending_effects.append(
                    common.Note("quorum.voter_dropped", {"voter": voter})
                )
                self._append_voter_change(remaining, self.learners)
                return

    def _flush(self) -> list[typing.Any]:
        pending_effects = self.pending_effects
        self.pending_effects = []
        if any(isinstance(e, effects.WRITES) for e in pending_effects):
            self.pacing.write_begins(self.now_ms)
        return pending_effects


@functools.singledispatch
def handle_message(message: typing.Any, raft: Raft, sender: str) -> None:
    """Pass a Raft message to its handler; ignore other messages."""


@handle_message.register
def _(message: messages.VoteRequest, raft: Raft, sender: str) -> None:
    raft.on_vote_request(message)


@handle_message.register
def _(message: messages.VoteReply, raft: Raft, sender: str) -> None:
    raft.on_vote_reply(message)


@handle_message.register
def _(message: messages.AppendRequest, raft: Raft, sender: str) -> None:
    raft.on_append(message)


@handle_message.register
def _(message: messages.AppendReply, raft: Raft, sender: str) -> None:
    raft.on_append_reply(message)


@handle_message.register
def _(message: messages.SnapshotRequest, raft: Raft, sender: str) -> None:
    raft.on_snapshot(message)


@handle_message.register
def _(message: messages.JoinRequest, raft: Raft, sender: str) -> None:
    raft.on_join(message)
