"""A graceful shutdown breaks off a long request at which its upstream works.

A machine gets SIGTERM while its upstream works on one request that takes
1.2 s. Other requests of the same route take 0.06 s and go on until the clients
of the machine have learned of the shutdown. The long request must be answered
by its upstream: it ends well within ``graceS`` and its own time limit.

Exits with 1 if the rule LOST was broken, 0 if it held and 2 if the case could
not run.
"""

import asyncio
import signal
import sys

from review.standins import case
from review.standins import client as clients
from review.standins import operator
from review.standins import platform as platforms
from review.standins import record as records
from review.standins import upstream as upstreams

SERVICE = "tables-7c1"
SIDECARS = {f"sidecar-{zone}": SERVICE for zone in platforms.ZONES}
STOPPED = "sidecar-ariana"
SHORT, LONG = "/deposits/charge", "/deposits/settle"
# The longest work of a deposit charge on the sheet of matbakh-mesh is 1.2 s.
WORK_S, LONG_WORK_S = 0.06, 1.2
TIME_LIMIT_S = 4.0
PER_S = 40.0
READINESS_S = 1.0
MISSES = 2


async def run(
    platform: platforms.Platform, record: records.Record, trouble: bool
) -> int:
    """Play the case and return the exit status."""
    routes = [operator.route("r-deposits", "/deposits/", "unsafe", SERVICE)]
    running = await case.start(platform, record, routes, WORK_S)
    if running is None:
        return case.NOT_RUN
    for upstream in running.values():
        upstream.work_by_path[LONG] = LONG_WORK_S
    address = {STOPPED: platform.address(STOPPED, "outbound")}
    short = clients.Clients(address, record, "short", TIME_LIMIT_S)
    load = asyncio.create_task(short.send_for(30.0, PER_S, SHORT, "POST"))
    await asyncio.sleep(4.0)
    long = clients.Clients(address, record, "long", TIME_LIMIT_S)
    await long.send_one(LONG, "POST")
    await asyncio.sleep(0.1)
    if trouble:
        platform.send(STOPPED, signal.SIGTERM)
        record.write("sigterm", at=STOPPED)
        await _wait_for_misses(platform)
    else:
        await asyncio.sleep(READINESS_S * MISSES)
    load.cancel()
    await long.finish()
    await short.finish()
    return judge(long.attempts[0], list(running.values()), trouble, record)


async def _wait_for_misses(platform: platforms.Platform) -> None:
    """Wait until clients get no new work: two readiness checks missed."""
    misses = 0
    while misses < MISSES:
        await asyncio.sleep(READINESS_S)
        misses = 0 if await platform.is_ready(STOPPED) else misses + 1


def judge(
    attempt: clients.Attempt,
    running: list[upstreams.Upstream],
    trouble: bool,
    record: records.Record,
) -> int:
    """Apply LOST to the long request."""
    ran = [
        at_s
        for upstream in running
        for at_s, request_id in upstream.runs
        if request_id == attempt.request_id
    ]
    if not ran:
        return case.NOT_RUN
    took_s = attempt.ended_s - attempt.sent_s
    at_work = attempt.ended_s < ran[0] + LONG_WORK_S
    broken_off = at_work and not attempt.signed
    record.write(
        "verdict",
        status=attempt.status,
        signed=attempt.signed,
        took_s=f"{took_s:.2f}",
        broken_off=broken_off,
    )
    print(
        f"the long request got {attempt.status} after {took_s:.2f} s, "
        f"signed: {attempt.signed}"
    )
    # Without a SIGTERM the rule does not apply.
    return case.BROKEN if broken_off and trouble else case.HELD


if __name__ == "__main__":
    sys.exit(case.play(__file__, 73, SIDECARS, run))
