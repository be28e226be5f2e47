"""Tests of a proxy's HTTP interfaces to callers and targets, in memory."""

import random
import typing

import pytest

from trefoil_daemon import _chunked
from trefoil_daemon import _http
from trefoil_daemon import dialect as dialects
from trefoil_daemon import exposition
from trefoil_daemon import gateway
from trefoil_daemon import health
from trefoil_daemon import http_server
from trefoil_daemon import metrics as metric_store
from trefoil_daemon import pools
from trefoil_daemon import readiness
from trefoil_daemon import transport as transports
from trefoil_model import clock as clocks
from trefoil_requests import call as calls
from trefoil_requests import effects
from trefoil_requests import notices
from trefoil_wire import frames
from trefoil_wire import messages

DIALECT = dialects.Dialect(
    deadline=b"Time-Left",
    retried=b"",
    not_run=b"Not-Run",
    request_id=b"Call-Id",
    caller_service=b"Caller",
    target=b"Target",
    retry_fractions=True,
)


class Stream:
    """A fake stream whose peer is the test."""

    def __init__(self) -> None:
        self.connecting = False
        self.closed = False
        self.closing = False
        self.eof_received = False
        self.unsent = 0
        self.undelivered = 0
        self.unread = 0
        self.unacknowledged = 0
        self.reading = True
        self.sent = b""
        self.owner: typing.Any = None
        self.on_data: typing.Any = None
        self.on_close: typing.Any = None
        self.on_open: typing.Any = None

    def write(self, data: bytes) -> None:
        """Record sent data."""
        self.sent += data

    def set_paused(self, paused: bool) -> None:
        """Record whether the stream is read."""
        self.reading = not paused

    def close_after_write(self) -> None:
        """Close."""
        self.close()

    def close(self) -> None:
        """Close, and call ``on_close`` once."""
        if not self.closed:
            self.closed = True
            self.on_close(self)

    abort = close

    def peer_sends(self, data: bytes) -> None:
        """Deliver bytes."""
        self.on_data(self, data)

    def peer_ends(self, *, reset: bool = False) -> None:
        """Close the peer's end, in an orderly way or by a reset."""
        self.eof_received = not reset
        self.close()


class Transport:
    """A fake transport that creates fake streams."""

    def __init__(self) -> None:
        self.streams: list[Stream] = []
        self.deferred: list[typing.Callable[[], None]] = []

    def defer(self, function: typing.Callable[[], None]) -> None:
        """Keep a function that the test calls."""
        self.deferred.append(function)

    def connect(self, address: str, on_open: typing.Any) -> Stream:
        """Return a stream that is connected immediately."""
        stream = Stream()
        stream.on_open = on_open
        self.streams.append(stream)
        return stream


class Owner:
    """Records what the pools report."""

    def __init__(self) -> None:
        self.answers: list[messages.Answer] = []
        self.broken: list[int] = []
        self.suspects: list[int] = []

    def target_answered(
        self,
        answer: messages.Answer,
        notice: notices.Notice = notices.NONE,
    ) -> None:
        """Record an answer."""
        self.answers.append(answer)

    def target_unsent(self, request_id: int) -> None:
        """Ignore."""

    def target_silent(self, request_id: int, waited_ms: int) -> None:
        """Record a request on a suspect connection."""
        self.suspects.append(request_id)

    def target_disconnected(self, request_id: int) -> None:
        """Record a broken request."""
        self.broken.append(request_id)

    def target_checked(self, target: str, accepts: bool) -> None:
        """Ignore."""


class Target:
    """The pools of a proxy, with a fake target."""

    def __init__(self, max_body: int = 1 << 20) -> None:
        self.transport = Transport()
        self.owner = Owner()
        self.clock = clocks.PausedClock()
        self.pools = pools.TargetPools(
            typing.cast(transports.Transport, self.transport),
            self.owner,
            self.clock,
            ip="10.0.0.1",
            max_body=max_body,
            dialect=DIALECT,
        )

    def send(
        self, request_id: int, caller_id: str, route: str = "r"
    ) -> Stream:
        """Send a request; return the stream that carries it."""
        request = messages.Request(
            request_id=request_id,
            route=route,
            method="GET",
            path="/a",
            headers=b"",
            body=b"",
            target="t1",
            caller_id=caller_id,
        )
        deadline_ms = self.clock.now_ms() + 750
        self.pools.dispatch(effects.Dispatch("t1", 8080, request, deadline_ms))
        return self.pools.busy[request_id].stream


