"""The store: hard state, snapshot and log of one control process.

Three files: ``promise`` (term, vote, identity), ``snapshot`` and ``log``.
Every record is a length, a checksum and a compact Thrift struct.
"""

import collections.abc
import struct
import typing
import zlib

from trefoil_model import errors
from trefoil_wire import frames
from trefoil_wire import messages

from . import disk as disks

PROMISE = "promise"
SNAPSHOT = "snapshot"
LOG = "log"
LENGTHS = struct.Struct(">II")
RECORD = struct.Struct(">III")


def seal(payload: bytes) -> bytes:
    """Return a payload as a record.

    A record is the payload's length and checksum, a checksum of these two,
    and the payload. Without the second checksum a flipped bit in the last
    record's length would look like a write that was cut.
    """
    lengths = LENGTHS.pack(len(payload), zlib.crc32(payload))
    return lengths + zlib.crc32(lengths).to_bytes(4, "big") + payload


def unseal_header(data: bytes, at: int, name: str) -> tuple[int, int]:
    """Return a record's payload length and checksum.

    Raises:
        StoreDamaged: The header's own checksum does not match.
    """
    length, checksum, own = RECORD.unpack_from(data, at)
    if zlib.crc32(data[at : at + LENGTHS.size]) != own:
        raise errors.StoreDamaged(f"{name}: bad header at byte {at}")
    return length, checksum


class Store:
    """What a control process must still know after it died.

    Args:
        disk: Where it is kept.
    """

    __slots__ = (
        "disk",
        "hard_state",
        "snapshot",
        "entries",
        "offsets",
        "size",
        "torn_bytes",
    )

    def __init__(self, disk: disks.Disk) -> None:
        self.disk = disk
        self.hard_state: messages.HardState | None = None
        self.snapshot: messages.Snapshot | None = None
        self.entries: list[messages.Entry] = []
        self.offsets: list[int] = []
        self.size = 0
        self.torn_bytes = 0

    @classmethod
    def open(cls, disk: disks.Disk) -> typing.Self:
        """Read what is on a disk, cutting a torn tail.

        Raises:
            StoreDamaged: Something that was synced does not read back. The
                caller must start over under a new identity.
        """
        store = cls(disk)
        store.hard_state = store._read_one(PROMISE, messages.HardState)
        store.snapshot = store._read_one(SNAPSHOT, messages.Snapshot)
        store._read_log()
        # A log without its promise means that a vote may be forgotten; the
        # process could then vote twice in a term and two leaders would
        # follow. Refusing the whole store rules that out.
        if store.hard_state is None and (store.snapshot or store.entries):
            raise errors.StoreDamaged("the promise file is missing")
        return store

    @classmethod
    def create(cls, disk: disks.Disk, identity: str) -> typing.Self:
        """Start over with nothing but an identity."""
        store = cls(disk)
        disk.replace(LOG, b"")
        disk.replace(SNAPSHOT, b"")
        store.save_hard_state(
            messages.HardState(term=0, voted_for="", identity=identity)
        )
        return store

    def save_hard_state(self, state: messages.HardState) -> None:
        """Make a term and vote durable."""
        self.disk.replace(PROMISE, seal(frames.pack(state)))
        self.hard_state = state

    def append(self, entries: collections.abc.Iterable[typing.Any]) -> None:
        """Make entries durable at the end of the log, in one sync."""
        parts = []
        for entry in entries:
            record = seal(frames.pack(entry))
            self.offsets.append(self.size)
            self.entries.append(entry)
            self.size += len(record)
            parts.append(record)
        if parts:
            self.disk.append(LOG, b"".join(parts))

    def truncate_from(self, index: int) -> None:
        """Drop the entries at an index and after it."""
        keep = next(
            (
                position
                for position, entry in enumerate(self.entries)
                if entry.index >= index
            ),
            len(self.entries),
        )
        if keep == len(self.entries):
            return
        self.size = self.offsets[keep]
        self.disk.truncate(LOG, self.size)
        del self.entries[keep:]
        del self.offsets[keep:]

    def save_snapshot(self, snapshot: messages.Snapshot) -> None:
        """Make a snapshot durable and drop the log that it covers.

        The snapshot goes first: a crash in between leaves entries that the
        snapshot covers, which ``open`` drops, never a gap.
        """
        self.disk.replace(SNAPSHOT, seal(frames.pack(snapshot)))
        self.snapshot = snapshot
        kept = [e for e in self.entries if e.index > snapshot.last_index]
        records = [seal(frames.pack(entry)) for entry in kept]
        self.disk.replace(LOG, b"".join(records))
        self.entries = kept
        self.offsets = []
        self.size = 0
        for record in records:
            self.offsets.append(self.size)
            self.size += len(record)

    def _read_one(self, name: str, kind: type) -> typing.Any:
        data = self.disk.read(name)
        if not data:
            return None
        if len(data) < RECORD.size:
            raise errors.StoreDamaged(f"{name}: {len(data)} bytes only")
        length, checksum = unseal_header(data, 0, name)
        payload = data[RECORD.size :]
        if length != len(payload) or zlib.crc32(payload) != checksum:
            raise errors.StoreDamaged(f"{name}: the checksum does not match")
        return _unpack(name, kind, payload)

    def _read_log(self) -> None:
        data = self.disk.read(LOG) or b""
        covered = self.snapshot.last_index if self.snapshot else 0
        at = 0
        while at < len(data):
            payload = self._payload_at(data, at)
            if payload is None:
                break
            entry = _unpack(LOG, messages.Entry, payload)
            self._check_order(entry)
            if entry.index > covered:
                self.entries.append(entry)
                self.offsets.append(at)
            at += RECORD.size + len(payload)
        self.size = at
        self.torn_bytes = len(data) - at
        if self.torn_bytes:
            self.disk.truncate(LOG, at)
        if self.entries and self.entries[0].index != covered + 1:
            raise errors.StoreDamaged("entries are missing after the snapshot")

    def _payload_at(self, data: bytes, at: int) -> bytes | None:
        """Return the payload of a record; None where a torn tail begins.

        A write that was cut ends short or reads as zeros, and nothing was
        promised of it, since a promise follows the sync. A record of full
        length whose checksum is wrong may have been promised: cutting it
        would lose an agreed entry silently, so it counts as damage.
        """
        start = at + RECORD.size
        header = data[at:start]
        # Only a blank header leads to a look at all that follows: looked at
        # for each record, a log of megabytes takes half a second to read.
        if not header.strip(b"\0") and not data[at:].strip(b"\0"):
            return None
        if len(header) < RECORD.size:
            return None
        length, checksum = unseal_header(data, at, LOG)
        payload = data[start : start + length]
        if len(payload) < length:
            return None
        if zlib.crc32(payload) != checksum:
            raise errors.StoreDamaged(f"log: bad checksum at byte {at}")
        return payload

    def _check_order(self, entry: messages.Entry) -> None:
        if self.entries and entry.index != self.entries[-1].index + 1:
            raise errors.StoreDamaged(f"log: entry {entry.index} out of order")


def _unpack(name: str, kind: type, payload: bytes) -> typing.Any:
    try:
        return frames.unpack(kind, payload)
    except errors.FrameError as error:
        raise errors.StoreDamaged(f"{name}: {error}")
