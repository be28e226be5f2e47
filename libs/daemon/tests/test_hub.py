"""Connections to slow, silent or unreachable peers; malformed messages."""

import typing

import pytest

from trefoil_daemon import hub as hubs
from trefoil_model import clock as clocks
from trefoil_wire import frames
from trefoil_wire import messages

REQUEST = messages.Request(request_id=5, deadline_ms=2000)


class FakeStream:
    """A stream that records what is written to it."""

    def __init__(self) -> None:
        self.connecting = True
        self.closed = False
        self.unsent = 0
        self.sent: list[typing.Any] = []
        self.reader = frames.FrameReader()
        self.on_open = self.on_data = self.on_close = self.owner = None

    def write(self, data: bytes) -> None:
        """Record messages."""
        self.sent.extend(self.reader.feed(data))

    def close(self) -> None:
        """Close; report it the first time only."""
        if not self.closed:
            self.closed = True
            self.on_close(self)

    close_after_write = abort = close


class FakeTransport:
    """Opens fake streams."""

    def __init__(self) -> None:
        self.streams: list[FakeStream] = []

    def connect(self, address: str, on_open: typing.Any) -> FakeStream:
        """Open a stream that is not connected yet."""
        stream = FakeStream()
        stream.on_open = on_open
        self.streams.append(stream)
        return stream


class FakeOwner:
    """Records the hub's callbacks."""

    def __init__(self) -> None:
        self.calls: list[typing.Any] = []
        self.responsiveness: list[tuple[str, bool]] = []

    def greeting(self, subscribe: bool) -> messages.Hello:
        """Return a ``Hello``."""
        return messages.Hello(host="me", subscribe=subscribe)

    def is_cross_domain(self, host: str) -> bool:
        """Return whether the name begins with ``far``."""
        return host.startswith("far")

    def admit(self, hello: messages.Hello) -> int:
        """Accept every peer."""
        return 0

    def link_up(self, host: str, hello: typing.Any, served: bool) -> None:
        """Record it."""
        self.calls.append(("up", host, served))

    def link_down(self, host: str, retry_after_ms: int) -> None:
        """Record it."""
        self.calls.append(("down", host, retry_after_ms))

    def link_message(self, host: str, message: typing.Any) -> None:
        """Record it."""
        self.calls.append(("link", host, message))

    def request_message(self, connection: typing.Any, message: object) -> None:
        """Record it."""
        self.calls.append(("request", message))

    def requests_lost(self, unsent: list[int], lost: list[int]) -> None:
        """Record it."""
        self.calls.append(("lost", unsent, lost))

    def set_peer_unresponsive(self, host: str, unresponsive: bool) -> None:
        """Record it."""
        self.responsiveness.append((host, unresponsive))

    def origin_lost(self, connection: typing.Any) -> None:
        """Record it."""
        self.calls.append(("origin",))


