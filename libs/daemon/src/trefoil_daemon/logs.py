"""One key=value line an event, by logbook."""

import json
import sys

import logbook

from trefoil_model import effects as common

LEVELS = {
    "debug": logbook.DEBUG,
    "info": logbook.INFO,
    "warning": logbook.WARNING,
    "error": logbook.ERROR,
}
PLAIN = frozenset(
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789_.:/#%+-"
)
FORMAT = (
    "at={record.time:%Y-%m-%dT%H:%M:%S.%f}Z "
    "level={record.level_name} {record.message}"
)


def quote(value: object) -> str:
    """Return a value so that it parses back: bare, or a JSON string."""
    text = str(value)
    if text and all(letter in PLAIN for letter in text):
        return text
    return json.dumps(text)


def parse(line: str) -> dict[str, str]:
    """Return the pairs of a log line."""
    found = {}
    decoder = json.JSONDecoder()
    rest = line.strip()
    while rest:
        key, _, rest = rest.partition("=")
        if rest.startswith('"'):
            value, end = decoder.raw_decode(rest)
        else:
            end = (rest + " ").index(" ")
            value = rest[:end]
        found[key] = value
        rest = rest[end:].lstrip()
    return found


class EventLog:
    """Writes events to standard output.

    Args:
        process: Name of the process, on every line.
        level: Least level that is written.
    """

    __slots__ = ("process", "logger", "level")

    def __init__(self, process: str, level: str = "info") -> None:
        self.process = process
        self.level = LEVELS[level]
        self.logger = logbook.Logger(process)
        handler = logbook.StreamHandler(
            sys.stdout, level=self.level, format_string=FORMAT
        )
        self.logger.handlers.append(handler)

    def note(self, note: common.Note) -> None:
        """Write one event."""
        level = LEVELS[note.level]
        if level < self.level:
            return
        pairs = [f"event={quote(note.event)}", f"process={self.process}"]
        for key, value in note.fields.items():
            pairs.append(f"{key}={quote(value)}")
        self.logger.log(level, " ".join(pairs).replace("{", "{{"))
