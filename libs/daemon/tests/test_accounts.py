"""Callers' keys at whole proxies that are linked to control processes."""

import collections.abc
import contextlib
import random
import typing

import pytest

from trefoil_daemon import announcements
from trefoil_daemon import gateway
from trefoil_daemon import http_server
from trefoil_daemon import proxy_process
from trefoil_emulator import control_net
from trefoil_model import clock as clocks
from trefoil_model import effects as common
from trefoil_model import hashing
from trefoil_model import keys
from trefoil_requests import call as calls
from trefoil_requests import effects as request_effects
from trefoil_requests import ledger
from trefoil_settings import configuration
from trefoil_settings import settings as setting_store
from trefoil_wire import frames
from trefoil_wire import messages

REVOCATION_MS = 5000
PROXY = "10.0.1.1"
DOCUMENT = """\
number: {number}
base: {base}
services: [{{name: tables, version: v1}}]
routes:
  - {{name: read, prefix: /read, service: tables, repeat: any}}
  - {{name: status, prefix: /status, service: tables, open: true}}
accounts:
  - {{name: alice, keys: [{alice}], priority: 1}}
  - {{name: bob, keys: [bob-1]}}
"""


class ProxyDriver(control_net.Driver):
    """Records a proxy's answers and dispatched requests."""

    def __init__(self, net: control_net.Network, name: str) -> None:
        super().__init__(net, name)
        self.finals: dict[int, calls.Final] = {}
        self.dispatched: list[messages.Request] = []
        self.notes: list[common.Note] = []

    def finish(self, final: calls.Final) -> None:
        """Record a final answer."""
        self.finals[final.call_id] = final

    def dispatch(self, effect: request_effects.Dispatch) -> None:
        """Record a request for the target."""
        self.dispatched.append(effect.request)

    def request_send(
        self, host: str, address: str, message: typing.Any
    ) -> bool:
        """Report that there is no link to another proxy."""
        return False

    def abort(self, request_id: int) -> None:
        """Ignore."""

    def limit_callers(self, limits: messages.CallerLimits) -> None:
        """Ignore."""

    def note(self, note: common.Note) -> None:
        """Record a log line."""
        super().note(note)
        self.notes.append(note)


class SuspendedProxy:
    """Stands in for a suspended proxy and holds what its links bring."""

    def __init__(self) -> None:
        self.messages: list[tuple[str, typing.Any]] = []
        self.broken_links: list[str] = []

    def tick(self) -> None:
        """Ignore."""

    def link_message(self, host: str, message: typing.Any) -> None:
        """Hold a message."""
        self.messages.append((host, message))

    def link_down(self, host: str, retry_after_ms: int) -> None:
        """Hold the loss of a link."""
        self.broken_links.append(host)