class Rig:
    """A hub with a fake transport, owner and clock."""

    def __init__(self) -> None:
        self.transport = FakeTransport()
        self.owner = FakeOwner()
        self.clock = clocks.PausedClock()
        self.hub = hubs.Hub(self.transport, self.owner, self.clock)

    def open(self, at: int = -1) -> FakeStream:
        """Complete a connection; the last one by default."""
        stream = self.transport.streams[at]
        stream.connecting = False
        stream.on_open(stream)
        return stream

    def deliver(self, stream: FakeStream, *received: typing.Any) -> None:
        """Deliver messages on a stream."""
        data = b"".join(frames.encode(message) for message in received)
        stream.on_data(stream, data)

    def wait(self, for_ms: int) -> None:
        """Advance the clock in ticks of 50 ms."""
        for _ in range(for_ms // 50):
            self.clock.advance(50)
            self.hub.tick()


def test_request_to_a_powered_off_host_is_unsent_in_half_a_second() -> None:
    """The peer does not even refuse the connection.

    The request was not sent. It must be reported as unsent early enough to
    be sent to another target before its caller's deadline.
    """
    rig = Rig()
    rig.hub.request_send("h2", "h2:1", REQUEST)
    rig.wait(450)
    assert rig.owner.calls == []
    rig.wait(150)
    assert rig.owner.calls == [("lost", [5], [])]


def test_a_silent_link_is_closed_within_two_seconds() -> None:
    """Bytes are sent, nothing is received and no error is reported."""
    rig = Rig()
    rig.hub.request_send("h2", "h2:1", REQUEST)
    stream = rig.open()
    rig.wait(2000)
    assert isinstance(stream.sent[-1], messages.Ping)
    assert rig.owner.calls == [("lost", [], [5])]
    rig.hub.request_send("h2", "h2:1", messages.Request(request_id=6))
    assert len(rig.transport.streams) == 2


def test_a_partitioned_peer_is_unresponsive_within_half_a_second() -> None:
    """A partition cuts off a failure domain and reports no error.

    Without the ping, every request sent there within 1.5 s would be lost.
    From 0.4 s on requests go to other hosts, until the peer answers again.
    """
    rig = Rig()
    rig.hub.request_send("h2", "h2:1", REQUEST)
    stream = rig.open()
    rig.wait(450)
    assert rig.owner.responsiveness == [("h2", True)]
    rig.deliver(stream, messages.Pong(1))
    assert rig.owner.responsiveness == [("h2", True), ("h2", False)]
    rig.wait(2000)
    assert rig.owner.responsiveness[2:] == [("h2", True), ("h2", False)]
    assert rig.owner.calls == [("lost", [], [5])]


def test_a_link_without_requests_stays_responsive() -> None:
    rig = Rig()
    rig.hub.request_send("h2", "h2:1", messages.Cancel(1))
    rig.open()
    rig.wait(3000)
    assert rig.owner.responsiveness == []


def test_a_peer_that_answers_pings_is_kept() -> None:
    rig = Rig()
    rig.hub.request_send("h2", "h2:1", REQUEST)
    stream = rig.open()
    for _ in range(6):
        rig.wait(700)
        rig.deliver(stream, messages.Pong(1))
    assert not stream.closed


def test_an_idle_link_is_closed_after_its_timeout() -> None:
    """A connection that broke while idle would lose the next request."""
    rig = Rig()
    rig.hub.request_send("h2", "h2:1", messages.Cancel(1))
    stream = rig.open()
    rig.wait(5900)
    assert not stream.closed
    rig.wait(100)
    assert stream.closed
    assert rig.owner.calls == []


def test_idle_links_are_not_pinged() -> None:
    """The number of such pings would grow with the square of the fleet."""
    rig = Rig()
    rig.hub.request_send("h2", "h2:1", REQUEST)
    stream = rig.open()
    rig.deliver(stream, messages.Answer(5, 200, ran=True))
    sent = len(stream.sent)
    rig.wait(5900)
    assert len(stream.sent) == sent


def test_the_link_of_a_cancelled_request_is_not_pinged() -> None:
    """It gets no answer, so its link would count as busy until it closes."""
    rig = Rig()
    rig.hub.request_send("h2", "h2:1", REQUEST)
    stream = rig.open()
    rig.hub.request_send("h2", "h2:1", messages.Cancel(5))
    sent = len(stream.sent)
    rig.wait(5900)
    assert len(stream.sent) == sent
    assert rig.owner.responsiveness == []


def test_a_long_request_costs_few_pings_while_its_peer_answers() -> None:
    rig = Rig()
    rig.hub.request_send("h2", "h2:1", REQUEST)
    stream = rig.open()
    pings = 0
    for _ in range(40):
        rig.wait(50)
        if isinstance(stream.sent[-1], messages.Ping):
            pings += 1
            rig.deliver(stream, messages.Pong(1))
            stream.sent.clear()
            stream.sent.append(REQUEST)
    assert pings <= 5


def test_a_new_request_restores_the_short_ping_interval() -> None:
    """A partition during a long request must not lose later requests."""
    rig = Rig()
    rig.hub.request_send("h2", "h2:1", REQUEST)
    stream = rig.open()
    rig.wait(200)
    rig.deliver(stream, messages.Pong(1))
    rig.hub.request_send("h2", "h2:1", messages.Request(request_id=6))
    rig.wait(450)
    assert rig.owner.responsiveness == [("h2", True)]


def test_a_refused_greeting_passes_on_the_retry_time() -> None:
    rig = Rig()
    rig.hub.dial("s1", "s1:1")
    stream = rig.open()
    hello = messages.Hello(host="s1")
    rig.deliver(stream, messages.HelloReply(hello, False, 750))
    assert rig.owner.calls == [("down", "s1", 750)]


@pytest.mark.parametrize(
    "reply",
    [
        messages.HelloReply(messages.Hello(host="x"), True, 0),
        messages.Ping(1),
    ],
)
def test_another_host_at_the_address_is_not_linked(reply: object) -> None:
    rig = Rig()
    rig.hub.dial("s1", "s1:1")
    rig.deliver(rig.open(), reply)
    assert rig.owner.calls == [("down", "s1", 0)]


def test_a_link_that_never_greets_is_closed() -> None:
    rig = Rig()
    rig.hub.dial("s1", "s1:1")
    rig.open()
    rig.wait(3100)
    assert rig.owner.calls == [("down", "s1", 0)]


def test_a_request_that_was_written_before_a_failed_write_is_not_unsent() -> (
    None
):
    """A written request was reported as not run, and run a second time."""
    rig = Rig()
    for number in (5, 6, 7):
        request = messages.Request(request_id=number, deadline_ms=2000)
        rig.hub.request_send("peer", "peer:1", request)
    stream = rig.transport.streams[-1]
    write = stream.write

    def write_until_the_second_request(data: bytes) -> None:
        write(data)
        if messages.Request(request_id=6, deadline_ms=2000) in stream.sent:
            stream.close()

    stream.write = write_until_the_second_request
    rig.open()
    assert rig.owner.calls == [("lost", [7], [5, 6])]
