"""Runs a case: its record, its time limit and its exit status."""

import asyncio
import os
import pathlib
import signal
import sys
import time
import traceback
import typing

from . import fleet

HELD = 0
BROKEN = 1
COULD_NOT_RUN = 2
LIMIT_S = 117


class Record:
    """What was sent, answered and run, with the time of each line.

    Args:
        folder: The folder of the case.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self.began_s = time.monotonic()
        self.file = open(folder / "record.txt", "w", encoding="utf-8")

    @property
    def now_s(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self.began_s

    def add(self, text: str) -> None:
        """Add a line."""
        line = f"{self.now_s:8.3f} {text}"
        print(line, file=self.file, flush=True)
        print(line, flush=True)


Check = typing.Callable[
    [fleet.Fleet, Record, bool], typing.Awaitable[list[str]]
]


def run(path: str, deployment: fleet.Fleet, check: Check) -> typing.NoReturn:
    """Run a check and exit with its result.

    Args:
        path: The script of the case.
        deployment: The deployment, not started yet.
        check: Returns what broke the rule.
    """
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    record = Record(pathlib.Path(path).resolve().parent)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.add(f"trouble: {trouble}")
    status = COULD_NOT_RUN
    try:
        status = asyncio.run(_run(deployment, record, trouble, check))
    except (Exception, KeyboardInterrupt):
        record.add(f"could not run: {traceback.format_exc()}")
    finally:
        deployment.stop_all(keep=bool(os.environ.get("KEEP_LOGS")))
    record.add(f"exit status {status}")
    sys.exit(status)


async def _run(
    deployment: fleet.Fleet, record: Record, trouble: bool, check: Check
) -> int:
    async with asyncio.timeout(LIMIT_S):
        broken = await check(deployment, record, trouble)
    for text in broken:
        record.add(f"BROKEN: {text}")
    return BROKEN if broken else HELD
