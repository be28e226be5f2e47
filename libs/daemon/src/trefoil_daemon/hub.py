"""The hub: connections to other trefoilroute processes.

There are two kinds of link. Subscribed links carry the messages of the fleet
and of the agreement; request links carry callers' requests and the messages
that belong to them. The kinds are separate so that a burst of requests can't
delay a heartbeat.
"""

import collections
import dataclasses
import itertools
import typing

from trefoil_model import clock as clocks
from trefoil_model import errors
from trefoil_requests import held_memory
from trefoil_requests import places
from trefoil_wire import compact
from trefoil_wire import frames
from trefoil_wire import messages
from trefoil_wire import soundness

from . import transport as transports

GREETING_TIMEOUT_MS = 3000
CONNECT_TIMEOUT_MS = 500
# How long a link with requests in flight may be silent before it is pinged.
# Pings never outnumber the requests in flight.
PING_INTERVAL_MS = 150
# Ping interval once a peer has answered a ping during a long request; it
# applies until the next request is sent.
SLOW_PING_INTERVAL_MS = 600
# A round trip takes milliseconds and a process answers within one 50 ms tick.
# A longer delay means that the process is suspended or the network is
# partitioned.
UNRESPONSIVE_AFTER_MS = 200
PING_TIMEOUT_MS = 1000
# Idle connections are closed because their number grows with the square of
# the number of hosts; opening a new one takes one round trip.
REQUEST_LINK_IDLE_TIMEOUT_MS = 6000
# A greeting holds a few names and numbers.
MAX_GREETING_BYTES = 64 * 1024
# Answers from this size on wait until their link has sent what is before them.
# Short answers would else wait behind a crowd's long ones.
LONG_ANSWER_BYTES = 64 * 1024
# Less is not counted; the number of connections bounds it.
COUNTED_BYTES = 4096


class Owner(typing.Protocol):
    """Callbacks of the process that owns a hub."""

    def greeting(self, subscribe: bool) -> messages.Hello:
        """Return the ``Hello`` message of this process."""

    def is_cross_domain(self, host: str) -> bool:
        """Return whether a peer is in another failure domain."""

    def admit(self, hello: messages.Hello) -> int:
        """Return 0 to accept a peer, else milliseconds until it may retry."""

    def link_up(self, host: str, hello: messages.Hello, served: bool) -> None:
        """Handle a subscribed link that was established.

        Args:
            host: The peer.
            hello: Its greeting.
            served: Whether the peer opened the link.
        """

    def link_down(self, host: str, retry_after_ms: int) -> None:
        """Handle a subscribed link that broke or was refused.

        Args:
            host: The peer.
            retry_after_ms: When the peer accepts another attempt; 0 if the
                link broke.
        """

    def link_message(self, host: str, message: typing.Any) -> None:
        """Handle a message from a subscribed link."""

    def request_message(
        self, connection: "Connection", message: typing.Any
    ) -> None:
        """Handle a message from a request link."""

    def requests_lost(self, unsent: list[int], lost: list[int]) -> None:
        """Handle the loss of a request link.

        Args:
            unsent: Ids of requests that certainly were not sent.
            lost: Ids of requests that were sent and not answered.
        """

    def set_peer_unresponsive(self, host: str, unresponsive: bool) -> None:
        """Mark a peer as unresponsive, or as responsive again."""

    def origin_lost(self, connection: "Connection") -> None:
        """Handle the loss of an incoming request link."""

    def message_unsendable(self, host: str, kind: str, why: str) -> None:
        """Log a message of this process that no frame can hold."""

    def peer_refused(self, host: str, why: str) -> None:
        """Log a connection that was closed for what it would hold."""


