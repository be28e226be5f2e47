"""Disk access of the store: the files of one data folder."""

import os
import pathlib
import typing


class Disk(typing.Protocol):
    """Disk operations of the store; writes return once they are durable."""

    def read(self, name: str) -> bytes | None:
        """Return a file's content, or None if there is no such file."""

    def replace(self, name: str, data: bytes) -> None:
        """Replace a file atomically; a failure leaves the old content."""

    def append(self, name: str, data: bytes) -> None:
        """Append data to a file, creating it if missing."""

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to a size in bytes."""


class FolderDisk:
    """A disk backed by a folder of the file system.

    Args:
        folder: The data folder, created if missing.
    """

    __slots__ = ("folder", "fds")

    def __init__(self, folder: str | pathlib.Path) -> None:
        self.folder = pathlib.Path(folder)
        self.folder.mkdir(parents=True, exist_ok=True)
        self.fds: dict[str, int] = {}

    def read(self, name: str) -> bytes | None:
        """Return a file's content, or None if there is no such file."""
        try:
            return (self.folder / name).read_bytes()
        except FileNotFoundError:
            return None

    def replace(self, name: str, data: bytes) -> None:
        """Replace a file atomically through a synced temporary file.

        The folder is synced after the rename. Otherwise a power loss could
        bring back the old file, and a vote already granted would be lost.
        """
        self._close(name)
        temporary = self.folder / f"{name}.new"
        fd = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
        try:
            _write_all(fd, data)
            os.fsync(fd)
        finally:
            os.close(fd)
        os.rename(temporary, self.folder / name)
        self._sync_folder()

    def append(self, name: str, data: bytes) -> None:
        """Append data to a file, creating it if missing, and sync it."""
        fd = self._open(name)
        _write_all(fd, data)
        os.fdatasync(fd)

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to a size in bytes and sync it."""
        fd = self._open(name)
        os.ftruncate(fd, size)
        os.fsync(fd)

    def _open(self, name: str) -> int:
        fd = self.fds.get(name)
        if fd is None:
            flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
            fd = os.open(self.folder / name, flags, 0o600)
            self.fds[name] = fd
            self._sync_folder()
        return fd

    def _close(self, name: str) -> None:
        fd = self.fds.pop(name, None)
        if fd is not None:
            os.close(fd)

    def _sync_folder(self) -> None:
        fd = os.open(self.folder, os.O_RDONLY)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)


class MemoryDisk:
    """An in-memory disk for tests and replays."""

    __slots__ = ("files",)

    def __init__(self) -> None:
        self.files: dict[str, bytes] = {}

    def read(self, name: str) -> bytes | None:
        """Return a file's content, or None if there is no such file."""
        return self.files.get(name)

    def replace(self, name: str, data: bytes) -> None:
        """Replace a file's content."""
        self.files[name] = data

    def append(self, name: str, data: bytes) -> None:
        """Append data to a file, creating it if missing."""
        self.files[name] = self.files.get(name, b"") + data

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to a size in bytes."""
        self.files[name] = self.files.get(name, b"")[:size]


def _write_all(fd: int, data: bytes) -> None:
    view = memoryview(data)
    while view:
        view = view[os.write(fd, view) :]
