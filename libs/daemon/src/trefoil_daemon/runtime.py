"""The event loop of a daemon, on circuits and a single thread.

The runtime executes a process engine's effects: it implements the facade
over sockets, calls the engine's ``tick`` periodically and exits on signals.
"""

import gc
import random
import resource
import signal as signals
import typing

import circuits
from circuits.core import handlers

from trefoil_model import clock as clocks
from trefoil_model import effects as common
from trefoil_requests import call as calls
from trefoil_requests import effects as request_effects
from trefoil_requests import held_memory
from trefoil_requests import places
from trefoil_settings import settings as setting_store
from trefoil_wire import messages

from . import admin
from . import exposition
from . import http_server
from . import hub as hubs
from . import logs
from . import metrics as metric_store
from . import operators
from . import reload
from . import transport as transports

TICK_INTERVAL_S = 0.05
METRICS_FLUSH_INTERVAL_MS = 10_000
GC_THRESHOLDS = (20_000, 20, 100)


class beat(circuits.Event):
    """Fires at each tick."""


class Runtime(circuits.BaseComponent):
    """Base class of both daemons.

    Args:
        name: Name of the process.
        log_level: Minimum level that is logged.
        statsd: Address of a statsd server; empty for none.
        memory_mb: Memory that the process may use, in units of 10**6 bytes.
        descriptors: Descriptors that it may open; 0 for its own limit.
        clock: The runtime's clock.
    """

    channel = "runtime"

    def init(
        self,
        name: str,
        log_level: str,
        statsd: str,
        memory_mb: float = setting_store.DEFAULT_MEMORY_MB,
        descriptors: int = 0,
        clock: clocks.Clock | None = None,
    ) -> None:
        """Create the components; subclasses set ``engine``."""
        self.process_name = name
        self.system_clock = clock or clocks.SystemClock()
        self.memory = held_memory.HeldMemory.from_memory(memory_mb)
        own_limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        self.places = places.Places.from_descriptors(
            min(descriptors or own_limit, own_limit)
        )
        self.poller = transports.DirectPoller().register(self)
        self.transport = transports.Transport(self.poller).register(self)
        self.log = logs.EventLog(name, log_level)
        self.metrics = metric_store.Metrics(name, statsd)
        self.hub = hubs.Hub(
            self.transport,
            self,
            self.system_clock,
            self.memory,
            self.places.peers,
        )
        self.origins: dict[str, hubs.Connection] = {}
        self.engine: typing.Any = None
        self.flush_at_ms = 0
        self.rng = random.Random()
        self.http_servers: list[typing.Any] = []
        self.reloader: reload.Reloader | None = None
        circuits.Timer(
            TICK_INTERVAL_S, beat(), self.channel, persist=True
        ).register(self)

    def tune_gc(self) -> None:
        """Exclude the objects created so far from garbage collection.

        A full collection would traverse every object of the libraries, a
        pause of tens of milliseconds that affects one call in a thousand.
        """
        gc.collect()
        gc.freeze()
        gc.set_threshold(*GC_THRESHOLDS)

    def interface(self) -> http_server.Handler:
        """Return the handler of the admin listener."""
        return admin.Admin(
            self.engine,
            self.metrics,
            self.hub.bytes_out,
            self.process_name,
            operators.UniqueIds(self.process_name, self.rng),
        )

    def serve_admin(self, address: str, max_body: int) -> int:
        """Open the admin listener; return its port."""
        return self.serve_http(
            address,
            self.interface(),
            http_server.ConnectionLimits(max_body=max_body),
        )

    def serve_http(
        self,
        address: str,
        handler: http_server.Handler,
        limits: http_server.ConnectionLimits,
    ) -> int:
        """Open a listener for a handler; return its port."""
        server = self.new_http_server(handler, limits, self.places.page)
        return server.listen(address)

    def new_http_server(
        self,
        handler: http_server.Handler,
        limits: http_server.ConnectionLimits,
        max_connections: int,
        truncated: http_server.OnTruncated | None = None,
    ) -> http_server.HttpServer:
        """Return a server that does not listen yet.

        Args:
            handler: Handles its requests.
            limits: Limits of its connections.
            max_connections: How many it takes.
            truncated: Called with a connection that closed before its answer
                was sent in full.
        """
        server = http_server.HttpServer(
            self.transport,
            handler,
            self.system_clock,
            limits=limits,
            malformed=self.log_malformed_http,
            truncated=truncated,
            refused=self.log_refused_http,
            memory=self.memory,
            max_connections=max_connections,
        )
        self.http_servers.append(server)
        return server

    # Events

    @handlers.handler("beat")
    def _on_tick(self) -> None:
        self.engine.tick()
        self.hub.tick()
        self.transport.lingering.tick(self.system_clock.now_ms())
        self.transport.accept_again()
        for server in self.http_servers:
            server.tick()
        now_ms = self.system_clock.now_ms()
        if self.reloader is not None:
            self._reload(now_ms)
        if now_ms >= self.flush_at_ms:
            self.flush_at_ms = now_ms + METRICS_FLUSH_INTERVAL_MS
            self.metrics.flush()
        self.after_tick()

    def serve_metrics(self, address: str) -> None:
        """Open the metrics listener, unless the address is empty."""
        if not address:
            return
        page = exposition.Exposition(
            self.metrics,
            self.hub.bytes_out,
            self.hub.cross_domain_bytes_out,
            self.engine,
        )
        limits = http_server.ConnectionLimits(max_body=0)
        self.serve_http(address, page, limits)

    def watch_settings(self, reloader: "reload.Reloader") -> None:
        """Reload changed settings from now on, by polling and on SIGHUP."""
        self.reloader = reloader
        signals.signal(signals.SIGHUP, lambda *_: reloader.request_reload())

    def _reload(self, now_ms: int) -> None:
        changed = self.reloader.poll(now_ms)
        if changed is None:
            return
        if changed.is_error():
            why = str(changed.error)
            self.note(common.Note("settings.wrong", {"why": why}, "error"))
            return
        self.reconfigure(changed.ok)
        self.note(common.Note("settings.reloaded"))

    def reconfigure(self, settings: typing.Any) -> None:
        """Apply changed settings."""

    def limit_callers(self, limits: messages.CallerLimits) -> None:
        """Apply the configuration's limits for callers (proxies only)."""

    def after_tick(self) -> None:
        """Run a daemon's own work after each tick."""

    @handlers.handler("signal", channel="*")
    def _on_signal(self, number: int, stack: typing.Any) -> None:
        if number in (signals.SIGTERM, signals.SIGINT):
            self.leave()

    @handlers.handler("exception", channel="*", priority=100.0)
    def _on_exception(self, *args: typing.Any, **kwargs: typing.Any) -> None:
        """Log an exception of a handler; the process continues."""
        kind, value, trace = args[0], args[1], args[2]
        lines = trace if isinstance(trace, list) else [str(trace)]
        self.note(
            common.Note(
                "runtime.exception",
                {
                    "kind": getattr(kind, "__name__", kind),
                    "what": value,
                    "where": "".join(lines)[-1500:],
                },
                "error",
            )
        )

    def leave(self) -> None:
        """Exit the process."""
        raise SystemExit(0)

    # The facade

    def link_send(self, host: str, message: typing.Any) -> None:
        """Send on a subscribed link; dropped if there is no link."""
        self.hub.link_send(host, message)

    def dial(self, host: str, address: str) -> None:
        """Open a subscribed link."""
        self.hub.dial(host, address)

    def close_link(self, host: str) -> None:
        """Close a subscribed link."""
        self.hub.close_link(host)

    def probe(self, host: str, address: str) -> None:
        """Connect to a peer once and report the result to the engine."""

        def on_result(answered: bool) -> None:
            now_ms = self.system_clock.now_ms()
            self.engine.perform(
                self.engine.node.on_probe_result(host, answered, now_ms)
            )

        self.hub.probe(address, on_result)

    def request_send(
        self, host: str, address: str, message: typing.Any
    ) -> bool:
        """Send on a request link."""
        return self.hub.request_send(host, address, message)

    def reply(self, origin: str, message: typing.Any) -> None:
        """Reply on the connection on which a message arrived."""
        connection = self.origins.get(origin)
        if connection is not None:
            self.hub.reply(connection, message)

    def finish(self, final: calls.Final) -> None:
        """Send a caller its final answer (proxies only)."""

    def dispatch(self, effect: request_effects.Dispatch) -> None:
        """Run a request on a local target (proxies only)."""

    def abort(self, request_id: int) -> None:
        """Abort a request on a local target (proxies only)."""

    def check_target(self, effect: request_effects.CheckTarget) -> None:
        """Check whether a local target accepts connections (proxies only)."""

    def check_warmup(
        self, effect: request_effects.CheckWarmup, path: str
    ) -> None:
        """Ask a local target for its remaining warm-up time (proxies only)."""

    def note(self, note: common.Note) -> None:
        """Write a log line and count its event."""
        self.metrics.count(note.event)
        self.log.note(note)

    def count(self, count: common.Count) -> None:
        """Add to a metric."""
        self.metrics.count(count.name, count.value)

    def observe(self, effect: request_effects.Observe) -> None:
        """Record a latency for a tenant."""
        self.metrics.latency(effect.tenant, effect.latency_us)

    # The hub's owner

    def greeting(self, subscribe: bool) -> typing.Any:
        """Return the hello message of this process."""
        return self.engine.greeting(subscribe)

    def is_cross_domain(self, host: str) -> bool:
        """Return whether a peer is in another failure domain."""
        return self.engine.node.is_cross_domain(host)

    def admit(self, hello: typing.Any) -> int:
        """Return 0 to accept a peer, else its retry delay in ms."""
        return self.engine.admit(hello)

    def link_up(self, host: str, hello: typing.Any, served: bool) -> None:
        """Handle an established subscribed link."""
        self.note(common.Note("link.up", {"peer": host, "served": served}))
        self.engine.link_up(host, hello, served)

    def link_down(self, host: str, retry_after_ms: int) -> None:
        """Handle a subscribed link that broke or was refused."""
        self.note(
            common.Note(
                "link.down", {"peer": host, "again_in_ms": retry_after_ms}
            )
        )
        self.engine.link_down(host, retry_after_ms)

    def link_message(self, host: str, message: typing.Any) -> None:
        """Handle a message from a subscribed link."""
        self.engine.link_message(host, message)

    def request_message(
        self, connection: hubs.Connection, message: typing.Any
    ) -> None:
        """Handle a message from a request link."""
        name = connection.name
        if not connection.outgoing:
            self.origins[name] = connection
        self.engine.request_message(name, message)

    def requests_lost(self, unsent: list[int], lost: list[int]) -> None:
        """Handle the requests in flight on a request link that broke."""
        self.engine.requests_lost(unsent, lost)

    def set_peer_unresponsive(self, host: str, unresponsive: bool) -> None:
        """Handle a peer that became unresponsive, or responds again."""
        self.engine.set_peer_unresponsive(host, unresponsive)

    def origin_lost(self, connection: hubs.Connection) -> None:
        """Handle an incoming request link that broke."""
        if self.origins.pop(connection.name, None) is not None:
            self.engine.origin_lost(connection.name)

    def bad_peer(self, host: str, why: str) -> None:
        """Log a malformed message of a peer."""
        self.note(
            common.Note(
                "peer.malformed", {"peer": host, "why": why}, "warning"
            )
        )

    def peer_refused(self, host: str, why: str) -> None:
        """Log a connection that was closed for what it would hold."""
        fields = {"peer": host, "why": why, "held_bytes": self.memory.total}
        self.note(common.Note("peer.refused", fields, "warning"))

    def message_unsendable(self, host: str, kind: str, why: str) -> None:
        """Log a message of this process that no frame can hold."""
        fields = {"peer": host, "kind": kind, "why": why}
        self.note(common.Note("message.unsendable", fields, "error"))

    def log_malformed_http(self, why: str) -> None:
        """Log and count a malformed request to an HTTP listener."""
        self.metrics.count("http.malformed")
        self.note(common.Note("http.malformed", {"why": why}, "warning"))

    def log_refused_http(self, why: str) -> None:
        """Log and count a request refused for want of memory."""
        self.metrics.count("http.refused")
        fields = {"why": why, "held_bytes": self.memory.total}
        self.note(common.Note("http.refused", fields, "warning"))
