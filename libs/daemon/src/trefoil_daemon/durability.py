"""Failed writes of a control process, and when it may write again.

A full disk refuses writes for seconds and then accepts them again. The
agreement core holds an entry in memory before it is written, so its next
reply would acknowledge an entry that is not on disk. Therefore the process
takes no part in the agreement from the first failed write on: it does not
vote, lead or acknowledge. Once the disk accepts writes again it resumes from
the state on disk, like a process that has just started but without the time
that a start takes.
"""

import collections.abc
import contextlib

from trefoil_model import errors

RETRY_INTERVAL_MS = 500


class Durability:
    """Whether the disk of a control process accepts writes.

    Attributes:
        failed: Whether the last write failed.
        failed_writes: How many writes have failed.
        retry_at_ms: When the disk is tried again.
    """

    __slots__ = ("failed", "failed_writes", "retry_at_ms")

    def __init__(self) -> None:
        self.failed = False
        self.failed_writes = 0
        self.retry_at_ms = 0

    @contextlib.contextmanager
    def write(self) -> collections.abc.Iterator[None]:
        """Wrap a write to the disk.

        Raises:
            DiskWriteError: The write failed.
        """
        try:
            yield
        except OSError as error:
            raise errors.DiskWriteError(str(error))

    def record_failure(self, now_ms: int) -> None:
        """Record a failed write."""
        self.failed = True
        self.failed_writes += 1
        self.retry_at_ms = now_ms + RETRY_INTERVAL_MS

    def is_due(self, now_ms: int) -> bool:
        """Return whether the disk should be tried again."""
        return self.failed and now_ms >= self.retry_at_ms

    def record_recovery(self) -> None:
        """Record that the disk accepts writes again."""
        self.failed = False
