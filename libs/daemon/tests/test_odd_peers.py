"""Odd entries in messages of other hosts, at engines with a real hub."""

import copy
import random
import typing

import pytest

from trefoil_daemon import control_process
from trefoil_daemon import hub as hubs
from trefoil_daemon import proxy_process
from trefoil_fleet import items as item_store
from trefoil_model import clock as clocks
from trefoil_requests import call as calls
from trefoil_settings import settings as setting_store
from trefoil_store import disk as disks
from trefoil_wire import frames
from trefoil_wire import messages

PEER = "10.0.0.2"
ODD_HOST = "10.0.0.8"
SOUND_HOST = "10.0.0.9"
PROXY = """\
host: 10.0.0.1
domain: ariana
callers: 10.0.0.1:1
peers: 10.0.0.1:2
admin: 10.0.0.1:3
join: ["10.0.0.2:4"]
"""
CONTROL = """\
host: 10.0.0.1
domain: ariana
peers: 10.0.0.1:2
admin: 10.0.0.1:3
data_folder: x
found: true
join: ["10.0.0.1:3", "10.0.0.2:3", "10.0.0.3:3"]
"""


class Stream:
    """A stream to a peer, which this test plays."""

    def __init__(self) -> None:
        self.closed = self.closing = False
        self.unsent = 0
        self.on_open = self.on_data = self.on_close = self.owner = None

    def write(self, data: bytes) -> None:
        """Ignore what is sent."""

    def close(self) -> None:
        """Close; report it the first time only."""
        if not self.closed:
            self.closed = True
            self.on_close(self)


