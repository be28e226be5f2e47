"""Settings that change while a process runs."""

import os
import typing

from trefoil_settings import settings as setting_store

# Often enough that a change without a signal is in use within two seconds.
POLL_MS = 1000

Load = typing.Callable[[], setting_store.Checked]


class Reloader:
    """Reads a settings file again once it has changed.

    Args:
        path: The settings file.
        load: Reads and checks it.
    """

    __slots__ = ("path", "load", "seen", "poll_at_ms", "wanted")

    def __init__(self, path: str, load: Load) -> None:
        self.path = path
        self.load = load
        self.seen = _mark_of(path)
        self.poll_at_ms = 0
        self.wanted = False

    def request_reload(self) -> None:
        """Read the file at the next poll, changed or not."""
        self.wanted = True

    def poll(self, now_ms: int) -> setting_store.Checked | None:
        """Return what the file says now, None if it has not changed."""
        if not self.wanted and now_ms < self.poll_at_ms:
            return None
        self.poll_at_ms = now_ms + POLL_MS
        mark = _mark_of(self.path)
        if mark == self.seen and not self.wanted:
            return None
        self.seen = mark
        self.wanted = False
        return self.load()


def _mark_of(path: str) -> tuple[int, int]:
    """Return what tells one content of a file from the next."""
    try:
        found = os.stat(path)
    except OSError:
        # A file that is being replaced is not there for a moment.
        return 0, 0
    return found.st_mtime_ns, found.st_size
