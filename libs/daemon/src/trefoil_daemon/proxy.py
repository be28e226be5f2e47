"""``trefoilroute-proxy``: the daemon on each target host."""

import random
import typing

from trefoil_model import effects as common
from trefoil_requests import call as calls
from trefoil_requests import effects as request_effects
from trefoil_settings import settings as setting_store
from trefoil_wire import messages

from . import dialect as dialects
from . import gateway
from . import health
from . import http_server
from . import pools
from . import proxy_process
from . import readiness
from . import runtime

MIB = 1024 * 1024
ADMIN_BODY = MIB


class ProxyDaemon(runtime.Runtime):
    """The proxy's runtime."""

    dialect = dialects.DEFAULT

    def start_proxy(self, settings: setting_store.ProxySettings) -> None:
        """Open the ports and build the engine."""
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
        )
        self.pools = pools.TargetPools(
            self.transport,
            self.engine,
            clock,
            ip=settings.admin.rpartition(":")[0],
            max_body=max_body,
            dialect=self.dialect,
        )
        self.health = health.HealthChecks(
            self.transport,
            self.engine,
            ip=settings.admin.rpartition(":")[0],
            dialect=self.dialect,
        )
        self.gateway = gateway.Gateway(
            self.engine, self.dialect, settings.service
        )
        self.callers = http_server.HttpServer(
            self.transport,
            self.gateway,
            clock,
            limits=http_server.SenderLimits(max_body=max_body),
            bad=self.bad_http,
            cut=self.answer_cut,
        )
        self.http_servers = [self.callers]
        self.serve_metrics(settings.metrics)
        if settings.ready:
            self._serve_readiness(settings.ready)
        self.note(
            common.Note(
                "proxy.started",
                {
                    "host": settings.host,
                    "domain": settings.domain,
                    "callers": self.callers.listen(settings.callers),
                    "admin": self.serve_operators(settings.admin, ADMIN_BODY),
                    "peers": port,
                    "incarnation": self.engine.node.members.record.incarnation,
                    "retry_ratio": settings.retry_ratio,
                    "retry_slack": settings.retry_slack,
                },
            )
        )

    def _serve_readiness(self, address: str) -> None:
        server = http_server.HttpServer(
            self.transport,
            readiness.Readiness(self.engine),
            self.system_clock,
            limits=http_server.SenderLimits(max_body=0),
            bad=self.bad_http,
        )
        self.http_servers.append(server)
        server.listen(address)

    def reconfigure(self, settings: typing.Any) -> None:
        """Take changed settings; the ports stay as they are."""
        self.settings = settings
        self.engine.reconfigure(settings)
        self.gateway.service = settings.service

    def limit_callers(self, limits: messages.CallerLimits) -> None:
        """Take the configuration's limits for callers."""
        kept = self.callers.limits
        kept.max_head = limits.max_head_bytes or kept.max_head
        kept.max_body = limits.max_body_bytes or kept.max_body
        kept.head_ms = limits.head_timeout_ms or kept.head_ms
        kept.idle_ms = limits.idle_timeout_ms or kept.idle_ms

    def after_beat(self) -> None:
        """Watch target connections; end a shutdown that is through."""
        self.pools.tick()
        since_ms = self.engine.leaving_since_ms
        if not since_ms:
            return
        waited_ms = self.system_clock.now_ms() - since_ms
        refusing_since_ms = since_ms + self.settings.linger_ms
        if waited_ms >= self.settings.linger_ms:
            self.engine.refuse_calls()
            self.callers.close_idle(refusing_since_ms)
        sending = self.callers.owes(refusing_since_ms) or self.hub.owes()
        if self.engine.may_end(sending):
            self.note(
                common.Note(
                    "proxy.left",
                    {
                        "waited_ms": waited_ms,
                        "clean": self.engine.idle and not sending,
                    },
                )
            )
            raise SystemExit(0)

    def answer_cut(self, connection: http_server.ServerConnection) -> None:
        """Log an answer that its caller did not get whole."""
        self.note(
            common.Note(
                "answer.cut",
                {
                    "id": connection.request_id,
                    "unsent": connection.stream.unsent,
                    "caller_left": connection.stream.ended,
                },
                "warning",
            )
        )

    def leave(self) -> None:
        """Begin a graceful shutdown.

        Callers go on sending until they have heard of it, so requests are
        still taken for a while; each answer closes its connection.
        """
        self.engine.leave()
        self.callers.close_politely()

    def finish(self, final: calls.Final) -> None:
        """Give a caller its final answer."""
        kind = "own" if final.own else "target"
        self.metrics.count(f"answers.{kind}.{final.status}")
        self.gateway.finish(final)

    def dispatch(self, effect: request_effects.Dispatch) -> None:
        """Run a request on a local target."""
        self.pools.dispatch(effect)

    def abort(self, request_id: int) -> None:
        """Stop waiting for a local target."""
        self.pools.abort(request_id)

    def check_target(self, effect: request_effects.CheckTarget) -> None:
        """Find out whether a local target takes connections."""
        self.pools.check(effect.target, effect.port)

    def check_warmup(
        self, effect: request_effects.CheckWarmup, path: str
    ) -> None:
        """Ask a local target how much longer it is cold."""
        self.health.ask(effect.target, effect.port, path)


def run(settings: setting_store.ProxySettings) -> None:
    """Run a proxy until it is told to leave."""
    daemon = ProxyDaemon(settings.host, settings.log_level, settings.statsd)
    daemon.start_proxy(settings)
    daemon.settle()
    daemon.run()
