"""Links between processes that read compact frames and some that do not."""

import typing

import pytest

from trefoil_daemon import hub as hubs
from trefoil_model import clock as clocks
from trefoil_wire import compact
from trefoil_wire import frames
from trefoil_wire import messages


class Stream:
    """One end of an in-memory connection."""

    def __init__(self) -> None:
        self.connecting = False
        self.closed = False
        self.closing = False
        self.unsent = 0
        self.other: "Stream" = self
        self.waiting: list[bytes] = []
        self.bytes_written = 0
        self.on_open = self.on_data = self.on_close = self.owner = None

    def write(self, data: bytes) -> None:
        """Queue data for the other end."""
        self.bytes_written += len(data)
        self.other.waiting.append(data)

    def close(self) -> None:
        """Close both ends."""
        for end in (self, self.other):
            if not end.closed:
                end.closed = True
                end.on_close(end)

    close_after_write = abort = close


class Owner:
    """Records what a hub receives."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.received: list[typing.Any] = []
        self.links: list[str] = []
        self.malformed: list[str] = []

    def greeting(self, subscribe: bool) -> messages.Hello:
        """Return a greeting."""
        return messages.Hello(host=self.name, subscribe=subscribe)

    def is_cross_domain(self, host: str) -> bool:
        """Return False."""
        return False

    def admit(self, hello: messages.Hello) -> int:
        """Accept every peer."""
        return 0

    def link_up(self, host: str, hello: typing.Any, served: bool) -> None:
        """Record a link."""
        self.links.append(host)

    def link_message(self, host: str, message: typing.Any) -> None:
        """Record a message."""
        self.received.append(message)

    def request_message(self, connection: typing.Any, message: object) -> None:
        """Record a message."""
        self.received.append(message)

    def bad_peer(self, host: str, why: str) -> None:
        """Record a malformed message."""
        self.malformed.append(why)

    def link_down(self, host: str, retry_after_ms: int) -> None:
        """Ignore."""

    def requests_lost(self, unsent: list[int], lost: list[int]) -> None:
        """Ignore."""

    def set_peer_unresponsive(self, host: str, unresponsive: bool) -> None:
        """Ignore."""

    def origin_lost(self, connection: typing.Any) -> None:
        """Ignore."""


class OldHub(hubs.Hub):
    """A hub of a release without compact frames."""

    def _greet(self, connection: hubs.Connection) -> None:
        self._write(connection, self.owner.greeting(connection.subscribe))

    def _switch_to_compact(self, connection: hubs.Connection) -> None:
        """Do nothing: compact frames are not known."""

    def _add_connection(self, *args: typing.Any, **more: typing.Any) -> object:
        connection = super()._add_connection(*args, **more)
        connection.reader = frames.FrameReader()
        return connection


class CompactHub(hubs.Hub):
    """A hub of a release with compact frames and no deadline updates."""

    def _switch_to_compact(self, connection: hubs.Connection) -> None:
        if connection.encoder is None:
            self._write(connection, messages.Hello(switches=True))
            connection.encoder = compact.Encoder(connection.subscribe)


class Pair:
    """Two hubs and a connection between them."""

    def __init__(
        self, dialler: type[hubs.Hub], acceptor: type[hubs.Hub]
    ) -> None:
        self.ends = (Stream(), Stream())
        self.ends[0].other, self.ends[1].other = reversed(self.ends)
        self.owners = (Owner("d"), Owner("a"))
        clock = clocks.PausedClock()
        self.dialler = dialler(self, self.owners[0], clock)
        self.acceptor = acceptor(self, self.owners[1], clock)

    def connect(self, address: str, on_open: typing.Any) -> Stream:
        """Return the dialler's end of the connection."""
        self.ends[0].on_open = on_open
        return self.ends[0]

    def open(self) -> None:
        """Complete the connection."""
        self.acceptor._on_accept(self.ends[1])
        self.ends[0].on_open(self.ends[0])
        self.pass_on()

    def pass_on(self) -> None:
        """Deliver all data that is written."""
        while any(end.waiting for end in self.ends):
            for end in self.ends:
                waiting, end.waiting = end.waiting, []
                for data in waiting:
                    end.on_data(end, data)


