"""A refused configuration before the final fault leaves no proxy serving.

An operator sends an invalid configuration, which is refused. Then all
processes are killed; one core machine loses its disk, and all come back. More
than a quarter of the requests must be served ``recoveryS`` later.

Exits with 1 if the rule RECOVER was broken, 0 if it held and 2 if the case
could not run.
"""

import asyncio
import sys

from review.standins import case
from review.standins import client as clients
from review.standins import operator
from review.standins import platform as platforms
from review.standins import record as records

SERVICE = "tables-7c1"
SIDECARS = {f"sidecar-{zone}": SERVICE for zone in platforms.ZONES}
PATH = "/list/kitchens"
WORK_S = 0.02
PER_S = 60.0
# All core machines have become voters by then.
SETTLED_S = 5.0
LOST_DISK = "core-manouba"
DOWN_S = 1.4
# Machines that lost power do not all start equally fast.
SLOWEST = "core-ben-arous"
SLOWEST_DOWN_S = 3.0
NEEDED_SHARE = 0.25


async def run(
    platform: platforms.Platform, record: records.Record, trouble: bool
) -> int:
    """Play the case and return the exit status."""
    routes = [operator.route("r-list", "/list/", "safe", SERVICE)]
    if await case.start(platform, record, routes, WORK_S) is None:
        return case.NOT_RUN
    await asyncio.sleep(SETTLED_S)
    before = clients.Clients(case.outbound(platform), record, "before")
    await before.send_for(4.0, PER_S, PATH)
    await before.finish()
    if trouble and not await _send_invalid(platform, record, routes):
        return case.NOT_RUN
    for name in platform.machines:
        platform.kill(name)
    platform.lose_disk(LOST_DISK)
    record.write("final-fault", disk_lost=LOST_DISK)
    await asyncio.sleep(DOWN_S)
    for name in platform.machines:
        if name != SLOWEST:
            platform.start(name)
    await asyncio.sleep(SLOWEST_DOWN_S - DOWN_S)
    platform.start(SLOWEST)
    record.write("machines-are-back")
    await asyncio.sleep(platforms.BOUNDS["recoveryS"])
    after = clients.Clients(case.outbound(platform), record, "after")
    await after.send_for(10.0, PER_S, PATH)
    await after.finish()
    return judge(before, after, record)


async def _send_invalid(
    platform: platforms.Platform,
    record: records.Record,
    routes: list[dict],
) -> bool:
    """Send a route to an unknown service; return whether it was refused."""
    invalid = operator.configuration(2, 1, routes)
    invalid["routes"] = [
        operator.route("r-list", "/list/", "safe", "no-such-service")
    ]
    answer = await operator.Operator(platform, record).order(
        "PUT", "/api/config", invalid
    )
    return answer is not None and answer.status // 100 == 4


def judge(
    before: clients.Clients, after: clients.Clients, record: records.Record
) -> int:
    """Apply RECOVER to the clients' attempts."""
    served_before, served_after = (
        sum(attempt.served for attempt in group.attempts) / len(group.attempts)
        for group in (before, after)
    )
    record.write(
        "verdict", before=f"{served_before:.3f}", after=f"{served_after:.3f}"
    )
    print(f"served before {served_before:.3f}, after {served_after:.3f}")
    if served_before < NEEDED_SHARE:
        return case.NOT_RUN
    return case.BROKEN if served_after < NEEDED_SHARE else case.HELD


if __name__ == "__main__":
    sys.exit(case.play(__file__, 71, SIDECARS, run))
