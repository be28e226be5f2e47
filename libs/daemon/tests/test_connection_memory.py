"""Requests and answers of clients for which there is too little memory."""

import typing

import pytest

from trefoil_daemon import _http
from trefoil_daemon import connection_memory
from trefoil_daemon import exchanges
from trefoil_daemon import http_server
from trefoil_daemon import transport as transports
from trefoil_emulator import memory_stream
from trefoil_model import clock as clocks
from trefoil_requests import held_memory

LIMIT = 1_000_000
SMALL = 2 * connection_memory.COUNTED_BYTES
LARGE = 4 * held_memory.SMALL_BYTES
LATER_MS = held_memory.STALLED_MS
NOT_RUN = b"X-Trefoil-Outcome: not-run\r\n"


class Handler:
    """Keeps the requests that it gets."""

    def __init__(self) -> None:
        self.exchanges: list[exchanges.Exchange] = []

    def handle_request(
        self, exchange: exchanges.Exchange, message: _http.Message
    ) -> None:
        """Keep a request."""
        self.exchanges.append(exchange)

    def may_overlap(self, message: _http.Message) -> bool:
        """Return True."""
        return True

    def on_disconnect(self, exchange: exchanges.Exchange) -> None:
        """Ignore."""


class Server:
    """A server with little memory and its clients."""

    def __init__(self, *, max_connections: int = 100) -> None:
        self.clock = clocks.PausedClock()
        self.handler = Handler()
        self.memory = held_memory.HeldMemory(LIMIT)
        self.refused: list[str] = []
        self.deferred: list[typing.Callable[[], None]] = []
        self.server = http_server.HttpServer(
            typing.cast(transports.Transport, self),
            self.handler,
            self.clock,
            limits=http_server.ConnectionLimits(max_body=LIMIT),
            malformed=lambda why: None,
            refused=self.refused.append,
            memory=self.memory,
            max_connections=max_connections,
        )

    def defer(self, function: typing.Callable[[], None]) -> None:
        """Keep a function that the test calls."""
        self.deferred.append(function)

    def connect(self, data: bytes = b"") -> memory_stream.MemoryStream:
        """Return the connection of a new client that has sent bytes."""
        stream = memory_stream.MemoryStream()
        self.clock.advance(1)
        self.server._on_accept(typing.cast(transports.Stream, stream))
        if data and not stream.closed:
            stream.receive(data)
        return stream

    def pass_time(self, ms: int) -> None:
        """Let time pass, and tick then."""
        self.clock.advance(ms)
        self.server.tick()


def head(length: int, *lines: bytes) -> bytes:
    """Return the head of a request with a body."""
    fields = b"".join(line + b"\r\n" for line in lines)
    start = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n" % length
    return start + fields + b"\r\n"


def fill(server: Server) -> list[memory_stream.MemoryStream]:
    """Announce large bodies until no more fit; return who may send."""
    streams = []
    while True:
        stream = server.connect(head(LARGE))
        if stream.sent:
            return streams
        streams.append(stream)


def test_a_body_that_does_not_fit_is_refused_before_it_comes() -> None:
    """Many bodies within the limit ended the process together."""
    server = Server()
    assert fill(server)
    refused = server.connect(head(LARGE) + b"x")
    assert refused.sent.startswith(b"HTTP/1.1 503 ")
    assert NOT_RUN in refused.sent
    assert b"Retry-After: 1\r\n" in refused.sent
    assert refused.closing
    assert server.refused[-1] == exchanges.TOO_LITTLE_MEMORY
    before = server.memory.total
    refused.receive(b"x" * LARGE)
    assert server.memory.total == before
    assert not server.handler.exchanges


def test_a_small_request_is_served_beside_large_ones() -> None:
    """It would wait behind a crowd's bodies."""
    server = Server()
    fill(server)
    server.connect(head(SMALL) + b"x" * SMALL)
    assert len(server.handler.exchanges) == 1


def test_a_body_that_stops_gives_way_to_another() -> None:
    """Those that came first kept all memory until their time was up."""
    server = Server()
    crowd = fill(server)
    server.clock.advance(LATER_MS)
    served = server.connect(head(LARGE) + b"x" * LARGE)
    assert len(server.handler.exchanges) == 1
    assert not served.sent
    ended = [stream for stream in crowd if stream.sent]
    assert ended
    for stream in ended:
        assert stream.sent.startswith(b"HTTP/1.1 408 ")
        assert NOT_RUN in stream.sent
        assert stream.closing


