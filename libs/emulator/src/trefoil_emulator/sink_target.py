"""A target that reads bodies of any size and keeps nothing of them."""

import asyncio
import re
import threading

from . import fleet as fleets

LENGTH = re.compile(rb"(?i)\r\ncontent-length: *(\d+)")
PATH = re.compile(rb"^\S+ (\S+)")
READ_BYTES = 64 * 1024
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
ANNOUNCE_INTERVAL_S = 0.5


class Announcer:
    """Announces a target at a proxy until it is closed.

    Args:
        admin: Address of the proxy's admin listener.
        name: Name of the target.
        service: Its service.
        port: Its port.
        slots: Its slots.
    """

    __slots__ = ("url", "body", "closed", "thread")

    def __init__(
        self, admin: str, name: str, service: str, port: int, slots: int
    ) -> None:
        self.url = f"http://{admin}/v1/targets/{name}"
        self.body = (
            f'{{"service": "{service}", "version": "v1", "slots": {slots}, '
            f'"port": {port}}}'
        ).encode()
        self.closed = threading.Event()
        self.thread = threading.Thread(target=self._announce, daemon=True)
        self.thread.start()

    def _announce(self) -> None:
        while not self.closed.is_set():
            fleets.http(self.url, method="PUT", body=self.body)
            self.closed.wait(ANNOUNCE_INTERVAL_S)

    def close(self) -> None:
        """Deregister the target."""
        self.closed.set()
        self.thread.join()
        fleets.http(self.url, method="DELETE")


class SinkTarget:
    """Answers each request alike once its body has come in full.

    It runs in a thread of its own from its construction to ``close``.

    Args:
        ip: Address to listen at; the port is in ``port``.
        answer: What it answers, byte for byte.

    Attributes:
        bodies: Length of the body of each request, by path.
    """

    def __init__(self, ip: str, answer: bytes = ANSWER) -> None:
        self.answer = answer
        self.port = 0
        self.bodies: dict[str, int] = {}
        self.loop = asyncio.new_event_loop()
        started = threading.Event()
        self.thread = threading.Thread(
            target=self._run, args=(ip, started), daemon=True
        )
        self.thread.start()
        started.wait()

    def close(self) -> None:
        """Close the listening socket and end the thread."""
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()

    def _run(self, ip: str, started: threading.Event) -> None:
        asyncio.set_event_loop(self.loop)
        server = self.loop.run_until_complete(
            asyncio.start_server(self._serve, ip, 0)
        )
        self.port = server.sockets[0].getsockname()[1]
        started.set()
        self.loop.run_forever()
        server.close()
        tasks = asyncio.all_tasks(self.loop)
        for task in tasks:
            task.cancel()
        self.loop.run_until_complete(
            asyncio.gather(*tasks, return_exceptions=True)
        )
        self.loop.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                await self._serve_one(reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            # The proxy has closed its connection.
            return
        finally:
            writer.close()

    async def _serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        length = LENGTH.search(head)
        missing = int(length[1]) if length else 0
        size = missing
        while missing:
            data = await reader.read(min(missing, READ_BYTES))
            if not data:
                raise asyncio.IncompleteReadError(b"", missing)
            missing -= len(data)
        self.bodies[PATH.search(head)[1].decode()] = size
        writer.write(self.answer)
        await writer.drain()
