"""Callers of the soak: reads and payments, with what became of each."""

import asyncio
import dataclasses
import json
import random
import threading
import time

from trefoil_emulator import load

from . import deployment as deployments

# Some hundred calls a second: each fault meets calls under way, and the
# processes' own work stays far below one core each.
CALLERS = 8
PAUSE_S = 0.05
# Three times the routes' time limit; what takes longer got no answer.
ANSWER_S = 6.0
TRIES = 3
PAYMENTS_SHARE = 0.4
# A key counts for ten minutes from the time that it starts with.
KEY_AHEAD_MS = 20_000
OK = 200
# These promise that the request did not run and never will.
NOT_RUN = (408, 421, 429, 503)


@dataclasses.dataclass(slots=True)
class Attempt:
    """One request and its fate.

    Args:
        name: Its own name, which targets write down when they run it.
        payment: The payment that it is a try of; empty for reads.
        host: The proxy that it was sent to.
        sent_s: When, on the steady clock.
        ended_s: When its answer came or it was given up.
        status: HTTP status; 0 for none.
        own: Whether the answer's body is that of this request.
    """

    name: str
    payment: str
    host: str
    sent_s: float
    ended_s: float = 0.0
    status: int = 0
    own: bool = True


class Callers:
    """Callers that keep their connections, on a thread of their own.

    Args:
        deployment: What they call.
        seed: Seeds what they do.
    """

    __slots__ = ("pools", "rng", "attempts", "until_s", "numbers", "thread")

    def __init__(self, deployment: deployments.Deployment, seed: int) -> None:
        self.pools = {
            host: load.ConnectionPool(deployment.caller_address(host))
            for host in deployments.HOSTS
        }
        self.rng = random.Random(seed)
        self.attempts: list[Attempt] = []
        self.until_s = 0.0
        self.numbers = 0
        self.thread = threading.Thread(target=self._run)

    def start(self, lasts_s: float) -> None:
        """Call for a while."""
        self.until_s = time.monotonic() + lasts_s
        self.thread.start()

    def join(self) -> None:
        """Wait until the last answer."""
        self.thread.join()

    def _run(self) -> None:
        asyncio.run(self._call_all())

    async def _call_all(self) -> None:
        await asyncio.gather(*(self._call() for _ in range(CALLERS)))
        for pool in self.pools.values():
            pool.close()

    async def _call(self) -> None:
        while time.monotonic() < self.until_s:
            if self.rng.random() < PAYMENTS_SHARE:
                await self._pay()
            else:
                await self._read()
            await asyncio.sleep(self.rng.uniform(0, 2 * PAUSE_S))

    def _next_name(self, kind: str) -> str:
        self.numbers += 1
        return f"{kind}{self.numbers}"

    async def _read(self) -> None:
        name = self._next_name("read")
        await self._ask(name, "", load.RequestTemplate(path=f"/slots/{name}"))

    async def _pay(self) -> None:
        payment = self._next_name("pay")
        key = f"{int(time.time() * 1000) + KEY_AHEAD_MS}-{payment}"
        for number in range(TRIES):
            name = f"{payment}.{number}"
            headers = f"Idempotency-Key: {key}\r\nX-Request-Name: {name}\r\n"
            shape = load.RequestTemplate(
                "POST", "/deposits", headers, payment.encode()
            )
            found = await self._ask(name, payment, shape)
            if found.status == OK:
                return
            await asyncio.sleep(0.2)

    async def _ask(
        self, name: str, payment: str, shape: load.RequestTemplate
    ) -> Attempt:
        host = self.rng.choice(list(self.pools))
        made = Attempt(name, payment, host, time.monotonic())
        self.attempts.append(made)
        try:
            made.status, _, body = await self.pools[host].send(shape, ANSWER_S)
            if made.status == OK:
                made.own = _is_own(body, shape)
        except (OSError, asyncio.TimeoutError, EOFError, ValueError):
            # No whole answer: the request may have run.
            made.status = 0
        made.ended_s = time.monotonic()
        return made


def _is_own(body: bytes, shape: load.RequestTemplate) -> bool:
    try:
        found = json.loads(body)
    except ValueError:
        return False
    return (found["path"], found["echo"]) == (shape.path, shape.body.decode())
