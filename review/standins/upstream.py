"""An application upstream of the platform."""

import asyncio
import time
import typing

from . import http
from . import record as records

HEARTBEAT_S = 1.5
QUEUE_PER_SLOT = 4
# Additional bytes of a faulty upstream; none of them bear a ``Request-Id``.
STRAY_SUCCESS = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray"
STRAY_REFUSAL = (
    b"HTTP/1.1 400 Bad Request\r\nNot-Executed: 1\r\n"
    b"Content-Length: 0\r\n\r\n"
)
STRAY_DELAY_S = 0.04


class Upstream:
    """An upstream with its status reports.

    Args:
        name: Its ``id``.
        service: Its service.
        address: Where it takes requests.
        control: Control address of its machine.
        zone: Zone of its machine.
        record: Where it writes what arrives.
        version: Version of its software.
        work_s: How long a request runs.
        slots: How many run at the same time.
        body: Body of its answers.
    """

    def __init__(
        self,
        name: str,
        service: str,
        address: tuple[str, int],
        control: tuple[str, int],
        zone: str,
        record: records.Record,
        *,
        version: str = "v1",
        work_s: float = 0.02,
        slots: int = 12,
        body: bytes = b"whole",
    ) -> None:
        self.name = name
        self.service = service
        self.address = address
        self.control = control
        self.zone = zone
        self.record = record
        self.version = version
        self.work_s = work_s
        self.slots = slots
        self.body = body
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.waiting = 0
        self.runs: list[tuple[float, str]] = []
        self.slot = asyncio.Semaphore(slots)
        self.server: asyncio.Server | None = None
        self.beats: asyncio.Task[None] | None = None
        self.work_by_path: dict[str, float] = {}
        self.stray = b""
        self.stray_every = 1
        self.answers = 0

    def add_strays(self, stray: bytes, every: int) -> None:
        """Send additional bytes after one complete answer in so many."""
        self.stray = stray
        self.stray_every = every

    async def start(self) -> None:
        """Take requests and send status reports."""
        self.server = await asyncio.start_server(self._serve, *self.address)
        self.beats = asyncio.create_task(self._report_regularly())

    # Status reports

    def report(self) -> dict[str, typing.Any]:
        """Return the next status report."""
        self.sequence += 1
        return {
            "service": self.service,
            "address": f"{self.address[0]}:{self.address[1]}",
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": "ready",
            "warmupLeftS": 0,
            "sequence": self.sequence,
            "born": self.born,
        }

    async def send_report(self, report: dict[str, typing.Any]) -> bool:
        """Send a status report; return whether it was acknowledged."""
        answer = await http.call_json(
            self.control, "PUT", f"/api/instances/{self.name}", report
        )
        return answer is not None and answer.status // 100 == 2

    async def _report_regularly(self) -> None:
        while True:
            await self.send_report(self.report())
            await asyncio.sleep(HEARTBEAT_S)

    # Requests

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                start, fields = await http.read_head(reader)
                length = int(fields.get("content-length", "0"))
                await reader.readexactly(length)
                writer.write(await self._answer(start, fields))
                await writer.drain()
                self.answers += 1
                if self.stray and self.answers % self.stray_every == 0:
                    asyncio.create_task(self._send_stray(writer))
        except (
            http.BrokenAnswer,
            asyncio.CancelledError,
            asyncio.IncompleteReadError,
            ConnectionError,
        ):
            # The connection or the run of the case has ended.
            pass
        finally:
            writer.close()

    async def _send_stray(self, writer: asyncio.StreamWriter) -> None:
        """Send additional bytes after a complete answer, a little late."""
        await asyncio.sleep(STRAY_DELAY_S)
        if not writer.is_closing():
            writer.write(self.stray)
            self.record.write("stray", at=self.name)

    async def _answer(self, start: str, fields: dict[str, str]) -> bytes:
        path = start.split(" ")[1]
        if path == "/health":
            return self._render("200 OK", {"Instance-Id": self.name}, b"")
        request_id = fields.get("request-id", "")
        if not request_id:
            return self._not_run("400 Bad Request", request_id)
        if fields.get("target-instance", self.name) != self.name:
            return self._not_run("421 Misdirected Request", request_id)
        self.record.write("arrived", id=request_id, at=self.name)
        if self.waiting >= QUEUE_PER_SLOT * self.slots:
            return self._not_run("503 Service Unavailable", request_id)
        self.waiting += 1
        async with self.slot:
            self.waiting -= 1
            self.record.write("runs", id=request_id, at=self.name)
            self.runs.append((time.monotonic(), request_id))
            await asyncio.sleep(self.work_by_path.get(path, self.work_s))
        signature = {
            "Request-Id": request_id,
            "Response-Signature": f"sig.{self.name}.{request_id}",
        }
        return self._render("200 OK", signature, self.body)

    def _not_run(self, status: str, request_id: str) -> bytes:
        fields = {"Request-Id": request_id, "Not-Executed": "1"}
        return self._render(status, fields, b"")

    def _render(
        self, status: str, fields: dict[str, str], body: bytes
    ) -> bytes:
        lines = [f"HTTP/1.1 {status}"]
        lines += [f"{name}: {value}" for name, value in fields.items()]
        lines.append(f"Content-Length: {len(body)}")
        return ("\r\n".join(lines) + "\r\n\r\n").encode() + body