RELEASES = [
    (hubs.Hub, hubs.Hub),
    (OldHub, hubs.Hub),
    (hubs.Hub, OldHub),
    (OldHub, OldHub),
]


def request(number: int) -> messages.Request:
    """Return a request with repeated headers."""
    return messages.Request(
        request_id=number, path="/a", headers=b"X-A: b\r\n" * 30, body=b"z"
    )


@pytest.mark.parametrize("releases", RELEASES)
def test_requests_and_answers_pass_between_releases(
    releases: tuple[type[hubs.Hub], type[hubs.Hub]],
) -> None:
    pair = Pair(*releases)
    pair.dialler.request_send("a", "a:1", request(1))
    pair.open()
    for number in (2, 3):
        pair.dialler.request_send("a", "a:1", request(number))
        pair.pass_on()
    (connection,) = pair.acceptor.connections
    for number in (1, 2, 3):
        answer = messages.Answer(number, 200, body=b"", ran=True)
        pair.acceptor.reply(connection, answer)
    pair.pass_on()
    assert pair.owners[1].received == [request(n) for n in (1, 2, 3)]
    assert [a.request_id for a in pair.owners[0].received] == [1, 2, 3]
    assert [owner.malformed for owner in pair.owners] == [[], []]


@pytest.mark.parametrize("releases", RELEASES)
def test_subscribed_links_pass_between_releases(
    releases: tuple[type[hubs.Hub], type[hubs.Hub]],
) -> None:
    pair = Pair(*releases)
    pair.dialler.dial("a", "a:1")
    pair.open()
    text = "x" * 20_000
    for number in range(3):
        reply = messages.QueryReply(f"q{number}", True, text)
        pair.dialler.link_send("a", reply)
        pair.acceptor.link_send("d", reply)
        pair.pass_on()
    for owner in pair.owners:
        assert [m.query_id for m in owner.received] == ["q0", "q1", "q2"]
        assert owner.malformed == []
    assert (pair.owners[0].links, pair.owners[1].links) == (["a"], ["d"])


@pytest.mark.parametrize(
    ("peer", "is_sent"),
    [(hubs.Hub, True), (CompactHub, False), (OldHub, False)],
)
def test_a_deadline_update_goes_only_to_a_peer_that_knows_it(
    peer: type[hubs.Hub], is_sent: bool
) -> None:
    """A message of an unknown type would cost the link and its requests."""
    pair = Pair(hubs.Hub, peer)
    pair.dialler.request_send("a", "a:1", request(1))
    pair.open()
    update = messages.DeadlineUpdate(1, 500)
    assert pair.dialler.request_send("a", "a:1", update) is is_sent
    pair.pass_on()
    assert pair.owners[1].received == [request(1)] + [update] * is_sent
    assert pair.owners[1].malformed == []


def test_what_both_ends_know_is_sent_once() -> None:
    pair = Pair(hubs.Hub, hubs.Hub)
    pair.dialler.request_send("a", "a:1", request(1))
    pair.open()
    sizes = []
    for number in range(2, 6):
        before = pair.ends[0].bytes_written
        pair.dialler.request_send("a", "a:1", request(number))
        sizes.append(pair.ends[0].bytes_written - before)
    assert sizes[-1] < len(frames.encode(request(5))) / 4


def test_a_frame_that_does_not_fit_closes_its_link_only() -> None:
    pair = Pair(hubs.Hub, hubs.Hub)
    pair.dialler.request_send("a", "a:1", request(1))
    pair.open()
    pair.ends[1].on_data(pair.ends[1], b"\0\0\0\x04\x16\x02\xff\xff")
    assert pair.ends[1].closed
    assert len(pair.owners[1].malformed) == 1
