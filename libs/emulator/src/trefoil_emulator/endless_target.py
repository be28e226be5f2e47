"""A target in trouble, whose answers never end.

Run as ``python -m trefoil_emulator.endless_target IP ANSWER`` it prints its
port and answers until it is killed.
"""

import asyncio
import dataclasses
import sys
import threading

CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
# Bytes that are written at once, unless they come in drips.
WRITE_BYTES = 64 * 1024


@dataclasses.dataclass(slots=True, frozen=True)
class EndlessAnswer:
    """Bytes without end in place of an answer.

    Args:
        first: What comes first.
        repeated: What comes then, again and again.
    """

    first: bytes
    repeated: bytes


ANSWERS = {
    "a head line": EndlessAnswer(b"", b"x"),
    "header lines": EndlessAnswer(b"HTTP/1.1 200 OK\r\n", b"a: b\r\n"),
    "a body without a length": EndlessAnswer(b"HTTP/1.1 200 OK\r\n\r\n", b"x"),
    "large chunks": EndlessAnswer(
        CHUNKED_HEAD, b"1000\r\n" + b"x" * 4096 + b"\r\n"
    ),
    "chunks of one byte": EndlessAnswer(CHUNKED_HEAD, b"1\r\nx\r\n"),
    "chunks of 64 bytes": EndlessAnswer(
        CHUNKED_HEAD, b"40\r\n" + b"x" * 64 + b"\r\n"
    ),
    "the size of a chunk": EndlessAnswer(CHUNKED_HEAD, b"0"),
    "trailers": EndlessAnswer(CHUNKED_HEAD + b"0\r\n", b"a: b\r\n"),
    "informational answers": EndlessAnswer(
        b"", b"HTTP/1.1 100 Continue\r\n\r\n"
    ),
}


class EndlessTarget:
    """Answers each request without end until the caller closes.

    It runs in a thread of its own from its construction to ``close``.

    Args:
        ip: Address to listen at; the port is in ``port``.
        answer: What it sends.
        pause_s: Pause after each repetition, which then come in drips; 0 to
            send as fast as the caller reads.

    Attributes:
        requests: Number of requests that it began to answer.
        closed: Number of answers that the caller ended.
    """

    def __init__(
        self, ip: str, answer: EndlessAnswer, pause_s: float = 0.0
    ) -> None:
        self.answer = answer
        self.pause_s = pause_s
        self.port = 0
        self.requests = 0
        self.closed = 0
        self.loop = asyncio.new_event_loop()
        self.tasks: set[asyncio.Task[None]] = set()
        started = threading.Event()
        self.thread = threading.Thread(
            target=self._run, args=(ip, started), daemon=True
        )
        self.thread.start()
        started.wait()

    def close(self) -> None:
        """Close all connections and end the thread."""
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
        for task in self.tasks:
            task.cancel()
        self.loop.run_until_complete(
            asyncio.gather(*self.tasks, return_exceptions=True)
        )
        self.loop.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            await reader.readuntil(b"\r\n\r\n")
            self.requests += 1
            await self._send(writer)
        except (OSError, asyncio.IncompleteReadError):
            # The caller has closed its connection.
            self.closed += 1
        finally:
            self.tasks.discard(task)
            writer.close()

    async def _send(self, writer: asyncio.StreamWriter) -> None:
        writer.write(self.answer.first)
        part = self.answer.repeated
        if not self.pause_s:
            part *= max(WRITE_BYTES // len(part), 1)
        while True:
            writer.write(part)
            await writer.drain()
            await asyncio.sleep(self.pause_s)


def main() -> None:
    """Answer in a process of its own."""
    ip, name = sys.argv[1:]
    target = EndlessTarget(ip, ANSWERS[name])
    print(target.port, flush=True)
    target.thread.join()


if __name__ == "__main__":
    main()
