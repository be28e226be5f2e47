"""Whether a control process may vouch for what it is told to keep.

A disk that is full refuses writes for seconds and then takes them again. The
agreement core has an entry in memory before the disk is asked, and its next
reply would vouch for it. So from the first refusal on the process takes no
part in the agreement: it neither votes, nor leads, nor acknowledges. Once
the disk takes writes again it goes on from what the disk holds, like a
process that has just started, but without the time that a start takes.
"""

import collections.abc
import contextlib

from trefoil_model import errors

RETRY_MS = 500


class Durability:
    """What is known of the disk of one control process."""

    __slots__ = ("failed", "refusals", "retry_at_ms")

    def __init__(self) -> None:
        self.failed = False
        self.refusals = 0
        self.retry_at_ms = 0

    @contextlib.contextmanager
    def write(self) -> collections.abc.Iterator[None]:
        """Write to the disk.

        Raises:
            DiskRefused: The disk did not take it.
        """
        try:
            yield
        except OSError as error:
            raise errors.DiskWriteError(str(error))

    def refused(self, now_ms: int) -> None:
        """Note a write that the disk did not take."""
        self.failed = True
        self.refusals += 1
        self.retry_at_ms = now_ms + RETRY_MS

    def is_due(self, now_ms: int) -> bool:
        """Tell whether the disk should be tried again."""
        return self.failed and now_ms >= self.retry_at_ms

    def works(self) -> None:
        """Note that the disk takes writes again."""
        self.failed = False
