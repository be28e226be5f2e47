"""Messages that no frame can hold, at a proxy with a real hub and frames."""

import json
import random
import typing

import hypothesis
from hypothesis import strategies as st
import pytest

from trefoil_daemon import _http
from trefoil_daemon import admin
from trefoil_daemon import announcements
from trefoil_daemon import gateway
from trefoil_daemon import hub as hubs
from trefoil_daemon import operators
from trefoil_daemon import proxy_process
from trefoil_fleet import items as item_store
from trefoil_language import parser
from trefoil_model import clock as clocks
from trefoil_model import effects as common
from trefoil_model import errors
from trefoil_requests import call as calls
from trefoil_settings import settings as setting_store
from trefoil_wire import compact
from trefoil_wire import frames
from trefoil_wire import messages

CONTROL = "10.0.0.1"
SETTINGS = f"""\
host: 127.0.0.1
domain: ariana
callers: 127.0.0.1:0
peers: 127.0.0.1:0
admin: 127.0.0.1:0
join: ["{CONTROL}:8000"]
"""
HALF_A_PAIR = "v\ud800"
BAD_REQUEST = messages.Request(request_id=5, path=HALF_A_PAIR)
TOO_LARGE = b"x" * frames.MAX_FRAME_BYTES
VALUES = st.one_of(
    st.sampled_from([HALF_A_PAIR, "v" * 100_000, "", "\0", "\n", 1e300, 2**31])
    | st.sampled_from([2**70, 10**400, -1, True, None, float("nan"), [], {}]),
    st.text(st.characters(), max_size=8),
    st.integers(),
    st.floats(),
)


class Stream:
    """A stream to the control host, which this test plays."""

    def __init__(self) -> None:
        self.closed = False
        self.closing = False
        self.unsent = 0
        self.received: list[typing.Any] = []
        self.reader = frames.FrameReader()
        self.on_open = self.on_data = self.on_close = self.owner = None

    def write(self, data: bytes) -> None:
        """Decode what the proxy sends."""
        self.received += self.reader.feed(data)

    def close(self) -> None:
        """Close; report it the first time only."""
        if not self.closed:
            self.closed = True
            self.on_close(self)


class Proxy:
    """A proxy engine, its hub and one control host.

    It is the hub's transport and owner and the engine's driver.
    """

    def __init__(self) -> None:
        self.clock = clocks.PausedClock()
        self.streams: list[Stream] = []
        self.notes: list[common.Note] = []
        self.unsendable: list[tuple[str, str]] = []
        self.lost: list[tuple[list[int], list[int]]] = []
        self.hub = hubs.Hub(self, self, self.clock)
        parsed = setting_store.parse(SETTINGS, "proxy")
        assert parsed.is_ok(), str(parsed.error)
        self.process = proxy_process.ProxyProcess(
            parsed.ok,
            peers_address="127.0.0.1:1",
            driver=self,
            clock=self.clock,
            rng=random.Random(1),
        )
        overlay = self.process.node.overlay
        overlay.on_hello(messages.Hello(CONTROL, "d", f"{CONTROL}:1", 1, True))

    def __getattr__(self, name: str) -> typing.Any:
        """Pass the hub's callbacks on to the engine, ignore other effects."""
        if name in ("link_up", "link_down", "admit", "greeting"):
            return getattr(self.process, name)
        return lambda *args: None

    def connect(self, address: str, on_open: typing.Any) -> Stream:
        """Open a stream to the control host."""
        stream = Stream()
        stream.on_open = on_open
        self.streams.append(stream)
        return stream

    def is_cross_domain(self, host: str) -> bool:
        """Return False: there is one failure domain."""
        return False

    def link_message(self, host: str, message: typing.Any) -> None:
        """Pass a message on to the engine."""
        self.process.link_message(host, message)

    def link_send(self, host: str, message: typing.Any) -> None:
        """Send on a link."""
        self.hub.link_send(host, message)

    def dial(self, host: str, address: str) -> None:
        """Open a link."""
        self.hub.dial(host, address)

    def close_link(self, host: str) -> None:
        """Close a link."""
        self.hub.close_link(host)

    def note(self, note: common.Note) -> None:
        """Record a log line."""
        self.notes.append(note)

    def message_unsendable(self, host: str, kind: str, why: str) -> None:
        """Record a message that no frame can hold."""
        self.unsendable.append((host, kind))

    def requests_lost(self, unsent: list[int], lost: list[int]) -> None:
        """Record the loss of requests."""
        self.lost.append((unsent, lost))

    def linked(self) -> Stream:
        """Link the control host and prove the floor."""
        self.clock.advance(50)
        self.process.tick()
        stream = self.streams[-1]
        stream.on_open(stream)
        hello = messages.Hello(CONTROL, "d", f"{CONTROL}:1", 1, True, 1)
        self.deliver(
            stream,
            messages.HelloReply(hello, True, 0),
            messages.FloorReply(
                self.process.node.config.floor_nonce, 0, True, CONTROL
            ),
        )
        return stream

    def deliver(self, stream: Stream, *sent: typing.Any) -> None:
        """Deliver messages of the control host in one read."""
        stream.on_data(stream, b"".join(map(frames.encode, sent)))

    def announce(self, name: str, **fields: typing.Any) -> None:
        """Announce a target without the checks of the HTTP interface."""
        values = {
            "name": name,
            "service_name": "tables",
            "version": "v1",
            "resources": [],
            "slots": 2,
            "state": messages.TargetState.READY,
        }
        record = messages.TargetRecord(**(values | fields))
        port = len(self.process.announced.by_name) + 1
        self.process.announce(announcements.Announcement(record, port))

    def events(self) -> list[str]:
        """Return the names of the log lines."""
        return [note.event for note in self.notes]


