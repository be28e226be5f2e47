"""Emulated target: an HTTP server that announces itself to its proxy."""

import heapq
import itertools
import json
import os
import random
import typing

import circuits
from circuits.core import handlers
import fire

from trefoil_daemon import _http
from trefoil_daemon import exchanges
from trefoil_daemon import http_server
from trefoil_daemon import transport as transports
from trefoil_model import clock as clocks

from . import behaviour as behaviours

BEHAVE_PATH = "/-/behave"
STATS_PATH = "/-/stats"
HEALTH_PATH = "/-/health"
ANNOUNCE_INTERVAL_MS = 700
TICK_S = 0.002
MAX_BODY_BYTES = 16 * 1024 * 1024
MAX_RUN_KEYS = 100_000


class beat(circuits.Event):
    """Periodic timer event."""


class Target(circuits.BaseComponent):
    """Emulated target.

    Args:
        options: Its options, as built by ``run``.
    """

    channel = "target"

    def init(self, options: dict[str, typing.Any]) -> None:
        """Listen and start the timer."""
        self.options = options
        self.clock = clocks.SystemClock()
        self.rng = random.Random(options.get("seed"))
        self.behaviour = behaviours.Behaviour.from_json(
            options.get("behave", "")
        )
        self.poller = transports.DirectPoller().register(self)
        self.transport = transports.Transport(self.poller).register(self)
        self.server = http_server.HttpServer(
            self.transport,
            self,
            self.clock,
            limits=http_server.ConnectionLimits(max_body=MAX_BODY_BYTES),
            malformed=lambda why: None,
        )
        self.port = self.server.listen(f"{options['ip']}:{options['port']}")
        self.started_ms = self.clock.now_ms()
        self.announce_at_ms = 0
        self.state = "cold" if self.behaviour.cold_ms else "ready"
        self.in_flight: dict[int, exchanges.Exchange] = {}
        self.due: list[tuple[int, int, int]] = []
        self.numbers = itertools.count(1)
        self.worker_free_us: list[int] = []
        self.runs: dict[str, int] = {}
        self.served = 0
        self.cancelled = 0
        circuits.Timer(
            options.get("tick_s", TICK_S), beat(), self.channel, persist=True
        ).register(self)

    @property
    def age_s(self) -> float:
        """Return the seconds since the start or the last new behaviour."""
        return (self.clock.now_ms() - self.started_ms) / 1000

    # Requests

    def handle_request(
        self,
        exchange: exchanges.Exchange,
        message: _http.Message,
    ) -> None:
        """Handle a request."""
        if message.path.startswith("/-/"):
            self._control(exchange, message)
            return
        crash_word = self.behaviour.crash_word
        if crash_word and crash_word.encode() in message.body:
            os._exit(1)
        if self.behaviour.shed:
            exchange.answer(
                503, "Service Unavailable", b"X-Trefoil-Not-Run: 1\r\n"
            )
            return
        key = message.field(b"x-request-name")
        if key and len(self.runs) < MAX_RUN_KEYS:
            self.runs[key] = self.runs.get(key, 0) + 1
            self._append_run(key)
        number = next(self.numbers)
        self.in_flight[number] = exchange
        if self.behaviour.hang:
            return
        duration_ms = self.behaviour.duration_ms(
            message.path, self.age_s, len(self.in_flight), self.rng
        )
        if duration_ms < 1:
            self._finish(number)
            return
        due_us = self._start_us() + int(duration_ms * 1000)
        if self.behaviour.workers:
            heapq.heapreplace(self.worker_free_us, due_us)
        heapq.heappush(self.due, (due_us, number, 0))

    def _append_run(self, key: str) -> None:
        """Append a run to the file, so that it survives a crash."""
        path = self.options.get("runs_file")
        if path:
            with open(path, "a", encoding="utf-8") as runs:
                runs.write(f"{key}\n")

    def _start_us(self) -> int:
        """Return when a worker can start the next request."""
        now_us = self.clock.now_us()
        workers = self.behaviour.workers
        if not workers:
            return now_us
        if len(self.worker_free_us) != workers:
            self.worker_free_us = [now_us] * workers
        return max(now_us, self.worker_free_us[0])

    def may_overlap(self, message: _http.Message) -> bool:
        """Return False: requests are handled one after the other."""
        return False

    def on_disconnect(self, exchange: exchanges.Exchange) -> None:
        """Count the request of a closed connection as cancelled."""
        for number, running in list(self.in_flight.items()):
            if running is exchange:
                del self.in_flight[number]
                self.cancelled += 1

    def _finish(self, number: int) -> None:
        exchange = self.in_flight.pop(number, None)
        if exchange is None or not exchange.is_open:
            return
        request = exchange.request
        status = self.behaviour.status(
            request.path, self.age_s, len(self.in_flight) + 1, self.rng
        )
        self.served += 1
        content = {
            "target": self.options["name"],
            "version": self.options["version"],
            "path": request.path,
            "echo": request.body.decode("latin-1")[:200],
        }
        if self.behaviour.padding_bytes:
            content["padding"] = "x" * self.behaviour.padding_bytes
        body = json.dumps(content).encode()
        headers = b"Content-Type: application/json\r\n"
        headers += self.behaviour.headers()
        exchange.answer(status, "OK", headers, body)

    def _control(
        self,
        exchange: exchanges.Exchange,
        message: _http.Message,
    ) -> None:
        if message.path == BEHAVE_PATH and message.method == "PUT":
            self.behaviour = behaviours.Behaviour.from_json(
                message.body.decode()
            )
            self.started_ms = self.clock.now_ms()
            exchange.answer(200, "OK")
        elif message.path == STATS_PATH:
            body = json.dumps(
                {
                    "served": self.served,
                    "running": len(self.in_flight),
                    "cancelled": self.cancelled,
                    "runs": self.runs,
                }
            ).encode()
            exchange.answer(200, "OK", b"", body)
        elif message.path == HEALTH_PATH:
            is_healthy = self.behaviour.lie or not self.behaviour.hang
            exchange.answer(200 if is_healthy else 500, "OK")
        else:
            exchange.answer(404, "Not Found")

    # Time

    @handlers.handler("beat")
    def _on_tick(self) -> None:
        now_us = self.clock.now_us()
        self.transport.lingering.tick(now_us // 1000)
        while self.due and self.due[0][0] <= now_us:
            self._finish(heapq.heappop(self.due)[1])
        now_ms = self.clock.now_ms()
        if now_ms >= self.announce_at_ms:
            self.announce_at_ms = now_ms + ANNOUNCE_INTERVAL_MS
            is_cold = self.age_s * 1000 < self.behaviour.cold_ms
            self.state = "cold" if is_cold else "ready"
            self._announce()

    def _announce(self) -> None:
        proxy = self.options.get("proxy")
        if not proxy:
            return
        body = json.dumps(
            {
                "service": self.options["service"],
                "version": self.options["version"],
                "resources": self.options["resources"],
                "slots": self.options["slots"],
                "port": self.options.get("announced_port") or self.port,
                "state": self.state,
            }
        ).encode()
        path = f"/v1/targets/{self.options['name']}"
        parts = _http.request_parts(
            "PUT",
            path,
            b"Host: proxy\r\nConnection: close\r\n",
            body,
        )
        data = b"".join(parts)
        stream = self.transport.connect(proxy, lambda s: s.write(data))
        stream.on_data = lambda s, received: s.close()


def run(
    name: str,
    service: str,
    version: str,
    proxy: str = "",
    ip: str = "127.0.0.1",
    port: int = 0,
    slots: int = 12,
    resources: str = "",
    behave: str = "",
    seed: int = 0,
    tick_s: float = TICK_S,
    announced_port: int = 0,
    runs_file: str = "",
) -> None:
    """Run an emulated target.

    Args:
        name: Name of the target, unique on its host.
        service: Service that it belongs to.
        version: Its version.
        proxy: Address of its proxy's admin listener; empty to announce
            nothing.
        ip: IP address to listen on.
        port: Port to listen on; 0 lets the kernel choose.
        slots: Requests that it can run concurrently.
        resources: Names of the resources that it holds, separated by
            commas.
        behave: Its behaviour as JSON.
        seed: Seed of its random generator.
        tick_s: Resolution of its delays in seconds.
        announced_port: Port to announce if a relay forwards to the target;
            0 for its own.
        runs_file: File to which the names of executed requests are
            appended; empty for none.
    """
    is_list = isinstance(resources, (list, tuple))
    resource_names = resources if is_list else str(resources).split(",")
    options = {
        "name": str(name),
        "service": str(service),
        "version": str(version),
        "proxy": proxy,
        "ip": ip,
        "port": port,
        "slots": slots,
        "resources": [
            str(resource) for resource in resource_names if resource
        ],
        "behave": behave if isinstance(behave, str) else json.dumps(behave),
        "seed": seed,
        "tick_s": tick_s,
        "announced_port": announced_port,
        "runs_file": runs_file,
    }
    Target(options).run()


if __name__ == "__main__":
    fire.Fire(run)
