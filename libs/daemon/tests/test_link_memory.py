"""Frames and answers of other processes for which there is little memory."""

import typing

import pytest

from trefoil_daemon import hub as hubs
from trefoil_daemon import transport as transports
from trefoil_emulator import memory_stream
from trefoil_model import clock as clocks
from trefoil_requests import held_memory
from trefoil_wire import frames
from trefoil_wire import messages

LIMIT = 4_000_000
LONG = 1_000_000
HELLO = frames.encode(messages.Hello(host="h2", address="h2:1"))
LATER_MS = held_memory.STALLED_MS


class Owner:
    """Takes what a hub reports, and records what it refuses."""

    def __init__(self) -> None:
        self.refused: list[str] = []
        self.received: list[typing.Any] = []

    def greeting(self, subscribe: bool) -> messages.Hello:
        """Return a greeting."""
        return messages.Hello(host="h1", subscribe=subscribe)

    def is_cross_domain(self, host: str) -> bool:
        """Return False."""
        return False

    def peer_refused(self, host: str, why: str) -> None:
        """Record a connection that was closed for what it would hold."""
        self.refused.append(host)

    def request_message(
        self, connection: hubs.Connection, message: typing.Any
    ) -> None:
        """Record a message."""
        self.received.append(message)

    def origin_lost(self, connection: hubs.Connection) -> None:
        """Ignore."""

    def set_peer_unresponsive(self, host: str, unresponsive: bool) -> None:
        """Ignore."""


class Host:
    """A hub with little memory and the peers that connect to it."""

    def __init__(self, max_incoming: int = 100) -> None:
        self.clock = clocks.PausedClock()
        self.owner = Owner()
        self.memory = held_memory.HeldMemory(LIMIT)
        self.hub = hubs.Hub(
            typing.cast(transports.Transport, None),
            typing.cast(hubs.Owner, self.owner),
            self.clock,
            self.memory,
            max_incoming,
        )

    def connect(self, data: bytes = HELLO) -> memory_stream.MemoryStream:
        """Return the connection of a new peer that has sent bytes."""
        stream = memory_stream.MemoryStream()
        self.clock.advance(1)
        self.hub._on_accept(typing.cast(transports.Stream, stream))
        if data and not stream.closed:
            stream.receive(data)
        return stream


def answer(number: int, size: int) -> messages.Answer:
    """Return a target's answer."""
    return messages.Answer(
        request_id=number, status=200, body=b"x" * size, ran=True
    )


def sent_answers(stream: memory_stream.MemoryStream) -> list[messages.Answer]:
    """Return the answers that were written to a stream."""
    sent = frames.FrameReader().feed(stream.sent)
    return [item for item in sent if isinstance(item, messages.Answer)]


def test_a_frame_before_the_greeting_is_short() -> None:
    """Strangers announced long frames and kept them incomplete."""
    host = Host()
    stream = host.connect(frames.HEADER.pack(LONG, 0))
    assert stream.closed
    greeted = host.connect(HELLO + frames.HEADER.pack(LONG, 0))
    assert not greeted.closed


def test_incomplete_frames_together_hold_bounded_memory() -> None:
    """Each was within its limit; together they took all of the host's."""
    host = Host()
    start = HELLO + frames.HEADER.pack(LONG, 0)
    streams = [host.connect(start + b"x" * 1000) for _ in range(10)]
    assert host.memory.total <= LIMIT
    kept = [stream for stream in streams if not stream.closed]
    assert 0 < len(kept) < len(streams)
    assert host.owner.refused
    host.clock.advance(LATER_MS)
    assert not host.connect(start).closed
    assert any(stream.closed for stream in kept)


def test_a_peer_that_closes_holds_nothing() -> None:
    """What was counted once was never counted off."""
    host = Host()
    stream = host.connect(HELLO + frames.HEADER.pack(LONG, 0) + b"x")
    assert host.memory.total > LONG
    stream.close()
    assert host.memory.total == 0
    assert not host.memory.holdings


def test_short_answers_pass_long_ones_on_a_link() -> None:
    """A caller's short answer waited behind a crowd's long ones."""
    host = Host()
    stream = host.connect()
    connection = stream.owner
    host.hub.reply(connection, answer(1, LONG))
    stream.unsent = LONG
    host.hub.reply(connection, answer(2, LONG))
    host.hub.reply(connection, answer(3, 10))
    assert [item.request_id for item in sent_answers(stream)] == [1, 3]
    stream.unsent = 0
    stream.on_drained(stream)
    assert [item.request_id for item in sent_answers(stream)] == [1, 3, 2]


def test_an_answer_that_does_not_fit_costs_no_other_one() -> None:
    """The link was closed, and all who waited on it lost their answers."""
    host = Host()
    stream = host.connect()
    host.hub.reply(stream.owner, answer(0, LONG))
    stream.unsent = LONG
    for number in range(1, 10):
        host.hub.reply(stream.owner, answer(number, LONG))
    assert not stream.closed
    assert host.memory.total <= LIMIT
    refused = [item for item in sent_answers(stream) if item.status == 502]
    assert refused
    # The targets had run them.
    assert all(item.ran and item.unusable for item in refused)
    stream.unsent = 0
    while stream.owner.delayed:
        stream.on_drained(stream)
    ids = [item.request_id for item in sent_answers(stream)]
    assert sorted(ids) == list(range(10))


def test_a_leaving_process_sends_the_answers_that_wait() -> None:
    """They were lost with the link that it closes."""
    host = Host()
    stream = host.connect()
    host.hub.reply(stream.owner, answer(1, LONG))
    stream.unsent = LONG
    host.hub.reply(stream.owner, answer(2, LONG))
    stream.unsent = 0
    assert host.hub.has_unsent_answers()
    host.hub.close_answered()
    assert [item.request_id for item in sent_answers(stream)] == [1, 2]
    assert stream.closing


@pytest.mark.parametrize("first", [b"", HELLO])
def test_a_silent_peer_gives_way_to_a_new_one(first: bytes) -> None:
    """Strangers kept the other processes out."""
    host = Host(max_incoming=3)
    crowd = [host.connect(first) for _ in range(3)]
    assert not host.connect().closed
    assert [stream.closed for stream in crowd] == [True, False, False]


def test_a_peer_that_talks_keeps_its_place() -> None:
    """Whoever has been heard from lately is no silent stranger."""
    host = Host(max_incoming=2)
    talks, silent = host.connect(), host.connect()
    host.clock.advance(1)
    talks.receive(frames.encode(messages.Ping(1)))
    host.connect()
    assert (talks.closed, silent.closed) == (False, True)
