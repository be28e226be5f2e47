"""Requests that a client sends before earlier ones are answered."""

import collections
import dataclasses
import tracemalloc
import typing

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from trefoil_daemon import exchanges
from trefoil_daemon import http_server
from trefoil_daemon import transport as transports
from trefoil_emulator import memory_stream
from trefoil_model import clock as clocks


class Handler:
    """Records the requests that run; paths under /read may overlap."""

    def __init__(self) -> None:
        self.running: dict[str, exchanges.Exchange] = {}
        self.ran: list[str] = []
        self.cancelled: list[str] = []

    def handle_request(
        self, exchange: exchanges.Exchange, message: typing.Any
    ) -> None:
        """Record a request that starts."""
        self.ran.append(message.path)
        self.running[message.path] = exchange

    def may_overlap(self, message: typing.Any) -> bool:
        """Return whether a request may be repeated."""
        return message.path.startswith("/read")

    def on_disconnect(self, exchange: exchanges.Exchange) -> None:
        """Record a cancelled request."""
        self.cancelled.append(exchange.request.path)
        self.running.pop(exchange.request.path)

    def answer(self, path: str, size: int = 0) -> None:
        """Answer a running request with its path and some padding."""
        body = path.encode() + b"." * size
        self.running.pop(path).answer(200, "OK", b"", body)


class Client:
    """A client's connection."""

    def __init__(self) -> None:
        self.clock = clocks.PausedClock()
        self.handler = Handler()
        self.server = http_server.HttpServer(
            typing.cast(transports.Transport, None),
            self.handler,
            self.clock,
            limits=http_server.ConnectionLimits(max_body=1 << 20),
            malformed=lambda why: None,
        )
        self.stream = self.open()

    def open(self) -> memory_stream.MemoryStream:
        """Open a connection."""
        stream = memory_stream.MemoryStream()
        self.server._on_accept(typing.cast(transports.Stream, stream))
        return stream

    def send(self, *paths: str, extra: bytes = b"", body: int = 0) -> None:
        """Send requests together."""
        data = b"".join(request(path, extra, body) for path in paths)
        self.stream.on_data(self.stream, data)

    @property
    def answers(self) -> list[str]:
        """Return the paths of the answers, in the order of their arrival."""
        parts = self.stream.sent.split(b"\r\n\r\n")[1:]
        bodies = [part.partition(b"HTTP/1.1")[0] for part in parts]
        return [body.rstrip(b".").decode() for body in bodies]


def request(path: str, extra: bytes = b"", body: int = 0) -> bytes:
    """Return the bytes of a request."""
    length = b"Content-Length: %d\r\n" % body if body else b""
    method = b"POST" if body else b"GET"
    head = b"%s %s HTTP/1.1\r\nHost: h\r\n" % (method, path.encode())
    return head + extra + length + b"\r\n" + b"x" * body


def test_safe_requests_run_together_and_are_answered_in_order() -> None:
    client = Client()
    client.send("/read/1", "/read/2", "/read/3")
    assert client.handler.ran == ["/read/1", "/read/2", "/read/3"]
    client.handler.answer("/read/3")
    client.handler.answer("/read/2")
    assert client.answers == []
    client.handler.answer("/read/1")
    assert client.answers == ["/read/1", "/read/2", "/read/3"]


def test_a_request_that_may_not_be_repeated_runs_alone() -> None:
    client = Client()
    client.send("/read/1", "/pay/2", "/read/3")
    assert client.handler.ran == ["/read/1"]
    client.handler.answer("/read/1")
    assert client.handler.ran == ["/read/1", "/pay/2"]
    client.handler.answer("/pay/2")
    assert client.handler.ran == ["/read/1", "/pay/2", "/read/3"]


def test_a_client_that_leaves_cancels_what_runs_and_starts_nothing() -> None:
    client = Client()
    client.send("/read/1", "/read/2", "/pay/3")
    client.handler.answer("/read/2")
    client.stream.close()
    assert client.handler.cancelled == ["/read/1"]
    assert client.handler.ran == ["/read/1", "/read/2"]


def test_nothing_behind_a_request_that_closes_is_run() -> None:
    client = Client()
    client.send("/read/1", extra=b"Connection: close\r\n")
    client.send("/read/2")
    client.handler.answer("/read/1")
    assert client.handler.ran == ["/read/1"]
    assert client.stream.closing
    assert b"Connection: close" in client.stream.sent


def test_bytes_behind_the_last_request_are_not_kept() -> None:
    """They piled up for as long as that request took."""
    client = Client()
    client.send("/read1", extra=b"Connection: close\r\n")
    for _ in range(10):
        client.stream.on_data(client.stream, b"x" * 65536)
    assert not client.stream.owner.reader.buffer
    client.handler.answer("/read1")
    assert client.answers == ["/read1"]