def answer(caller_id: str, body: str, extra_headers: str = "") -> bytes:
    """Return a target's answer as bytes."""
    head = f"HTTP/1.1 200 OK\r\nCall-Id: {caller_id}\r\n{extra_headers}"
    return f"{head}Content-Length: {len(body)}\r\n\r\n{body}".encode()


def test_a_request_names_its_target_and_the_time_left() -> None:
    sent = Target().send(1, "x").sent
    assert b"\r\nTarget: t1\r\n" in sent
    assert b"\r\nTime-Left: 750\r\n" in sent
    assert b"Retried" not in sent


def test_an_answer_to_another_request_is_dropped() -> None:
    """A target answers twice and the duplicate follows the next request.

    It arrives where the next answer is expected. Passed on, it would give one
    caller's data to another.
    """
    target = Target()
    stream = target.send(1, "first")
    stream.peer_sends(answer("first", "one"))
    assert target.send(2, "second") is stream
    stream.peer_sends(answer("first", "one") + answer("second", "two"))
    assert [a.body for a in target.owner.answers] == [b"one", b"two"]


@pytest.mark.parametrize(
    "stray",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray",
        b"HTTP/1.1 400 Bad\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
    ],
)
def test_an_answer_without_an_id_answers_no_request(stray: bytes) -> None:
    """A caller got a target's additional bytes, or its payment ran twice."""
    target = Target()
    stream = target.send(1, "first")
    stream.peer_sends(stray)
    assert target.owner.answers == []
    stream.peer_sends(answer("first", "one"))
    assert [a.body for a in target.owner.answers] == [b"one"]
    assert stream.closed


def test_an_informational_answer_precedes_the_answer() -> None:
    """A caller waited for its answer until its time limit."""
    target = Target()
    stream = target.send(1, "first")
    stream.peer_sends(b"HTTP/1.1 100 Continue\r\n\r\n")
    assert target.owner.answers == []
    stream.peer_sends(answer("first", "one"))
    assert [a.body for a in target.owner.answers] == [b"one"]
    assert not stream.closed


@pytest.mark.parametrize("reset", [True, False])
def test_a_stray_answer_without_a_length_hides_the_answer(reset: bool) -> None:
    """All later bytes belong to it, so the request's outcome is unknown."""
    target = Target()
    stream = target.send(1, "first")
    stream.peer_sends(b"HTTP/1.1 200 OK\r\n\r\nstray")
    stream.peer_sends(answer("first", "one"))
    stream.peer_ends(reset=reset)
    assert target.owner.answers == []
    assert target.owner.broken == [1]


def test_a_stated_length_of_thousands_of_digits_is_a_malformed_answer() -> (
    None
):
    """The request counted as one whose connection broke."""
    target = Target()
    stream = target.send(1, "x")
    line = b"Content-Length: " + b"9" * 5000
    stream.peer_sends(answer("x", "").replace(b"Content-Length: 0", line))
    assert [(a.status, a.unusable) for a in target.owner.answers] == [
        (502, True)
    ]


def test_bytes_after_an_answer_close_the_connection() -> None:
    target = Target()
    stream = target.send(1, "first")
    stream.peer_sends(answer("first", "one") + answer("first", "one"))
    assert stream.closed
    assert len(target.owner.answers) == 1


@pytest.mark.parametrize("reset", [True, False])
def test_a_body_without_a_length_needs_an_orderly_close(
    reset: bool,
) -> None:
    """After a reset, the rest of the body may be lost."""
    target = Target()
    stream = target.send(1, "x")
    stream.peer_sends(b"HTTP/1.1 200 OK\r\nCall-Id: x\r\n\r\nhalf")
    stream.peer_ends(reset=reset)
    assert bool(target.owner.broken) is reset
    assert [a.body for a in target.owner.answers] == (
        [] if reset else [b"half"]
    )


@pytest.mark.parametrize(
    ("line", "idle_ms", "stays_open"),
    [
        ("Keep-Alive: timeout=3\r\n", 1900, True),
        ("Keep-Alive: timeout=3\r\n", 2100, False),
        ("Keep-Alive: max=7, timeout=20\r\n", 15_000, True),
        ("", 4900, True),
        ("", 5100, False),
    ],
)
def test_idle_connections_follow_the_targets_keep_alive(
    line: str, idle_ms: int, stays_open: bool
) -> None:
    """A request on a connection that its target is closing is lost."""
    target = Target()
    stream = target.send(1, "x")
    stream.peer_sends(answer("x", "one", line))
    target.clock.advance(idle_ms)
    target.pools.tick()
    assert stream.closed is not stays_open


