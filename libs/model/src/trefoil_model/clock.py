"""The runtime's clock and a replacement that tests advance by hand."""

import time
import typing


class Clock(typing.Protocol):
    """Interface of the clocks that a process reads the time from."""

    def now_ms(self) -> int:
        """Return monotonic milliseconds since an arbitrary start."""

    def now_us(self) -> int:
        """Return monotonic microseconds since the same start."""

    def boot_ms(self) -> int:
        """Return milliseconds that count while the host is suspended.

        The other monotonic times stand still then.
        """

    def wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch; may jump."""


class SystemClock:
    """The operating system's clocks."""

    __slots__ = ()

    def now_ms(self) -> int:
        """Return monotonic milliseconds."""
        return time.monotonic_ns() // 1_000_000

    def now_us(self) -> int:
        """Return monotonic microseconds."""
        return time.monotonic_ns() // 1000

    def boot_ms(self) -> int:
        """Return milliseconds that count while the host is suspended."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000

    def wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch."""
        return time.time_ns() // 1_000_000


class PausedClock:
    """A clock that advances only on request.

    Args:
        start_ms: Initial monotonic and wall time, in milliseconds.
    """

    __slots__ = ("current_ms", "suspended_ms", "wall_offset_ms")

    def __init__(self, start_ms: int = 1_000_000) -> None:
        self.current_ms = start_ms
        self.suspended_ms = 0
        self.wall_offset_ms = 0

    def now_ms(self) -> int:
        """Return the current monotonic time in milliseconds."""
        return self.current_ms

    def now_us(self) -> int:
        """Return the current monotonic time in microseconds."""
        return self.current_ms * 1000

    def boot_ms(self) -> int:
        """Return the monotonic time plus the time of suspensions."""
        return self.current_ms + self.suspended_ms

    def wall_ms(self) -> int:
        """Return the wall time in milliseconds, including its offset."""
        return self.current_ms + self.suspended_ms + self.wall_offset_ms

    def advance(self, by_ms: int) -> int:
        """Advance by some milliseconds and return the monotonic time."""
        self.current_ms += by_ms
        return self.current_ms

    def suspend(self, for_ms: int) -> None:
        """Suspend the host: only boot and wall time go on."""
        self.suspended_ms += for_ms
