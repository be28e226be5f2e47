"""A late status report brings back an upstream that has deregistered.

An upstream deregisters with DELETE and is acknowledged. The process that gave
the ack is killed and restarted by the platform. Seconds later a status report
from before the DELETE arrives at the restarted process. Requests must not
reach the upstream any more.

Exits with 1 if the rule DRAIN was broken, 0 if it held and 2 if the case
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
SIDECARS = {f"sidecar-{zone}": SERVICE for zone in platforms.ZONES}
LEAVING = "sidecar-ariana"
PER_S = 60.0
PATH = "/list/kitchens"
RESTART_DELAY_S = 0.5
# The report arrives this long after the DELETE: ``stabilityWindowS`` after
# the restart and a little more, so that all machines are in touch.
REPORT_DELAY_S = RESTART_DELAY_S + platforms.BOUNDS["stabilityWindowS"] + 1.0
SERVES_ON_S = REPORT_DELAY_S + 3.0
START_TIMEOUT_S = 20.0


async def run(
    platform: platforms.Platform, record: records.Record, trouble: bool
) -> int:
    """Play the case and return the exit status."""
    platform.start_all()
    running = []
    for name in platform.sidecars:
        upstream = upstreams.Upstream(
            f"i-{name}",
            SERVICE,
            platform.address(name, "app"),
            platform.address(name, "control"),
            record,
        )
        await upstream.start()
        running.append(upstream)
    orders = operator.Operator(platform, record)
    first = operator.configuration(
        1, 0, [operator.route("r-list", "/list/", "safe", SERVICE)]
    )
    answer = await orders.order("PUT", "/api/config", first)
    if answer is None or answer.status != 200:
        return NOT_RUN
    if not await platform.wait_until_ready(START_TIMEOUT_S):
        return NOT_RUN
    await asyncio.sleep(platforms.BOUNDS["stabilityWindowS"])
    leaving = running[platform.sidecars.index(LEAVING)]
    addresses = {
        name: platform.address(name, "outbound") for name in platform.sidecars
    }
    callers = clients.Clients(addresses, record)
    await callers.send_for(2.0, PER_S, PATH)
    if not leaving.arrivals:
        return NOT_RUN

    leaving.stop_reports()
    late_report = leaving.report()
    acked = await leaving.deregister()
    acked_s = time.monotonic()
    record.write("deregistered", at=LEAVING, acked=acked)
    if not acked:
        return NOT_RUN
    if trouble:
        platform.kill(LEAVING)
        record.write("killed", at=LEAVING)
        await asyncio.sleep(RESTART_DELAY_S)
        platform.start(LEAVING)
        record.write("restarted", at=LEAVING)
    # Clients send again once all machines are in touch.
    await asyncio.sleep(acked_s + REPORT_DELAY_S - time.monotonic())
    ready = await platform.is_ready(LEAVING)
    late = await leaving.send_report(late_report)
    record.write("late-report", at=LEAVING, ready=ready, acked=late)
    if not ready:
        return NOT_RUN
    await callers.send_for(SERVES_ON_S - REPORT_DELAY_S, PER_S, PATH)
    await callers.finish()
    return judge(leaving, acked_s, callers, record)


def judge(
    leaving: upstreams.Upstream,
    acked_s: float,
    callers: clients.Clients,
    record: records.Record,
) -> int:
    """Apply DRAIN to what the upstream saw."""
    late_s = [
        at_s - acked_s
        for at_s, _ in leaving.arrivals
        if at_s - acked_s > platforms.BOUNDS["drainS"]
    ]
    served = sum(attempt.served for attempt in callers.attempts)
    record.write(
        "verdict",
        served=served,
        sent=len(callers.attempts),
        reached_late=len(late_s),
        first_s=f"{min(late_s):.2f}" if late_s else "none",
        last_s=f"{max(late_s):.2f}" if late_s else "none",
    )
    print(f"{len(late_s)} requests reached it over drainS after its ack")
    if served < len(callers.attempts) / 2:
        return NOT_RUN
    return BROKEN if late_s else HELD


def main() -> int:
    """Run the case in a temporary folder."""
    here = pathlib.Path(__file__).resolve().parent
    record = records.Record(here / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    with tempfile.TemporaryDirectory() as folder:
        platform = platforms.Platform(pathlib.Path(folder), 72, SIDECARS)
        try:
            return asyncio.run(run(platform, record, trouble))
        finally:
            platform.stop_all()
            record.close()


if __name__ == "__main__":
    sys.exit(main())
