"""``trefoilroute-proxy``: the daemon on each target host."""

import random

from trefoil_model import effects as common
from trefoil_requests import call as calls
from trefoil_requests import effects as request_effects
from trefoil_settings import settings as setting_store

from . import gateway
from . import http_server
from . import pools
from . import proxy_process
from . import runtime

MIB = 1024 * 1024
ADMIN_BODY = MIB


class ProxyDaemon(runtime.Runtime):
    """The proxy's runtime."""

    def start_proxy(self, settings: setting_store.ProxySettings) -> None:
        """Open the ports and build the engine."""
        self.settings = settings
        clock = self.system_clock
        max_body = settings.max_body_mib * MIB
        port = self.hub.listen(settings.peers)
        host = settings.peers.rpartition(":")[0]
        self.engine = proxy_process.ProxyProcess(
            settings,
            peers_address=f"{host}:{port}",
            carrier=self,
            clock=clock,
            rng=random.Random(),
        )
        self.pools = pools.TargetPools(
            self.transport,
            self.engine,
            clock,
            ip=settings.admin.rpartition(":")[0],
            max_body=max_body,
        )
        self.gateway = gateway.Gateway(self.engine)
        callers = http_server.HttpServer(
            self.transport,
            self.gateway,
            clock,
            max_body=max_body,
            bad=self.bad_http,
        )
        self.http_servers = [callers]
        self.note(
            common.Note(
                "proxy.started",
                {
                    "domain": settings.domain,
                    "callers": callers.listen(settings.callers),
                    "admin": self.serve_operators(settings.admin, ADMIN_BODY),
                    "peers": port,
                },
            )
        )

    def after_beat(self) -> None:
        """Watch target connections; end a shutdown that is through."""
        self.pools.tick()
        since_ms = self.engine.leaving_since_ms
        if not since_ms:
            return
        waited_ms = self.system_clock.now_ms() - since_ms
        linger = proxy_process.LINGER_MS
        done = self.engine.idle and waited_ms >= linger
        if done or waited_ms >= self.settings.grace_ms:
            self.note(
                common.Note(
                    "proxy.left",
                    {"waited_ms": waited_ms, "clean": self.engine.idle},
                )
            )
            raise SystemExit(0)

    def leave(self) -> None:
        """Begin a graceful shutdown."""
        self.engine.leave()
        self.http_servers[0].close_idle()

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


def run(settings: setting_store.ProxySettings) -> None:
    """Run a proxy until it is told to leave."""
    daemon = ProxyDaemon(settings.host, settings.log_level, settings.statsd)
    daemon.start_proxy(settings)
    daemon.settle()
    daemon.run()
