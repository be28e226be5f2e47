"""Two upstreams that crash together make the fleet deny a proper request.

At a quiet moment two upstreams of one zone run the same harmless request, one
each. Both crash at once and stay down for some seconds; all others are well.
The request must be served afterwards, as it was before.

Exits with 1 if the rule DENIED was broken, 0 if it held and 2 if the case
could not run.
"""

import asyncio
import os
import pathlib
import sys
import tempfile
import time

from review.standins import client as clients
from review.standins import operator
from review.standins import platform as platforms
from review.standins import record as records
from review.standins import upstream as upstreams

HELD, BROKEN, NOT_RUN = 0, 1, 2
SERVICE = "tables-7c1"
SIDECARS = {
    f"sidecar-{zone}-{number}": SERVICE
    for number in (1, 2)
    for zone in platforms.ZONES
}
CRASHING = ("sidecar-ariana-1", "sidecar-ariana-2")
PATH = "/list/kitchens"
WORK_S = 0.16
QUIET_PER_S = (2.3, 1.7)
PER_S = 60.0
DOWN_S = 4.0
START_TIMEOUT_S = 20.0
MOMENT_TIMEOUT_S = 30.0


async def run(
    platform: platforms.Platform, record: records.Record, trouble: bool
) -> int:
    """Play the case and return the exit status."""
    platform.start_all()
    running = {
        name: await _start_upstream(platform, record, name)
        for name in platform.sidecars
    }
    orders = operator.Operator(platform, record)
    routes = [operator.route("r-list", "/list/", "safe", SERVICE)]
    answer = await orders.order(
        "PUT", "/api/config", operator.configuration(1, 0, routes)
    )
    if answer is None or answer.status != 200:
        return NOT_RUN
    if not await platform.wait_until_ready(START_TIMEOUT_S):
        return NOT_RUN
    await asyncio.sleep(platforms.BOUNDS["stabilityWindowS"])
    addresses = {
        name: platform.address(name, "outbound") for name in platform.sidecars
    }
    before = clients.Clients(addresses, record, "before")
    await before.send_for(4.0, PER_S, PATH)
    await before.finish()
    if not all(attempt.served for attempt in before.attempts):
        return NOT_RUN

    load = [
        asyncio.create_task(
            clients.Clients(
                {name: addresses[name]}, record, f"quiet-{name}"
            ).send_for(MOMENT_TIMEOUT_S, per_s, PATH)
        )
        for name, per_s in zip(CRASHING, QUIET_PER_S)
    ]
    if trouble and not await _crash_together(running):
        return NOT_RUN
    for task in load:
        task.cancel()
    await asyncio.sleep(0.5)
    after = clients.Clients(addresses, record, "after")
    sending = asyncio.create_task(after.send_for(20.0, PER_S, PATH))
    if trouble:
        await asyncio.sleep(DOWN_S)
        for name in CRASHING:
            await _start_upstream(platform, record, name, lifetime=2)
    await sending
    await after.finish()
    return judge(after, record)


async def _start_upstream(
    platform: platforms.Platform,
    record: records.Record,
    name: str,
    lifetime: int = 1,
) -> upstreams.Upstream:
    upstream = upstreams.Upstream(
        f"i-{name}-{lifetime}",
        SERVICE,
        platform.address(name, "app"),
        platform.address(name, "control"),
        record,
        work_s=WORK_S,
    )
    await upstream.start()
    return upstream


async def _crash_together(running: dict[str, upstreams.Upstream]) -> bool:
    """Crash both upstreams while each runs one request, no other any."""
    until_s = time.monotonic() + MOMENT_TIMEOUT_S
    while time.monotonic() < until_s:
        at_work = {
            name: upstream.running
            for name, upstream in running.items()
            if upstream.running
        }
        if at_work == dict.fromkeys(CRASHING, 1):
            for name in CRASHING:
                running[name].crash()
            return True
        await asyncio.sleep(0.002)
    return False


def judge(after: clients.Clients, record: records.Record) -> int:
    """Apply DENIED to the requests that were sent after the crash."""
    denied = [
        attempt
        for attempt in after.attempts
        if 300 <= attempt.status < 500
        and attempt.status not in (408, 421, 429)
        and not attempt.signed
    ]
    allowed = 5 + len(after.attempts) / 500
    statuses = sorted({attempt.status for attempt in after.attempts})
    record.write(
        "verdict",
        sent=len(after.attempts),
        denied=len(denied),
        allowed=f"{allowed:.1f}",
        statuses=statuses,
    )
    print(
        f"{len(denied)} of {len(after.attempts)} denied, "
        f"{allowed:.1f} allowed; statuses {statuses}"
    )
    return BROKEN if len(denied) > allowed else HELD


def main() -> int:
    """Run the case in a temporary folder."""
    here = pathlib.Path(__file__).resolve().parent
    record = records.Record(here / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    with tempfile.TemporaryDirectory() as folder:
        platform = platforms.Platform(pathlib.Path(folder), 74, SIDECARS)
        try:
            return asyncio.run(run(platform, record, trouble))
        finally:
            platform.stop_all()
            record.close()


if __name__ == "__main__":
    sys.exit(main())
