"""Callers of the soak: send reads and payments and record each outcome."""

import asyncio
import dataclasses
import json
import random
import threading
import time

from trefoil_emulator import load

from . import deployment as deployments

# About a hundred calls a second: calls are in flight at each fault, and each
# process uses far less than one core.
CALLER_COUNT = 8
MEAN_PAUSE_S = 0.05
# Three times the routes' timeout; a later answer counts as none.
ANSWER_TIMEOUT_S = 6.0
MAX_ATTEMPTS = 3
PAYMENT_SHARE = 0.4
# A key is valid for ten minutes from the timestamp that it begins with.
KEY_AHEAD_MS = 20_000
OK = 200
# Statuses that guarantee that the request did not run and never will.
NOT_RUN_STATUSES = (408, 421, 429, 503)


@dataclasses.dataclass(slots=True)
class Attempt:
    """One request and its outcome.

    Args:
        name: Unique name, which targets record when they run the request.
        payment: The payment that it is an attempt of; empty for reads.
        host: The proxy that it was sent to.
        sent_s: When it was sent, in seconds of the monotonic clock.
        ended_s: When it was answered, failed or timed out, likewise.
        status: HTTP status; 0 without a complete answer.
        body_matches: Whether the answer's body belongs to this request.
    """

    name: str
    payment: str
    host: str
    sent_s: float
    ended_s: float = 0.0
    status: int = 0
    body_matches: bool = True


class Callers:
    """Callers with persistent connections, run on a separate thread.

    Args:
        deployment: The deployment to call.
        seed: Seeds the choice of requests, proxies and pauses.
    """

    __slots__ = (
        "connections",
        "rng",
        "attempts",
        "stop_at_s",
        "request_count",
        "thread",
    )

    def __init__(self, deployment: deployments.Deployment, seed: int) -> None:
        self.connections = {
            host: load.ConnectionPool(deployment.caller_address(host))
            for host in deployments.HOSTS
        }
        self.rng = random.Random(seed)
        self.attempts: list[Attempt] = []
        self.stop_at_s = 0.0
        self.request_count = 0
        self.thread = threading.Thread(target=self._run)

    def start(self, duration_s: float) -> None:
        """Start the calls, which end after a number of seconds."""
        self.stop_at_s = time.monotonic() + duration_s
        self.thread.start()

    def join(self) -> None:
        """Wait until every call has ended."""
        self.thread.join()

    def _run(self) -> None:
        asyncio.run(self._call_all())

    async def _call_all(self) -> None:
        await asyncio.gather(*(self._call() for _ in range(CALLER_COUNT)))
        for connection_pool in self.connections.values():
            connection_pool.close()

    async def _call(self) -> None:
        while time.monotonic() < self.stop_at_s:
            if self.rng.random() < PAYMENT_SHARE:
                await self._pay()
            else:
                await self._read()
            await asyncio.sleep(self.rng.uniform(0, 2 * MEAN_PAUSE_S))

    def _next_name(self, kind: str) -> str:
        self.request_count += 1
        return f"{kind}{self.request_count}"

    async def _read(self) -> None:
        name = self._next_name("read")
        await self._send(name, "", load.RequestTemplate(path=f"/slots/{name}"))

    async def _pay(self) -> None:
        payment = self._next_name("pay")
        key = f"{int(time.time() * 1000) + KEY_AHEAD_MS}-{payment}"
        for number in range(MAX_ATTEMPTS):
            name = f"{payment}.{number}"
            headers = f"Idempotency-Key: {key}\r\nX-Request-Name: {name}\r\n"
            shape = load.RequestTemplate(
                "POST", "/deposits", headers, payment.encode()
            )
            attempt = await self._send(name, payment, shape)
            if attempt.status == OK:
                return
            await asyncio.sleep(0.2)

    async def _send(
        self, name: str, payment: str, shape: load.RequestTemplate
    ) -> Attempt:
        host = self.rng.choice(list(self.connections))
        attempt = Attempt(name, payment, host, time.monotonic())
        self.attempts.append(attempt)
        try:
            attempt.status, _, body = await self.connections[host].send(
                shape, ANSWER_TIMEOUT_S
            )
            if attempt.status == OK:
                attempt.body_matches = _echoes_request(body, shape)
        except (OSError, asyncio.TimeoutError, EOFError, ValueError):
            # No complete answer: the request may have run.
            attempt.status = 0
        attempt.ended_s = time.monotonic()
        return attempt


def _echoes_request(body: bytes, shape: load.RequestTemplate) -> bool:
    try:
        answer = json.loads(body)
    except ValueError:
        return False
    return (answer["path"], answer["echo"]) == (
        shape.path,
        shape.body.decode(),
    )
