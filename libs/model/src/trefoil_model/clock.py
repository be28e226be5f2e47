"""The runtime's clock, which tests pause and advance."""

import time
import typing


class Clock(typing.Protocol):
    """Tell the time to a process."""

    def now_ms(self) -> int:
        """Return milliseconds since an arbitrary start; never goes back."""

    def now_us(self) -> int:
        """Return the same in microseconds."""

    def wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch; may step."""


class SystemClock:
    """The clock of the machine."""

    __slots__ = ()

    def now_ms(self) -> int:
        """Return monotonic milliseconds."""
        return time.monotonic_ns() // 1_000_000

    def now_us(self) -> int:
        """Return monotonic microseconds."""
        return time.monotonic_ns() // 1000

    def wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch."""
        return time.time_ns() // 1_000_000


class PausedClock:
    """A clock that moves only when it is told to.

    Args:
        start_ms: First value of both readings, in milliseconds.
    """

    __slots__ = ("current_ms", "wall_offset_ms")

    def __init__(self, start_ms: int = 1_000_000) -> None:
        self.current_ms = start_ms
        self.wall_offset_ms = 0

    def now_ms(self) -> int:
        """Return the paused monotonic time."""
        return self.current_ms

    def now_us(self) -> int:
        """Return the paused monotonic time in microseconds."""
        return self.current_ms * 1000

    def wall_ms(self) -> int:
        """Return the paused wall time, steps included."""
        return self.current_ms + self.wall_offset_ms

    def advance(self, by_ms: int) -> int:
        """Move on by some milliseconds and return the new time."""
        self.current_ms += by_ms
        return self.current_ms
