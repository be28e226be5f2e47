"""What a leader sends to followers that lag, are frozen or cut off."""

import random

from trefoil_model import effects as common
from trefoil_quorum import raft as rafts
from trefoil_wire import frames
from trefoil_wire import messages

FIRST = ["a#first", "b#first", "c#first"]
ENTRY_BYTES = 60_000
HEARTBEAT_MS = 150


def led() -> rafts.Raft:
    """Return a leader of three."""
    raft = rafts.Raft(
        "a#first",
        voters=FIRST,
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


def sent_to(peer: str, found: list) -> list[messages.AppendRequest]:
    """Return the append requests to a peer among effects."""
    return [
        effect.message
        for effect in found
        if isinstance(effect, common.Send)
        and effect.to == peer
        and isinstance(effect.message, messages.AppendRequest)
    ]


def large(number: int) -> messages.CommandRequest:
    """Return a command as large as a configuration of many routes."""
    command = messages.Command(
        command_id=str(number),
        operator_name="ann",
        issued_ms=0,
        kind=0,
        body=b"x" * ENTRY_BYTES,
    )
    return messages.CommandRequest(command, 0)


def acknowledge(raft: rafts.Raft, peer: str, request, now_ms: int) -> list:
    """Answer an append request as a follower that took it."""
    match = request.prev_index + len(request.entries)
    reply = messages.AppendReply(raft.term, peer, True, match, request.round)
    return raft.receive(peer, reply, now_ms)


def test_a_frozen_follower_is_not_buried() -> None:
    """A follower freezes while many configurations are agreed.

    Each heartbeat used to carry all that it lacked; it woke to hundreds of
    megabytes and died of them. It gets each entry once, then none until it
    is heard again.
    """
    raft = led()
    now_ms = 5000
    buried = 0
    for number in range(100):
        now_ms += HEARTBEAT_MS
        found = raft.tick(now_ms) + raft.propose(large(number), now_ms)[1]
        for request in sent_to("b#first", found):
            acknowledge(raft, "b#first", request, now_ms)
        buried += sum(
            len(frames.encode(request))
            for request in sent_to("c#first", found)
        )
    assert raft.commit == raft.log.last_index
    assert buried < 1_000_000


def test_a_follower_that_wakes_gets_what_it_lacks() -> None:
    """The frozen follower answers the next heartbeat and catches up."""
    raft = led()
    now_ms = 5000
    for number in range(50):
        now_ms += HEARTBEAT_MS
        found = raft.tick(now_ms) + raft.propose(large(number), now_ms)[1]
        for request in sent_to("b#first", found):
            acknowledge(raft, "b#first", request, now_ms)
    now_ms += HEARTBEAT_MS
    found = raft.tick(now_ms)
    held = 0
    for _ in range(100):
        replies = []
        for request in sent_to("c#first", found):
            fits = request.prev_index <= held
            held = max(held, request.prev_index + len(request.entries)) * fits
            match = held if fits else 0
            reply = messages.AppendReply(
                raft.term, "c#first", fits, match, request.round
            )
            replies += raft.receive("c#first", reply, now_ms)
        now_ms += HEARTBEAT_MS
        found = replies + raft.tick(now_ms)
    assert raft.progress["c#first"].match_index == raft.log.last_index


def test_no_batch_is_larger_than_a_frame() -> None:
    """A follower lacks more than a frame holds.

    Sent as one, the peer would close the link at the frame's length and
    never catch up.
    """
    raft = led()
    for number in range(200):
        raft.propose(large(number), 5000)
    raft.progress["c#first"].next_index = 1
    found = raft.tick(5000 + HEARTBEAT_MS)
    sizes = [len(frames.encode(r)) for r in sent_to("c#first", found)]
    assert sizes
    assert max(sizes) < frames.MAX_FRAME_BYTES
