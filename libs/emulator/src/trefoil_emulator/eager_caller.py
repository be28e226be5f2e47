"""A caller that sends requests ahead and uses its connection to the end."""

import contextlib
import dataclasses
import json
import socket
import threading
import time

HEAD_END = b"\r\n\r\n"
READ_BYTES = 8192
LENGTH_HEADER = b"content-length:"
CLOSE_HEADER = b"connection: close"
# A caller that repeats at once would send thousands a second to a proxy that
# refuses.
REFUSED_PAUSE_S = 0.05


@dataclasses.dataclass(slots=True, frozen=True)
class EagerAnswer:
    """A complete answer.

    Args:
        name: Name of the request that was sent in its place.
        status: HTTP status.
        path: Path that the target says it was asked for; empty in a proxy's
            own answer.
        closes: Whether it says that the connection ends behind it.
        received_s: When it was whole, in seconds of the monotonic clock.
    """

    name: str
    status: int
    path: str
    closes: bool = False
    received_s: float = 0.0


class EagerCaller:
    """Keeps several requests in flight on one connection.

    It runs in a thread of its own until the connection ends or ``stop``.

    Args:
        name: Prefix of the names of its requests, which targets record.
        address: Address of the proxy.
        path: Prefix of the paths that it asks for.
        ahead: Requests that are in flight at the same time.
        bytes_per_s: How fast it reads; 0 for as fast as it can.

    Attributes:
        sent: Names of the requests that were sent, in order.
        sent_s: When each was sent, in seconds of the monotonic clock.
        answers: The complete answers, in order.
        is_reset: Whether the connection was reset.
        ended_s: When the proxy ended the connection, in seconds of the
            monotonic clock; 0 if it did not.
    """

    __slots__ = (
        "name",
        "path",
        "ahead",
        "bytes_per_s",
        "sent",
        "sent_s",
        "answers",
        "is_reset",
        "ended_s",
        "stopped",
        "sock",
        "thread",
    )

    def __init__(
        self,
        name: str,
        address: str,
        path: str,
        *,
        ahead: int,
        bytes_per_s: int = 0,
    ) -> None:
        self.name = name
        self.path = path
        self.ahead = ahead
        self.bytes_per_s = bytes_per_s
        self.sent: list[str] = []
        self.sent_s: dict[str, float] = {}
        self.answers: list[EagerAnswer] = []
        self.is_reset = False
        self.ended_s = 0.0
        self.stopped = threading.Event()
        host, _, port = address.rpartition(":")
        self.sock = socket.socket()
        if bytes_per_s:
            # Else the kernel would take a long answer in one piece.
            self.sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, READ_BYTES
            )
        self.sock.connect((host, int(port)))
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def join(self, within_s: float) -> None:
        """Wait until the connection has ended, and give up after a time."""
        self.thread.join(within_s)
        self.stopped.set()
        self.sock.close()

    def stop(self) -> None:
        """End the connection, if the proxy has not, and wait for it."""
        self.stopped.set()
        with contextlib.suppress(OSError):
            # Else the thread would wait for further bytes.
            self.sock.shutdown(socket.SHUT_RDWR)
        self.thread.join()
        self.sock.close()

    def _run(self) -> None:
        for _ in range(self.ahead):
            self._send()
        try:
            self._read_answers()
        except OSError:
            self.is_reset = True
        if not self.stopped.is_set():
            self.ended_s = time.monotonic()

    def _send(self) -> None:
        name = f"{self.name}-{len(self.sent)}"
        head = f"GET {self.path}/{name} HTTP/1.1\r\nHost: h\r\n"
        request = f"{head}X-Request-Name: {name}\r\n\r\n"
        self.sent_s[name] = time.monotonic()
        try:
            self.sock.sendall(request.encode())
        except OSError:
            # The answers that were sent before may still be read.
            return
        self.sent.append(name)

    def _read_answers(self) -> None:
        data = b""
        started_s = time.monotonic()
        received = 0
        while not self.stopped.is_set():
            more = self.sock.recv(READ_BYTES)
            if not more:
                return
            received += len(more)
            data = self._take_answers(data + more)
            if self.bytes_per_s:
                due_s = started_s + received / self.bytes_per_s
                time.sleep(max(due_s - time.monotonic(), 0))

    def _take_answers(self, data: bytes) -> bytes:
        """Record the complete answers and return the rest."""
        while HEAD_END in data:
            head, _, rest = data.partition(HEAD_END)
            length = _length_of(head)
            if len(rest) < length:
                return data
            self._add_answer(head, rest[:length])
            data = rest[length:]
        return data

    def _add_answer(self, head: bytes, body: bytes) -> None:
        name = self.sent[len(self.answers)]
        status = int(head.split(b" ", 2)[1])
        path = json.loads(body)["path"] if status == 200 else ""
        closes = CLOSE_HEADER in head.lower()
        self.answers.append(
            EagerAnswer(name, status, path, closes, time.monotonic())
        )
        if status != 200:
            time.sleep(REFUSED_PAUSE_S)
        self._send()


def _length_of(head: bytes) -> int:
    for line in head.lower().split(b"\r\n"):
        if line.startswith(LENGTH_HEADER):
            return int(line.removeprefix(LENGTH_HEADER))
    return 0
