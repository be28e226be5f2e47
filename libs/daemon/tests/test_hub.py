"""Connections to peers that are slow, silent, wrong or dead."""

import typing

import pytest

from trefoil_daemon import hub as hubs
from trefoil_model import clock as clocks
from trefoil_wire import frames
from trefoil_wire import messages

REQUEST = messages.Request(request_id=5, deadline_ms=2000)


class FakeStream:
    """A connection that only remembers what was done to it."""

    def __init__(self) -> None:
        self.connecting = True
        self.closed = False
        self.sent: list[typing.Any] = []
        self.reader = frames.FrameReader()
        self.on_open = self.on_data = self.on_close = self.owner = None

    def write(self, data: bytes) -> None:
        """Remember messages."""
        self.sent.extend(self.reader.feed(data))

    def close(self) -> None:
        """Close, once."""
        if not self.closed:
            self.closed = True
            self.on_close(self)

    close_after_write = close


class FakeTransport:
    """Makes fake connections."""

    def __init__(self) -> None:
        self.streams: list[FakeStream] = []

    def connect(self, address: str, on_open: typing.Any) -> FakeStream:
        """Begin a connection."""
        stream = FakeStream()
        stream.on_open = on_open
        self.streams.append(stream)
        return stream


class FakeOwner:
    """Remembers what the hub tells its process."""

    def __init__(self) -> None:
        self.told: list[typing.Any] = []
        self.doubts: list[tuple[str, bool]] = []

    def greeting(self, subscribe: bool) -> messages.Hello:
        """Return a greeting."""
        return messages.Hello(host="me", subscribe=subscribe)

    def is_cross_domain(self, host: str) -> bool:
        """Hosts are near unless their name says otherwise."""
        return host.startswith("far")

    def admit(self, hello: messages.Hello) -> int:
        """Serve everybody."""
        return 0

    def link_up(self, host: str, hello: typing.Any, served: bool) -> None:
        """Remember."""
        self.told.append(("up", host, served))

    def link_down(self, host: str, retry_after_ms: int) -> None:
        """Remember."""
        self.told.append(("down", host, retry_after_ms))

    def link_message(self, host: str, message: typing.Any) -> None:
        """Remember."""
        self.told.append(("link", host, message))

    def request_message(self, connection: typing.Any, message: object) -> None:
        """Remember."""
        self.told.append(("request", message))

    def requests_lost(self, unsent: list[int], lost: list[int]) -> None:
        """Remember."""
        self.told.append(("lost", unsent, lost))

    def set_peer_unresponsive(self, host: str, unresponsive: bool) -> None:
        """Remember."""
        self.doubts.append((host, unresponsive))

    def origin_lost(self, connection: typing.Any) -> None:
        """Remember."""
        self.told.append(("origin",))