def configuration() -> messages.ConfigDelta:
    """Return the change to revision 2."""
    items = item_store.Items()
    items.set(2, item_store.LIMITS, messages.CallerLimits())
    return items.delta_since(0)


def test_a_change_arrives_beside_a_record_that_no_frame_can_hold() -> None:
    """The peer was blamed and its link closed before the change was read."""
    proxy = Proxy()
    stream = proxy.linked()
    proxy.announce("sound")
    proxy.announce("unreadable", version=HALF_A_PAIR)
    summary = messages.RecordsSummary([], True, True)
    proxy.deliver(stream, summary, configuration())
    assert not stream.closed
    assert proxy.process.node.config.in_force.revision == 2
    sent = [m for m in stream.received if isinstance(m, messages.RecordsDelta)]
    names = [t.name for t in sent[-1].records[0].targets]
    assert names == ["sound"]


def test_an_unsendable_message_is_logged_as_this_process_s_own_fault() -> None:
    proxy = Proxy()
    stream = proxy.linked()
    proxy.link_send(CONTROL, messages.CommandReply(reason=HALF_A_PAIR))
    proxy.link_send(CONTROL, messages.CommandReply(reason="sound"))
    assert not stream.closed
    assert stream.received[-1].reason == "sound"
    assert proxy.unsendable == [(CONTROL, "CommandReply")]
    assert "peer.malformed" not in proxy.events()


@pytest.mark.parametrize("is_open", [True, False])
def test_an_unsendable_request_counts_as_not_run(is_open: bool) -> None:
    """It would hold its caller until the deadline, and its link open."""
    proxy = Proxy()
    sent = [proxy.hub.request_send("h2", "h2:1", messages.Ping(1))]
    stream = proxy.streams[-1]
    if is_open:
        stream.on_open(stream)
    sent.append(proxy.hub.request_send("h2", "h2:1", BAD_REQUEST))
    if not is_open:
        stream.on_open(stream)
    assert sent == [True, not is_open]
    assert proxy.lost == ([] if is_open else [([5], [])])
    assert not stream.owner.outstanding
    assert not stream.closed


def test_a_message_beyond_a_frame_costs_neither_link_nor_history() -> None:
    """The peer closed the link at the length of the frame."""
    encoder, decoder = compact.Encoder(False), compact.Decoder(False)
    for body in (b"before", TOO_LARGE, b"after"):
        message = messages.Request(request_id=1, path="/a", body=body)
        if body is TOO_LARGE:
            with pytest.raises(errors.EncodeError):
                encoder.encode(message)
            assert message.body is TOO_LARGE
            continue
        frame = encoder.encode(message)
        received = decoder.decode(frame[4], frame[5:])
        assert received.body == body


@hypothesis.given(
    st.sampled_from(["service", "version", "resources", "slots", "port"]),
    VALUES,
)
@hypothesis.example("version", HALF_A_PAIR)
def test_an_announcement_is_refused_or_can_be_told(
    field: str, value: typing.Any
) -> None:
    fields = {"service": "tables", "version": "v1", "slots": 2, "port": 80}
    body = json.dumps(fields | {field: value}).encode()
    try:
        record = announcements.parse("t1", body).record
    except errors.ProtocolError as error:
        assert error.status == 400
        return
    assert frames.unpack(messages.TargetRecord, frames.pack(record)) == record


@hypothesis.given(
    st.sampled_from(["line", "id", "operator", "issued_ms"]), VALUES
)
@hypothesis.example("id", HALF_A_PAIR)
@hypothesis.example("issued_ms", 1e300)
@hypothesis.example("issued_ms", 2**63 - 1)
@hypothesis.example("line", f"evacuate ariana because {HALF_A_PAIR}")
def test_a_statement_is_refused_or_can_be_told(
    field: str, value: typing.Any
) -> None:
    """Its id and operator go to other processes beside what it says."""
    fields = {
        "line": "move tables from v1 to v2 in 10m risk 5%",
        "id": "c1",
        "operator": "ann",
        "issued_ms": 1,
    }
    body = json.dumps(fields | {field: value}).encode()
    try:
        line, envelope = admin._parse_command_body(body)
        parsed = parser.parse(line)
        if parsed.is_error():
            return
        command = operators.command_from(parsed.ok, envelope)
    except errors.ProtocolError as error:
        assert error.status == 400
        return
    if command is not None:
        request = messages.CommandRequest(command, 0)
        assert frames.FrameReader().feed(frames.encode(request)) == [request]


class Caller:
    """Records the call that a gateway starts."""

    def __init__(self) -> None:
        self.call_: calls.Call | None = None
        self.clock = clocks.PausedClock()
        self.server = self
        self.number = 1
        self.entered_ms = 0

    def call(self, call: calls.Call) -> None:
        """Record a call."""
        self.call_ = call


@pytest.mark.parametrize(
    ("stated", "deadline_ms"),
    [
        (b"250", 250),
        (b"-1", 0),
        (b"1e3", 0),
        (b"9" * 12, gateway.MAX_DEADLINE_MS),
        (b"9" * 5000, gateway.MAX_DEADLINE_MS),
    ],
)
def test_a_huge_deadline_is_cut(stated: bytes, deadline_ms: int) -> None:
    """Its caller's connection was closed without an answer."""
    caller = Caller()
    reader = _http.MessageReader(_http.REQUEST, 1000)
    head = b"GET / HTTP/1.1\r\nHost: x\r\nX-Trefoil-Deadline-Ms: "
    message = reader.feed(head + stated + b"\r\n\r\n")
    gateway.Gateway(caller).handle_request(caller, message)
    assert caller.call_.deadline_ms == deadline_ms