def test_chunks_are_refused_when_they_no_longer_fit() -> None:
    """Chunks announce no length, so that each of them was let in."""
    server = Server()
    start = (
        b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
    chunk = b"8000\r\n" + bytes(0x8000) + b"\r\n"
    streams = [server.connect(start) for _ in range(8)]
    for _ in range(8):
        for stream in streams:
            if not stream.sent:
                stream.receive(chunk)
    assert server.memory.total <= LIMIT
    statuses = {stream.sent[9:12] for stream in streams}
    assert statuses == {b"", b"503"}


def test_a_whole_request_that_does_not_fit_is_refused_and_not_run() -> None:
    """Requests that waited for their answers held any amount together."""
    server = Server()
    body = b"x" * held_memory.SMALL_BYTES
    streams = [server.connect(head(len(body)) + body) for _ in range(30)]
    served = [stream for stream in streams if not stream.sent]
    assert len(served) == len(server.handler.exchanges)
    assert len(served) * len(body) <= LIMIT
    refused = [stream for stream in streams if stream.sent]
    assert refused
    for stream in refused:
        assert stream.sent.startswith(b"HTTP/1.1 503 ")
        # All of it was read, so the connection can go on.
        assert not stream.closing
    server.handler.exchanges[0].answer(200, "OK")
    refused[0].receive(head(len(body)) + body)
    assert server.handler.exchanges[-1].connection.stream is refused[0]


@pytest.mark.parametrize(
    "line",
    [b"X: " + b"x" * 20_000, b"\r\n".join(b"%d:" % n for n in range(2000))],
)
def test_heads_of_waiting_requests_count(line: bytes) -> None:
    """Only bodies counted, and a crowd sent large heads or many fields."""
    server = Server()
    request = head(0, line)
    for _ in range(20):
        server.connect(request)
    assert server.memory.total <= LIMIT
    assert server.refused


def send_answer(
    server: Server, size: int, unread: int
) -> memory_stream.MemoryStream:
    """Return a client that has not read some bytes of its answer."""
    stream = server.connect(b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
    stream.unacknowledged = unread
    server.handler.exchanges[-1].answer(200, "OK", b"", b"x" * size)
    return stream


def test_answers_that_nobody_reads_count_where_the_kernel_holds_them() -> None:
    """They were no longer in the process, and still in the host's memory."""
    server = Server()
    streams = [send_answer(server, LARGE, LARGE) for _ in range(10)]
    assert server.memory.total <= LIMIT
    aborted = [stream for stream in streams if stream.aborted]
    assert aborted
    # Whoever has just been answered is the last to lose its answer.
    assert not streams[-1].aborted


def test_an_answer_that_is_read_is_not_given_up() -> None:
    """The client that gets on keeps its place, the one that stops does not."""
    server = Server()
    reads = send_answer(server, 2 * LARGE, 2 * LARGE)
    stops = send_answer(server, LARGE, LARGE)
    for _ in range(20):
        reads.unacknowledged -= LARGE // 100
        server.pass_time(LATER_MS // 20)
    send_answer(server, 2 * LARGE, 2 * LARGE)
    assert stops.aborted
    assert not reads.aborted


def test_answers_count_no_longer_once_they_are_read() -> None:
    """What was counted once was never counted off."""
    server = Server()
    stream = send_answer(server, LARGE, LARGE)
    assert server.memory.total == LARGE
    stream.unacknowledged = 0
    server.pass_time(50)
    assert server.memory.total == 0
    assert not server.memory.holdings


def test_a_connection_that_closes_holds_nothing() -> None:
    """What it had received stayed until the collector came by."""
    server = Server()
    stream = server.connect(head(LARGE) + b"x" * SMALL)
    waiting = server.connect(head(SMALL) + b"x" * SMALL)
    assert server.memory.total > LARGE
    stream.close()
    waiting.close()
    assert server.memory.total == 0
    assert not server.memory.holdings
    assert not stream.owner.reader.started


def test_no_body_is_announced_that_never_fits() -> None:
    """It would be refused for ever, as if it might fit later."""
    server = Server()
    stream = server.connect(head(LIMIT))
    assert stream.sent.startswith(b"HTTP/1.1 413 ")


def test_a_body_in_small_chunks_is_decoded_over_several_turns() -> None:
    """Chunks of a byte kept the loop from all other clients."""
    server = Server()
    start = (
        b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
    stream = server.connect(start)
    stream.receive(b"4\r\nfour\r\n" * 900)
    assert not stream.reading
    sizes = [stream.owner.reader.chunks.size]
    while server.deferred:
        server.deferred.pop(0)()
        sizes.append(stream.owner.reader.chunks.size)
    assert max(b - a for a, b in zip(sizes, sizes[1:])) < 1024
    assert stream.reading
    stream.receive(b"0\r\n\r\n")
    (exchange,) = server.handler.exchanges
    assert exchange.request.body == b"four" * 900


@pytest.mark.parametrize("first", [b"", b"G"])
def test_a_silent_client_gives_way_to_a_new_one(first: bytes) -> None:
    """The first ones kept all others out for as long as they stayed."""
    server = Server(max_connections=5)
    served = server.connect(head(0))
    crowd = [server.connect(first) for _ in range(4)]
    new = server.connect(head(0))
    assert not new.closed
    assert [stream.closed for stream in crowd] == [True, False, False, False]
    assert not served.closed


def test_whoever_is_served_keeps_its_place() -> None:
    """A new client must not end a request that may be running."""
    server = Server(max_connections=2)
    served = [server.connect(head(0)) for _ in range(2)]
    assert server.connect().closed
    assert not any(stream.closed for stream in served)
    server.handler.exchanges[1].answer(200, "OK")
    assert not server.connect().closed
    assert [stream.closed for stream in served] == [False, True]