class Rig:
    """A hub with everything around it faked."""

    def __init__(self) -> None:
        self.transport = FakeTransport()
        self.owner = FakeOwner()
        self.clock = clocks.PausedClock()
        self.hub = hubs.Hub(self.transport, self.owner, self.clock)

    def open(self, at: int = -1) -> FakeStream:
        """Let a connection be made."""
        stream = self.transport.streams[at]
        stream.connecting = False
        stream.on_open(stream)
        return stream

    def take(self, stream: FakeStream, *found: typing.Any) -> None:
        """Let messages arrive."""
        data = b"".join(frames.encode(message) for message in found)
        stream.on_data(stream, data)

    def wait(self, for_ms: int) -> None:
        """Let time pass."""
        for _ in range(for_ms // 50):
            self.clock.advance(50)
            self.hub.tick()


def test_a_host_without_power_costs_half_a_second() -> None:
    """Nothing answers the connection, not even a refusal.

    The request never left: it is told as unsent, early enough to be sent
    to another target before its caller's deadline.
    """
    rig = Rig()
    rig.hub.request_send("h2", "h2:1", REQUEST)
    rig.wait(450)
    assert rig.owner.told == []
    rig.wait(150)
    assert rig.owner.told == [("lost", [5], [])]


def test_a_link_that_goes_silent_is_closed_within_two_seconds() -> None:
    """Bytes go out and nothing comes back, without an error."""
    rig = Rig()
    rig.hub.request_send("h2", "h2:1", REQUEST)
    stream = rig.open()
    rig.wait(2000)
    assert isinstance(stream.sent[-1], messages.Ping)
    assert rig.owner.told == [("lost", [], [5])]
    rig.hub.request_send("h2", "h2:1", messages.Request(request_id=6))
    assert len(rig.transport.streams) == 2


def test_a_peer_behind_a_cut_is_doubted_within_half_a_second() -> None:
    """A failure domain is cut off under a request; nothing tells it.

    For a second and a half everything sent there was lost on its way. Now
    others are asked from 0.4 s on, and the peer again once it answers.
    """
    rig = Rig()
    rig.hub.request_send("h2", "h2:1", REQUEST)
    stream = rig.open()
    rig.wait(450)
    assert rig.owner.doubts == [("h2", True)]
    rig.take(stream, messages.Pong(1))
    assert rig.owner.doubts == [("h2", True), ("h2", False)]
    rig.wait(2000)
    assert rig.owner.doubts[2:] == [("h2", True), ("h2", False)]
    assert rig.owner.told == [("lost", [], [5])]


def test_a_link_without_requests_is_not_doubted() -> None:
    rig = Rig()
    rig.hub.request_send("h2", "h2:1", messages.Cancel(1))
    rig.open()
    rig.wait(3000)
    assert rig.owner.doubts == []


def test_a_peer_that_answers_pings_is_kept() -> None:
    rig = Rig()
    rig.hub.request_send("h2", "h2:1", REQUEST)
    stream = rig.open()
    for _ in range(6):
        rig.wait(700)
        rig.take(stream, messages.Pong(1))
    assert not stream.closed


def test_an_idle_link_is_given_up_before_it_can_be_stale_for_long() -> None:
    """A link that went silent while nobody used it swallows a request."""
    rig = Rig()
    rig.hub.request_send("h2", "h2:1", messages.Cancel(1))
    stream = rig.open()
    rig.wait(5900)
    assert not stream.closed
    rig.wait(100)
    assert stream.closed
    assert rig.owner.told == []


def test_links_that_nobody_uses_cost_no_messages() -> None:
    """Each proxy of a large fleet pinged each other one for a minute."""
    rig = Rig()
    rig.hub.request_send("h2", "h2:1", REQUEST)
    stream = rig.open()
    rig.take(stream, messages.Answer(request_id=5, ran=True))
    sent = len(stream.sent)
    rig.wait(5900)
    assert len(stream.sent) == sent


def test_a_request_that_was_given_up_has_its_link_not_pinged_for_good() -> (
    None
):
    """No answer comes to it, so its link counted as busy until its end."""
    rig = Rig()
    rig.hub.request_send("h2", "h2:1", REQUEST)
    stream = rig.open()
    rig.hub.request_send("h2", "h2:1", messages.Cancel(5))
    sent = len(stream.sent)
    rig.wait(5900)
    assert len(stream.sent) == sent
    assert rig.owner.doubts == []


def test_a_long_request_costs_few_pings_while_its_peer_answers() -> None:
    rig = Rig()
    rig.hub.request_send("h2", "h2:1", REQUEST)
    stream = rig.open()
    pings = 0
    for _ in range(40):
        rig.wait(50)
        if isinstance(stream.sent[-1], messages.Ping):
            pings += 1
            rig.take(stream, messages.Pong(1))
            stream.sent.clear()
            stream.sent.append(REQUEST)
    assert pings <= 5


def test_a_new_request_has_a_peer_asked_soon_again() -> None:
    """A cut that falls into a long request must not swallow later ones."""
    rig = Rig()
    rig.hub.request_send("h2", "h2:1", REQUEST)
    stream = rig.open()
    rig.wait(200)
    rig.take(stream, messages.Pong(1))
    rig.hub.request_send("h2", "h2:1", messages.Request(request_id=6))
    rig.wait(450)
    assert rig.owner.doubts == [("h2", True)]


def test_a_refused_greeting_tells_when_to_come_back() -> None:
    rig = Rig()
    rig.hub.dial("s1", "s1:1")
    stream = rig.open()
    hello = messages.Hello(host="s1")
    rig.take(stream, messages.HelloReply(hello, False, 750))
    assert rig.owner.told == [("down", "s1", 750)]


@pytest.mark.parametrize(
    "answer",
    [
        messages.HelloReply(messages.Hello(host="x"), True, 0),
        messages.Ping(1),
    ],
)
def test_another_host_at_the_address_is_not_linked(answer: object) -> None:
    rig = Rig()
    rig.hub.dial("s1", "s1:1")
    rig.take(rig.open(), answer)
    assert rig.owner.told == [("down", "s1", 0)]


def test_a_link_that_never_greets_is_closed() -> None:
    rig = Rig()
    rig.hub.dial("s1", "s1:1")
    rig.open()
    rig.wait(3100)
    assert rig.owner.told == [("down", "s1", 0)]
