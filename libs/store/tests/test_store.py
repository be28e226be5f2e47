"""What a control process finds on its disk after it died."""

import pytest

from trefoil_model import errors
from trefoil_store import disk as disks
from trefoil_store import store as stores
from trefoil_wire import frames
from trefoil_wire import messages


def entry(index: int, term: int = 1, size: int = 20) -> messages.Entry:
    return messages.Entry(index=index, term=term, command=b"c" * size)


def filled(entries: int = 5) -> disks.MemoryDisk:
    disk = disks.MemoryDisk()
    store = stores.Store.create(disk, "c1#first")
    store.save_hard_state(messages.HardState(3, "c2#first", "c1#first"))
    store.append([entry(n) for n in range(1, entries + 1)])
    return disk


def indexes(store: stores.Store) -> list[int]:
    return [found.index for found in store.entries]


def test_what_was_synced_reads_back() -> None:
    store = stores.Store.open(filled())
    assert indexes(store) == [1, 2, 3, 4, 5]
    assert store.hard_state.voted_for == "c2#first"
    assert store.torn_bytes == 0


LAST_RECORD = len(stores.seal(frames.pack(entry(5))))


@pytest.mark.parametrize("cut", range(1, LAST_RECORD + 1))
def test_a_torn_tail_is_cut(cut: int) -> None:
    """The process dies while the last record is being written.

    Its write is cut at any byte; nothing was promised of it, since a
    promise follows the sync. The store opens with what came before.
    """
    disk = filled()
    disk.files[stores.LOG] = disk.files[stores.LOG][:-cut]
    store = stores.Store.open(disk)
    assert indexes(store) == [1, 2, 3, 4]
    store.append([entry(5)])
    assert indexes(stores.Store.open(disk)) == [1, 2, 3, 4, 5]


def test_a_tail_of_zeros_is_cut() -> None:
    disk = filled()
    disk.files[stores.LOG] += b"\0" * 300
    assert indexes(stores.Store.open(disk)) == [1, 2, 3, 4, 5]


@pytest.mark.parametrize("file", [stores.LOG, stores.PROMISE])
@pytest.mark.parametrize("bit", [0, 3, 7])
def test_damage_inside_is_never_guessed_at(file: str, bit: int) -> None:
    """A bit of a synced record flips on the disk.

    Cut as if it were a torn tail, an agreed entry or a vote would be
    forgotten in silence, and another leader could be elected without it.
    The store refuses instead, whichever byte it is.
    """
    size = len(filled().files[file])
    for at in range(size):
        disk = filled()
        data = bytearray(disk.files[file])
        data[at] ^= 1 << bit
        disk.files[file] = bytes(data)
        with pytest.raises(errors.StoreDamaged):
            stores.Store.open(disk)


@pytest.mark.parametrize(
    ("case", "lose"),
    [
        ("promise lost", [stores.PROMISE]),
        ("snapshot lost", [stores.SNAPSHOT]),
    ],
)
def test_a_lost_file_is_damage(case: str, lose: list[str]) -> None:
    disk = filled()
    store = stores.Store.open(disk)
    store.save_snapshot(messages.Snapshot(3, 1, ["a"], [], b"state"))
    for name in lose:
        disk.files[name] = b""
    with pytest.raises(errors.StoreDamaged):
        stores.Store.open(disk)


def test_an_empty_disk_has_no_identity() -> None:
    assert stores.Store.open(disks.MemoryDisk()).hard_state is None


def test_truncation_lasts() -> None:
    disk = filled()
    store = stores.Store.open(disk)
    store.truncate_from(3)
    store.append([entry(3, term=2)])
    again = stores.Store.open(disk)
    assert [(e.index, e.term) for e in again.entries] == [
        (1, 1),
        (2, 1),
        (3, 2),
    ]


def test_a_snapshot_covers_the_log() -> None:
    disk = filled()
    store = stores.Store.open(disk)
    store.save_snapshot(messages.Snapshot(3, 1, ["a"], [], b"state"))
    store.append([entry(6)])
    again = stores.Store.open(disk)
    assert again.snapshot.state == b"state"
    assert indexes(again) == [4, 5, 6]


def test_a_crash_between_snapshot_and_log_loses_nothing() -> None:
    """The process dies after the snapshot is in place, before the log is.

    The log still has entries that the snapshot covers; they are dropped.
    """
    disk = filled()
    old_log = disk.files[stores.LOG]
    store = stores.Store.open(disk)
    store.save_snapshot(messages.Snapshot(3, 1, ["a"], [], b"state"))
    disk.files[stores.LOG] = old_log
    again = stores.Store.open(disk)
    assert indexes(again) == [4, 5]
    again.truncate_from(5)
    assert indexes(stores.Store.open(disk)) == [4]


def test_a_folder_disk_keeps_what_a_memory_disk_keeps(tmp_path) -> None:
    disk = disks.FolderDisk(tmp_path)
    store = stores.Store.create(disk, "c1#first")
    store.append([entry(n) for n in range(1, 400)])
    store.save_snapshot(messages.Snapshot(390, 1, ["a"], [], b"state"))
    store.truncate_from(398)
    again = stores.Store.open(disks.FolderDisk(tmp_path))
    assert indexes(again) == list(range(391, 398))
    assert again.hard_state.identity == "c1#first"