@dataclasses.dataclass(slots=True, eq=False)
class Connection:
    """One connection to a peer process.

    Args:
        number: Distinguishes the connections of this process.
        stream: Its byte stream.
        host: The peer; empty until an incoming connection has greeted.
        subscribe: Whether it is a subscribed link.
        outgoing: Whether this process opened it.
        opened_ms: When it was opened.
        last_received_ms: When the peer last sent anything.
        reader: Decodes the peer's frames.
        encoder: Encodes compact frames once this direction has switched.
        greeted: Whether the first message has arrived.
        ready: Whether messages may be sent.
        waiting: Messages that are sent once the connection is open.
        outstanding: Ids of requests that have no answer yet.
        pinged_ms: When the unanswered ping was sent; 0 if there is none.
        pong_received: Whether a ping was answered since the last request.
        last_used_ms: When a message was last sent on a request link.
        unresponsive: Whether the peer is reported as unresponsive.
        delayed: Long answers that wait for the link.
        delayed_bytes: Length of their bodies.
        incoming: What is held of its incomplete frames.
        unsent: What is held to be sent on it.
        takes_deadline_updates: Whether the peer knows ``DeadlineUpdate``.
    """

    number: int
    stream: transports.Stream
    host: str
    subscribe: bool
    outgoing: bool
    opened_ms: int
    last_received_ms: int
    reader: frames.FrameReader = dataclasses.field(init=False)
    encoder: compact.Encoder | None = None
    greeted: bool = False
    ready: bool = False
    waiting: list[typing.Any] = dataclasses.field(default_factory=list)
    outstanding: set[int] = dataclasses.field(default_factory=set)
    pinged_ms: int = 0
    pong_received: bool = False
    last_used_ms: int = 0
    unresponsive: bool = False
    takes_deadline_updates: bool = False
    delayed: collections.deque[messages.Answer] = dataclasses.field(
        default_factory=collections.deque
    )
    delayed_bytes: int = 0
    incoming: held_memory.Holding = dataclasses.field(init=False)
    unsent: held_memory.Holding = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        # A process that this one chose to connect to is no stranger.
        self.incoming = held_memory.Holding(self, is_answer=self.outgoing)
        self.unsent = held_memory.Holding(self, is_answer=True)
        self.reader = frames.FrameReader(
            first_limit=0 if self.outgoing else MAX_GREETING_BYTES,
            make_decoder=lambda: compact.Decoder(self.subscribe),
        )

    @property
    def client(self) -> places.Client:
        """Return what its peer does, for those who have no place."""
        activity = places.Activity.IDLE
        if not self.greeted:
            activity = places.Activity.SILENT
        return places.Client(activity, self.last_received_ms, self)

    @property
    def unsent_bytes(self) -> int:
        """Return what is held to be sent on it, in bytes."""
        return self.stream.unsent + self.delayed_bytes

    def release(self, holding: held_memory.Holding) -> None:
        """Close, since its peer neither sends nor reads."""
        self.stream.abort()

    @property
    def name(self) -> str:
        """Return a name that is unique within this process."""
        return f"{self.host}#{self.number}"


