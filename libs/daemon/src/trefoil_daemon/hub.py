"""The hub: connections to other trefoilroute processes.

Two kinds: subscribed links carry the fleet's and the agreement's messages,
request links carry callers' requests and what belongs to them, so that a
burst of requests can't hold up a heartbeat.
"""

import dataclasses
import itertools
import typing

from trefoil_model import clock as clocks
from trefoil_model import errors
from trefoil_wire import frames
from trefoil_wire import messages

from . import transport as transports

GREETING_MS = 3000
CONNECT_MS = 500
# A request that runs says nothing for as long; a ping each time is little
# beside it, and there are no more of them than requests under way.
PING_AFTER_MS = 150
# A peer that answered while a long request runs is asked less often until it
# gets the next one.
PING_AGAIN_MS = 600
# A round trip takes milliseconds, and a process answers within a beat. One
# that takes this long stands still, or a cut lies between.
DOUBT_MS = 200
PING_ANSWER_MS = 1000
# What is kept for each peer of a fleet costs with the square of its hosts; a
# new connection is one round trip.
REQUEST_LINK_IDLE_MS = 6000


class Owner(typing.Protocol):
    """What the hub tells its process."""

    def greeting(self, subscribe: bool) -> messages.Hello:
        """Return the greeting of this process."""

    def is_cross_domain(self, host: str) -> bool:
        """Tell whether a peer is in another failure domain."""

    def admit(self, hello: messages.Hello) -> int:
        """Return 0 to serve a peer, else how long it should wait in ms."""

    def link_up(self, host: str, hello: messages.Hello, served: bool) -> None:
        """Note a subscribed link."""

    def link_down(self, host: str, retry_after_ms: int) -> None:
        """Note a subscribed link that broke or was refused."""

    def link_message(self, host: str, message: typing.Any) -> None:
        """Take a message from a subscribed link."""

    def request_message(
        self, connection: "Connection", message: typing.Any
    ) -> None:
        """Take a message from a request link."""

    def requests_lost(self, unsent: list[int], lost: list[int]) -> None:
        """Note the requests that a broken request link carried."""

    def set_peer_unresponsive(self, host: str, unresponsive: bool) -> None:
        """Note a peer that does not answer, or answers again."""

    def origin_lost(self, connection: "Connection") -> None:
        """Note an incoming request link that broke."""


@dataclasses.dataclass(slots=True, eq=False)
class Connection:
    """One connection to a peer process."""

    number: int
    stream: transports.Stream
    host: str
    subscribe: bool
    outgoing: bool
    opened_ms: int
    heard_ms: int
    reader: frames.FrameReader = dataclasses.field(
        default_factory=frames.FrameReader
    )
    greeted: bool = False
    ready: bool = False
    waiting: list[typing.Any] = dataclasses.field(default_factory=list)
    outstanding: set[int] = dataclasses.field(default_factory=set)
    pinged_ms: int = 0
    answered: bool = False
    used_ms: int = 0
    unresponsive: bool = False

    @property
    def name(self) -> str:
        """Return what tells this connection from others."""
        return f"{self.host}#{self.number}"


