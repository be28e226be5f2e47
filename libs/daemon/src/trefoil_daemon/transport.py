"""TCP streams on the circuits poller.

One component handles every socket of a process. It writes immediately and
buffers only what the kernel does not accept, so a message costs one event
(its read) instead of one for each processing step.
"""

import collections
import collections.abc
import contextlib
import errno
import select
import socket
import struct
import typing

import circuits
from circuits.core import handlers
from circuits.core import pollers

from trefoil_model import ports

from . import _write_queue
from . import kernel_queues
from . import lingering

READ_BYTES = 65536
ACCEPTS_PER_EVENT = 64
MAX_BUFFERED_BYTES = 8 * 1024 * 1024
# For SO_LINGER: a close discards what the peer has not acknowledged.
NO_LINGER = struct.pack("ii", 1, 0)
RETRYABLE_ERRNOS = (errno.EWOULDBLOCK, errno.EAGAIN, errno.EINTR)
EXHAUSTED_ERRNOS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)

OnData = collections.abc.Callable[["Stream", bytes], None]
OnClose = collections.abc.Callable[["Stream"], None]
OnOpen = collections.abc.Callable[["Stream"], None]
Deferred = collections.abc.Callable[[], None]


class Stream:
    """One TCP connection.

    Args:
        transport: The component that handles the stream.
        sock: The non-blocking socket.
        connecting: Whether the connection is still being established.

    ``eof_received`` is true if the peer closed its side in an orderly way; on
    a reset, bytes may be lost. ``closing`` is true while the stream closes
    after its buffered data, until its peer has received it; what still comes
    is discarded then. ``undelivered`` is what had not been received when the
    stream closed, ``owner`` is for the user of the stream. ``on_drained`` is
    called when the kernel has taken all that was queued.
    """

    __slots__ = (
        "transport",
        "sock",
        "connecting",
        "closed",
        "eof_received",
        "closing",
        "write_queue",
        "on_data",
        "on_close",
        "on_open",
        "on_drained",
        "owner",
        "reading",
        "undelivered",
    )

    def __init__(
        self, transport: "Transport", sock: socket.socket, connecting: bool
    ) -> None:
        self.transport = transport
        self.sock = sock
        self.connecting = connecting
        self.closed = False
        self.eof_received = False
        self.closing = False
        self.write_queue = _write_queue.WriteQueue()
        self.on_data: OnData | None = None
        self.on_close: OnClose | None = None
        self.on_open: OnOpen | None = None
        self.on_drained: OnOpen | None = None
        self.owner: typing.Any = None
        self.reading = True
        self.undelivered = 0

    @property
    def unsent(self) -> int:
        """Return the number of bytes not yet accepted by the kernel."""
        return self.write_queue.size

    @property
    def unacknowledged(self) -> int:
        """Return the bytes that the peer's kernel has not acknowledged.

        They include an end of the stream, and not what is ``unsent``.
        """
        return kernel_queues.unacknowledged(self.sock)

    @property
    def unread(self) -> int:
        """Return the number of received bytes that were not read yet."""
        return kernel_queues.unread(self.sock)

    def write(self, data: bytes) -> None:
        """Send bytes, queueing what the kernel does not accept.

        They are not copied if they are many, and must not change.
        """
        if self.closed or self.closing:
            return
        if self.connecting or self.unsent:
            self._queue(data)
            return
        try:
            sent = self.sock.send(data)
        except OSError as error:
            if error.errno not in RETRYABLE_ERRNOS:
                self.close()
                return
            sent = 0
        if sent < len(data):
            self._queue(memoryview(data)[sent:])
            self.transport.want_write(self)

    def _queue(self, data: bytes | memoryview) -> None:
        if self.unsent > MAX_BUFFERED_BYTES:
            # Bounds the memory used for a peer that reads too slowly. A
            # single message of any size is accepted; the limit applies to
            # those after it.
            self.close()
            return
        self.write_queue.append(data)

    def set_paused(self, paused: bool) -> None:
        """Stop or resume reading, to apply back-pressure to the sender."""
        if not self.closed and not self.connecting:
            if self.reading == paused:
                self.reading = not paused
                self.transport.want_read(self, not paused)

    def close_after_write(self) -> None:
        """Close once the peer has received all buffered data."""
        if self.closed or self.closing:
            return
        self.closing = True
        if not self.unsent:
            self.end_sending()

    def end_sending(self) -> None:
        """Close the own side, and read on until the peer has closed."""
        self.set_paused(False)
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            self.close()
            return
        self.transport.lingering.add(self)

    def abort(self) -> None:
        """Close immediately, and let the kernel keep nothing to send."""
        if self.closed:
            return
        with contextlib.suppress(OSError):
            # The peer has reset the connection otherwise.
            self.sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER
            )
        self.close()

    def _undelivered(self) -> int:
        """Return the bytes, without the end, that were not received."""
        if self.unsent:
            return self.unsent + self.unacknowledged
        return max(self.unacknowledged - 1, 0)

    def close(self) -> None:
        """Close immediately."""
        if self.closed:
            return
        self.closed = True
        if self.closing:
            self.undelivered = self._undelivered()
        self.transport.remove_stream(self)
        if self.on_close is not None:
            self.on_close(self)
        self.write_queue.clear()


