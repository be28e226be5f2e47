"""One key=value line an event, by logbook, bounded and never blocking."""

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
# Lines a second of one event. A dozen events at once stay under 200 lines a
# second, and the first twenty of a kind tell its cause.
RATE_PER_EVENT = 20
WINDOW_S = 1.0


quote = lines.quote
parse = lines.parse


class DroppingStream(io.TextIOBase):
    """Writes whole lines to a descriptor, or drops them.

    A log collector that stops reading fills the pipe. A process that waited
    for it would stop serving callers, so lines are dropped and counted.

    Args:
        descriptor: Where to write; made non-blocking.
    """

    def __init__(self, descriptor: int) -> None:
        self.descriptor = descriptor
        self.dropped = 0
        self.rest = b""
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Write a line, or count it as dropped."""
        data = text.encode("utf-8", "replace")
        if self.rest and not self._send(b""):
            self.dropped += 1
            return len(text)
        if not self._send(data):
            self.dropped += 1
        return len(text)

    def _send(self, data: bytes) -> bool:
        """Send what is left of the line before, then this one."""
        whole = self.rest + data
        try:
            sent = os.write(self.descriptor, whole)
        except BlockingIOError:
            return False
        except OSError:
            # The reader is gone for good; so are the lines.
            self.rest = b""
            return False
        # Part of a line went out: the rest must follow, or the next line
        # would be glued to it.
        self.rest = whole[sent:]
        return not self.rest or bool(data)


class EventLog:
    """Writes events to standard output.

    Args:
        process: Name of the process, on every line.
        level: Least level that is written.
        stream: Where to write; standard output by default.
        clock: Returns seconds, for the rates.
    """

    __slots__ = (
        "process",
        "logger",
        "level",
        "stream",
        "clock",
        "window_s",
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
        self.window_s = clock()
        self.counts: dict[str, int] = {}
        self.logger = logbook.Logger(process)
        handler = logbook.StreamHandler(
            self.stream, level=self.level, format_string=FORMAT
        )
        self.logger.handlers.append(handler)

    def note(self, note: common.Note) -> None:
        """Write one event, or count it where its kind comes too often."""
        level = LEVELS[note.level]
        if level < self.level:
            return
        if self.clock() - self.window_s >= WINDOW_S:
            self._end_window()
        count = self.counts.get(note.event, 0) + 1
        self.counts[note.event] = count
        if count <= RATE_PER_EVENT:
            self._write(level, note.event, note.fields)

    def _end_window(self) -> None:
        """Tell what was left out, and start counting anew."""
        self.window_s = self.clock()
        counts, self.counts = self.counts, {}
        left_out = {
            event: count - RATE_PER_EVENT
            for event, count in counts.items()
            if count > RATE_PER_EVENT
        }
        dropped = self.stream.dropped
        if dropped:
            left_out["dropped"] = dropped
        if left_out:
            self._write(logbook.INFO, "log.left_out", left_out)
        if self.stream.dropped == dropped:
            # Told; where this line was dropped too, the next one tells.
            self.stream.dropped = 0

    def _write(
        self,
        level: int,
        event: str,
        fields: typing.Mapping[str, typing.Any],
    ) -> None:
        pairs = [f"event={quote(event)}", f"process={self.process}"]
        for key, value in fields.items():
            pairs.append(f"{key}={quote(value)}")
        self.logger.log(level, " ".join(pairs).replace("{", "{{"))