class Machine:
    """An engine and its hub; transport, driver and owner of both."""

    def __init__(self, kind: str) -> None:
        self.clock = clocks.PausedClock()
        self.accept: typing.Any = None
        self.dialled: list[str] = []
        self.opening: Stream | None = None
        self.finals: list[calls.Final] = []
        self.logged: list[str] = []
        self.hub = hubs.Hub(self, self, self.clock)
        self.hub.listen("")
        parsed = setting_store.parse(
            PROXY if kind == "proxy" else CONTROL, kind
        )
        assert parsed.is_ok(), str(parsed.error)
        common = {
            "peers_address": "10.0.0.1:2",
            "driver": self,
            "clock": self.clock,
            "rng": random.Random(1),
        }
        if kind == "proxy":
            self.engine = proxy_process.ProxyProcess(parsed.ok, **common)
            self.apply()
        else:
            self.engine = control_process.ControlProcess(
                parsed.ok, disk=disks.MemoryDisk(), **common
            )
        self.link = self.linked(subscribe=True)

    def __getattr__(self, name: str) -> typing.Any:
        """Pass callbacks and effects on, ignore those not needed here."""
        for owner, names in (
            ("engine", "link_up link_down admit greeting link_message"),
            ("hub", "link_send close_link dial request_send"),
        ):
            if name in names.split():
                return getattr(self.__dict__[owner], name)
        return lambda *args: None

    def listen(self, address: str, on_open: typing.Any) -> int:
        """Keep what is called with an incoming stream."""
        self.accept = on_open
        return 0

    def connect(self, address: str, on_open: typing.Any) -> Stream:
        """Record the address and return a stream that is not open yet."""
        self.dialled.append(address)
        self.opening = Stream()
        self.opening.on_open = on_open
        return self.opening

    def finish(self, final: calls.Final) -> None:
        """Record a caller's answer."""
        self.finals.append(final)

    def requests_lost(self, unsent: list[int], lost: list[int]) -> None:
        """Pass the loss of a request link on."""
        self.engine.requests_lost(unsent, lost)

    def is_cross_domain(self, host: str) -> bool:
        """Return False: there is one failure domain."""
        return False

    def request_message(
        self, connection: hubs.Connection, message: typing.Any
    ) -> None:
        """Pass a message of a request link on."""
        self.engine.request_message(connection.name, message)

    def bad_peer(self, host: str, why: str) -> None:
        """Record what is logged of a peer."""
        self.logged.append(why)

    def linked(self, *, subscribe: bool) -> Stream:
        """Open a link from the peer."""
        stream = Stream()
        self.accept(stream)
        hello = messages.Hello(
            PEER, "ariana", f"{PEER}:2", 1, subscribe, 0, subscribe
        )
        stream.on_data(stream, frames.encode(hello))
        return stream

    def deliver(self, message: typing.Any) -> None:
        """Deliver a message of the peer on a link of its kind."""
        is_push = isinstance(message, messages.LedgerPush)
        stream = self.linked(subscribe=False) if is_push else self.link
        stream.on_data(stream, frames.encode(message))

    def run(self, duration_ms: int) -> None:
        """Advance the time and tick; what a tick raises fails the test."""
        for _ in range(duration_ms // 100):
            self.clock.advance(100)
            self.engine.tick()

    def apply(self) -> None:
        """Put a configuration with one route in force."""
        items = item_store.Items()
        service = messages.Service("tables", [], "v1", 0.2)
        shares = [messages.VersionShare("v1", 1000)]
        route = messages.Route(
            "r", "*", "/", [], "tables", "", "t", 2000, messages.Repeat.ANY
        )
        items.set(1, item_store.SERVICE + "tables", service)
        items.set(
            1,
            item_store.SHARES + "tables",
            messages.Shares("tables", shares, ""),
        )
        items.set(1, item_store.ROUTE + "r", route)
        self.engine.node.config.in_force = items
        self.engine.put_in_force(items)

    def call(self, number: int) -> None:
        """Start a caller's request."""
        self.engine.call(calls.Call(number, "GET", "x", "/a"))


def target(name: str) -> messages.TargetRecord:
    """Return a sound target."""
    return messages.TargetRecord(
        name, "tables", "v1", [], 2, messages.TargetState.READY, started_ms=1
    )


def host(name: str) -> messages.HostRecord:
    """Return a sound host with two targets."""
    return messages.HostRecord(
        name,
        "ariana",
        "r",
        f"{name}:2",
        7,
        1,
        messages.HostState.ALIVE,
        [target("t1"), target("t2")],
        [messages.AnnouncementFloor("t3", 1, 1)],
    )


def records() -> messages.RecordsDelta:
    """Return the records of two sound hosts; tests spoil the first."""
    return messages.RecordsDelta([host(ODD_HOST), host(SOUND_HOST)])


MESSAGES = {
    "records": records(),
    "summary": messages.RecordsSummary(
        [messages.RecordVersion(ODD_HOST, 7, 1, 1)], True, True
    ),
    "reports": messages.Reports([messages.Report(ODD_HOST, 7, 1, "", 0)]),
    "controls": messages.ControlHosts(
        5,
        [
            messages.ControlHost("10.0.0.3", "10.0.0.3:2", "ariana"),
            messages.ControlHost(PEER, f"{PEER}:2", "ariana"),
        ],
    ),
    "loads": messages.DomainLoads(
        [
            messages.DomainLoad(
                "c", "d", [messages.ServiceLoad("tables", 1.0, 2)]
            )
        ]
    ),
    "load": messages.LoadReport("d", [messages.ServiceLoad("tables", 1.0, 2)]),
    "floors": messages.AnnouncementFloors(
        [messages.AnnouncementFloor("t1", 1, 1)]
    ),
    "evidence": messages.EvidenceReport(
        "m", ODD_HOST, 7, 1, [messages.Tally("r", "v1", "d", 3, 1, {1: 2})]
    ),
    "ledger": messages.LedgerPush(
        ODD_HOST, [messages.LedgerEntry(1, 2, 3, 4)], True, "tables", True
    ),
}
TARGET = ("records", 0, "targets", 0)
ODD_ENTRIES = [
    ("records", ("records", 0, "host"), None),
    ("records", ("records", 0, "domain"), None),
    ("records", ("records", 0, "address"), None),
    ("records", ("records", 0, "incarnation"), None),
    ("records", ("records", 0, "incarnation"), -1),
    ("records", ("records", 0, "sequence"), 2**63 - 1),
    ("records", ("records", 0, "state"), 2**31 - 1),
    ("records", ("records", 0, "announcement_floors", 0, "name"), None),
    ("records", (*TARGET, "name"), None),
    ("records", (*TARGET, "service_name"), None),
    ("records", (*TARGET, "version"), None),
    ("records", (*TARGET, "resources"), None),
    ("records", (*TARGET, "state"), 0),
    ("records", (*TARGET, "slots"), None),
    ("records", (*TARGET, "slots"), -(2**31)),
    ("records", (*TARGET, "slots"), 2**31 - 1),
    ("records", (*TARGET, "usual_us"), -(2**31)),
    ("records", (*TARGET, "cold_per_s"), float("nan")),
    ("records", (*TARGET, "started_ms"), -1),
    ("records", (*TARGET, "limit_per_s"), float("inf")),
    ("records", (*TARGET, "limit_per_s"), -1.0),
    ("summary", ("versions", 0, "incarnation"), None),
    ("reports", ("reports", 0, "age_ms"), None),
    ("reports", ("reports", 0, "host"), None),
    ("controls", ("hosts", 0, "name"), None),
    ("loads", ("domains", 0, "services"), None),
    ("loads", ("domains", 0, "services", 0, "load"), None),
    ("loads", ("domains", 0, "services", 0, "load"), float("nan")),
    ("loads", ("domains", 0, "services", 0, "slots"), 2**31 - 1),
    ("load", ("services", 0, "slots"), None),
    ("load", ("services", 0, "load"), float("inf")),
    ("floors", ("floors", 0, "incarnation"), None),
    ("evidence", ("tallies", 0, "requests"), -1),
    ("evidence", ("tallies", 0, "latencies"), {2**15 - 1: 1}),
    ("evidence", ("tallies", 0, "latencies"), {1: -1}),
    ("ledger", ("entries", 0, "age_ms"), None),
]
IDS = [f"{case[0]}-{case[1][-1]}-{case[2]}" for case in ODD_ENTRIES]


def spoilt(name: str, path: tuple, value: typing.Any) -> typing.Any:
    """Return a message with another value at a place."""
    message = copy.deepcopy(MESSAGES[name])
    at = message
    for step in path[:-1]:
        at = at[step] if isinstance(step, int) else getattr(at, step)
    setattr(at, path[-1], value)
    return message


@pytest.mark.parametrize(("name", "path", "value"), ODD_ENTRIES, ids=IDS)
@pytest.mark.parametrize("kind", ["proxy", "control"])
def test_an_odd_entry_of_a_peer_costs_only_itself(
    kind: str, name: str, path: tuple, value: typing.Any
) -> None:
    """Each tick, each call or each link failed at what was stored."""
    machine = Machine(kind)
    machine.deliver(spoilt(name, path, value))
    machine.deliver(messages.RecordsDelta([host(SOUND_HOST)]))
    machine.run(2000)
    assert not machine.link.closed
    assert SOUND_HOST in machine.engine.node.members.records.by_host
    (why,) = machine.logged
    assert why.startswith("1 odd entries in ")


@pytest.mark.parametrize(
    ("path", "value"),
    [case[1:] for case in ODD_ENTRIES if case[0] == "records"],
)
def test_callers_are_served_beside_an_odd_target(
    path: tuple, value: typing.Any
) -> None:
    """The choice of a target raised, and callers got no answer."""
    machine = Machine("proxy")
    machine.deliver(spoilt("records", path, value))
    machine.run(300)
    for number in range(1, 21):
        machine.call(number)
    machine.run(300)
    assert f"{SOUND_HOST}:2" in machine.dialled
    machine.apply()


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("status", None),
        ("status", 0),
        ("status", -1),
        ("status", 100),
        ("status", 1000),
        ("usual_us", -(2**31)),
        ("limit_per_s", float("nan")),
    ],
)
def test_an_odd_answer_of_a_peer_is_no_answer(
    field: str, value: typing.Any
) -> None:
    """Callers got a status that is none, and no later call an answer."""
    machine = Machine("proxy")
    machine.deliver(messages.RecordsDelta([host(SOUND_HOST)]))
    machine.run(300)
    machine.call(1)
    stream = machine.opening
    (request_id,) = stream.owner.outstanding
    stream.on_open(stream)
    answer = messages.Answer(request_id, 200, "OK", b"", b"", True)
    setattr(answer, field, value)
    stream.on_data(stream, frames.encode(answer))
    machine.run(300)
    assert stream.closed
    assert [final.status for final in machine.finals] in ([], [502], [503])
    machine.call(2)
    machine.run(3000)
    assert {final.status for final in machine.finals} <= {502, 503, 504}
    assert [final.call_id for final in machine.finals] == [1, 2]