class Hub:
    """All connections of a process to its peers.

    Args:
        transport: Opens and accepts the streams.
        owner: The process; receives messages and link changes.
        clock: The runtime's clock.
        memory: The account of what the process holds; one of its own by
            default.
        max_incoming: How many connections of peers it takes.
    """

    __slots__ = (
        "memory",
        "max_incoming",
        "incoming",
        "transport",
        "owner",
        "clock",
        "links",
        "requests",
        "connections",
        "numbers",
        "bytes_out",
        "cross_domain_bytes_out",
        "bytes_in",
        "probes",
    )

    def __init__(
        self,
        transport: transports.Transport,
        owner: Owner,
        clock: clocks.Clock,
        memory: held_memory.HeldMemory | None = None,
        max_incoming: int = places.MAX_CALLERS,
    ) -> None:
        self.max_incoming = max_incoming
        self.incoming: set[Connection] = set()
        self.memory = memory or held_memory.HeldMemory.from_memory()
        self.transport = transport
        self.owner = owner
        self.clock = clock
        self.links: dict[str, Connection] = {}
        self.requests: dict[str, Connection] = {}
        self.connections: set[Connection] = set()
        self.numbers = itertools.count(1)
        self.bytes_out: dict[str, int] = {}
        self.cross_domain_bytes_out: dict[str, int] = {}
        self.bytes_in: dict[str, int] = {}
        self.probes: dict[transports.Stream, typing.Any] = {}

    def listen(self, address: str) -> int:
        """Accept connections of peers at an address; return the port."""
        return self.transport.listen(address, self._on_accept)

    # Sending

    def link_send(self, host: str, message: typing.Any) -> None:
        """Send on a subscribed link; drop the message if there is none."""
        connection = self.links.get(host)
        if connection is not None:
            self._write(connection, message)

    def request_send(
        self, host: str, address: str, message: typing.Any
    ) -> bool:
        """Send on a request link; open one if there is none.

        Returns:
            False if there is neither a link nor an address, or if no frame
            can hold the message.
        """
        connection = self.requests.get(host)
        if isinstance(message, messages.DeadlineUpdate) and not (
            connection and connection.takes_deadline_updates
        ):
            # An earlier release would close the link.
            return False
        if connection is None:
            if not address:
                return False
            connection = self._dial(host, address, subscribe=False)
            self.requests[host] = connection
        connection.last_used_ms = self.clock.now_ms()
        # Before the write: one that breaks the link counts as lost.
        _track_sent(connection, message)
        if not connection.ready:
            connection.waiting.append(message)
            return True
        if self._write(connection, message):
            return True
        _forget_unsent(connection, message)
        return False

    def reply(self, connection: Connection, message: typing.Any) -> None:
        """Reply on the connection that a message was received on."""
        if connection.stream.closed:
            return
        if _is_long_answer(message):
            self._delay(connection, message)
        else:
            self._write(connection, message)

    def _delay(self, connection: Connection, answer: messages.Answer) -> None:
        """Write a long answer once those before it are written."""
        size = len(answer.body)
        if not self._claim(connection.unsent, connection.unsent_bytes + size):
            self._write(connection, _without_memory(answer))
            return
        connection.delayed.append(answer)
        connection.delayed_bytes += size
        self._write_delayed(connection)

    def _write_delayed(self, connection: Connection) -> None:
        while connection.delayed and not connection.stream.unsent:
            answer = connection.delayed.popleft()
            connection.delayed_bytes -= len(answer.body)
            self._write(connection, answer)
            if connection.stream.closed:
                return

    def _on_drained(self, stream: transports.Stream) -> None:
        self._write_delayed(stream.owner)

    def _write(self, connection: Connection, message: typing.Any) -> bool:
        """Write a message; return False if no frame can hold it.

        That is a fault of this process. It costs the message, not the link:
        the peer is sound, and other messages share the link.
        """
        name = type(message).__name__
        try:
            data = _encode(connection, message)
        except errors.EncodeError as error:
            self.owner.message_unsendable(connection.host, name, str(error))
            return False
        self.bytes_out[name] = self.bytes_out.get(name, 0) + len(data)
        if self.owner.is_cross_domain(connection.host):
            cross_domain_bytes = self.cross_domain_bytes_out.get(name, 0)
            self.cross_domain_bytes_out[name] = cross_domain_bytes + len(data)
        connection.stream.write(data)
        return True

    def _greet(self, connection: Connection) -> None:
        """Send the first message of a connection."""
        hello = self.owner.greeting(connection.subscribe)
        hello.reads_compact = True
        self._write(connection, hello)

    def _switch_to_compact(self, connection: Connection) -> None:
        """Write compact frames from now on; the peer reads them."""
        if connection.encoder is None:
            hello = messages.Hello(switches=True, takes_deadline_updates=True)
            self._write(connection, hello)
            connection.encoder = compact.Encoder(connection.subscribe)

    def close_answered(self) -> None:
        """Close the links that brought requests, behind their answers."""
        for connection in list(self.connections):
            if not connection.subscribe and not connection.outgoing:
                for answer in connection.delayed:
                    self._write(connection, answer)
                connection.stream.close_after_write()

    def has_unsent_answers(self) -> bool:
        """Return whether answers to other proxies are still unsent."""
        return any(
            connection.stream.unsent
            or connection.delayed
            or connection.stream.closing
            for connection in self.connections
            if not connection.subscribe
        )

    # Opening and closing

    def dial(self, host: str, address: str) -> None:
        """Open a subscribed link."""
        if host not in self.links:
            self._dial(host, address, subscribe=True)

    def close_link(self, host: str) -> None:
        """Close the subscribed link to a peer."""
        connection = self.links.get(host)
        if connection is not None:
            connection.stream.close()

    def probe(
        self,
        address: str,
        on_result: typing.Callable[[bool], None],
    ) -> None:
        """Connect once; pass on whether the peer accepted the connection."""
        stream = self.transport.connect(address, self._on_probe_open)
        self.probes[stream] = (on_result, self.clock.now_ms())
        stream.on_close = self._on_probe_close

    def _on_probe_open(self, stream: transports.Stream) -> None:
        self._finish_probe(stream, True)
        stream.close()

    def _on_probe_close(self, stream: transports.Stream) -> None:
        self._finish_probe(stream, False)

    def _finish_probe(self, stream: transports.Stream, answered: bool) -> None:
        probe = self.probes.pop(stream, None)
        if probe is not None:
            probe[0](answered)

    def _dial(self, host: str, address: str, *, subscribe: bool) -> Connection:
        stream = self.transport.connect(address, self._on_open)
        connection = self._add_connection(
            stream, host, subscribe, outgoing=True
        )
        return connection

    def _on_accept(self, stream: transports.Stream) -> None:
        if not self._has_place():
            stream.close()
            return
        self.incoming.add(
            self._add_connection(stream, "", False, outgoing=False)
        )

    def _has_place(self) -> bool:
        """Return whether one more peer has a place, made by others."""
        if len(self.incoming) < self.max_incoming:
            return True
        peers = [connection.client for connection in self.incoming]
        for client in places.replaced(peers, self.max_incoming):
            client.connection.stream.close()
        return len(self.incoming) < self.max_incoming

    def _add_connection(
        self,
        stream: transports.Stream,
        host: str,
        subscribe: bool,
        *,
        outgoing: bool,
    ) -> Connection:
        now_ms = self.clock.now_ms()
        connection = Connection(
            number=next(self.numbers),
            stream=stream,
            host=host,
            subscribe=subscribe,
            outgoing=outgoing,
            opened_ms=now_ms,
            last_received_ms=now_ms,
        )
        stream.owner = connection
        stream.on_data = self._on_data
        stream.on_close = self._on_close
        stream.on_drained = self._on_drained
        self.connections.add(connection)
        return connection

    def _on_open(self, stream: transports.Stream) -> None:
        connection = stream.owner
        connection.last_received_ms = self.clock.now_ms()
        self._greet(connection)
        if not connection.subscribe:
            connection.ready = True
            # A write that fails closes the connection. What was written by
            # then may run, so only the rest counts as unsent.
            while connection.waiting and not stream.closed:
                self._write_waiting(connection, connection.waiting.pop(0))

    def _write_waiting(
        self, connection: Connection, message: typing.Any
    ) -> None:
        if self._write(connection, message):
            return
        _forget_unsent(connection, message)
        if isinstance(message, messages.Request):
            self.owner.requests_lost([message.request_id], [])

    def _on_close(self, stream: transports.Stream) -> None:
        connection = stream.owner
        self.connections.discard(connection)
        self.incoming.discard(connection)
        self.memory.drop(connection.incoming)
        self.memory.drop(connection.unsent)
        # The two refer to each other, and are collected much later.
        connection.reader.drop()
        connection.delayed.clear()
        if connection.subscribe:
            current = self.links.get(connection.host) is connection
            if current:
                del self.links[connection.host]
            if current or (connection.outgoing and not connection.ready):
                self.owner.link_down(connection.host, 0)
        elif connection.outgoing:
            self._request_link_closed(connection)
        else:
            self.owner.origin_lost(connection)

    def _request_link_closed(self, connection: Connection) -> None:
        if self.requests.get(connection.host) is connection:
            del self.requests[connection.host]
        self._set_unresponsive(connection, False)
        unsent = [
            message.request_id
            for message in connection.waiting
            if isinstance(message, messages.Request)
        ]
        lost = sorted(connection.outstanding - set(unsent))
        if unsent or lost:
            self.owner.requests_lost(unsent, lost)

    # Receiving

    def _on_data(self, stream: transports.Stream, data: bytes) -> None:
        connection = stream.owner
        connection.last_received_ms = self.clock.now_ms()
        connection.pinged_ms = 0
        self._set_unresponsive(connection, False)
        if connection.incoming.size:
            now_ms = connection.last_received_ms
            self.memory.moved(connection.incoming, len(data), now_ms)
        try:
            for message in connection.reader.feed(data):
                self._on_message(connection, message)
                if stream.closed:
                    return
            self._count(connection)
        except errors.FrameError as error:
            self._close_malformed(connection, str(error))
        except (TypeError, ValueError, AttributeError, KeyError) as error:
            # Thrift decodes a missing field as None, which a core may fail
            # on. That must close the peer's connection, not end the process.
            self._close_malformed(
                connection, f"{type(error).__name__}: {error}"
            )

    def _count(self, connection: Connection) -> None:
        """Count what a connection holds; close it if that is too much."""
        reader = connection.reader
        expected = max(reader.held_bytes, reader.expected_bytes)
        before = connection.unsent.size
        unsent = connection.unsent_bytes
        if unsent < before:
            now_ms = self.clock.now_ms()
            self.memory.moved(connection.unsent, before - unsent, now_ms)
        if not (
            self._claim(connection.incoming, expected)
            and self._claim(connection.unsent, unsent)
        ):
            self.owner.peer_refused(connection.host, "too little memory")
            connection.stream.abort()

    def _claim(self, holding: held_memory.Holding, size: int) -> bool:
        """Return whether a number of bytes may be held."""
        if size < COUNTED_BYTES:
            if holding.size:
                self.memory.drop(holding)
            return True
        claimed = self.memory.claim(holding, size, self.clock.now_ms())
        if isinstance(claimed, held_memory.Refused):
            return False
        for other in claimed.released:
            other.holder.release(other)
        return True

    def _close_malformed(self, connection: Connection, why: str) -> None:
        self._log_bad(connection, why)
        connection.stream.close()

    def _log_bad(self, connection: Connection, why: str) -> None:
        bad = getattr(self.owner, "bad_peer", None)
        if bad is not None:
            bad(connection.host, why)

    def _on_message(self, connection: Connection, message: typing.Any) -> None:
        name = type(message).__name__
        self.bytes_in[name] = self.bytes_in.get(name, 0) + 1
        if not connection.greeted:
            self._on_first_message(connection, message)
        elif isinstance(message, messages.Hello):
            connection.takes_deadline_updates = message.takes_deadline_updates
            # The peer reads compact frames, since it writes them.
            self._switch_to_compact(connection)
        elif isinstance(message, messages.Ping):
            self._write(connection, messages.Pong(message.nonce))
        elif isinstance(message, messages.Pong):
            connection.pong_received = True
        else:
            self._deliver(connection, message)

    def _deliver(self, connection: Connection, message: typing.Any) -> None:
        """Pass a message on to the process, without its odd entries.

        Raises:
            FrameError: The message is odd itself.
        """
        removed = soundness.remove_odd_entries(message)
        if removed:
            name = type(message).__name__
            why = f"{removed} odd entries in {name} left out"
            self._log_bad(connection, why)
        if connection.subscribe:
            self.owner.link_message(connection.host, message)
        else:
            if isinstance(message, messages.Answer):
                connection.outstanding.discard(message.request_id)
            self.owner.request_message(connection, message)

    def _on_first_message(
        self, connection: Connection, message: typing.Any
    ) -> None:
        """Handle the first message of a connection.

        Raises:
            FrameError: It is not the message that must come first.
        """
        if connection.outgoing and not connection.subscribe:
            connection.greeted = True
            self._on_message(connection, message)
            return
        connection.greeted = True
        if connection.outgoing:
            self._on_hello_reply(connection, message)
            return
        if not isinstance(message, messages.Hello) or not message.host:
            raise errors.FrameError("the first message must be a greeting")
        connection.host = message.host
        connection.subscribe = bool(message.subscribe)
        if connection.subscribe:
            self._admit(connection, message)
        if message.reads_compact and not connection.stream.closing:
            self._switch_to_compact(connection)

    def _admit(self, connection: Connection, hello: messages.Hello) -> None:
        wait_ms = self.owner.admit(hello)
        reply = messages.HelloReply(
            hello=self.owner.greeting(True),
            accepted=not wait_ms,
            retry_after_ms=wait_ms,
        )
        self._write(connection, reply)
        if wait_ms:
            connection.subscribe = False
            connection.stream.close_after_write()
            return
        self._register_link(connection, hello, served=True)

    def _on_hello_reply(
        self, connection: Connection, message: typing.Any
    ) -> None:
        if not isinstance(message, messages.HelloReply):
            raise errors.FrameError("expected a reply to the greeting")
        if message.hello.host != connection.host:
            raise errors.FrameError("another host answers at this address")
        connection.ready = True
        if message.accepted:
            self._register_link(connection, message.hello, served=False)
            return
        connection.stream.close()
        self.owner.link_down(connection.host, message.retry_after_ms or 1)

    def _register_link(
        self, connection: Connection, hello: messages.Hello, *, served: bool
    ) -> None:
        old = self.links.get(hello.host)
        self.links[hello.host] = connection
        connection.ready = True
        if old is not None and old is not connection:
            old.stream.close()
        self.owner.link_up(hello.host, hello, served)

    # Time

    def tick(self) -> None:
        """Ping request links; close those that did not open in time."""
        now_ms = self.clock.now_ms()
        for connection in list(self.connections):
            self._count(connection)
            unready = connection.outgoing and not connection.ready
            silent = not connection.greeted and not connection.outgoing
            if unready or silent:
                if now_ms - connection.opened_ms > _open_limit_ms(connection):
                    connection.stream.close()
            elif not connection.subscribe and connection.outgoing:
                self._check_request_link(connection, now_ms)
        for stream, (_, since_ms) in list(self.probes.items()):
            if now_ms - since_ms > PING_TIMEOUT_MS:
                stream.close()

    def _check_request_link(self, connection: Connection, now_ms: int) -> None:
        """Detect a dead connection to a peer that is still running.

        A middlebox can drop the state of a connection: bytes are sent,
        nothing is received and no error is reported. An unanswered ping
        reveals this within seconds; the next request then opens a new
        connection. Well before that, the peer is reported as unresponsive
        and new requests go to other hosts. Otherwise a partition between
        failure domains would lose the requests of about a second.
        """
        if connection.pinged_ms:
            waited_ms = now_ms - connection.pinged_ms
            if waited_ms >= PING_TIMEOUT_MS:
                connection.stream.close()
            elif waited_ms >= UNRESPONSIVE_AFTER_MS:
                self._set_unresponsive(connection, True)
            return
        if not connection.outstanding:
            if (
                now_ms - connection.last_used_ms
                >= REQUEST_LINK_IDLE_TIMEOUT_MS
            ):
                connection.stream.close()
            return
        pause_ms = (
            SLOW_PING_INTERVAL_MS
            if connection.pong_received
            else PING_INTERVAL_MS
        )
        if now_ms - connection.last_received_ms >= pause_ms:
            connection.pinged_ms = now_ms
            self._write(connection, messages.Ping(connection.number))

    def _set_unresponsive(
        self, connection: Connection, unresponsive: bool
    ) -> None:
        if connection.unresponsive != unresponsive:
            connection.unresponsive = unresponsive
            self.owner.set_peer_unresponsive(connection.host, unresponsive)


