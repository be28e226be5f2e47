"""A crowd of clients that stop short, send without end or do not read."""

import dataclasses
import selectors
import socket
import time
import typing

PIECE_BYTES = 64 * 1024
READ_BYTES = 64 * 1024
# A client that could send nothing for this long lets the next one begin.
SLOW_S = 0.3
# A crowd that could send nothing for this long is kept waiting for good.
STUCK_S = 3.0


@dataclasses.dataclass(slots=True, frozen=True)
class Script:
    """What one client sends before it falls silent.

    Args:
        first: What comes first.
        repeated: What comes then.
        count: How often that comes.
        last: What comes last.
        reads: Whether the client reads what it is sent.
    """

    first: bytes = b""
    repeated: bytes = b""
    count: int = 0
    last: bytes = b""
    reads: bool = True

    def pieces(self) -> typing.Iterator[bytes]:
        """Return what is sent, in order."""
        yield self.first
        for _ in range(self.count):
            yield self.repeated
        yield self.last


def head(path: str, *fields: str, method: str = "POST") -> bytes:
    """Return the head of a request.

    Args:
        path: Its path.
        fields: Further header lines.
        method: Its method.
    """
    lines = [f"{method} {path} HTTP/1.1", "Host: h", *fields, "", ""]
    return "\r\n".join(lines).encode()


def body(path: str, size: int, short_by: int = 0) -> Script:
    """Return a request whose body has a length.

    Args:
        path: Its path.
        size: The length, in bytes; a multiple of ``PIECE_BYTES``.
        short_by: How many bytes of it are never sent.
    """
    return Script(
        head(path, f"Content-Length: {size}"),
        bytes(PIECE_BYTES),
        size // PIECE_BYTES - 1,
        bytes(PIECE_BYTES - short_by),
    )


def chunks(
    path: str, chunk_bytes: int, size: int, *, ends: bool = False
) -> Script:
    """Return a request whose body comes in chunks.

    Args:
        path: Its path.
        chunk_bytes: Length of each chunk.
        size: Length of all chunks together.
        ends: Whether the last chunk comes, which ends the body.
    """
    chunk = b"%x\r\n%s\r\n" % (chunk_bytes, bytes(chunk_bytes))
    return Script(
        head(path, "Transfer-Encoding: chunked"),
        chunk,
        size // chunk_bytes,
        b"0\r\n\r\n" if ends else b"",
    )


class Client:
    """One client of a crowd.

    Args:
        sock: Its connection.
        script: What it sends.

    Attributes:
        pieces: What is left of its script.
        unsent: What is left of the current piece.
        received: The first bytes of what it was sent.
        is_closed: Whether its connection was closed from the other side.
    """

    __slots__ = ("sock", "reads", "pieces", "unsent", "received", "is_closed")

    def __init__(self, sock: socket.socket, script: Script) -> None:
        self.sock = sock
        self.reads = script.reads
        self.pieces = script.pieces()
        self.unsent = memoryview(next(self.pieces))
        self.received = b""
        self.is_closed = False

    @property
    def is_silent(self) -> bool:
        """Return whether it sends nothing more."""
        return self.is_closed or not (self.unsent or self._take_piece())

    def _take_piece(self) -> bool:
        for piece in self.pieces:
            if piece:
                self.unsent = memoryview(piece)
                return True
        return False

    def send(self) -> None:
        """Send what the kernel takes of the current piece."""
        try:
            sent = self.sock.send(self.unsent)
        except BlockingIOError:
            return
        except OSError:
            self.is_closed = True
            return
        self.unsent = self.unsent[sent:]

    def receive(self) -> None:
        """Read what has come, and keep its first bytes."""
        try:
            data = self.sock.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        self.is_closed = not data
        self.received = (self.received + data)[:READ_BYTES]


class Crowd:
    """Clients that keep their connections open until they are closed.

    Args:
        address: Where they connect.
        scripts: What each of them sends.
        in_turns: Whether they send piece by piece in turns, or one after the
            other.
    """

    __slots__ = ("clients", "selector")

    def __init__(
        self, address: str, scripts: list[Script], *, in_turns: bool = False
    ) -> None:
        self.clients: list[Client] = []
        self.selector = selectors.DefaultSelector()
        for script in scripts:
            self._connect(address, script)
            if not in_turns:
                self._send(SLOW_S)
        self._send(STUCK_S)

    def __enter__(self) -> typing.Self:
        return self

    def __exit__(self, *failure: object) -> None:
        for client in self.clients:
            client.sock.close()
        self.selector.close()

    def _connect(self, address: str, script: Script) -> None:
        host, _, port = address.rpartition(":")
        sock = socket.socket()
        if not script.reads:
            # Else the kernel would take a long answer for its client.
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, READ_BYTES)
        sock.settimeout(STUCK_S)
        client = Client(sock, script)
        self.clients.append(client)
        try:
            sock.connect((host, int(port)))
        except OSError:
            client.is_closed = True
            return
        sock.setblocking(False)
        self.selector.register(sock, selectors.EVENT_WRITE, client)

    def _send(self, stuck_s: float) -> None:
        """Send until all have fallen silent or nobody gets on."""
        moved_s = time.monotonic()
        while any(not client.is_silent for client in self.clients):
            ready = self.selector.select(timeout=0.1)
            for key, event in ready:
                self._serve(key.data, event)
            if ready:
                moved_s = time.monotonic()
            elif time.monotonic() - moved_s > stuck_s:
                return

    def listen(self, within_s: float) -> None:
        """Read until all have been sent something or were closed.

        Args:
            within_s: Time limit in seconds.
        """
        until_s = time.monotonic() + within_s
        while time.monotonic() < until_s and not all(
            client.received or client.is_closed for client in self.clients
        ):
            for key, event in self.selector.select(timeout=0.1):
                self._serve(key.data, event)

    def _serve(self, client: Client, event: int) -> None:
        if event & selectors.EVENT_WRITE and not client.is_silent:
            client.send()
        if event & selectors.EVENT_READ:
            client.receive()
        wanted = selectors.EVENT_READ if client.reads else 0
        if not client.is_silent:
            wanted |= selectors.EVENT_WRITE
        if client.is_closed or not wanted:
            self.selector.unregister(client.sock)
        else:
            self.selector.modify(client.sock, wanted, client)

    @property
    def statuses(self) -> list[int]:
        """Return the status that each client was sent first, 0 for none."""
        return [
            int(client.received[9:12]) if client.received else 0
            for client in self.clients
        ]