def test_a_malformed_request_is_answered_after_those_before_it() -> None:
    client = Client()
    client.send("/read/1")
    client.stream.on_data(client.stream, b"BAD\r\n\r\n" + request("/read/2"))
    assert client.stream.sent == b""
    client.handler.answer("/read/1")
    assert client.stream.sent.count(b"HTTP/1.1 200 OK") == 1
    assert client.stream.sent.count(b"HTTP/1.1 400") == 1
    assert client.stream.closing
    assert client.handler.ran == ["/read/1"]


def test_a_body_behind_a_head_is_waited_for() -> None:
    client = Client()
    whole = request("/read/2", body=10)
    client.send("/read/1")
    client.stream.on_data(client.stream, whole[:-3])
    assert client.handler.ran == ["/read/1"]
    client.stream.on_data(client.stream, whole[-3:])
    assert client.handler.ran == ["/read/1", "/read/2"]


def test_requests_in_progress_are_bounded_in_number() -> None:
    client = Client()
    paths = [f"/read/{number}" for number in range(40)]
    client.send(*paths)
    assert len(client.handler.running) == exchanges.MAX_EXCHANGES
    for path in paths:
        client.handler.answer(path)
    assert client.answers == paths


def test_answers_that_wait_are_bounded_in_bytes() -> None:
    """A client may send few requests with large answers, the first slow."""
    client = Client()
    size = exchanges.MAX_HELD_BYTES
    client.send("/read/1", "/read/2")
    client.handler.answer("/read/2", size)
    client.send("/read/3")
    assert "/read/3" not in client.handler.ran
    client.handler.answer("/read/1")
    assert "/read/3" in client.handler.ran


def test_answers_behind_a_slow_one_wait_for_their_client() -> None:
    """They were written at once, and lost with their connection at 8 MiB."""
    client = Client()
    client.stream.is_slow = True
    paths = [f"/read/{number}" for number in range(exchanges.MAX_EXCHANGES)]
    client.send(*paths)
    for path in reversed(paths):
        client.handler.answer(path, 1 << 20)
    while client.stream.queued:
        client.stream.take(1 << 19)
    assert client.answers == paths
    assert not client.stream.closed


def test_a_client_that_reads_none_of_its_answers_is_closed() -> None:
    """The answers behind the first one kept it open."""
    client = Client()
    client.server.limits.idle_ms = 15_000
    client.stream.is_slow = True
    client.send("/read/1", "/read/2")
    client.handler.answer("/read/1", 1 << 20)
    client.handler.answer("/read/2", 1 << 20)
    client.stream.take(1)
    client.server.tick()
    client.clock.advance(15_000)
    client.server.tick()
    assert not client.stream.closed
    client.clock.advance(1)
    client.server.tick()
    assert client.stream.closed


def test_a_sender_that_is_ahead_is_stopped_and_goes_on() -> None:
    client = Client()
    client.send("/pay/1")
    for _ in range(20):
        client.send(*[f"/read/{n}" for n in range(500)], extra=b"X: y\r\n")
    assert not client.stream.reading
    client.handler.answer("/pay/1")
    assert client.stream.reading


def test_a_shutdown_answers_what_was_received_and_closes_then() -> None:
    client = Client()
    client.send("/read/1", "/pay/2")
    client.server.close_after_answers()
    client.handler.answer("/read/1")
    assert not client.stream.closing
    client.handler.answer("/pay/2")
    assert client.stream.closing
    assert client.answers == ["/read/1", "/pay/2"]


def test_a_request_that_arrives_too_slowly_ends_its_connection() -> None:
    client = Client()
    client.stream.on_data(client.stream, b"GET /read/1 HTTP/1.1\r\n")
    client.clock.advance(http_server.RECEIVE_TIMEOUT_MS + 1)
    client.server.tick()
    assert b"408" in client.stream.sent


def test_a_thousand_connections_with_waiting_requests_fit() -> None:
    """They may take 32 MB, a sixth of a small host's memory."""
    client = Client()
    paths = [f"/read/{n}" for n in range(8)]
    data = b"".join(request(path) for path in paths)
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    for _ in range(1000):
        stream = client.open()
        stream.on_data(stream, data)
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert after - before < 32 * 1024 * 1024


@dataclasses.dataclass(slots=True)
class Sent:
    """A request that the client sent whole.

    Args:
        path: Its path, which is unique.
        safe: Whether it may run beside others.
    """

    path: str
    safe: bool


