"""What all scripts have in common: a folder, a fleet and an exit status."""

import asyncio
import collections.abc
import os
import pathlib
import signal
import sys
import tempfile
import typing

from . import operator
from . import platform as platforms
from . import record as records
from . import upstream as upstreams

HELD, BROKEN, NOT_RUN = 0, 1, 2
START_TIMEOUT_S = 20.0

Run = collections.abc.Callable[
    [platforms.Platform, records.Record, bool],
    collections.abc.Coroutine[typing.Any, typing.Any, int],
]


def play(script: str, network: int, sidecars: dict[str, str], run: Run) -> int:
    """Run a case in a temporary folder and return its exit status.

    Every process that was started has ended when this returns, also if the
    script is told to stop.

    Args:
        script: Path of the script; the record is written beside it.
        network: Second byte of the loopback addresses.
        sidecars: Service of the upstream of each sidecar machine, by name.
        run: The case; gets the platform, the record and whether to disrupt.
    """
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    record_path = pathlib.Path(script).resolve().with_name("record.txt")
    record = records.Record(record_path)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    with tempfile.TemporaryDirectory() as folder:
        platform = platforms.Platform(pathlib.Path(folder), network, sidecars)
        try:
            return asyncio.run(run(platform, record, trouble))
        finally:
            platform.stop_all()
            record.close()


async def start(
    platform: platforms.Platform,
    record: records.Record,
    routes: list[dict[str, typing.Any]],
    work_s: float,
) -> dict[str, upstreams.Upstream] | None:
    """Start all machines with an upstream each and a first configuration.

    Returns:
        The upstreams by machine, None if the fleet does not serve in time.
    """
    platform.start_all()
    running = {}
    for name in platform.sidecars:
        running[name] = upstreams.Upstream(
            f"i-{name}",
            platform.machines[name].service,
            platform.address(name, "app"),
            platform.address(name, "control"),
            platform.machines[name].zone,
            record,
            work_s=work_s,
        )
        await running[name].start()
    answer = await operator.Operator(platform, record).order(
        "PUT", "/api/config", operator.configuration(1, 0, routes)
    )
    if answer is None or answer.status != 200:
        return None
    if not await platform.wait_until_ready(START_TIMEOUT_S):
        return None
    await asyncio.sleep(platforms.BOUNDS["stabilityWindowS"])
    return running


def outbound(
    platform: platforms.Platform,
) -> dict[str, tuple[str, int]]:
    """Return the address for clients of each sidecar machine, by name."""
    return {
        name: platform.address(name, "outbound") for name in platform.sidecars
    }
