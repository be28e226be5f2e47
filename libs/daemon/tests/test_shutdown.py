"""What callers get from a proxy that leaves, over real streams."""

import typing

from trefoil_daemon import http_server
from trefoil_daemon import transport as transports
from trefoil_model import clock as clocks

REQUEST = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
UPLOAD = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nab"


class Socket:
    """A socket whose peer reads as much as it is told to."""

    def __init__(self) -> None:
        self.room = 0
        self.sent = b""
        self.incoming: list[bytes] = []
        self.closed = False

    def send(self, data: bytes) -> int:
        """Take what there is room for."""
        if not self.room:
            raise BlockingIOError(transports.RETRYABLE_ERRNOS[0], "full")
        taken = bytes(data[: self.room])
        self.sent += taken
        self.room -= len(taken)
        return len(taken)

    def recv(self, size: int) -> bytes:
        """Return what the peer sent next."""
        return self.incoming.pop(0)

    def close(self) -> None:
        """Close."""
        self.closed = True


class Poller:
    """Watches nothing; the test tells what is ready."""

    transport: typing.Any = None

    def addReader(self, source: typing.Any, sock: Socket) -> None:
        """Ignore."""

    def addWriter(self, source: typing.Any, sock: Socket) -> None:
        """Ignore."""

    def removeWriter(self, sock: Socket) -> None:
        """Ignore."""

    def isWriting(self, sock: Socket) -> bool:
        """Ignore."""
        return False

    def discard(self, sock: Socket) -> None:
        """Ignore."""


class Handler:
    """Keeps the requests that are to be run."""

    def __init__(self) -> None:
        self.taken: list[http_server.ServerConnection] = []

    def handle_request(
        self, connection: http_server.ServerConnection, message: typing.Any
    ) -> None:
        """Keep a request."""
        self.taken.append(connection)

    def on_disconnect(self, connection: http_server.ServerConnection) -> None:
        """Ignore."""


class Proxy:
    """A server with one caller."""

    def __init__(self, idle_ms: int = 0) -> None:
        self.clock = clocks.PausedClock()
        self.handler = Handler()
        self.truncated: list[http_server.ServerConnection] = []
        self.transport = transports.Transport(
            typing.cast(transports.DirectPoller, Poller())
        )
        self.server = http_server.HttpServer(
            self.transport,
            self.handler,
            self.clock,
            limits=http_server.ConnectionLimits(idle_ms=idle_ms),
            malformed=lambda why: None,
            truncated=self.truncated.append,
        )
        self.sock = Socket()
        stream = transports.Stream(
            self.transport, typing.cast(typing.Any, self.sock), False
        )
        self.transport.streams[typing.cast(typing.Any, self.sock)] = stream
        self.server._on_accept(stream)

    def caller_sends(self, data: bytes) -> None:
        """Let bytes of the caller arrive."""
        self.sock.incoming.append(data)
        self.transport.readable(typing.cast(typing.Any, self.sock))

    def caller_reads(self, size: int) -> None:
        """Let the caller take some bytes."""
        self.sock.room += size
        self.transport.writable(typing.cast(typing.Any, self.sock))

    def answers(self, body: bytes = b"done") -> None:
        """Answer the last request."""
        self.handler.taken[-1].answer(200, "OK", b"", body)

    def close_idle(self) -> None:
        """Close what is idle now."""
        self.server.close_idle(self.clock.now_ms())

    def has_open_transfers(self) -> bool:
        """Tell whether the shutdown waits for a caller."""
        return self.server.has_open_transfers(self.clock.now_ms())


def test_a_shutdown_sends_an_answer_to_its_end() -> None:
    """A caller lost the rest of an answer that it was still reading."""
    proxy = Proxy()
    proxy.caller_sends(REQUEST)
    proxy.answers(b"x" * 1000)
    proxy.caller_reads(100)
    proxy.close_idle()
    assert proxy.has_open_transfers()
    proxy.caller_reads(10_000)
    assert proxy.sock.sent.endswith(b"x" * 1000)
    assert proxy.sock.closed
    assert not proxy.has_open_transfers()
    assert proxy.truncated == []


def test_a_shutdown_answers_a_request_that_is_still_coming() -> None:
    """A caller's upload was cut in its midst, with no word of its fate."""
    proxy = Proxy()
    proxy.caller_sends(UPLOAD)
    proxy.close_idle()
    assert proxy.has_open_transfers()
    proxy.caller_sends(b"cd")
    proxy.caller_reads(10_000)
    proxy.answers()
    assert b"Connection: close" in proxy.sock.sent
    assert proxy.sock.closed


def test_a_shutdown_does_not_cut_a_connection_that_was_just_opened() -> None:
    """A caller that was told to come back opened it; its request was lost."""
    proxy = Proxy()
    refusing_since_ms = proxy.clock.now_ms() - 1
    proxy.server.close_idle(refusing_since_ms)
    assert not proxy.sock.closed
    proxy.caller_sends(REQUEST)
    proxy.caller_reads(10_000)
    proxy.answers()
    assert b"Connection: close" in proxy.sock.sent


def test_a_shutdown_does_not_wait_for_later_requests() -> None:
    """Callers keep coming; the shutdown would last until it is killed."""
    proxy = Proxy()
    began_by_ms = proxy.clock.now_ms()
    proxy.clock.advance(1)
    proxy.caller_sends(UPLOAD)
    assert not proxy.server.has_open_transfers(began_by_ms)


def test_a_request_behind_the_last_answer_gets_its_own() -> None:
    """It was read, then the connection ended without a word on it."""
    proxy = Proxy()
    proxy.sock.room = 10_000
    proxy.caller_sends(REQUEST + REQUEST)
    proxy.server.close_after_answers()
    proxy.answers()
    assert not proxy.sock.closed
    assert len(proxy.handler.taken) == 2
    proxy.answers()
    assert proxy.sock.sent.count(b"200 OK") == 2
    assert proxy.sock.closed


def test_nothing_is_run_behind_the_last_answer() -> None:
    """A request ran although its connection could carry no answer."""
    proxy = Proxy()
    proxy.caller_sends(REQUEST)
    proxy.server.close_after_answers()
    proxy.answers()
    proxy.caller_sends(REQUEST)
    assert len(proxy.handler.taken) == 1


def test_an_answer_that_is_being_read_is_not_idleness() -> None:
    """The idle time cut an answer that took its caller longer to read."""
    proxy = Proxy(idle_ms=1000)
    proxy.caller_sends(REQUEST)
    proxy.answers(b"x" * 1000)
    for _ in range(5):
        proxy.clock.advance(900)
        proxy.caller_reads(10)
        proxy.server.tick()
    assert not proxy.sock.closed
    proxy.clock.advance(1001)
    proxy.server.tick()
    assert proxy.sock.closed
    assert len(proxy.truncated) == 1


def test_an_answer_of_any_size_is_sent() -> None:
    """One above the limit for slow readers was cut at its start."""
    proxy = Proxy()
    proxy.caller_sends(REQUEST)
    proxy.answers(b"x" * (transports.MAX_BUFFERED_BYTES + 1))
    assert not proxy.sock.closed
