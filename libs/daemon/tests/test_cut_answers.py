"""Answers that a target cuts short, here and at another host's target."""

import random
import typing

import pytest

from trefoil_daemon import announcements
from trefoil_daemon import dialect as dialects
from trefoil_daemon import pools
from trefoil_daemon import proxy_process
from trefoil_daemon import transport as transports
from trefoil_fleet import items as item_store
from trefoil_model import clock as clocks
from trefoil_requests import call as calls
from trefoil_requests import effects as request_effects
from trefoil_settings import settings as setting_store
from trefoil_wire import messages

SETTINGS = """\
host: 10.0.0.1
domain: ariana
callers: 10.0.0.1:1
peers: 10.0.0.1:2
admin: 10.0.0.1:3
join: ["10.0.0.2:4"]
"""
HEADERS = b"Call-Id: x\r\nSign: s\r\n"
FINAL = b"HTTP/1.1 200 OK\r\n" + HEADERS
CHUNKED = FINAL + b"Transfer-Encoding: chunked\r\n\r\n6\r\nsecret\r\n0\r\n"
LENGTH = FINAL + b"Content-Length: 6\r\n\r\nsecret"
EARLY = b"HTTP/1.1 103 Early\r\nCall-Id: x\r\nContent-Length: 6\r\n\r\n"
ANSWERS = {
    "a length": LENGTH,
    "no body": FINAL + b"Content-Length: 0\r\n\r\n",
    "chunks": CHUNKED + b"\r\n",
    "trailers": CHUNKED + b"A: b\r\nC: d\r\n\r\n",
    "interim answers": b"HTTP/1.1 100 Continue\r\n\r\n" + EARLY + LENGTH,
    "HTTP/1.0": LENGTH.replace(b"HTTP/1.1", b"HTTP/1.0"),
}


class Stream:
    """A stream to a target, which this test plays."""

    def __init__(self) -> None:
        self.connecting = self.closed = self.closing = False
        self.eof_received = False
        self.unsent = 0
        self.owner = self.on_open = self.on_data = self.on_close = None

    def write(self, data: bytes) -> None:
        """Ignore the request."""

    def set_paused(self, paused: bool) -> None:
        """Ignore."""

    def close(self) -> None:
        """Close; report it the first time only."""
        if not self.closed:
            self.closed = True
            self.on_close(self)


class Proxy:
    """A proxy engine with one target; its transport and driver."""

    def __init__(self) -> None:
        self.clock = clocks.PausedClock()
        self.streams: list[Stream] = []
        self.statuses: list[int] = []
        parsed = setting_store.parse(SETTINGS, "proxy")
        assert parsed.is_ok(), str(parsed.error)
        self.process = proxy_process.ProxyProcess(
            parsed.ok,
            peers_address="10.0.0.1:2",
            driver=self,
            clock=self.clock,
            rng=random.Random(1),
        )
        self.pools = pools.TargetPools(
            typing.cast(transports.Transport, self),
            self.process,
            self.clock,
            ip="10.0.0.1",
            max_body=1 << 20,
            dialect=dialects.Dialect(request_id=b"Call-Id"),
        )
        self._apply()
        record = messages.TargetRecord(
            "t1", "tables", "v1", [], 2, messages.TargetState.READY
        )
        self.process.announce(announcements.Announcement(record, 80))
        self.process.records_changed()

    def __getattr__(self, name: str) -> typing.Any:
        """Ignore effects that are not needed here."""
        return lambda *args: None

    def _apply(self) -> None:
        items = item_store.Items()
        shares = [messages.VersionShare("v1", 1000)]
        for key, value in (
            ("SERVICE", messages.Service("tables", [], "v1", 0.2)),
            ("SHARES", messages.Shares("tables", shares, "")),
        ):
            items.set(1, getattr(item_store, key) + "tables", value)
        route = messages.Route(
            "r", "*", "/", [], "tables", "", "t", 2000, messages.Repeat.ONCE
        )
        items.set(1, item_store.ROUTE + "r", route)
        self.process.node.config.in_force = items
        self.process.put_in_force(items)

    def connect(self, address: str, on_open: typing.Any) -> Stream:
        """Return a stream that is connected immediately."""
        self.streams.append(Stream())
        return self.streams[-1]

    def dispatch(self, effect: request_effects.Dispatch) -> None:
        """Send a request to the target."""
        self.pools.dispatch(effect)

    def check_target(self, effect: request_effects.CheckTarget) -> None:
        """Report that the target goes on accepting connections."""
        self.process.target_checked(effect.target, True)

    def run(self) -> None:
        """Tick until a crash would have been noticed."""
        for _ in range(3):
            self.clock.advance(50)
            self.process.tick()

    def finish(self, final: calls.Final) -> None:
        """Record the answer to a caller on this host."""
        self.statuses.append(final.status)

    def reply(self, origin: str, message: typing.Any) -> None:
        """Record the answer to a caller on another host."""
        if isinstance(message, messages.Answer):
            self.statuses.append(message.status)

    def request_from(self, where: str) -> Stream:
        """Start a request; return the stream that carries it."""
        if where == "this host":
            call = calls.Call(1, "GET", "x", "/a", caller_id="x")
            self.process.call(call)
        else:
            request = messages.Request(
                request_id=1,
                route="r",
                method="GET",
                path="/a",
                deadline_ms=2000,
                target="t1",
                fingerprint=1,
                version="v1",
                caller_id="x",
            )
            self.process.request_message("10.0.0.2#1", request)
        return self.streams[-1]


@pytest.mark.parametrize("name", ANSWERS)
@pytest.mark.parametrize("line_end", [b"\r\n", b"\n"])
@pytest.mark.parametrize("reset", [False, True])
@pytest.mark.parametrize("where", ["this host", "another host"])
def test_an_answer_cut_at_any_byte_is_never_taken_for_whole(
    where: str, reset: bool, line_end: bytes, name: str
) -> None:
    """A caller would get a 200 with a part of its body as if it were all."""
    whole = ANSWERS[name].replace(b"\r\n", line_end)
    for size in range(len(whole)):
        proxy = Proxy()
        stream = proxy.request_from(where)
        if size:
            stream.on_data(stream, whole[:size])
        stream.eof_received = not reset
        stream.close()
        proxy.run()
        assert proxy.statuses == [502], whole[:size]


@pytest.mark.parametrize("name", ANSWERS)
@pytest.mark.parametrize("where", ["this host", "another host"])
def test_a_whole_answer_is_passed_on(where: str, name: str) -> None:
    proxy = Proxy()
    stream = proxy.request_from(where)
    for byte in ANSWERS[name]:
        stream.on_data(stream, bytes((byte,)))
    assert proxy.statuses == [200]
