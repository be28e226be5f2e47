"""Tests what a leader sends to followers that lag or are suspended."""

import random

from trefoil_model import effects as common
from trefoil_quorum import raft as rafts
from trefoil_wire import frames
from trefoil_wire import messages

INITIAL_VOTERS = ["a#first", "b#first", "c#first"]
ENTRY_BYTES = 60_000
HEARTBEAT_MS = 150


def make_leader() -> rafts.Raft:
    """Return the elected leader of three voters."""
    raft = rafts.Raft(
        "a#first",
        voters=INITIAL_VOTERS,
        hard_state=messages.HardState(0, "", "a#first"),
        rng=random.Random(1),
    )
    raft.tick(5000)
    raft.receive("b#first", messages.VoteReply(1, "b#first", True, True), 5000)
    raft.receive(
        "b#first", messages.VoteReply(1, "b#first", True, False), 5000
    )
    assert raft.is_leader
    return raft


def sent_to(peer: str, emitted: list) -> list[messages.AppendRequest]:
    """Return the append requests to a peer from a list of effects."""
    return [
        effect.message
        for effect in emitted
        if isinstance(effect, common.Send)
        and effect.to == peer
        and isinstance(effect.message, messages.AppendRequest)
    ]


def large_command(number: int) -> messages.CommandRequest:
    """Return a command the size of a configuration with many routes."""
    command = messages.Command(
        command_id=str(number),
        operator_name="ann",
        issued_ms=0,
        kind=0,
        body=b"x" * ENTRY_BYTES,
    )
    return messages.CommandRequest(command, 0)


def acknowledge(raft: rafts.Raft, peer: str, request, now_ms: int) -> list:
    """Reply to an append request as a follower that stored its entries."""
    match = request.prev_index + len(request.entries)
    reply = messages.AppendReply(raft.term, peer, True, match, request.round)
    return raft.receive(peer, reply, now_ms)


def test_a_suspended_follower_is_not_flooded() -> None:
    """A follower is suspended while many configurations are committed.

    If each heartbeat carried all entries that it lacks, it would receive
    hundreds of megabytes when it resumes, and run out of memory. It must get
    each entry once, then none until it replies again.
    """
    raft = make_leader()
    now_ms = 5000
    sent_bytes = 0
    for number in range(100):
        now_ms += HEARTBEAT_MS
        emitted = (
            raft.tick(now_ms) + raft.propose(large_command(number), now_ms)[1]
        )
        for request in sent_to("b#first", emitted):
            acknowledge(raft, "b#first", request, now_ms)
        sent_bytes += sum(
            len(frames.encode(request))
            for request in sent_to("c#first", emitted)
        )
    assert raft.commit == raft.log.last_index
    assert sent_bytes < 1_000_000


def test_a_resumed_follower_receives_its_missing_entries() -> None:
    """A suspended follower resumes, answers a heartbeat and must catch up.

    The leader withheld its entries while it was silent and must send them now.
    """
    raft = make_leader()
    now_ms = 5000
    for number in range(50):
        now_ms += HEARTBEAT_MS
        emitted = (
            raft.tick(now_ms) + raft.propose(large_command(number), now_ms)[1]
        )
        for request in sent_to("b#first", emitted):
            acknowledge(raft, "b#first", request, now_ms)
    now_ms += HEARTBEAT_MS
    emitted = raft.tick(now_ms)
    stored_index = 0
    for _ in range(100):
        replies = []
        for request in sent_to("c#first", emitted):
            accepted = request.prev_index <= stored_index
            stored_index = (
                max(stored_index, request.prev_index + len(request.entries))
                * accepted
            )
            match = stored_index if accepted else 0
            reply = messages.AppendReply(
                raft.term, "c#first", accepted, match, request.round
            )
            replies += raft.receive("c#first", reply, now_ms)
        now_ms += HEARTBEAT_MS
        emitted = replies + raft.tick(now_ms)
    assert raft.progress["c#first"].match_index == raft.log.last_index


def test_no_batch_exceeds_the_frame_limit() -> None:
    """A follower lacks more entries than fit into a frame.

    If they were sent in one request, the follower would close the connection
    because of the frame's length and never catch up.
    """
    raft = make_leader()
    for number in range(200):
        raft.propose(large_command(number), 5000)
    raft.progress["c#first"].next_index = 1
    emitted = raft.tick(5000 + HEARTBEAT_MS)
    sizes = [len(frames.encode(r)) for r in sent_to("c#first", emitted)]
    assert sizes
    assert max(sizes) < frames.MAX_FRAME_BYTES
