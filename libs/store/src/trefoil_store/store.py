"""Durable store for the Raft state of one control process.

It keeps three files: ``promise`` (the hard state: term, vote and identity),
``snapshot`` and ``log``. Each holds records made of a header with the length
and checksums, followed by a struct in the compact Thrift encoding.
"""

import collections.abc
import struct
import typing
import zlib

from trefoil_model import errors
from trefoil_wire import commands
from trefoil_wire import frames
from trefoil_wire import messages

from . import disk as disks

HARD_STATE_FILE = "promise"
SNAPSHOT_FILE = "snapshot"
LOG_FILE = "log"
# Payload length and payload checksum; the header's own checksum covers these.
CHECKED_FIELDS = struct.Struct(">II")
# The checked fields and the header's own checksum.
RECORD_HEADER = struct.Struct(">III")


def encode_record(payload: bytes) -> bytes:
    """Return a record that holds a payload.

    A record consists of the payload's length and CRC-32, a CRC-32 of these
    two fields, and the payload. Without the header's checksum a flipped bit
    in the last record's length would look like a torn write.
    """
    fields = CHECKED_FIELDS.pack(len(payload), zlib.crc32(payload))
    return fields + zlib.crc32(fields).to_bytes(4, "big") + payload


def decode_header(data: bytes, offset: int, name: str) -> tuple[int, int]:
    """Return the payload length and checksum from a record's header.

    Args:
        data: The content of the file.
        offset: Where the record starts, in bytes.
        name: The file's name, for the error.

    Raises:
        StoreDamaged: The header's own checksum does not match.
    """
    length, checksum, header_crc = RECORD_HEADER.unpack_from(data, offset)
    if zlib.crc32(data[offset : offset + CHECKED_FIELDS.size]) != header_crc:
        raise errors.StoreDamaged(
            f"{name}: bad header checksum at byte {offset}"
        )
    return length, checksum


