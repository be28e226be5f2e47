"""``trefoilroute-proxy``: the daemon on each target host."""

import random
import typing

from trefoil_model import effects as common
from trefoil_requests import call as calls
from trefoil_requests import effects as request_effects
from trefoil_settings import settings as setting_store
from trefoil_wire import messages

from . import dialect as dialects
from . import exchanges
from . import gateway
from . import health
from . import http_server
from . import open_connections
from . import pools
from . import proxy_process
from . import readiness
from . import runtime
from . import shutdown as shutdowns

MIB = 1024 * 1024
MAX_ADMIN_BODY_BYTES = MIB


class ProxyDaemon(runtime.Runtime):
    """The proxy's runtime: its listeners, connections and engine."""

    dialect = dialects.DEFAULT
    ending = False

    def start_proxy(self, settings: setting_store.ProxySettings) -> None:
        """Build the engine and open the ports."""
        self.settings = settings
        clock = self.system_clock
        max_body = settings.max_body_mib * MIB
        port = self.hub.listen(settings.peers)
        host = settings.peers.rpartition(":")[0]
        self.engine = proxy_process.ProxyProcess(
            settings,
            peers_address=settings.advertise or f"{host}:{port}",
            driver=self,
            clock=clock,
            rng=random.Random(),
            not_run_header=self.dialect.not_run,
            memory=self.memory,
        )
        self.pools = pools.TargetPools(
            self.transport,
            self.engine,
            clock,
            ip=settings.admin.rpartition(":")[0],
            max_body=max_body,
            dialect=self.dialect,
            memory=self.memory,
        )
        self.health = health.HealthChecks(
            self.transport,
            self.engine,
            clock,
            ip=settings.admin.rpartition(":")[0],
            dialect=self.dialect,
        )
        self.gateway = gateway.Gateway(
            self.engine, self.dialect, settings.service
        )
        self.callers = self.new_http_server(
            self.gateway,
            http_server.ConnectionLimits(max_body=max_body),
            self.places.callers,
            self.log_truncated_answer,
        )
        self.serve_metrics(settings.metrics)
        if settings.ready:
            self.serve_http(
                settings.ready,
                readiness.Readiness(self.engine),
                http_server.ConnectionLimits(max_body=0),
            )
        self.note(
            common.Note(
                "proxy.started",
                {
                    "host": settings.host,
                    "domain": settings.domain,
                    "callers": self.callers.listen(settings.callers),
                    "admin": self.serve_admin(
                        settings.admin, MAX_ADMIN_BODY_BYTES
                    ),
                    "peers": port,
                    "incarnation": self.engine.node.members.record.incarnation,
                    "retry_ratio": settings.retry_ratio,
                    "retry_slack": settings.retry_slack,
                },
            )
        )

    def reconfigure(self, settings: typing.Any) -> None:
        """Apply changed settings; the ports stay the same."""
        self.settings = settings
        self.engine.reconfigure(settings)
        self.gateway.service = settings.service

    def limit_callers(self, limits: messages.CallerLimits) -> None:
        """Apply the configuration's caller limits; 0 keeps the current one."""
        current = self.callers.limits
        current.max_head = limits.max_head_bytes or current.max_head
        current.max_body = limits.max_body_bytes or current.max_body
        current.receive_timeout_ms = (
            limits.head_timeout_ms or current.receive_timeout_ms
        )
        current.idle_ms = limits.idle_timeout_ms or current.idle_ms

    def after_tick(self) -> None:
        """Check target connections; exit once a shutdown is complete.

        Raises:
            SystemExit: The shutdown is complete.
        """
        self.pools.tick()
        self.health.tick()
        if self.engine.shutdown is not None:
            self._continue_shutdown(self.engine.shutdown)

    def _continue_shutdown(self, shutdown: shutdowns.Shutdown) -> None:
        """Refuse, close and exit when it is time.

        Raises:
            SystemExit: The shutdown is complete.
        """
        if self.system_clock.now_ms() >= shutdown.refuse_ms:
            self.engine.refuse_calls()
            self.callers.close_idle(shutdown.refuse_ms)
        sending = (
            self.callers.has_open_transfers(shutdown.refuse_ms)
            or self.hub.has_unsent_answers()
        )
        if not self.engine.may_exit(sending):
            return
        if self.ending:
            self._exit(clean=self.engine.idle and not sending)
        self.ending = True
        self.engine.answer_operators()
        self.hub.close_answered()

    def _exit(self, *, clean: bool) -> None:
        shutdown = self.engine.shutdown
        waited_ms = self.system_clock.now_ms() - shutdown.began_ms
        self.note(
            common.Note("proxy.left", {"waited_ms": waited_ms, "clean": clean})
        )
        self._log_open_requests()
        raise SystemExit(0)

    def _log_open_requests(self) -> None:
        """Log what this process leaves undone when it exits."""
        request_id_header = self.dialect.request_id.lower()
        notes = self.engine.open_requests()
        for connection in self.callers.connections:
            notes += open_connections.describe(connection, request_id_header)
        for note in notes:
            self.note(note)

    def log_truncated_answer(
        self, connection: exchanges.ServerConnection
    ) -> None:
        """Log an answer that its caller did not receive in full."""
        self.note(
            common.Note(
                "answer.cut",
                {
                    "id": connection.last_request_id,
                    "unsent": connection.stream.unsent,
                    "undelivered": connection.stream.undelivered,
                    "caller_left": connection.stream.eof_received,
                },
                "warning",
            )
        )

    def leave(self) -> None:
        """Start a graceful shutdown.

        Callers continue to send until they learn of it, so requests are still
        accepted for a while. Each answer closes its connection.
        """
        self.engine.leave()
        self.callers.close_after_answers()

    def finish(self, final: calls.Final) -> None:
        """Send a caller its final answer."""
        kind = "own" if final.own else "target"
        self.metrics.count(f"answers.{kind}.{final.status}")
        self.gateway.finish(final)

    def dispatch(self, effect: request_effects.Dispatch) -> None:
        """Run a request on a local target."""
        self.pools.dispatch(effect)

    def abort(self, request_id: int) -> None:
        """Abort a request on a local target."""
        self.pools.abort(request_id)

    def check_target(self, effect: request_effects.CheckTarget) -> None:
        """Check whether a local target accepts connections."""
        self.pools.check(effect.target, effect.port)

    def check_warmup(
        self, effect: request_effects.CheckWarmup, path: str
    ) -> None:
        """Ask a local target for its remaining warm-up time."""
        self.health.ask(effect.target, effect.port, path)


def run(settings: setting_store.ProxySettings) -> None:
    """Run a proxy until it is stopped by a signal."""
    daemon = ProxyDaemon(
        settings.host,
        settings.log_level,
        settings.statsd,
        settings.memory_mb,
        settings.descriptors,
    )
    daemon.start_proxy(settings)
    daemon.tune_gc()
    daemon.run()
