"""Messages that no frame can hold, at a proxy with a real hub and frames."""

import random
import typing

from trefoil_daemon import announcements
from trefoil_daemon import hub as hubs
from trefoil_daemon import proxy_process
from trefoil_fleet import items as item_store
from trefoil_model import clock as clocks
from trefoil_model import effects as common
from trefoil_settings import settings as setting_store
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


class Stream:
    """A stream to the control host, which this test plays."""

    def __init__(self) -> None:
        self.closed = False
        self.closing = False
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
    items.set(2, item_store.SERVICE + "tables", messages.Service("tables", []))
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
