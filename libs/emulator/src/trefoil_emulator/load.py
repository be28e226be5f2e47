"""Open-loop load generator over persistent connections."""

import asyncio
import dataclasses
import random
import time

CONNECT_TRIES = 2


@dataclasses.dataclass(slots=True)
class Sample:
    """Outcome of one request.

    Args:
        due_s: Scheduled time, from the start of the load.
        latency_us: Time from the scheduled time to the complete answer. It
            includes delays of the load generator itself, which avoids
            coordinated omission.
        status: HTTP status; 0 without a complete answer.
        body: Body of the answer.
        headers: Status line and headers of the answer.
    """

    due_s: float
    latency_us: int
    status: int
    body: bytes = b""
    headers: bytes = b""


@dataclasses.dataclass(slots=True)
class RequestTemplate:
    """Request that the load generator sends.

    Args:
        method: HTTP method.
        path: Path and query.
        headers: Header lines, each terminated by CR LF.
        body: Body of the request.
    """

    method: str = "GET"
    path: str = "/"
    headers: str = ""
    body: bytes = b""

    def to_bytes(self) -> bytes:
        """Return the encoded request."""
        head = f"{self.method} {self.path} HTTP/1.1\r\nHost: demo\r\n"
        if self.body:
            head += f"Content-Length: {len(self.body)}\r\n"
        return (head + self.headers + "\r\n").encode() + self.body


class ConnectionPool:
    """Pool of persistent connections to one address.

    Args:
        address: IP address and port, separated by a colon.
    """

    __slots__ = ("host", "port", "idle")

    def __init__(self, address: str) -> None:
        self.host, _, port = address.rpartition(":")
        self.port = int(port)
        self.idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []

    async def send(
        self, template: RequestTemplate, timeout_s: float
    ) -> tuple[int, bytes, bytes]:
        """Send a request on an idle or a new connection.

        Args:
            template: The request.
            timeout_s: Longest wait for the answer.

        Returns:
            Status, head and body of the answer.

        Raises:
            OSError: The connection failed.
            TimeoutError: The answer was not complete in time.
            EOFError: The connection closed before the answer was complete.
            ValueError: The answer is malformed.
        """
        pair = self.idle.pop() if self.idle else None
        if pair is None:
            pair = await asyncio.open_connection(self.host, self.port)
        reader, writer = pair
        try:
            writer.write(template.to_bytes())
            answer = await asyncio.wait_for(_read(reader, template), timeout_s)
        except BaseException:
            writer.close()
            raise
        if b"connection: close" in answer[1].lower():
            writer.close()
        else:
            self.idle.append(pair)
        return answer

    def close(self) -> None:
        """Close all idle connections."""
        for _, writer in self.idle:
            writer.close()
        self.idle = []


async def _read(
    reader: asyncio.StreamReader, template: RequestTemplate
) -> tuple[int, bytes, bytes]:
    head = await reader.readuntil(b"\r\n\r\n")
    status = int(head.split(b" ", 2)[1])
    length = 0
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            length = int(line.partition(b":")[2])
    body = b""
    if length and template.method != "HEAD":
        body = await reader.readexactly(length)
    return status, head, body


class Load:
    """Sends requests at a given rate, independent of the answers.

    Args:
        addresses: Addresses; each request goes to a random one.
        rate: Requests per second to all addresses together.
        seed: Seed of the random generator.
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
        self.pools = [ConnectionPool(address) for address in addresses]
        self.rate = rate
        self.rng = random.Random(seed)
        self.timeout_s = timeout_s
        self.samples: list[Sample] = []

    async def run(
        self, duration_s: float, templates: list[RequestTemplate]
    ) -> None:
        """Send requests for some time and collect their samples.

        Args:
            duration_s: How long requests are sent.
            templates: Requests; each arrival sends a random one.
        """
        start_s = time.perf_counter()
        due_s = 0.0
        tasks = set()
        while due_s < duration_s:
            due_s += self.rng.expovariate(self.rate)
            wait_s = start_s + due_s - time.perf_counter()
            if wait_s > 0:
                await asyncio.sleep(wait_s)
            task = asyncio.create_task(
                self._send_one(start_s, due_s, self.rng.choice(templates))
            )
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        if tasks:
            await asyncio.wait(tasks, timeout=self.timeout_s)
        for pool in self.pools:
            pool.close()

    async def _send_one(
        self, start_s: float, due_s: float, template: RequestTemplate
    ) -> None:
        pool = self.rng.choice(self.pools)
        status, head, body = 0, b"", b""
        try:
            status, head, body = await pool.send(template, self.timeout_s)
        except (OSError, asyncio.TimeoutError, EOFError, ValueError):
            status = 0
        latency_us = int((time.perf_counter() - start_s - due_s) * 1e6)
        self.samples.append(Sample(due_s, latency_us, status, body, head))


def quantile_us(samples: list[Sample], quantile: float) -> int:
    """Return a quantile of the latencies in microseconds; 0 if empty."""
    ordered = sorted(sample.latency_us for sample in samples)
    if not ordered:
        return 0
    index = min(int(quantile * len(ordered)), len(ordered) - 1)
    return ordered[index]
