"""Event log: one key=value line per event, rate-limited and non-blocking."""

import io
import os
import sys
import time
import typing

import logbook

from trefoil_model import effects as common
from trefoil_model import lines

LEVELS = {
    "debug": logbook.DEBUG,
    "info": logbook.INFO,
    "warning": logbook.WARNING,
    "error": logbook.ERROR,
}
FORMAT = (
    "at={record.time:%Y-%m-%dT%H:%M:%S.%f}Z "
    "level={record.level_name} {record.message}"
)
# Lines per second for each event. A dozen events at the same time add up to
# about 200 lines per second; the first twenty of an event are enough to find
# its cause.
MAX_LINES_PER_SECOND = 20
WINDOW_S = 1.0
# Callers choose some of the values, such as the ids of their requests.
MAX_VALUE_CHARS = 2000


quote = lines.quote
parse = lines.parse


class DroppingStream(io.TextIOBase):
    """Writes complete lines to a descriptor, or drops them.

    When a log collector stops reading, the pipe fills up. A blocking write
    would stop the process from serving callers, so lines are dropped and
    counted.

    Args:
        descriptor: File descriptor to write to; it is made non-blocking.
    """

    def __init__(self, descriptor: int) -> None:
        self.descriptor = descriptor
        self.dropped = 0
        self.unsent = b""
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Write a line, or count it as dropped."""
        data = text.encode("utf-8", "replace")
        if self.unsent and not self._send(b""):
            self.dropped += 1
            return len(text)
        if not self._send(data):
            self.dropped += 1
        return len(text)

    def _send(self, data: bytes) -> bool:
        """Write the rest of the previous line, then this one.

        Returns:
            Whether the data was written, at least in part.
        """
        pending = self.unsent + data
        try:
            sent = os.write(self.descriptor, pending)
        except BlockingIOError:
            return False
        except OSError:
            # The reader has closed the pipe.
            self.unsent = b""
            return False
        # After a partial write the rest must follow, or the next line would
        # be appended to it.
        self.unsent = pending[sent:]
        return not self.unsent or bool(data)


class EventLog:
    """Writes events to standard output.

    Args:
        process: Name of the process; it is part of every line.
        level: Lowest level that is written.
        stream: Output stream; standard output by default.
        clock: Returns seconds; used by the rate limit.
    """

    __slots__ = (
        "process",
        "logger",
        "level",
        "stream",
        "clock",
        "window_started_s",
        "counts",
    )

    def __init__(
        self,
        process: str,
        level: str = "info",
        stream: DroppingStream | None = None,
        clock: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        self.process = process
        self.level = LEVELS[level]
        self.stream = stream or DroppingStream(sys.stdout.fileno())
        self.clock = clock
        self.window_started_s = clock()
        self.counts: dict[str, int] = {}
        self.logger = logbook.Logger(process)
        handler = logbook.StreamHandler(
            self.stream, level=self.level, format_string=FORMAT
        )
        self.logger.handlers.append(handler)

    def note(self, note: common.Note) -> None:
        """Write an event, or only count it above its rate limit."""
        level = LEVELS[note.level]
        if level < self.level:
            return
        if self.clock() - self.window_started_s >= WINDOW_S:
            self._end_window()
        count = self.counts.get(note.event, 0) + 1
        self.counts[note.event] = count
        if count <= MAX_LINES_PER_SECOND:
            self._write(level, note.event, note.fields)

    def _end_window(self) -> None:
        """Log how many lines were left out and start a new window."""
        self.window_started_s = self.clock()
        counts, self.counts = self.counts, {}
        left_out = {
            event: count - MAX_LINES_PER_SECOND
            for event, count in counts.items()
            if count > MAX_LINES_PER_SECOND
        }
        dropped = self.stream.dropped
        if dropped:
            left_out["dropped"] = dropped
        if left_out:
            self._write(logbook.INFO, "log.left_out", left_out)
        if self.stream.dropped == dropped:
            # The line was written. If it was dropped, the next window's
            # line includes the count.
            self.stream.dropped = 0

    def _write(
        self,
        level: int,
        event: str,
        fields: typing.Mapping[str, typing.Any],
    ) -> None:
        pairs = [f"event={quote(event)}", f"process={self.process}"]
        for key, value in fields.items():
            pairs.append(f"{key}={quote(_cut(value))}")
        self.logger.log(level, " ".join(pairs).replace("{", "{{"))


def _cut(value: object) -> str:
    """Return a value as text of bounded length."""
    text = str(value)
    if len(text) > MAX_VALUE_CHARS:
        return text[:MAX_VALUE_CHARS] + "..."
    return text