class Pipelining(stateful.RuleBasedStateMachine):
    """One connection whose client and handler act in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.client = Client()
        self.sent: list[Sent] = []
        self.pending = b""
        self.answered: collections.Counter[str] = collections.Counter()
        self.ended = False

    @property
    def is_open(self) -> bool:
        """Return whether the client may send."""
        stream = self.client.stream
        return not (stream.closed or stream.closing or self.ended)

    @stateful.precondition(lambda self: self.is_open and not self.pending)
    @stateful.rule(
        safe=strategies.lists(strategies.booleans(), min_size=1, max_size=5),
        body=strategies.sampled_from((0, 0, 5, 40_000)),
        cut=strategies.booleans(),
        closes=strategies.booleans(),
    )
    def requests_arrive(
        self, safe: list[bool], body: int, cut: bool, closes: bool
    ) -> None:
        data = b""
        for is_safe in safe:
            kind = "read" if is_safe else "pay"
            path = f"/{kind}/{len(self.sent)}"
            self.sent.append(Sent(path, is_safe))
            data += request(path, body=body)
        if closes and len(self.sent) > 12:
            path = f"/read/{len(self.sent)}"
            self.sent.append(Sent(path, True))
            data += request(path, b"Connection: close\r\n")
            self.ended = True
        if cut:
            data, self.pending = data[:-7], data[-7:]
        self.client.stream.on_data(self.client.stream, data)

    @stateful.precondition(
        lambda self: self.pending and not self.client.stream.closed
    )
    @stateful.rule()
    def the_rest_arrives(self) -> None:
        data, self.pending = self.pending, b""
        self.client.stream.on_data(self.client.stream, data)

    @stateful.precondition(lambda self: self.client.handler.running)
    @stateful.rule(data=strategies.data(), size=strategies.integers(0, 9000))
    def a_request_is_answered(
        self, data: strategies.DataObject, size: int
    ) -> None:
        running = sorted(self.client.handler.running)
        path = data.draw(strategies.sampled_from(running))
        self.answered[path] += 1
        self.client.handler.answer(path, size)

    @stateful.rule(is_slow=strategies.booleans())
    def the_client_reads(self, is_slow: bool) -> None:
        """Read all that waits, and read on or stop to."""
        stream = self.client.stream
        while stream.queued and not stream.closed:
            stream.take(len(stream.queued))
        stream.is_slow = is_slow

    @stateful.rule()
    def time_passes(self) -> None:
        self.client.clock.advance(100)
        self.client.server.tick()

    @stateful.precondition(lambda self: len(self.sent) > 15)
    @stateful.rule()
    def the_client_leaves(self) -> None:
        self.client.stream.close()

    @stateful.precondition(lambda self: len(self.sent) > 10)
    @stateful.rule()
    def the_proxy_shuts_down(self) -> None:
        self.client.server.close_after_answers()

    @stateful.invariant()
    def answers_come_in_order_and_once(self) -> None:
        answers = self.client.answers
        paths = [sent.path for sent in self.sent]
        assert answers == paths[: len(answers)]

    @stateful.invariant()
    def every_request_runs_once_and_in_order(self) -> None:
        ran = self.client.handler.ran
        assert ran == [sent.path for sent in self.sent][: len(ran)]

    @stateful.invariant()
    def a_request_that_may_not_overlap_runs_alone(self) -> None:
        running = self.client.handler.running
        if any(path.startswith("/pay") for path in running):
            assert len(running) == 1

    @stateful.invariant()
    def nothing_runs_for_a_client_that_left(self) -> None:
        if self.client.stream.closed:
            assert not self.client.handler.running

    def teardown(self) -> None:
        """All that was received is answered in the end."""
        stream = self.client.stream
        if stream.closed:
            return
        if self.pending and not stream.closing:
            stream.on_data(stream, self.pending)
        self.the_client_reads(is_slow=False)
        while self.client.handler.running:
            self.client.handler.answer(min(self.client.handler.running))
        if not stream.closing or self.ended:
            assert len(self.client.answers) == len(self.sent)


Pipelining.TestCase.settings = hypothesis.settings(
    derandomize=True, max_examples=150, stateful_step_count=40, deadline=None
)
TestPipelining = Pipelining.TestCase


@pytest.mark.parametrize("closing", [False, True])
def test_an_answer_to_a_client_that_left_is_ignored(closing: bool) -> None:
    client = Client()
    client.send("/read/1")
    exchange = client.handler.running["/read/1"]
    if closing:
        client.server.close_after_answers()
    client.stream.close()
    exchange.answer(200, "OK")
    assert client.stream.sent == b""


@pytest.mark.parametrize("is_leaving", [False, True])
def test_any_number_of_requests_that_are_refused_at_once_is_answered(
    monkeypatch: pytest.MonkeyPatch, is_leaving: bool
) -> None:
    """Each one was answered within the last one, until the stack was full."""

    def refuse(handler: Handler, exchange: exchanges.Exchange, _: str) -> None:
        exchange.answer_text(503, "full")

    monkeypatch.setattr(Handler, "handle_request", refuse)
    client = Client()
    if is_leaving:
        client.server.close_after_answers()
    client.send(*(f"/pay{number}" for number in range(1000)))
    assert client.stream.sent.count(b"HTTP/1.1 503") == 1000
    assert client.stream.closing == is_leaving
