"""The disk as the store sees it: one data folder, durable once synced."""

import os
import pathlib
import typing


class Disk(typing.Protocol):
    """What the store needs of a disk; every call returns after its sync."""

    def read(self, name: str) -> bytes | None:
        """Return a file's content, or None if there is no such file."""

    def replace(self, name: str, data: bytes) -> None:
        """Put a file in place whole, or leave the old one."""

    def append(self, name: str, data: bytes) -> None:
        """Add to the end of a file."""

    def truncate(self, name: str, size: int) -> None:
        """Cut a file to a size in bytes."""


class FolderDisk:
    """A disk in a folder of the file system.

    Args:
        folder: The data folder; made if missing.
    """

    __slots__ = ("folder", "handles")

    def __init__(self, folder: str | pathlib.Path) -> None:
        self.folder = pathlib.Path(folder)
        self.folder.mkdir(parents=True, exist_ok=True)
        self.handles: dict[str, int] = {}

    def read(self, name: str) -> bytes | None:
        """Return a file's content, or None if there is no such file."""
        try:
            return (self.folder / name).read_bytes()
        except FileNotFoundError:
            return None

    def replace(self, name: str, data: bytes) -> None:
        """Write beside the file, sync, rename over it, sync the folder.

        Without the folder's sync a power loss may bring the old name back,
        and a vote that was promised would be forgotten.
        """
        self._forget(name)
        beside = self.folder / f"{name}.new"
        handle = os.open(beside, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
        try:
            _write_all(handle, data)
            os.fsync(handle)
        finally:
            os.close(handle)
        os.rename(beside, self.folder / name)
        self._sync_folder()

    def append(self, name: str, data: bytes) -> None:
        """Add to the end of a file and sync it."""
        handle = self._open(name)
        _write_all(handle, data)
        os.fdatasync(handle)

    def truncate(self, name: str, size: int) -> None:
        """Cut a file and sync it."""
        handle = self._open(name)
        os.ftruncate(handle, size)
        os.fsync(handle)

    def _open(self, name: str) -> int:
        handle = self.handles.get(name)
        if handle is None:
            flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
            handle = os.open(self.folder / name, flags, 0o600)
            self.handles[name] = handle
            self._sync_folder()
        return handle

    def _forget(self, name: str) -> None:
        handle = self.handles.pop(name, None)
        if handle is not None:
            os.close(handle)

    def _sync_folder(self) -> None:
        handle = os.open(self.folder, os.O_RDONLY)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)


class MemoryDisk:
    """A disk in memory, for tests and replays."""

    __slots__ = ("files",)

    def __init__(self) -> None:
        self.files: dict[str, bytes] = {}

    def read(self, name: str) -> bytes | None:
        """Return a file's content, or None if there is no such file."""
        return self.files.get(name)

    def replace(self, name: str, data: bytes) -> None:
        """Put a file in place."""
        self.files[name] = data

    def append(self, name: str, data: bytes) -> None:
        """Add to the end of a file."""
        self.files[name] = self.files.get(name, b"") + data

    def truncate(self, name: str, size: int) -> None:
        """Cut a file."""
        self.files[name] = self.files.get(name, b"")[:size]


def _write_all(handle: int, data: bytes) -> None:
    view = memoryview(data)
    while view:
        view = view[os.write(handle, view) :]