@pytest.mark.parametrize("field", ["incarnation", "sequence"])
def test_a_huge_record_of_this_host_leaves_its_own_sendable(
    field: str,
) -> None:
    """It published the next number, which no frame holds."""
    machine = Machine("proxy")
    huge = copy.copy(machine.engine.node.members.record)
    setattr(huge, field, 2**63 - 1)
    machine.deliver(messages.RecordsDelta([huge]))
    machine.run(300)
    own = machine.engine.node.members.record
    assert frames.unpack(type(own), frames.pack(own)) == own


@pytest.mark.parametrize(
    "message",
    [
        messages.RecordsDelta(),
        messages.Reports(),
        messages.ControlHosts(5),
        messages.ControlHosts(None, []),
        messages.CrashNotice(1, [1], None, False),
        messages.LoadReport("d"),
        messages.DomainLoads(),
    ],
    ids=lambda message: type(message).__name__,
)
@pytest.mark.parametrize("kind", ["proxy", "control"])
def test_a_message_that_is_odd_itself_costs_its_link_only(
    kind: str, message: typing.Any
) -> None:
    """What was stored of it failed in each tick."""
    machine = Machine(kind)
    machine.deliver(message)
    assert machine.link.closed
    machine.link = machine.linked(subscribe=True)
    machine.deliver(records())
    machine.run(2000)
    assert not machine.link.closed
