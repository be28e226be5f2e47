"""The circuits side of a daemon: one loop on one thread.

The runtime carries a process engine's effects: it implements the facade over
sockets, beats the engine's clock and ends on signals.
"""

import gc
import random
import signal as signals
import typing

import circuits
from circuits.core import handlers

from trefoil_model import clock as clocks
from trefoil_model import effects as common
from trefoil_requests import call as calls
from trefoil_requests import effects as request_effects
from trefoil_wire import messages

from . import admin
from . import exposition
from . import http_server
from . import hub as hubs
from . import logs
from . import metrics as metric_store
from . import reload
from . import transport as transports

BEAT_S = 0.05
FLUSH_MS = 10_000
GC_THRESHOLDS = (20_000, 20, 100)


class beat(circuits.Event):
    """Time passes."""


class Runtime(circuits.BaseComponent):
    """What both daemons share.

    Args:
        name: Name of the process.
        log_level: Least level that is logged.
        statsd: Address of a statsd server; empty for none.
        clock: The runtime's clock.
    """

    channel = "runtime"

    def init(
        self,
        name: str,
        log_level: str,
        statsd: str,
        clock: clocks.Clock | None = None,
    ) -> None:
        """Build the parts; the engine is set by the daemon."""
        self.name_of_process = name
        self.system_clock = clock or clocks.SystemClock()
        self.poller = transports.DirectPoller().register(self)
        self.transport = transports.Transport(self.poller).register(self)
        self.log = logs.EventLog(name, log_level)
        self.metrics = metric_store.Metrics(name, statsd)
        self.hub = hubs.Hub(self.transport, self, self.system_clock)
        self.origins: dict[str, hubs.Connection] = {}
        self.engine: typing.Any = None
        self.flush_at_ms = 0
        self.rng = random.Random()
        self.http_servers: list[typing.Any] = []
        self.reloader: reload.Reloader | None = None
        circuits.Timer(BEAT_S, beat(), self.channel, persist=True).register(
            self
        )

    def settle(self) -> None:
        """Keep what lives as long as the process out of collections.

        A full collection walks every object of the libraries and shows as a
        pause of tens of milliseconds in one call of a thousand.
        """
        gc.collect()
        gc.freeze()
        gc.set_threshold(*GC_THRESHOLDS)

    def interface(self) -> http_server.Handler:
        """Return what answers targets and operators."""
        return admin.Admin(
            self.engine,
            self.system_clock,
            self.metrics,
            self.hub.bytes_out,
            self.name_of_process,
        )

    def serve_operators(self, address: str, max_body: int) -> int:
        """Open the interface for targets and operators; return the port."""
        server = http_server.HttpServer(
            self.transport,
            self.interface(),
            self.system_clock,
            limits=http_server.SenderLimits(max_body=max_body),
            bad=self.bad_http,
        )
        self.http_servers.append(server)
        return server.listen(address)

    # Events

    @handlers.handler("beat")
    def _on_beat(self) -> None:
        self.engine.tick()
        self.hub.tick()
        for server in self.http_servers:
            server.tick()
        now_ms = self.system_clock.now_ms()
        if self.reloader is not None:
            self._reload(now_ms)
        if now_ms >= self.flush_at_ms:
            self.flush_at_ms = now_ms + FLUSH_MS
            self.metrics.flush()
        self.after_beat()

    def serve_metrics(self, address: str) -> None:
        """Open the address where metrics are read, if there is one."""
        if not address:
            return
        server = http_server.HttpServer(
            self.transport,
            exposition.Exposition(
                self.metrics,
                self.hub.bytes_out,
                self.hub.cross_domain_bytes_out,
                self.engine,
            ),
            self.system_clock,
            limits=http_server.SenderLimits(max_body=0),
            bad=self.bad_http,
        )
        self.http_servers.append(server)
        server.listen(address)

    def watch_settings(self, reloader: "reload.Reloader") -> None:
        """Take changed settings from now on, on SIGHUP and by themselves."""
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
        """Take changed settings."""

    def limit_callers(self, limits: messages.CallerLimits) -> None:
        """Take the configuration's limits for callers (proxies only)."""

    def after_beat(self) -> None:
        """Do what a daemon adds to each beat."""

    @handlers.handler("signal", channel="*")
    def _on_signal(self, number: int, stack: typing.Any) -> None:
        if number in (signals.SIGTERM, signals.SIGINT):
            self.leave()

    @handlers.handler("exception", channel="*", priority=100.0)
    def _on_exception(self, *args: typing.Any, **kwargs: typing.Any) -> None:
        """Log what a handler raised; one bad event must not end all."""
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
        """End the process."""
        raise SystemExit(0)

    # The facade

    def link_send(self, host: str, message: typing.Any) -> None:
        """Send on a subscribed link; dropped if there is none."""
        self.hub.link_send(host, message)

    def dial(self, host: str, address: str) -> None:
        """Open a subscribed link."""
        self.hub.dial(host, address)

    def close_link(self, host: str) -> None:
        """Close a subscribed link."""
        self.hub.close_link(host)

    def probe(self, host: str, address: str) -> None:
        """Connect to a peer once and tell the engine."""

        def told(answered: bool) -> None:
            now_ms = self.system_clock.now_ms()
            self.engine.perform(
                self.engine.node.on_probe_result(host, answered, now_ms)
            )

        self.hub.probe(address, told)

    def request_send(
        self, host: str, address: str, message: typing.Any
    ) -> bool:
        """Send on a request link."""
        return self.hub.request_send(host, address, message)

    def reply(self, origin: str, message: typing.Any) -> None:
        """Answer on the connection that a message came by."""
        connection = self.origins.get(origin)
        if connection is not None:
            self.hub.reply(connection, message)

    def finish(self, final: calls.Final) -> None:
        """Give a caller its final answer (proxies only)."""

    def dispatch(self, effect: request_effects.Dispatch) -> None:
        """Run a request on a local target (proxies only)."""

    def abort(self, request_id: int) -> None:
        """Stop waiting for a local target (proxies only)."""

    def check_target(self, effect: request_effects.CheckTarget) -> None:
        """Find out whether a local target takes connections (proxies)."""

    def check_warmup(
        self, effect: request_effects.CheckWarmup, path: str
    ) -> None:
        """Ask a local target how much longer it is cold (proxies only)."""

    def note(self, note: common.Note) -> None:
        """Write a log line, and count it."""
        self.metrics.count(note.event)
        self.log.note(note)

    def count(self, count: common.Count) -> None:
        """Add to a metric."""
        self.metrics.count(count.name, count.value)

    def observe(self, effect: request_effects.Observe) -> None:
        """Record a latency by tenant."""
        self.metrics.latency(effect.tenant, effect.latency_us)

    # The hub's owner

    def greeting(self, subscribe: bool) -> typing.Any:
        """Return the greeting of this process."""
        return self.engine.greeting(subscribe)

    def is_cross_domain(self, host: str) -> bool:
        """Tell whether a peer is in another failure domain."""
        return self.engine.node.is_cross_domain(host)

    def admit(self, hello: typing.Any) -> int:
        """Return 0 to serve a peer, else how long it should wait in ms."""
        return self.engine.admit(hello)

    def link_up(self, host: str, hello: typing.Any, served: bool) -> None:
        """Note a subscribed link."""
        self.note(common.Note("link.up", {"peer": host, "served": served}))
        self.engine.link_up(host, hello, served)

    def link_down(self, host: str, retry_after_ms: int) -> None:
        """Note a subscribed link that broke or was refused."""
        self.note(
            common.Note(
                "link.down", {"peer": host, "again_in_ms": retry_after_ms}
            )
        )
        self.engine.link_down(host, retry_after_ms)

    def link_message(self, host: str, message: typing.Any) -> None:
        """Take a message from a subscribed link."""
        self.engine.link_message(host, message)

    def request_message(
        self, connection: hubs.Connection, message: typing.Any
    ) -> None:
        """Take a message from a request link."""
        name = connection.name
        if not connection.outgoing:
            self.origins[name] = connection
        self.engine.request_message(name, message)

    def requests_lost(self, unsent: list[int], lost: list[int]) -> None:
        """Note the requests that a broken request link carried."""
        self.engine.requests_lost(unsent, lost)

    def set_peer_unresponsive(self, host: str, unresponsive: bool) -> None:
        """Note a peer that does not answer, or answers again."""
        self.engine.set_peer_unresponsive(host, unresponsive)

    def origin_lost(self, connection: hubs.Connection) -> None:
        """Note an incoming request link that broke."""
        if self.origins.pop(connection.name, None) is not None:
            self.engine.origin_lost(connection.name)

    def bad_peer(self, host: str, why: str) -> None:
        """Log a peer that sent something malformed."""
        self.note(
            common.Note(
                "peer.malformed", {"peer": host, "why": why}, "warning"
            )
        )

    def bad_http(self, why: str) -> None:
        """Log a caller, target or operator that sent something malformed."""
        self.metrics.count("http.malformed")
        self.note(common.Note("http.malformed", {"why": why}, "warning"))