class Hub:
    """All connections to peers of one process.

    Args:
        transport: Carries the streams.
        owner: The process.
        clock: The runtime's clock.
    """

    __slots__ = (
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
    ) -> None:
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
        """Take peers' connections; return the port."""
        return self.transport.listen(address, self._accepted)

    # Sending

    def link_send(self, host: str, message: typing.Any) -> None:
        """Send on a subscribed link; dropped if there is none."""
        connection = self.links.get(host)
        if connection is not None:
            self._write(connection, message)

    def request_send(
        self, host: str, address: str, message: typing.Any
    ) -> bool:
        """Send on a request link, opening it if need be.

        Returns:
            False if the peer can't be reached.
        """
        connection = self.requests.get(host)
        if connection is None:
            if not address:
                return False
            connection = self._dial(host, address, subscribe=False)
            self.requests[host] = connection
        connection.used_ms = self.clock.now_ms()
        _note_sent(connection, message)
        if connection.ready:
            self._write(connection, message)
        else:
            connection.waiting.append(message)
        return True

    def reply(self, connection: Connection, message: typing.Any) -> None:
        """Answer on the connection that a message came by."""
        if not connection.stream.closed:
            self._write(connection, message)

    def _write(self, connection: Connection, message: typing.Any) -> None:
        data = frames.encode(message)
        name = type(message).__name__
        self.bytes_out[name] = self.bytes_out.get(name, 0) + len(data)
        if self.owner.is_cross_domain(connection.host):
            far = self.cross_domain_bytes_out.get(name, 0)
            self.cross_domain_bytes_out[name] = far + len(data)
        connection.stream.write(data)

    def owes(self) -> bool:
        """Tell whether answers to other proxies still wait to be sent."""
        return any(
            connection.stream.unsent
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
        told: typing.Callable[[bool], None],
    ) -> None:
        """Connect once and tell whether the peer takes connections."""
        stream = self.transport.connect(address, self._probe_open)
        self.probes[stream] = (told, self.clock.now_ms())
        stream.on_close = self._probe_closed

    def _probe_open(self, stream: transports.Stream) -> None:
        self._probe_done(stream, True)
        stream.close()

    def _probe_closed(self, stream: transports.Stream) -> None:
        self._probe_done(stream, False)

    def _probe_done(self, stream: transports.Stream, answered: bool) -> None:
        found = self.probes.pop(stream, None)
        if found is not None:
            found[0](answered)

    def _dial(self, host: str, address: str, *, subscribe: bool) -> Connection:
        stream = self.transport.connect(address, self._opened)
        connection = self._watch(stream, host, subscribe, outgoing=True)
        return connection

    def _accepted(self, stream: transports.Stream) -> None:
        self._watch(stream, "", False, outgoing=False)

    def _watch(
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
            heard_ms=now_ms,
        )
        stream.owner = connection
        stream.on_data = self._data
        stream.on_close = self._closed
        self.connections.add(connection)
        return connection

    def _opened(self, stream: transports.Stream) -> None:
        connection = stream.owner
        connection.heard_ms = self.clock.now_ms()
        self._write(connection, self.owner.greeting(connection.subscribe))
        if not connection.subscribe:
            connection.ready = True
            for message in connection.waiting:
                self._write(connection, message)
            connection.waiting = []

    def _closed(self, stream: transports.Stream) -> None:
        connection = stream.owner
        self.connections.discard(connection)
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
        self._doubt(connection, False)
        unsent = [
            message.request_id
            for message in connection.waiting
            if isinstance(message, messages.Request)
        ]
        lost = sorted(connection.outstanding - set(unsent))
        if unsent or lost:
            self.owner.requests_lost(unsent, lost)

    # Receiving

    def _data(self, stream: transports.Stream, data: bytes) -> None:
        connection = stream.owner
        connection.heard_ms = self.clock.now_ms()
        connection.pinged_ms = 0
        self._doubt(connection, False)
        try:
            for message in connection.reader.feed(data):
                self._message(connection, message)
                if stream.closed:
                    return
        except errors.FrameError as error:
            self._bad(connection, str(error))
        except (TypeError, ValueError, AttributeError, KeyError) as error:
            # Thrift leaves a missing field as None; what a core then trips
            # over must cost the peer its connection, not this process its
            # life.
            self._bad(connection, f"{type(error).__name__}: {error}")

    def _bad(self, connection: Connection, why: str) -> None:
        bad = getattr(self.owner, "bad_peer", None)
        if bad is not None:
            bad(connection.host, why)
        connection.stream.close()

    def _message(self, connection: Connection, message: typing.Any) -> None:
        name = type(message).__name__
        self.bytes_in[name] = self.bytes_in.get(name, 0) + 1
        if not connection.greeted:
            self._greeted(connection, message)
        elif isinstance(message, messages.Ping):
            self._write(connection, messages.Pong(message.nonce))
        elif isinstance(message, messages.Pong):
            connection.answered = True
        elif connection.subscribe:
            self.owner.link_message(connection.host, message)
        else:
            if isinstance(message, messages.Answer):
                connection.outstanding.discard(message.request_id)
            self.owner.request_message(connection, message)

    def _greeted(self, connection: Connection, message: typing.Any) -> None:
        """Take the first message of a connection."""
        if connection.outgoing and not connection.subscribe:
            connection.greeted = True
            self._message(connection, message)
            return
        connection.greeted = True
        if connection.outgoing:
            self._take_reply(connection, message)
            return
        if not isinstance(message, messages.Hello) or not message.host:
            raise errors.FrameError("the first message must be a greeting")
        connection.host = message.host
        connection.subscribe = bool(message.subscribe)
        if connection.subscribe:
            self._admit(connection, message)

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
        self._link(connection, hello, served=True)

    def _take_reply(self, connection: Connection, message: typing.Any) -> None:
        if not isinstance(message, messages.HelloReply):
            raise errors.FrameError("expected a reply to the greeting")
        if message.hello.host != connection.host:
            raise errors.FrameError("another host answers at this address")
        connection.ready = True
        if message.accepted:
            self._link(connection, message.hello, served=False)
            return
        connection.stream.close()
        self.owner.link_down(connection.host, message.retry_after_ms or 1)

    def _link(
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
        """Probe request links, drop what never greeted."""
        now_ms = self.clock.now_ms()
        for connection in list(self.connections):
            unready = connection.outgoing and not connection.ready
            silent = not connection.greeted and not connection.outgoing
            if unready or silent:
                if now_ms - connection.opened_ms > _opening_ms(connection):
                    connection.stream.close()
            elif not connection.subscribe and connection.outgoing:
                self._watch_request_link(connection, now_ms)
        for stream, (_, since_ms) in list(self.probes.items()):
            if now_ms - since_ms > PING_ANSWER_MS:
                stream.close()

    def _watch_request_link(self, connection: Connection, now_ms: int) -> None:
        """Find out a link that went silent while its peer lives.

        Something between the two ends can lose track of a connection: bytes
        go out, nothing ever comes back, no error is told. A ping that stays
        unanswered shows it within seconds; the next request then opens a
        fresh connection, which works. Long before that new requests are led
        elsewhere: in a cut between failure domains a second of them would
        else be lost on their way.
        """
        if connection.pinged_ms:
            waited_ms = now_ms - connection.pinged_ms
            if waited_ms >= PING_ANSWER_MS:
                connection.stream.close()
            elif waited_ms >= DOUBT_MS:
                self._doubt(connection, True)
            return
        if not connection.outstanding:
            if now_ms - connection.used_ms >= REQUEST_LINK_IDLE_MS:
                connection.stream.close()
            return
        pause_ms = PING_AGAIN_MS if connection.answered else PING_AFTER_MS
        if now_ms - connection.heard_ms >= pause_ms:
            connection.pinged_ms = now_ms
            self._write(connection, messages.Ping(connection.number))

    def _doubt(self, connection: Connection, unresponsive: bool) -> None:
        if connection.unresponsive != unresponsive:
            connection.unresponsive = unresponsive
            self.owner.set_peer_unresponsive(connection.host, unresponsive)


def _note_sent(connection: Connection, message: typing.Any) -> None:
    """Keep account of the requests whose answers a connection waits for.

    A request that was given up gets no answer. Counted on, it would have its
    link pinged for as long as both processes live.
    """
    match message:
        case messages.Request():
            connection.outstanding.add(message.request_id)
            connection.answered = False
        case messages.Cancel():
            connection.outstanding.discard(message.request_id)


def _opening_ms(connection: Connection) -> int:
    """Return how long a connection may take to open.

    A host that lost power answers nothing, not even a refusal. A request
    that waits for such a connection certainly did not run; told early, it
    goes to another target while its caller still waits.
    """
    carries_requests = connection.outgoing and not connection.subscribe
    return CONNECT_MS if carries_requests else GREETING_MS
