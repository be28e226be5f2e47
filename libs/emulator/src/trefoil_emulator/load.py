"""A load tool: open-loop arrivals over kept-alive connections."""

import asyncio
import dataclasses
import random
import time

CONNECT_TRIES = 2


@dataclasses.dataclass(slots=True)
class Sample:
    """One request's fate.

    Args:
        at_s: When it was due, from the start of the load.
        took_us: Time from when it was due to its whole answer; a request
            held back by the tool itself counts its wait, so a slow system
            can't hide it (coordinated omission).
        status: HTTP status; 0 if the answer never came whole.
        body: Body of the answer.
        headers: Head of the answer.
    """

    at_s: float
    took_us: int
    status: int
    body: bytes = b""
    headers: bytes = b""


@dataclasses.dataclass(slots=True)
class Shape:
    """What is sent.

    Args:
        method: HTTP method.
        path: Path and query.
        headers: Header lines, each ended by CR LF.
        body: Body.
    """

    method: str = "GET"
    path: str = "/"
    headers: str = ""
    body: bytes = b""

    def to_bytes(self) -> bytes:
        """Return the request."""
        head = f"{self.method} {self.path} HTTP/1.1\r\nHost: demo\r\n"
        if self.body:
            head += f"Content-Length: {len(self.body)}\r\n"
        return (head + self.headers + "\r\n").encode() + self.body


class Connections:
    """Kept-alive connections to one address.

    Args:
        address: IP number and port.
    """

    __slots__ = ("host", "port", "idle")

    def __init__(self, address: str) -> None:
        self.host, _, port = address.rpartition(":")
        self.port = int(port)
        self.idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []

    async def ask(
        self, shape: Shape, timeout_s: float
    ) -> tuple[int, bytes, bytes]:
        """Send a request; return status, head and body of the answer."""
        pair = self.idle.pop() if self.idle else None
        if pair is None:
            pair = await asyncio.open_connection(self.host, self.port)
        reader, writer = pair
        try:
            writer.write(shape.to_bytes())
            answer = await asyncio.wait_for(_read(reader, shape), timeout_s)
        except BaseException:
            writer.close()
            raise
        if b"connection: close" in answer[1].lower():
            writer.close()
        else:
            self.idle.append(pair)
        return answer

    def close(self) -> None:
        """Close all connections."""
        for _, writer in self.idle:
            writer.close()
        self.idle = []


async def _read(
    reader: asyncio.StreamReader, shape: Shape
) -> tuple[int, bytes, bytes]:
    head = await reader.readuntil(b"\r\n\r\n")
    status = int(head.split(b" ", 2)[1])
    length = 0
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            length = int(line.partition(b":")[2])
    body = b""
    if length and shape.method != "HEAD":
        body = await reader.readexactly(length)
    return status, head, body


class Load:
    """Sends requests to addresses at a rate, whatever the answers.

    Args:
        addresses: Where; each request goes to one at random.
        rate: Requests a second in all.
        seed: Seeds the arrivals.
        timeout_s: Longest wait for an answer.
    """

    __slots__ = ("pools", "rate", "rng", "timeout_s", "samples")

    def __init__(
        self,
        addresses: list[str],
        rate: float,
        *,
        seed: int = 1,
        timeout_s: float = 5.0,
    ) -> None:
        self.pools = [Connections(address) for address in addresses]
        self.rate = rate
        self.rng = random.Random(seed)
        self.timeout_s = timeout_s
        self.samples: list[Sample] = []

    async def run(self, duration_s: float, shapes: list[Shape]) -> None:
        """Send for a while; samples are collected."""
        start = time.perf_counter()
        due = 0.0
        tasks = set()
        while due < duration_s:
            due += self.rng.expovariate(self.rate)
            pause = start + due - time.perf_counter()
            if pause > 0:
                await asyncio.sleep(pause)
            task = asyncio.create_task(
                self._one(start, due, self.rng.choice(shapes))
            )
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        if tasks:
            await asyncio.wait(tasks, timeout=self.timeout_s)
        for pool in self.pools:
            pool.close()

    async def _one(self, start: float, due: float, shape: Shape) -> None:
        pool = self.rng.choice(self.pools)
        status, head, body = 0, b"", b""
        try:
            status, head, body = await pool.ask(shape, self.timeout_s)
        except (OSError, asyncio.TimeoutError, EOFError, ValueError):
            status = 0
        took_us = int((time.perf_counter() - start - due) * 1e6)
        self.samples.append(Sample(due, took_us, status, body, head))


def quantile_us(samples: list[Sample], quantile: float) -> int:
    """Return a quantile of the latencies in microseconds."""
    ordered = sorted(sample.took_us for sample in samples)
    if not ordered:
        return 0
    at = min(int(quantile * len(ordered)), len(ordered) - 1)
    return ordered[at]
