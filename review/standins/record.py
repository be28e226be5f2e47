"""The record of a run: what was sent, answered and run."""

import pathlib
import time
import typing


class Record:
    """Writes one line an event to ``record.txt``.

    Args:
        path: The file.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self.file = open(path, "w", encoding="utf-8")
        self.started_s = time.monotonic()

    def write(self, event: str, **fields: typing.Any) -> None:
        """Write an event with the time since the start in seconds."""
        at_s = time.monotonic() - self.started_s
        parts = [f"{name}={value}" for name, value in fields.items()]
        self.file.write(f"{at_s:9.3f} {event} {' '.join(parts)}\n")

    def close(self) -> None:
        """Close the file."""
        self.file.close()