@pytest.mark.parametrize("stated", [b"\xb2", b"9" * 5000, b"-1", b""])
def test_an_answer_with_an_odd_keep_alive_reaches_its_caller(
    stated: bytes,
) -> None:
    """The answer was lost with the error that reading the number raised."""
    target = Target()
    stream = target.send(1, "x")
    line = b"Keep-Alive: timeout=" + stated + b"\r\n"
    stream.peer_sends(
        answer("x", "one").replace(b"Call-Id", line + b"Call-Id")
    )
    assert [a.body for a in target.owner.answers] == [b"one"]
    target.clock.advance(3_599_100)
    target.pools.tick()
    assert stream.closed


def run_short_requests(target: Target, route: str) -> None:
    """Run ten requests of 30 ms one after the other."""
    for number in range(100, 110):
        stream = target.send(number, str(number), route)
        target.clock.advance(30)
        stream.peer_sends(answer(str(number), "short"))


def run_short_requests_beside(target: Target, excluded: list[Stream]) -> None:
    """Run ten requests of 30 ms on connections that were opened later."""
    kept = target.pools.idle.pop(8080)
    run_short_requests(target, "r")
    assert not set(excluded) & {c.stream for c in target.pools.idle[8080]}
    opened = target.pools.idle[8080]
    target.pools.idle[8080] = opened + kept


def test_a_long_request_beside_short_ones_is_not_aborted() -> None:
    """A caller got a 502 for an upload that its target was still running.

    Compared with the short requests of another route, the upload's connection
    looked silent.
    """
    target = Target()
    stream = target.send(1, "upload", "uploads")
    run_short_requests(target, "checks")
    target.clock.advance(400)
    target.pools.tick()
    assert target.owner.suspects == []
    assert not stream.closed
    stream.peer_sends(answer("upload", "kept"))
    assert target.owner.answers[-1].body == b"kept"


def test_a_long_request_among_short_ones_of_its_route_is_left_at_work() -> (
    None
):
    """A leaving proxy broke a request off at the target that ran it."""
    target = Target()
    stream = target.send(1, "long", "checks")
    run_short_requests(target, "checks")
    target.clock.advance(700)
    target.pools.tick()
    assert target.owner.suspects == [1]
    target.pools.tick()
    assert target.owner.suspects == [1]
    assert not stream.closed
    stream.peer_sends(answer("long", "late"))
    assert target.owner.answers[-1].body == b"late"


def test_no_request_goes_to_an_idle_connection_beside_a_silent_one() -> None:
    """One after the other, callers waited until their deadlines."""
    target = Target()
    before = [target.send(number, str(number)) for number in (1, 2)]
    for number, stream in enumerate(before, 1):
        stream.peer_sends(answer(str(number), "x"))
    silent = target.send(3, "lost")
    assert silent in before
    run_short_requests_beside(target, before)
    target.clock.advance(400)
    target.pools.tick()
    assert target.owner.suspects == [3]
    assert target.send(4, "next") not in before


class Process:
    """Records calls."""

    ready = True

    def __init__(self) -> None:
        self.calls: list[calls.Call] = []

    def call(self, call: calls.Call) -> None:
        """Record a call."""
        self.calls.append(call)

    def caller_disconnected(self, call_id: int) -> None:
        """Ignore."""


class Caller:
    """A caller's connection to a server."""

    def __init__(
        self,
        handler: http_server.Handler,
        limits: http_server.ConnectionLimits,
    ) -> None:
        self.clock = clocks.PausedClock()
        self.server = http_server.HttpServer(
            typing.cast(transports.Transport, Transport()),
            handler,
            self.clock,
            limits=limits,
            malformed=lambda why: None,
        )
        self.stream = Stream()
        self.server._on_accept(typing.cast(transports.Stream, self.stream))


def test_the_callers_service_is_set_by_the_proxy() -> None:
    """A caller cannot claim to be another service."""
    process = Process()
    caller_gateway = gateway.Gateway(process, DIALECT, "tables")
    caller = Caller(caller_gateway, http_server.ConnectionLimits())
    caller.stream.peer_sends(
        b"GET /a HTTP/1.1\r\nHost: h\r\nCaller: bank\r\nCall-Id: 7\r\n"
        b"Time-Left: 900\r\n\r\n"
    )
    (call,) = process.calls
    assert b"Caller: tables\r\n" in call.headers
    assert b"bank" not in call.headers
    assert b"Call-Id: 7\r\n" in call.headers
    assert (call.caller_id, call.deadline_ms) == ("7", 900)