class Store:
    """The durable Raft state of a control process, with a copy in memory.

    Args:
        disk: Holds the files.

    Attributes:
        hard_state: The term, vote and identity; None if never written.
        snapshot: The latest snapshot, if any.
        entries: The log entries after the snapshot.
        offsets: Byte offset of each entry's record in the log file.
        size: Size of the log file in bytes.
        torn_bytes: Bytes of a torn write removed from the log when opened.
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
        """Read the state from a disk and truncate a torn end of the log.

        Raises:
            StoreDamaged: Synced data cannot be read back. The caller must
                start over under a new identity.
        """
        store = cls(disk)
        store.hard_state = store._read_single_record(
            HARD_STATE_FILE, messages.HardState
        )
        store.snapshot = store._read_single_record(
            SNAPSHOT_FILE, messages.Snapshot
        )
        store._read_log()
        # Without the hard state a granted vote may be forgotten. The process
        # could then vote twice in a term, which could elect two leaders, so
        # the whole store is rejected.
        if store.hard_state is None and (store.snapshot or store.entries):
            raise errors.StoreDamaged(f"{HARD_STATE_FILE}: file is missing")
        return store

    @classmethod
    def create(cls, disk: disks.Disk, identity: str) -> typing.Self:
        """Create an empty store under an identity, discarding old data."""
        store = cls(disk)
        disk.replace(LOG_FILE, b"")
        disk.replace(SNAPSHOT_FILE, b"")
        store.save_hard_state(
            messages.HardState(term=0, voted_for="", identity=identity)
        )
        return store

    def save_hard_state(self, state: messages.HardState) -> None:
        """Make the term, vote and identity durable."""
        self.disk.replace(HARD_STATE_FILE, encode_record(frames.pack(state)))
        self.hard_state = state

    def append(self, entries: collections.abc.Iterable[typing.Any]) -> None:
        """Append entries to the log and make them durable in one sync."""
        parts = []
        for entry in entries:
            stored = messages.Entry(
                entry.index, entry.term, commands.compress(entry.command)
            )
            record = encode_record(frames.pack(stored))
            self.offsets.append(self.size)
            self.entries.append(entry)
            self.size += len(record)
            parts.append(record)
        if parts:
            self.disk.append(LOG_FILE, b"".join(parts))

    def truncate_from(self, index: int) -> None:
        """Drop the entry at an index and all later ones."""
        first_dropped = next(
            (
                position
                for position, entry in enumerate(self.entries)
                if entry.index >= index
            ),
            len(self.entries),
        )
        if first_dropped == len(self.entries):
            return
        self.size = self.offsets[first_dropped]
        self.disk.truncate(LOG_FILE, self.size)
        del self.entries[first_dropped:]
        del self.offsets[first_dropped:]

    def save_snapshot(self, snapshot: messages.Snapshot) -> None:
        """Make a snapshot durable and drop the log entries that it covers.

        The snapshot is written first. A crash between the two writes leaves
        entries that the snapshot covers, which ``open`` drops, but no gap.
        """
        self.disk.replace(SNAPSHOT_FILE, encode_record(frames.pack(snapshot)))
        self.snapshot = snapshot
        remaining = [e for e in self.entries if e.index > snapshot.last_index]
        records = [encode_record(frames.pack(entry)) for entry in remaining]
        self.disk.replace(LOG_FILE, b"".join(records))
        self.entries = remaining
        self.offsets = []
        self.size = 0
        for record in records:
            self.offsets.append(self.size)
            self.size += len(record)

    def _read_single_record(self, name: str, kind: type) -> typing.Any:
        data = self.disk.read(name)
        if not data:
            return None
        if len(data) < RECORD_HEADER.size:
            raise errors.StoreDamaged(
                f"{name}: {len(data)} bytes, shorter than a record header"
            )
        length, checksum = decode_header(data, 0, name)
        payload = data[RECORD_HEADER.size :]
        if length != len(payload) or zlib.crc32(payload) != checksum:
            raise errors.StoreDamaged(
                f"{name}: bad payload length or checksum"
            )
        return _unpack(name, kind, payload)

    def _read_log(self) -> None:
        data = self.disk.read(LOG_FILE) or b""
        covered = self.snapshot.last_index if self.snapshot else 0
        offset = 0
        while offset < len(data):
            payload = self._payload_at(data, offset)
            if payload is None:
                break
            entry = _unpack(LOG_FILE, messages.Entry, payload)
            self._check_order(entry)
            if entry.index > covered:
                self.entries.append(entry)
                self.offsets.append(offset)
            offset += RECORD_HEADER.size + len(payload)
        self.size = offset
        self.torn_bytes = len(data) - offset
        if self.torn_bytes:
            self.disk.truncate(LOG_FILE, offset)
        if self.entries and self.entries[0].index != covered + 1:
            raise errors.StoreDamaged(
                f"log: first entry is {self.entries[0].index}, "
                f"expected {covered + 1}"
            )

    def _payload_at(self, data: bytes, offset: int) -> bytes | None:
        """Return a record's payload, or None if a torn write starts there.

        A torn write ends short or reads as zeros. None of its entries was
        acknowledged, because entries are acknowledged only after the sync. A
        record of full length with a wrong checksum may have been
        acknowledged. Truncating it could silently lose a committed entry, so
        it is reported as damage.

        Raises:
            StoreDamaged: The header or payload does not match its checksum.
        """
        start = offset + RECORD_HEADER.size
        header = data[offset:start]
        # The rest of the file is scanned for zeros only after a zero header.
        # Scanned for each record, a log of several megabytes would take half a
        # second to read.
        if not header.strip(b"\0") and not data[offset:].strip(b"\0"):
            return None
        if len(header) < RECORD_HEADER.size:
            return None
        length, checksum = decode_header(data, offset, LOG_FILE)
        payload = data[start : start + length]
        if len(payload) < length:
            return None
        if zlib.crc32(payload) != checksum:
            raise errors.StoreDamaged(f"log: bad checksum at byte {offset}")
        return payload

    def _check_order(self, entry: messages.Entry) -> None:
        if self.entries and entry.index != self.entries[-1].index + 1:
            raise errors.StoreDamaged(
                f"log: entry {entry.index} does not follow its predecessor"
            )


def _unpack(name: str, kind: type, payload: bytes) -> typing.Any:
    try:
        return frames.unpack(kind, payload)
    except errors.FrameError as error:
        raise errors.StoreDamaged(f"{name}: {error}")