class DirectPoller(pollers.EPoll):
    """An epoll poller that calls its transport directly.

    An event for each read would be queued until after the next poll and
    dispatched separately; under load that takes an eighth of a call's
    processor time.
    """

    channel = "direct-poller"

    def init(self, channel: str = channel) -> None:
        """Initialize without a transport, which sets itself later."""
        self.transport: "Transport | None" = None

    def _process(self, fileno: int, event: int) -> None:
        fd = self._map.get(fileno)
        if fd is None or fd == self._ctrl_recv or self.transport is None:
            super()._process(fileno, event)
            return
        try:
            if event & select.EPOLLIN:
                self.transport.readable(fd)
            elif event & self._disconnected_flag:
                self.transport.broken(fd)
            if event & select.EPOLLOUT:
                self.transport.writable(fd)
        except Exception:
            # The runtime logs the exception. The stream is closed, since its
            # input was only partly processed.
            self.transport.broken(fd)
            raise


class run_deferred(circuits.Event):
    """Calls the function that was deferred first."""


class Transport(circuits.BaseComponent):
    """The component that handles all streams of a process."""

    channel = "transport"

    def init(self, poller: DirectPoller) -> None:
        """Attach to the poller that watches the sockets."""
        self.poller = poller
        poller.transport = self
        self.streams: dict[socket.socket, Stream] = {}
        self.listeners: dict[socket.socket, OnOpen] = {}
        self.paused_listeners: list[socket.socket] = []
        self.deferred: collections.deque[Deferred] = collections.deque()
        self.lingering = lingering.LingeringStreams()

    def defer(self, function: Deferred) -> None:
        """Call a function in a later turn of the loop.

        One function is called in each turn, however many are deferred, so
        that all sockets are served in between.
        """
        self.deferred.append(function)
        if len(self.deferred) == 1:
            self.fire(run_deferred())

    @handlers.handler("run_deferred")
    def _run_deferred(self) -> None:
        function = self.deferred.popleft()
        if self.deferred:
            self.fire(run_deferred())
        function()

    def listen(self, address: str, on_open: OnOpen) -> int:
        """Accept connections at an address; return the port."""
        sock = ports.take(address)
        self.listeners[sock] = on_open
        self.poller.addReader(self, sock)
        return sock.getsockname()[1]

    def accept_again(self) -> None:
        """Accept connections again after descriptors had run out."""
        paused, self.paused_listeners = self.paused_listeners, []
        for listener in paused:
            self.poller.addReader(self, listener)

    def stop_listening(self) -> None:
        """Close all listening sockets."""
        self.paused_listeners = []
        for sock in list(self.listeners):
            self.poller.discard(sock)
            sock.close()
        self.listeners = {}

    def connect(self, address: str, on_open: OnOpen) -> Stream:
        """Start to connect; ``on_open`` is called once connected."""
        host, _, port = address.rpartition(":")
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        stream = Stream(self, sock, True)
        stream.on_open = on_open
        self.streams[sock] = stream
        try:
            socket.inet_pton(socket.AF_INET, host)
            sock.connect_ex((host, int(port)))
        except (OSError, ValueError, OverflowError):
            # An odd address in another host's record. Raised here, it would
            # end a tick or cost a caller's answer; it fails like an address
            # that nobody answers at, once its user waits for that.
            self.defer(stream.close)
            return stream
        self.poller.addWriter(self, sock)
        return stream

    def want_write(self, stream: Stream) -> None:
        """Watch for a stream to become writable."""
        if not self.poller.isWriting(stream.sock):
            self.poller.addWriter(self, stream.sock)

    def want_read(self, stream: Stream, wanted: bool) -> None:
        """Resume or stop reading a stream."""
        if wanted:
            self.poller.addReader(self, stream.sock)
        else:
            self.poller.removeReader(stream.sock)

    def remove_stream(self, stream: Stream) -> None:
        """Remove a closed stream and close its socket."""
        self.streams.pop(stream.sock, None)
        if stream.closing:
            self.lingering.discard(stream)
        self.poller.discard(stream.sock)
        stream.sock.close()

    def readable(self, sock: socket.socket) -> None:
        """Accept connections or read data from a readable socket."""
        on_open = self.listeners.get(sock)
        if on_open is not None:
            self._accept(sock, on_open)
            return
        stream = self.streams.get(sock)
        if stream is None or stream.connecting or not stream.reading:
            return
        try:
            data = sock.recv(READ_BYTES)
        except OSError as error:
            if error.errno not in RETRYABLE_ERRNOS:
                stream.close()
            return
        if not data:
            stream.eof_received = True
            stream.close()
        elif stream.on_data is not None and not stream.closing:
            # A request after the last answer could not be answered, so it
            # must not be run.
            stream.on_data(stream, data)

    def _accept(self, listener: socket.socket, on_open: OnOpen) -> None:
        for _ in range(ACCEPTS_PER_EVENT):
            try:
                sock, _address = listener.accept()
            except OSError as error:
                if error.errno in EXHAUSTED_ERRNOS:
                    # The connection stays in the queue and would be reported
                    # at once, again and again.
                    self.poller.removeReader(listener)
                    self.paused_listeners.append(listener)
                return
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            stream = Stream(self, sock, False)
            self.streams[sock] = stream
            self.poller.addReader(self, sock)
            on_open(stream)

    def writable(self, sock: socket.socket) -> None:
        """Finish connecting, or send buffered data, on a writable socket."""
        stream = self.streams.get(sock)
        if stream is None:
            return
        if stream.connecting and not self._finish_connect(stream):
            return
        self._flush(stream)

    def _finish_connect(self, stream: Stream) -> bool:
        sock = stream.sock
        if sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            stream.close()
            return False
        stream.connecting = False
        self.poller.addReader(self, sock)
        if stream.on_open is not None:
            stream.on_open(stream)
        return not stream.closed

    def _flush(self, stream: Stream) -> None:
        try:
            while stream.unsent and self._send_first(stream):
                pass
        except OSError as error:
            if error.errno not in RETRYABLE_ERRNOS:
                stream.close()
            return
        if stream.unsent:
            return
        self.poller.removeWriter(stream.sock)
        if stream.closing:
            stream.end_sending()
        elif stream.on_drained is not None:
            stream.on_drained(stream)

    @staticmethod
    def _send_first(stream: Stream) -> bool:
        """Send the first queued piece; return whether all of it was taken.

        Raises:
            OSError: The kernel takes nothing.
        """
        piece = stream.write_queue.first()
        size = len(piece)
        sent = stream.sock.send(piece)
        stream.write_queue.remove(sent)
        return sent == size

    def broken(self, sock: socket.socket) -> None:
        """Close the stream of a socket that failed."""
        stream = self.streams.get(sock)
        if stream is not None:
            stream.close()
