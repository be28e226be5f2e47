"""An upstream that reports itself to the daemon on its machine."""

import asyncio
import contextlib
import dataclasses
import time
import typing

from . import fleet
from . import wire

HEARTBEAT_S = 1.5
# What an upstream does with a request: its status and its body.
Work = typing.Callable[
    ["Upstream", "Request"], typing.Awaitable[tuple[int, bytes]]
]


@dataclasses.dataclass(slots=True)
class Request:
    """A request that an upstream got."""

    id: str
    method: str
    path: str
    fields: dict[str, str]
    body: bytes


async def answer_at_once(
    upstream: "Upstream", request: Request
) -> tuple[int, bytes]:
    """Answer with a short body."""
    return 200, f"{upstream.id} {request.path}\n".encode()


class Upstream:
    """An upstream on one machine.

    Args:
        deployment: The deployment.
        machine: Its machine.
        service: Its service.
        version: Version of its software.
        id: Its id.
        work: What it does with a request.
        slots: Number of requests that it works on at once.
    """

    def __init__(
        self,
        deployment: fleet.Fleet,
        machine: fleet.Machine,
        *,
        service: str,
        id: str,
        version: str = "v1",
        work: Work = answer_at_once,
        slots: int = 12,
    ) -> None:
        self.fleet = deployment
        self.machine = machine
        self.service = service
        self.version = version
        self.id = id
        self.work = work
        self.slots = slots
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.runs: list[Request] = []
        self.server: asyncio.Server | None = None
        self.beats: asyncio.Task[None] | None = None
        self.tasks: set[asyncio.Task[typing.Any]] = set()

    async def start(self) -> None:
        """Listen and begin to report."""
        self.server = await asyncio.start_server(
            self._serve, *self.fleet.app(self.machine)
        )
        self.beats = asyncio.create_task(self._report_always())

    async def stop(self) -> None:
        """Stop listening and reporting; drop what runs."""
        if self.beats is not None:
            self.beats.cancel()
        if self.server is not None:
            self.server.close()
        for task in list(self.tasks):
            task.cancel()

    async def report(self) -> bool:
        """Send one status report; return whether it was acknowledged."""
        self.sequence += 1
        host, port = self.fleet.app(self.machine)
        response = await wire.call(
            self.fleet.control(self.machine),
            "PUT",
            f"/api/instances/{self.id}",
            {
                "service": self.service,
                "address": f"{host}:{port}",
                "zone": self.machine.zone,
                "version": self.version,
                "slots": self.slots,
                "state": self.state,
                "warmupLeftS": 0,
                "sequence": self.sequence,
                "born": self.born,
            },
        )
        return response is not None and response.status == 200

    async def leave(self) -> bool:
        """Say that it is gone; return whether that was acknowledged."""
        response = await wire.call(
            self.fleet.control(self.machine),
            "DELETE",
            f"/api/instances/{self.id}",
            {"born": self.born},
        )
        return response is not None and response.status == 200

    async def _report_always(self) -> None:
        while True:
            await self.report()
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            with contextlib.suppress(ConnectionError, OSError):
                while await self._serve_one(reader, writer):
                    pass
        except asyncio.CancelledError:
            writer.transport.abort()
        finally:
            self.tasks.discard(task)
            writer.close()

    async def _serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        head = await wire.read_head(reader)
        if head is None:
            return False
        try:
            body = await wire.read_body(reader, head.fields)
        except asyncio.IncompleteReadError:
            return False
        method, path, _ = head.line.split(" ")
        request = Request(
            head.fields.get("request-id", ""), method, path, head.fields, body
        )
        if path == "/health":
            await self._answer(writer, request, 200, b"")
            return True
        expected = head.fields.get("target-instance", self.id)
        if expected != self.id:
            await self._answer(writer, request, 421, b"")
            return True
        self.runs.append(request)
        status, content = await self.work(self, request)
        await self._answer(writer, request, status, content)
        return True

    async def _answer(
        self,
        writer: asyncio.StreamWriter,
        request: Request,
        status: int,
        body: bytes,
    ) -> None:
        signature = f"{self.id}.{request.id}.{len(body)}"
        head = (
            f"HTTP/1.1 {status} Done\r\n"
            f"Request-Id: {request.id}\r\n"
            f"Instance-Id: {self.id}\r\n"
            f"Response-Signature: {signature}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        writer.write(head.encode() + body)
        await writer.drain()