class Network(control_net.Network):
    """Control processes and one proxy, each with a clock of its own."""

    def __init__(self) -> None:
        super().__init__()
        self.proxy_clock = clocks.PausedClock()
        self.proxy: typing.Any = None
        self.is_suspended = False
        self.last_call_id = 0
        self.number = 0

    def start_proxy(self) -> None:
        """Start the proxy, with a target beside it."""
        parsed = setting_store.parse(
            f"host: {PROXY}\ndomain: d\npeers: {PROXY}:7000\n"
            f"admin: {PROXY}:8000\ncallers: {PROXY}:8001\n"
            f"key_revocation: {REVOCATION_MS}ms\nlease: 1h\n"
            f"join: [{', '.join(f'{s}:8000' for s in control_net.FOUNDERS)}]",
            "proxy",
        )
        assert parsed.is_ok(), str(parsed.error)
        self.proxy = proxy_process.ProxyProcess(
            parsed.ok,
            peers_address=f"{PROXY}:7000",
            driver=ProxyDriver(self, PROXY),
            clock=self.proxy_clock,
            rng=random.Random(3),
        )
        self.processes[PROXY] = self.proxy

    def run(self, duration_ms: int) -> None:
        """Advance the time, that of the proxy by its own clock."""
        for _ in range(duration_ms // control_net.STEP_MS):
            if self.is_suspended:
                self.proxy_clock.suspend(control_net.STEP_MS)
            else:
                self.proxy_clock.advance(control_net.STEP_MS)
            super().run(control_net.STEP_MS)

    @contextlib.contextmanager
    def suspended(self) -> collections.abc.Iterator[None]:
        """Suspend the proxy's host; what is sent to it waits."""
        held = self.processes[PROXY] = SuspendedProxy()
        self.is_suspended = True
        yield
        self.is_suspended = False
        self.processes[PROXY] = self.proxy
        for source, message in held.messages:
            self.proxy.link_message(source, message)
        for host in held.broken_links:
            self.proxy.link_down(host, 0)

    def leaders(self) -> list[str]:
        """Return the control processes that consider themselves leader."""
        return [
            name
            for name in self.processes
            if name != PROXY and self.processes[name].raft.is_leader
        ]

    def apply(self, alice: str) -> None:
        """Apply a document in which an account has other keys."""
        self.number += 1
        text = DOCUMENT.format(
            number=self.number, base=self.number - 1, alice=alice
        )
        parsed = configuration.parse(text)
        assert parsed.is_ok(), str(parsed.error)
        kind, body = frames.pack_any(parsed.ok)
        replies: list[messages.CommandReply] = []
        (leader,) = self.leaders()
        command = messages.Command(
            f"c{self.number}", "ann", 0, kind, body, content_id=True
        )
        self.processes[leader].submit(command, replies.append)
        while not replies:
            self.run(control_net.STEP_MS)
        assert replies[0].outcome == messages.Outcome.DONE, replies[0].reason

    def ask(self, key: str, path: str = "/read") -> int:
        """Send a request; return its status, 200 if it was dispatched.

        A dispatched request is cancelled, so that the target stays free.
        """
        self.last_call_id += 1
        driver = self.proxy.driver
        before = len(driver.dispatched)
        self.proxy.call(
            calls.Call(
                self.last_call_id,
                "GET",
                "x",
                path,
                deadline_ms=1000,
                account_key=key,
                received_boot_ms=self.proxy_clock.boot_ms(),
            )
        )
        if len(driver.dispatched) > before:
            self.proxy.caller_disconnected(self.last_call_id)
            return 200
        final = driver.finals.get(self.last_call_id)
        return final.status if final is not None else 0


def served_network() -> Network:
    """Return a network whose proxy serves callers by the first document."""
    net = Network()
    for name in control_net.FOUNDERS:
        net.start(name, found=True)
    net.start_proxy()
    net.run(4000)
    net.apply("alice-1")
    net.run(1500)
    announce_target(net)
    return net


def announce_target(net: Network) -> None:
    """Announce the target beside the proxy."""
    record = messages.TargetRecord(
        "t1", "tables", "v1", [], 50, messages.TargetState.READY
    )
    net.proxy.announce(announcements.Announcement(record, 1))
    net.proxy.records_changed()


def test_a_key_is_served_and_its_account_named_to_the_target() -> None:
    net = served_network()
    assert net.ask("alice-1") == 200
    (request,) = net.proxy.driver.dispatched
    assert (request.account, request.priority) == ("alice", 1)
    assert b"alice-1" not in (request.headers or b"")


def test_calls_without_or_with_unknown_keys_get_401_but_open_ones() -> None:
    net = served_network()
    assert net.ask("") == 401
    assert net.ask("mallory") == 401
    assert net.ask("mallory", "/status") == 401
    assert net.ask("", "/status") == 200
    assert net.proxy.driver.dispatched[0].account == ""


def test_no_log_line_of_a_denied_call_has_its_key() -> None:
    net = served_network()
    net.ask("mallory-and-her-key")
    denied = [n for n in net.proxy.driver.notes if n.event == "request.denied"]
    assert len(denied) == 1
    assert "mallory" not in str(denied[0].fields)


def test_a_proxy_that_is_cut_off_honours_no_key_past_its_end() -> None:
    net = served_network()
    controls = set(control_net.FOUNDERS)
    net.partition(controls, {PROXY})
    net.apply("alice-2")
    served_for_ms = 0
    for elapsed_ms in range(0, 2 * REVOCATION_MS, 100):
        if net.ask("alice-1") == 200:
            served_for_ms = elapsed_ms
        net.run(100)
    assert 0.6 * REVOCATION_MS <= served_for_ms <= REVOCATION_MS
    assert net.ask("bob-1") == 503


def test_a_proxy_that_was_suspended_honours_no_key_past_its_end() -> None:
    """Its steady clock stood still while the host was suspended."""
    net = served_network()
    with net.suspended():
        net.apply("alice-2")
        net.run(REVOCATION_MS)
    assert net.ask("alice-1") == 503


def test_a_proxy_that_woke_up_serves_sound_keys_again() -> None:
    net = served_network()
    with net.suspended():
        net.run(REVOCATION_MS)
    net.run(3000)
    assert net.ask("bob-1") == 200


def test_a_key_that_was_taken_away_gets_401_at_a_linked_proxy() -> None:
    net = served_network()
    net.apply("alice-2")
    net.run(500)
    assert net.ask("alice-1") == 401
    assert net.ask("alice-2") == 200


def test_a_restarted_proxy_says_503_until_it_knows_the_keys() -> None:
    """A 401 would tell callers with sound keys not to come back."""
    net = served_network()
    net.partition(set(control_net.FOUNDERS), {PROXY})
    net.start_proxy()
    announce_target(net)
    assert net.ask("alice-1") == 0
    net.run(500)
    final = net.proxy.driver.finals[net.last_call_id]
    assert (final.status, final.ran) == (503, False)
    net.partitions = ()
    net.run(5000)
    announce_target(net)
    assert net.ask("alice-1") == 200


def test_sound_keys_are_served_through_a_leaders_death() -> None:
    net = served_network()
    net.stop(net.leaders()[0])
    for _ in range(40):
        assert net.ask("alice-1") == 200
        net.run(100)


def test_sound_keys_are_served_while_control_processes_roll() -> None:
    net = served_network()
    for name in control_net.FOUNDERS:
        net.stop(name)
        for _ in range(15):
            assert net.ask("alice-1") == 200
            net.run(100)
        net.start(name, found=False)
        for _ in range(15):
            assert net.ask("alice-1") == 200
            net.run(100)


def test_an_idempotency_key_of_another_account_is_not_the_same() -> None:
    """One account would get the answer to the other's request."""
    assert ledger.key_of("s", "k", "alice") != ledger.key_of("s", "k", "bob")
    assert ledger.key_of("s", "k") == hashing.hash64(b"s\0k")


@pytest.mark.parametrize(
    ("lines", "key", "left"),
    [
        (b"Authorization: Bearer k1\r\n", "k1", b""),
        (b"AUTHORIZATION:  bearer   k1 \r\n", "k1", b""),
        (b"Authorization: Basic k1\r\n", "", b""),
        (b"Authorization: Bearer\r\n", "", b""),
        (b"authorization: Bearer k1\r\nX: 1\r\n", "k1", b"X: 1\r\n"),
        (b"X-Trefoil-Account: root\r\nX: 1\r\n", "", b"X: 1\r\n"),
        (b"x-trefoil-account: a\r\nX-TREFOIL-ACCOUNT: b\r\n", "", b""),
    ],
)
def test_keys_and_account_names_of_callers_reach_no_target(
    lines: bytes, key: str, left: bytes
) -> None:
    started = started_calls(b"GET / HTTP/1.1\r\nHost: a\r\n" + lines + b"\r\n")
    assert started[0].account_key == key
    headers = started[0].headers.replace(b"Host: a\r\n", b"")
    assert headers == left


def test_a_call_is_dated_by_the_clock_that_counts_suspended_time() -> None:
    clock = clocks.PausedClock()
    clock.suspend(7000)
    (call,) = started_calls(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n", clock)
    assert call.received_boot_ms == clock.now_ms() + 7000


def started_calls(
    data: bytes, clock: clocks.PausedClock | None = None
) -> list[calls.Call]:
    """Return the calls that a gateway starts for a caller's bytes."""

    class Process:
        def __init__(self) -> None:
            self.calls: list[calls.Call] = []

        def call(self, call: calls.Call) -> None:
            self.calls.append(call)

        def caller_disconnected(self, call_id: int) -> None:
            """Ignore."""

    class Stream:
        closed = closing = False
        reading = True
        unsent = unacknowledged = 0
        owner: typing.Any = None

    class Transport:
        def listen(self, address: str, on_accept: typing.Any) -> int:
            stream = Stream()
            on_accept(stream)
            stream.on_data(stream, data)
            return 0

    process = Process()
    server = http_server.HttpServer(
        typing.cast(typing.Any, Transport()),
        gateway.Gateway(process),
        clock or clocks.PausedClock(),
        limits=http_server.ConnectionLimits(),
        malformed=lambda why: None,
    )
    server.listen("x")
    return process.calls


def test_digests_hide_keys() -> None:
    parsed = configuration.parse(
        DOCUMENT.format(number=1, base=0, alice="alice-1")
    ).ok
    digests = parsed.accounts[0].key_digests
    assert digests == [keys.digest_of(b"alice-1")]
