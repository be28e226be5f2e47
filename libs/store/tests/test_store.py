"""Tests that the store recovers its state after crashes and disk damage."""

import pytest

from trefoil_model import errors
from trefoil_store import disk as disks
from trefoil_store import store as stores
from trefoil_wire import frames
from trefoil_wire import messages


def entry(index: int, term: int = 1, size: int = 20) -> messages.Entry:
    """Return a log entry with a command of a size in bytes."""
    return messages.Entry(index=index, term=term, command=b"c" * size)


def filled_disk(entries: int = 5) -> disks.MemoryDisk:
    """Return a disk whose store holds a vote and entries from index 1."""
    disk = disks.MemoryDisk()
    store = stores.Store.create(disk, "c1#first")
    store.save_hard_state(messages.HardState(3, "c2#first", "c1#first"))
    store.append([entry(n) for n in range(1, entries + 1)])
    return disk


def indexes(store: stores.Store) -> list[int]:
    """Return the indexes of a store's log entries."""
    return [stored.index for stored in store.entries]


def test_synced_records_read_back() -> None:
    store = stores.Store.open(filled_disk())
    assert indexes(store) == [1, 2, 3, 4, 5]
    assert store.hard_state.voted_for == "c2#first"
    assert store.torn_bytes == 0


LAST_RECORD = len(stores.encode_record(frames.pack(entry(5))))


@pytest.mark.parametrize("truncated_bytes", range(1, LAST_RECORD + 1))
def test_a_torn_record_is_truncated(truncated_bytes: int) -> None:
    """A crash during an append leaves a torn record at the end of the log.

    The record may end at any byte. Nothing in it was acknowledged, because
    entries are acknowledged only after the sync, so the store drops it.
    """
    disk = filled_disk()
    disk.files[stores.LOG_FILE] = disk.files[stores.LOG_FILE][
        :-truncated_bytes
    ]
    store = stores.Store.open(disk)
    assert indexes(store) == [1, 2, 3, 4]
    store.append([entry(5)])
    assert indexes(stores.Store.open(disk)) == [1, 2, 3, 4, 5]


def test_trailing_zeros_are_truncated() -> None:
    """A torn write may leave zeros after the last complete record."""
    disk = filled_disk()
    disk.files[stores.LOG_FILE] += b"\0" * 300
    assert indexes(stores.Store.open(disk)) == [1, 2, 3, 4, 5]


@pytest.mark.parametrize("file", [stores.LOG_FILE, stores.HARD_STATE_FILE])
@pytest.mark.parametrize("bit", [0, 3, 7])
def test_a_flipped_bit_is_reported_as_damage(file: str, bit: int) -> None:
    """A flipped bit in a synced record must not pass for a torn write.

    Truncating the record would silently lose a committed entry or a vote, and
    a leader that lacks it could be elected. The store reports damage whichever
    byte is affected.
    """
    size = len(filled_disk().files[file])
    for position in range(size):
        disk = filled_disk()
        data = bytearray(disk.files[file])
        data[position] ^= 1 << bit
        disk.files[file] = bytes(data)
        with pytest.raises(errors.StoreDamaged):
            stores.Store.open(disk)


@pytest.mark.parametrize(
    ("case", "lost_files"),
    [
        ("hard state lost", [stores.HARD_STATE_FILE]),
        ("snapshot lost", [stores.SNAPSHOT_FILE]),
    ],
)
def test_a_lost_file_is_reported_as_damage(
    case: str, lost_files: list[str]
) -> None:
    """A store that has lost a file must be rejected, not opened without it.

    Without its hard state the process could vote twice in a term. Without its
    snapshot it would lack the committed entries that the snapshot covers.
    """
    disk = filled_disk()
    store = stores.Store.open(disk)
    store.save_snapshot(messages.Snapshot(3, 1, ["a"], [], b"state"))
    for name in lost_files:
        disk.files[name] = b""
    with pytest.raises(errors.StoreDamaged):
        stores.Store.open(disk)


def test_an_empty_disk_has_no_identity() -> None:
    """A new host has no hard state; opening its store must not fail."""
    assert stores.Store.open(disks.MemoryDisk()).hard_state is None


def test_truncation_survives_reopening() -> None:
    """Entries that a new leader has replaced must not reappear."""
    disk = filled_disk()
    store = stores.Store.open(disk)
    store.truncate_from(3)
    store.append([entry(3, term=2)])
    reopened = stores.Store.open(disk)
    assert [(e.index, e.term) for e in reopened.entries] == [
        (1, 1),
        (2, 1),
        (3, 2),
    ]


def test_a_snapshot_drops_the_entries_it_covers() -> None:
    """Later entries must remain and new ones follow them in the log file."""
    disk = filled_disk()
    store = stores.Store.open(disk)
    store.save_snapshot(messages.Snapshot(3, 1, ["a"], [], b"state"))
    store.append([entry(6)])
    reopened = stores.Store.open(disk)
    assert reopened.snapshot.state == b"state"
    assert indexes(reopened) == [4, 5, 6]


def test_a_crash_between_snapshot_and_log_writes_loses_nothing() -> None:
    """A crash after the snapshot is written, before the log is replaced.

    The log still holds entries that the snapshot covers. They must be dropped
    when the store is opened, without losing the later entries.
    """
    disk = filled_disk()
    old_log = disk.files[stores.LOG_FILE]
    store = stores.Store.open(disk)
    store.save_snapshot(messages.Snapshot(3, 1, ["a"], [], b"state"))
    disk.files[stores.LOG_FILE] = old_log
    reopened = stores.Store.open(disk)
    assert indexes(reopened) == [4, 5]
    reopened.truncate_from(5)
    assert indexes(stores.Store.open(disk)) == [4]


def test_a_folder_disk_persists_like_a_memory_disk(tmp_path) -> None:
    """The tests above use a memory disk; this one uses real files."""
    disk = disks.FolderDisk(tmp_path)
    store = stores.Store.create(disk, "c1#first")
    store.append([entry(n) for n in range(1, 400)])
    store.save_snapshot(messages.Snapshot(390, 1, ["a"], [], b"state"))
    store.truncate_from(398)
    reopened = stores.Store.open(disks.FolderDisk(tmp_path))
    assert indexes(reopened) == list(range(391, 398))
    assert reopened.hard_state.identity == "c1#first"
