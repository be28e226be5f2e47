"""TCP relays on loopback that delay, hold, drop or reset connections."""

import asyncio
import collections.abc
import enum
import socket
import struct
import threading
import typing

READ_BYTES = 65_536
# SO_LINGER with a timeout of zero: close sends a TCP reset.
RESET_LINGER = struct.pack("ii", 1, 0)


class Direction(enum.Enum):
    """Direction of bytes, relative to the process behind the relay."""

    IN = "in"
    OUT = "out"


class RelayedConnection:
    """One relayed connection.

    Args:
        downstream: Writer to the process that connected.
        upstream: Writer to the process behind the relay.
    """

    __slots__ = ("downstream", "upstream", "silent")

    def __init__(
        self, downstream: asyncio.StreamWriter, upstream: asyncio.StreamWriter
    ) -> None:
        self.downstream = downstream
        self.upstream = upstream
        self.silent = False

    def reset(self) -> None:
        """Reset the connections to both ends."""
        for writer in (self.downstream, self.upstream):
            sock = writer.get_extra_info("socket")
            if sock is not None and sock.fileno() >= 0:
                sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER
                )
            writer.transport.abort()


class Relay:
    """Relays the connections to one port of one process.

    Args:
        ip: Address to listen on.
        upstream_port: Port of the process, at the same address.
    """

    __slots__ = (
        "ip",
        "upstream_port",
        "port",
        "delay_s",
        "held_directions",
        "open_connections",
        "server",
    )

    def __init__(self, ip: str, upstream_port: int) -> None:
        self.ip = ip
        self.upstream_port = upstream_port
        self.port = 0
        self.delay_s = 0.0
        self.held_directions: set[Direction] = set()
        self.open_connections: set[RelayedConnection] = set()
        self.server: asyncio.Server | None = None

    async def listen(self) -> None:
        """Listen on a port that the kernel chooses."""
        self.server = await asyncio.start_server(self._relay, self.ip, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def reset(self) -> None:
        """Reset all open connections."""
        for connection in list(self.open_connections):
            connection.reset()

    def silence(self) -> None:
        """Drop all further bytes of the open connections; new ones work."""
        for connection in self.open_connections:
            connection.silent = True

    async def _relay(
        self, reader: asyncio.StreamReader, downstream: asyncio.StreamWriter
    ) -> None:
        try:
            await self._forward(reader, downstream)
        except asyncio.CancelledError:
            # The run is over; the remaining bytes have no reader.
            downstream.transport.abort()

    async def _forward(
        self, reader: asyncio.StreamReader, downstream: asyncio.StreamWriter
    ) -> None:
        await self._wait_until_released(Direction.IN)
        try:
            upstream_reader, upstream = await asyncio.open_connection(
                self.ip, self.upstream_port
            )
        except OSError:
            # Refuse, as a port without a listener does.
            RelayedConnection(downstream, downstream).reset()
            return
        connection = RelayedConnection(downstream, upstream)
        self.open_connections.add(connection)
        await asyncio.gather(
            self._copy(connection, reader, upstream, Direction.IN),
            self._copy(connection, upstream_reader, downstream, Direction.OUT),
        )
        self.open_connections.discard(connection)

    async def _copy(
        self,
        connection: RelayedConnection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        direction: Direction,
    ) -> None:
        try:
            while data := await reader.read(READ_BYTES):
                await asyncio.sleep(self.delay_s)
                await self._wait_until_released(direction)
                if not connection.silent:
                    writer.write(data)
                    await writer.drain()
        except OSError:
            # One end was reset: reset the other as well.
            if not connection.silent:
                connection.reset()
            return
        await self._wait_until_released(direction)
        if not connection.silent:
            writer.close()

    async def _wait_until_released(self, direction: Direction) -> None:
        while direction in self.held_directions:
            await asyncio.sleep(0.02)


class Relays:
    """Runs all relays of a run on one event loop in a separate thread."""

    __slots__ = ("loop", "thread")

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever)
        self.thread.daemon = True
        self.thread.start()

    def create_relay(self, ip: str, upstream_port: int) -> Relay:
        """Return a relay that listens for connections to a port."""
        relay = Relay(ip, upstream_port)
        self.run(relay.listen())
        return relay

    def run(self, coroutine: collections.abc.Coroutine) -> typing.Any:
        """Run a coroutine on the event loop and return its result."""
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result()

    def call_soon(self, callback: typing.Callable[[], None]) -> None:
        """Schedule a callback on the event loop, without waiting for it."""
        self.loop.call_soon_threadsafe(callback)

    def stop(self) -> None:
        """Abort all connections and stop the event loop."""
        self.run(_cancel_all())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()


async def _cancel_all() -> None:
    running = asyncio.all_tasks() - {asyncio.current_task()}
    for task in running:
        task.cancel()
    await asyncio.gather(*running, return_exceptions=True)
