"""TCP relays on loopback that delay, hold, silence and reset connections."""

import asyncio
import collections.abc
import enum
import socket
import struct
import threading
import typing

CHUNK = 65_536
# Linger for no time: close sends a reset.
RESET = struct.pack("ii", 1, 0)


class Way(enum.Enum):
    """A direction of bytes, seen from the process behind the relay."""

    IN = "in"
    OUT = "out"


class Relayed:
    """One relayed connection.

    Args:
        front: Writer towards the process that connected.
        back: Writer towards the process behind the relay.
    """

    __slots__ = ("front", "back", "silent")

    def __init__(
        self, front: asyncio.StreamWriter, back: asyncio.StreamWriter
    ) -> None:
        self.front = front
        self.back = back
        self.silent = False

    def reset(self) -> None:
        """Break both ends off."""
        for writer in (self.front, self.back):
            sock = writer.get_extra_info("socket")
            if sock is not None and sock.fileno() >= 0:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            writer.transport.abort()


class Relay:
    """Stands before one port of one process.

    Args:
        ip: Address to listen at.
        to_port: Port of the process behind, at the same address.
    """

    __slots__ = ("ip", "to_port", "port", "delay_s", "held", "open", "server")

    def __init__(self, ip: str, to_port: int) -> None:
        self.ip = ip
        self.to_port = to_port
        self.port = 0
        self.delay_s = 0.0
        self.held: set[Way] = set()
        self.open: set[Relayed] = set()
        self.server: asyncio.Server | None = None

    async def listen(self) -> None:
        """Open a port that the kernel chooses."""
        self.server = await asyncio.start_server(self._relay, self.ip, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def reset(self) -> None:
        """Reset every connection."""
        for relayed in list(self.open):
            relayed.reset()

    def silence(self) -> None:
        """Lose track of every open connection; new ones work."""
        for relayed in self.open:
            relayed.silent = True

    async def _relay(
        self, reader: asyncio.StreamReader, front: asyncio.StreamWriter
    ) -> None:
        try:
            await self._carry(reader, front)
        except asyncio.CancelledError:
            # The run is over; nobody reads what the connection carries.
            front.transport.abort()

    async def _carry(
        self, reader: asyncio.StreamReader, front: asyncio.StreamWriter
    ) -> None:
        await self._passable(Way.IN)
        try:
            back_reader, back = await asyncio.open_connection(
                self.ip, self.to_port
            )
        except OSError:
            # As a port without a listener answers.
            Relayed(front, front).reset()
            return
        relayed = Relayed(front, back)
        self.open.add(relayed)
        await asyncio.gather(
            self._pump(relayed, reader, back, Way.IN),
            self._pump(relayed, back_reader, front, Way.OUT),
        )
        self.open.discard(relayed)

    async def _pump(
        self,
        relayed: Relayed,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        way: Way,
    ) -> None:
        try:
            while data := await reader.read(CHUNK):
                await asyncio.sleep(self.delay_s)
                await self._passable(way)
                if not relayed.silent:
                    writer.write(data)
                    await writer.drain()
        except OSError:
            # One end was reset, so is the other.
            if not relayed.silent:
                relayed.reset()
            return
        await self._passable(way)
        if not relayed.silent:
            writer.close()

    async def _passable(self, way: Way) -> None:
        while way in self.held:
            await asyncio.sleep(0.02)


class Relays:
    """All relays of a run, on one loop in a thread of its own."""

    __slots__ = ("loop", "thread")

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever)
        self.thread.daemon = True
        self.thread.start()

    def before(self, ip: str, to_port: int) -> Relay:
        """Return a listening relay before a port."""
        relay = Relay(ip, to_port)
        self.wait(relay.listen())
        return relay

    def wait(self, work: collections.abc.Coroutine) -> typing.Any:
        """Run a coroutine on the relays' loop and return its result."""
        return asyncio.run_coroutine_threadsafe(work, self.loop).result()

    def call(self, change: typing.Callable[[], None]) -> None:
        """Change a relay on its own loop."""
        self.loop.call_soon_threadsafe(change)

    def stop(self) -> None:
        """End every connection, then the loop."""
        self.wait(_cancel_all())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()


async def _cancel_all() -> None:
    running = asyncio.all_tasks() - {asyncio.current_task()}
    for task in running:
        task.cancel()
    await asyncio.gather(*running, return_exceptions=True)