def _track_sent(connection: Connection, message: typing.Any) -> None:
    """Update the set of requests that a connection awaits answers to.

    A cancelled request gets no answer. If it stayed in the set, its link
    would be pinged for as long as both processes run.
    """
    match message:
        case messages.Request():
            connection.outstanding.add(message.request_id)
            connection.pong_received = False
        case messages.Cancel():
            connection.outstanding.discard(message.request_id)


def _forget_unsent(connection: Connection, message: typing.Any) -> None:
    """Await no answer to a request that was never written."""
    if isinstance(message, messages.Request):
        connection.outstanding.discard(message.request_id)


def _is_long_answer(message: typing.Any) -> bool:
    if not isinstance(message, messages.Answer):
        return False
    return len(message.body or b"") >= LONG_ANSWER_BYTES


def _without_memory(answer: messages.Answer) -> messages.Answer:
    """Return what is answered instead of one that there is no memory for."""
    return messages.Answer(
        request_id=answer.request_id,
        status=502,
        reason="too little memory for the target's answer",
        ran=True,
        unusable=True,
    )


def _encode(connection: Connection, message: typing.Any) -> bytes:
    """Return a message as a frame in the form that the peer reads."""
    if connection.encoder is not None:
        return connection.encoder.encode(message)
    return frames.encode(message)


def _open_limit_ms(connection: Connection) -> int:
    """Return how long a connection may take to open, in milliseconds.

    A host that lost power does not even refuse a connection. A request that
    is queued for such a connection certainly did not run; with a short
    timeout it can go to another target before its caller's deadline.
    """
    carries_requests = connection.outgoing and not connection.subscribe
    return CONNECT_TIMEOUT_MS if carries_requests else GREETING_TIMEOUT_MS
