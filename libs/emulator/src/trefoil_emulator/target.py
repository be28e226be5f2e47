"""A stand-in target: an HTTP server that announces itself to its proxy."""

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
from trefoil_daemon import http_server
from trefoil_daemon import transport as transports
from trefoil_model import clock as clocks

from . import behaviour as behaviours

BEHAVE_PATH = "/-/behave"
STATS_PATH = "/-/stats"
HEALTH_PATH = "/-/health"
ANNOUNCE_MS = 700
TICK_S = 0.002
MAX_BODY = 16 * 1024 * 1024
RUNS_KEPT = 100_000


class beat(circuits.Event):
    """Time passes."""


class Target(circuits.BaseComponent):
    """One stand-in target.

    Args:
        options: What it is and where it announces itself.
    """

    channel = "target"

    def init(self, options: dict[str, typing.Any]) -> None:
        """Open the port."""
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
            limits=http_server.ConnectionLimits(max_body=MAX_BODY),
            malformed=lambda why: None,
        )
        self.port = self.server.listen(f"{options['ip']}:{options['port']}")
        self.started_ms = self.clock.now_ms()
        self.announce_at_ms = 0
        self.state = "cold" if self.behaviour.cold_ms else "ready"
        self.under_way: dict[int, http_server.ServerConnection] = {}
        self.due: list[tuple[int, int, int]] = []
        self.numbers = itertools.count(1)
        self.free_us: list[int] = []
        self.runs: dict[str, int] = {}
        self.served = 0
        self.cancelled = 0
        circuits.Timer(
            options.get("tick_s", TICK_S), beat(), self.channel, persist=True
        ).register(self)

    @property
    def age_s(self) -> float:
        """Return the time since the start in seconds."""
        return (self.clock.now_ms() - self.started_ms) / 1000

    # Requests

    def handle_request(
        self,
        connection: http_server.ServerConnection,
        message: _http.Message,
    ) -> None:
        """Take a request."""
        if message.path.startswith("/-/"):
            self._control(connection, message)
            return
        word = self.behaviour.crash_word
        if word and word.encode() in message.body:
            os._exit(1)
        if self.behaviour.shed:
            connection.answer(
                503, "Service Unavailable", b"X-Trefoil-Not-Run: 1\r\n"
            )
            return
        key = message.field(b"x-request-name")
        if key and len(self.runs) < RUNS_KEPT:
            self.runs[key] = self.runs.get(key, 0) + 1
            self._keep_run(key)
        number = next(self.numbers)
        self.under_way[number] = connection
        if self.behaviour.hang:
            return
        took_ms = self.behaviour.time_ms(
            message.path, self.age_s, len(self.under_way), self.rng
        )
        if took_ms < 1:
            self._finish(number)
            return
        due_us = self._begin_us() + int(took_ms * 1000)
        if self.behaviour.workers:
            heapq.heapreplace(self.free_us, due_us)
        heapq.heappush(self.due, (due_us, number, 0))

    def _keep_run(self, key: str) -> None:
        """Write down that a request runs, for after this process's death."""
        path = self.options.get("runs_file")
        if path:
            with open(path, "a", encoding="utf-8") as runs:
                runs.write(f"{key}\n")

    def _begin_us(self) -> int:
        """Return when a worker is free for the next request."""
        now_us = self.clock.now_us()
        workers = self.behaviour.workers
        if not workers:
            return now_us
        if len(self.free_us) != workers:
            self.free_us = [now_us] * workers
        return max(now_us, self.free_us[0])

    def on_disconnect(self, connection: http_server.ServerConnection) -> None:
        """Note a request that its proxy cancelled."""
        for number, running in list(self.under_way.items()):
            if running is connection:
                del self.under_way[number]
                self.cancelled += 1

    def _finish(self, number: int) -> None:
        connection = self.under_way.pop(number, None)
        if connection is None or connection.request is None:
            return
        request = connection.request
        status = self.behaviour.status(
            request.path, self.age_s, len(self.under_way) + 1, self.rng
        )
        self.served += 1
        body = json.dumps(
            {
                "target": self.options["name"],
                "version": self.options["version"],
                "path": request.path,
                "echo": request.body.decode("latin-1")[:200],
            }
        ).encode()
        kind = b"Content-Type: application/json\r\n"
        connection.answer(status, "OK", kind, body)

    def _control(
        self,
        connection: http_server.ServerConnection,
        message: _http.Message,
    ) -> None:
        if message.path == BEHAVE_PATH and message.method == "PUT":
            self.behaviour = behaviours.Behaviour.from_json(
                message.body.decode()
            )
            self.started_ms = self.clock.now_ms()
            connection.answer(200, "OK")
        elif message.path == STATS_PATH:
            body = json.dumps(
                {
                    "served": self.served,
                    "running": len(self.under_way),
                    "cancelled": self.cancelled,
                    "runs": self.runs,
                }
            ).encode()
            connection.answer(200, "OK", b"", body)
        elif message.path == HEALTH_PATH:
            sound = self.behaviour.lie or not self.behaviour.hang
            connection.answer(200 if sound else 500, "OK")
        else:
            connection.answer(404, "Not Found")

    # Time

    @handlers.handler("beat")
    def _on_tick(self) -> None:
        now_us = self.clock.now_us()
        while self.due and self.due[0][0] <= now_us:
            self._finish(heapq.heappop(self.due)[1])
        now_ms = self.clock.now_ms()
        if now_ms >= self.announce_at_ms:
            self.announce_at_ms = now_ms + ANNOUNCE_MS
            cold = self.age_s * 1000 < self.behaviour.cold_ms
            self.state = "cold" if cold else "ready"
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
        data = _http.request_bytes(
            "PUT",
            path,
            b"Host: proxy\r\nConnection: close\r\n",
            body,
        )
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
    """Run a stand-in target.

    Args:
        name: Its name on its host.
        service: The service that it belongs to.
        version: Its version.
        proxy: Address of its proxy's interface for targets.
        ip: Address of its host.
        port: Where it takes requests; 0 lets the kernel choose.
        slots: Requests that it runs at once.
        resources: Names of what it holds, separated by commas.
        behave: Its behaviour as JSON.
        seed: Seeds its random generator.
        tick_s: How exactly it keeps its delays, in seconds.
        announced_port: Port that it tells its proxy, where a relay stands
            before it; 0 for its own.
        runs_file: File that lists the requests that ran; empty for none.
    """
    listed = isinstance(resources, (list, tuple))
    held = resources if listed else str(resources).split(",")
    options = {
        "name": str(name),
        "service": str(service),
        "version": str(version),
        "proxy": proxy,
        "ip": ip,
        "port": port,
        "slots": slots,
        "resources": [str(word) for word in held if word],
        "behave": behave if isinstance(behave, str) else json.dumps(behave),
        "seed": seed,
        "tick_s": tick_s,
        "announced_port": announced_port,
        "runs_file": runs_file,
    }
    Target(options).run()


if __name__ == "__main__":
    fire.Fire(run)
