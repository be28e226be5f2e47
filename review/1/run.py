"""A refused configuration before the final fault leaves no proxy serving.

An operator sends an invalid configuration, which is refused. Then all
processes are killed; one core machine loses its disk, and all come back. More
than a quarter of the requests must be served ``recoveryS`` later.

Exits with 1 if the rule RECOVER was broken, 0 if it held and 2 if the case
could not run.
"""

import asyncio
import os
import pathlib
import sys
import tempfile

from review.standins import client as clients
from review.standins import operator
from review.standins import platform as platforms
from review.standins import record as records
from review.standins import upstream as upstreams

HELD, BROKEN, NOT_RUN = 0, 1, 2
SERVICE = "tables-7c1"
SIDECARS = {f"sidecar-{zone}": SERVICE for zone in platforms.ZONES}
PATH = "/list/kitchens"
PER_S = 60.0
DOWN_S = 1.4
# Machines that lost power do not all start equally fast.
SLOWEST = "core-ben-arous"
SLOWEST_DOWN_S = 3.0
START_TIMEOUT_S = 20.0
LOST_DISK = "core-manouba"


async def run(
    platform: platforms.Platform, record: records.Record, trouble: bool
) -> int:
    """Play the case and return the exit status."""
    platform.start_all()
    for name in platform.sidecars:
        upstream = upstreams.Upstream(
            f"i-{name}",
            SERVICE,
            platform.address(name, "app"),
            platform.address(name, "control"),
            record,
        )
        await upstream.start()
    orders = operator.Operator(platform, record)
    routes = [operator.route("r-list", "/list/", "safe", SERVICE)]
    answer = await orders.order(
        "PUT", "/api/config", operator.configuration(1, 0, routes)
    )
    if answer is None or answer.status != 200:
        return NOT_RUN
    if not await platform.wait_until_ready(START_TIMEOUT_S):
        return NOT_RUN
    # All core machines have joined and the core is stable.
    await asyncio.sleep(8.0)
    addresses = {
        name: platform.address(name, "outbound") for name in platform.sidecars
    }
    before = clients.Clients(addresses, record)
    await before.send_for(4.0, PER_S, PATH)
    await before.finish()
    if trouble:
        unknown = operator.configuration(2, 1, routes)
        unknown["routes"] = [
            operator.route("r-list", "/list/", "safe", "no-such-service")
        ]
        unknown["services"] = operator.configuration(2, 1, routes)["services"]
        answer = await orders.order("PUT", "/api/config", unknown)
        if answer is None or answer.status // 100 != 4:
            return NOT_RUN
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
    after = clients.Clients(addresses, record)
    await after.send_for(10.0, PER_S, PATH)
    await after.finish()
    return judge(before, after, record)


def judge(
    before: clients.Clients, after: clients.Clients, record: records.Record
) -> int:
    """Apply RECOVER to the clients' attempts."""
    shares = [
        sum(attempt.served for attempt in group.attempts) / len(group.attempts)
        for group in (before, after)
    ]
    record.write(
        "verdict", before=f"{shares[0]:.3f}", after=f"{shares[1]:.3f}"
    )
    print(f"served before {shares[0]:.3f}, after {shares[1]:.3f}")
    if shares[0] < 0.25:
        return NOT_RUN
    return BROKEN if shares[1] < 0.25 else HELD


def main() -> int:
    """Run the case in a temporary folder."""
    here = pathlib.Path(__file__).resolve().parent
    record = records.Record(here / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    with tempfile.TemporaryDirectory() as folder:
        platform = platforms.Platform(pathlib.Path(folder), 71, SIDECARS)
        try:
            return asyncio.run(run(platform, record, trouble))
        finally:
            platform.stop_all()
            record.close()


if __name__ == "__main__":
    sys.exit(main())
