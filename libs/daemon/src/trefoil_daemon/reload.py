"""Reloading of changed settings."""

import os
import typing

from trefoil_settings import settings as setting_store

# A change without a signal takes effect within two seconds.
POLL_INTERVAL_MS = 1000

Load = typing.Callable[[], setting_store.ParseResult]


class Reloader:
    """Reloads a settings file after it has changed.

    Args:
        path: The settings file.
        load: Reads and validates it.
    """

    __slots__ = (
        "path",
        "load",
        "last_stamp",
        "poll_at_ms",
        "reload_requested",
    )

    def __init__(self, path: str, load: Load) -> None:
        self.path = path
        self.load = load
        self.last_stamp = _stamp_of(path)
        self.poll_at_ms = 0
        self.reload_requested = False

    def request_reload(self) -> None:
        """Reload the file at the next poll even if it has not changed."""
        self.reload_requested = True

    def poll(self, now_ms: int) -> setting_store.ParseResult | None:
        """Return the new settings or their findings; None if unchanged."""
        if not self.reload_requested and now_ms < self.poll_at_ms:
            return None
        self.poll_at_ms = now_ms + POLL_INTERVAL_MS
        stamp = _stamp_of(self.path)
        if stamp == self.last_stamp and not self.reload_requested:
            return None
        self.last_stamp = stamp
        self.reload_requested = False
        return self.load()


def _stamp_of(path: str) -> tuple[int, int]:
    """Return the modification time and size of a file."""
    try:
        stat = os.stat(path)
    except OSError:
        # A file that is being replaced is briefly missing.
        return 0, 0
    return stat.st_mtime_ns, stat.st_size