def test_retry_after_has_fractions() -> None:
    process = Process()
    caller_gateway = gateway.Gateway(process, DIALECT)
    caller = Caller(caller_gateway, http_server.ConnectionLimits())
    caller.stream.peer_sends(b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
    (call,) = process.calls
    caller_gateway.finish(
        calls.Final(call.call_id, 503, "full", retry_after_ms=120)
    )
    assert b"Retry-After: 0.120\r\n" in caller.stream.sent


def test_readiness_follows_the_process() -> None:
    process = Process()
    for ready, status in ((True, b"200"), (False, b"503")):
        process.ready = ready
        caller = Caller(
            readiness.Readiness(process), http_server.ConnectionLimits()
        )
        caller.stream.peer_sends(b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n")
        assert caller.stream.sent.startswith(b"HTTP/1.1 " + status)


def test_a_trickled_head_and_an_idle_connection_are_closed() -> None:
    limits = http_server.ConnectionLimits(
        receive_timeout_ms=3000, idle_ms=15_000
    )
    for received, timeout_ms in ((b"GET /a HT", 3001), (b"", 15_001)):
        caller = Caller(gateway.Gateway(Process()), limits)
        if received:
            caller.stream.peer_sends(received)
        caller.clock.advance(timeout_ms - 1)
        caller.server.tick()
        assert not caller.stream.closed
        caller.clock.advance(2)
        caller.server.tick()
        assert caller.stream.closed


def test_a_head_beyond_the_configured_limit_is_refused() -> None:
    limits = http_server.ConnectionLimits(max_head=200)
    caller = Caller(gateway.Gateway(Process()), limits)
    caller.stream.peer_sends(b"GET /a HTTP/1.1\r\nX: " + b"y" * 300)
    assert caller.stream.sent.startswith(b"HTTP/1.1 431")


def test_a_body_beyond_the_limit_is_refused() -> None:
    reader = _http.MessageReader(_http.REQUEST, 10)
    with pytest.raises(Exception, match="too large"):
        reader.feed(b"POST / HTTP/1.1\r\nContent-Length: 11\r\n\r\n")


class Engine:
    """A process with fixed metrics."""

    def gauges(self) -> dict[str, float]:
        """Return one gauge."""
        return {"up": 1}

    def families(self) -> list[exposition.Family]:
        """Return a counter with two labels."""
        repeats = exposition.Family(
            "repeats", "Repeats", ["service", "cause"], is_counter=True
        )
        repeats.add(2, service="s", cause="lost")
        return [repeats]


def test_metrics_are_served_in_prometheus_format() -> None:
    """Totals are not reset when the counters are sent to statsd."""
    metrics = metric_store.Metrics("p")
    metrics.count("answers.own.503", 2)
    metrics.flush()
    metrics.count("answers.own.503")
    metrics.latency("browse", 120_000)
    page = exposition.Exposition(
        metrics, {"Heartbeat": 7}, {"Heartbeat": 3}, Engine()
    )
    caller = Caller(page, http_server.ConnectionLimits())
    caller.stream.peer_sends(b"GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n")
    text = caller.stream.sent.decode()
    assert 'trefoilroute_events_total{event="answers.own.503"} 3.0' in text
    assert 'trefoilroute_control_bytes_total{kind="Heartbeat"} 7.0' in text
    assert 'trefoilroute_far_bytes_total{kind="Heartbeat"} 3.0' in text
    assert "trefoilroute_up 1.0" in text
    assert 'trefoilroute_repeats_total{cause="lost",service="s"} 2.0' in text
    assert 'quantile="0.99",tenant="browse"' in text


CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
CHUNKED_HEAD = (
    b"HTTP/1.1 200 OK\r\nCall-Id: x\r\nTransfer-Encoding: chunked\r\n\r\n"
)
CHUNKED = CHUNKED_HEAD + b"3\r\none\r\n4\r\ntwo!\r\n0\r\n\r\n"


@pytest.mark.parametrize("cut", range(70, len(CHUNKED)))
def test_a_chunked_answer_keeps_its_connection(cut: int) -> None:
    """The answer may be split at any byte, even before a chunk's line end.

    Connections were closed after such answers; one in five had to be
    opened anew.
    """
    target = Target()
    stream = target.send(1, "x")
    stream.peer_sends(CHUNKED[:cut])
    assert target.owner.answers == []
    stream.peer_sends(CHUNKED[cut:])
    assert [a.body for a in target.owner.answers] == [b"onetwo!"]
    assert target.send(2, "y") is stream


def test_a_truncated_chunked_answer_is_not_passed_on() -> None:
    target = Target()
    stream = target.send(1, "x")
    stream.peer_sends(CHUNKED[:-5])
    stream.peer_ends()
    assert target.owner.broken == [1]
    assert target.owner.answers == []


def test_bytes_after_a_chunked_answer_close_the_connection() -> None:
    target = Target()
    stream = target.send(1, "x")
    stream.peer_sends(CHUNKED + b"HTTP/1.1 200 OK\r\n")
    assert stream.closed
    assert [a.body for a in target.owner.answers] == [b"onetwo!"]


class HealthOwner:
    """Records what health checks report."""

    def __init__(self) -> None:
        self.reported: list[tuple[str, int]] = []

    def target_warmup(self, target: str, left_ms: int) -> None:
        """Record a target's remaining warm-up time."""
        self.reported.append((target, left_ms))


@pytest.mark.parametrize(
    ("response_head", "reported"),
    [
        (b"HTTP/1.1 200 OK\r\nWarm-In: 1800\r\n", [("t1", 1800)]),
        (b"HTTP/1.1 503 Ill\r\nWarm-In: 0\r\n", [("t1", 0)]),
        (b"HTTP/1.1 200 OK\r\n", []),
        (b"HTTP/1.1 200 OK\r\nWarm-In: soon\r\n", []),
        (b"HTTP/1.1 200 OK\r\nWarm-In: \xb2\r\n", []),
        (
            b"HTTP/1.1 200 OK\r\nWarm-In: " + b"9" * 5000 + b"\r\n",
            [("t1", 86_400_000)],
        ),
        (b"garbage\r\n", []),
    ],
)
def test_a_health_check_reports_the_remaining_warmup(
    response_head: bytes, reported: list[tuple[str, int]]
) -> None:
    """Without a valid value, the proxy keeps its own assumption."""
    check = HealthCheck()
    stream = check.stream
    assert stream.sent.startswith(b"GET /health HTTP/1.1\r\nHost: 10.0.0.1")
    stream.peer_sends(response_head + b"Content-Length: 0\r\n\r\n")
    assert check.owner.reported == reported
    assert stream.closed


class HealthCheck:
    """One health check of a fake target."""

    def __init__(self) -> None:
        self.clock = clocks.PausedClock()
        self.owner = HealthOwner()
        transport = Transport()
        self.checks = health.HealthChecks(
            typing.cast(transports.Transport, transport),
            self.owner,
            self.clock,
            ip="10.0.0.1",
            dialect=dialects.Dialect(warmup_left=b"Warm-In"),
        )
        self.checks.ask("t1", 8080, "/health")
        (self.stream,) = transport.streams
        self.stream.on_open(self.stream)


def test_a_health_check_answered_in_drips_ends() -> None:
    """It kept one of the target's connections open for good."""
    check = HealthCheck()
    for byte in b"HTTP/1.1 200 OK\r\nA: " + b"x" * 20:
        check.stream.peer_sends(bytes((byte,)))
        check.clock.advance(250)
        check.checks.tick()
    assert check.stream.closed
    assert check.checks.checks == {}
    assert check.owner.reported == []


def test_a_health_check_reads_the_answer_behind_informational_ones() -> None:
    check = HealthCheck()
    check.stream.peer_sends(CONTINUE * 2)
    check.stream.peer_sends(
        b"HTTP/1.1 200 OK\r\nWarm-In: 7\r\nContent-Length: 0\r\n\r\n"
    )
    assert check.owner.reported == [("t1", 7)]


def test_a_health_check_ends_at_endless_informational_answers() -> None:
    check = HealthCheck()
    check.stream.peer_sends(CONTINUE * 20)
    assert check.stream.closed
    assert check.owner.reported == []


# Bytes of a target in trouble that come without end: the first ones, and
# those that repeat.
ENDLESS = {
    "a head line": (b"", b"x" * 1000),
    "header lines": (b"HTTP/1.1 200 OK\r\n", b"a: b\r\n" * 100),
    "a body without a length": (b"HTTP/1.1 200 OK\r\n\r\n", b"x" * 50_000),
    "a body in chunks": (CHUNKED_HEAD, b"1000\r\n" + b"x" * 4096 + b"\r\n"),
    "chunks of one byte": (CHUNKED_HEAD, b"1\r\nx\r\n" * 100),
    "the size of a chunk": (CHUNKED_HEAD, b"0" * 1000),
    "an extension of a chunk": (CHUNKED_HEAD + b"1;", b"x" * 1000),
    "trailers": (CHUNKED_HEAD + b"0\r\n", b"a: b\r\n" * 100),
    "informational answers": (b"", CONTINUE),
    "answers to other requests": (b"", answer("other", "")),
    "answers without an id": (b"", answer("x", "").replace(b"Call", b"Odd")),
}


@pytest.mark.parametrize("case", ENDLESS)
def test_a_caller_is_answered_though_bytes_come_without_end(case: str) -> None:
    """They took memory, or the loop's time, until the time limit."""
    first, repeated = ENDLESS[case]
    target = Target()
    stream = target.send(1, "x")
    stream.peer_sends(first)
    sent = len(first)
    while not stream.closed and sent <= 2 * target.pools.max_body:
        stream.peer_sends(repeated)
        sent += len(repeated)
        while target.transport.deferred:
            target.transport.deferred.pop(0)()
    assert stream.closed
    (final,) = target.owner.answers
    assert (final.status, final.ran, final.unusable) == (502, True, True)


def test_all_incomplete_answers_together_hold_bounded_memory() -> None:
    """Each is within its limit; together they took all of the host's."""
    target = Target()
    streams = [target.send(number, "x") for number in range(100)]
    for stream in streams:
        stream.peer_sends(b"HTTP/1.1 200 OK\r\n\r\n" + b"x" * 1_000_000)
    held = [c.reader.held_bytes for c in target.pools.busy.values()]
    assert sum(held) <= pools.MAX_HELD_BYTES
    assert len(target.owner.answers) == len(streams) - len(held) > 0


def test_a_body_in_small_chunks_is_decoded_in_small_parts() -> None:
    """Decoded at once, it would keep the loop from all other callers."""
    target = Target()
    stream = target.send(1, "x")
    stream.peer_sends(CHUNKED_HEAD + b"4\r\nfour\r\n" * 300)
    reader = target.pools.busy[1].reader
    decoded = []
    while target.transport.deferred:
        assert not stream.reading
        decoded.append(reader.chunks.size)
        target.transport.deferred.pop(0)()
    assert decoded[-1] - decoded[-2] <= _chunked.DENSE_SLICE_BYTES
    assert stream.reading
    stream.peer_sends(b"0\r\n\r\n")
    assert target.owner.answers[0].body == b"four" * 300
    assert not stream.closed


def test_what_follows_a_body_in_small_chunks_closes_its_connection() -> None:
    """Bytes that wait to be decoded could reach the next caller."""
    target = Target()
    stream = target.send(1, "x")
    body = b"4\r\nfour\r\n" * 300 + b"0\r\n\r\n"
    stream.peer_sends(CHUNKED_HEAD + body + CHUNKED)
    while target.transport.deferred:
        target.transport.deferred.pop(0)()
    assert [a.body for a in target.owner.answers] == [b"four" * 300]
    assert stream.closed


def test_the_largest_answer_fits_into_a_frame() -> None:
    """A larger one broke the link, with all requests under way on it."""
    target = Target(max_body=64 << 20)
    size = target.pools.max_body
    stream = target.send(1, "x")
    head = f"HTTP/1.1 200 OK\r\nCall-Id: x\r\nX: {'y' * 30_000}\r\n"
    length = f"Content-Length: {size}\r\n\r\n"
    stream.peer_sends((head + length).encode())
    stream.peer_sends(random.Random(1).randbytes(size))
    (largest,) = target.owner.answers
    (received,) = frames.FrameReader().feed(frames.encode(largest))
    assert received.body == largest.body


def test_an_answer_that_exceeds_a_frame_is_refused_at_its_target() -> None:
    target = Target(max_body=64 << 20)
    stream = target.send(1, "x")
    length = frames.MAX_FRAME_BYTES
    stream.peer_sends(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n" % length)
    stream.peer_sends(b"Call-Id: x\r\n\r\n")
    assert [a.status for a in target.owner.answers] == [502]
    assert stream.closed
