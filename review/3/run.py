"""An unreadable status report keeps a machine on an old configuration.

Another writer sends status reports whose version can't be written as UTF-8 to
the process of one machine, once each ``heartbeatS``. Meanwhile an operator's
change drops a route and adds one. The machine must follow ``configApplyS``
after the ack, as all others do.

Exits with 1 if the rule CONFIG was broken, 0 if it held and 2 if the case
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
AFFECTED = "sidecar-ariana"
KEPT, DROPPED, ADDED = "/list/", "/quotes/", "/ovens/"
PER_S = 40.0
START_TIMEOUT_S = 20.0
# The other writer has reported for this long when the change is sent.
REPORTED_S = 6.0
CHECKED_S = 6.0
# JSON for half of a surrogate pair, which is no character.
UNREADABLE = "v\ud800"


class OtherWriter:
    """Sends status reports that can't be read to one machine.

    Args:
        upstream: The upstream of that machine; what is readable in the
            reports is taken from its own.
        record: Where the reports are written.
    """

    def __init__(
        self, upstream: upstreams.Upstream, record: records.Record
    ) -> None:
        self.upstream = upstream
        self.record = record

    async def report_regularly(self) -> None:
        """Report once each ``heartbeatS``."""
        writer = upstreams.Upstream(
            "x-other-writer",
            self.upstream.service,
            self.upstream.address,
            self.upstream.control,
            self.record,
            version=UNREADABLE,
        )
        while True:
            acked = await writer.send_report(writer.report())
            self.record.write("unreadable-report", acked=acked)
            await asyncio.sleep(upstreams.HEARTBEAT_S)


async def run(
    platform: platforms.Platform, record: records.Record, trouble: bool
) -> int:
    """Play the case and return the exit status."""
    platform.start_all()
    running = {}
    for name in platform.sidecars:
        running[name] = upstreams.Upstream(
            f"i-{name}",
            SERVICE,
            platform.address(name, "app"),
            platform.address(name, "control"),
            record,
        )
        await running[name].start()
    orders = operator.Operator(platform, record)
    answer = await orders.order("PUT", "/api/config", _document(1, 0, DROPPED))
    if answer is None or answer.status != 200:
        return NOT_RUN
    if not await platform.wait_until_ready(START_TIMEOUT_S):
        return NOT_RUN
    await asyncio.sleep(platforms.BOUNDS["stabilityWindowS"])
    writer = OtherWriter(running[AFFECTED], record)
    reports = None
    if trouble:
        reports = asyncio.create_task(writer.report_regularly())
    await asyncio.sleep(REPORTED_S)
    answer = await orders.order("PUT", "/api/config", _document(2, 1, ADDED))
    if answer is None or answer.status != 200:
        return NOT_RUN
    await asyncio.sleep(platforms.BOUNDS["configApplyS"] + 0.1)

    addresses = {
        name: platform.address(name, "outbound") for name in platform.sidecars
    }
    by_path = {
        path: clients.Clients(addresses, record, path.strip("/"))
        for path in (KEPT, DROPPED, ADDED)
    }
    await asyncio.gather(
        *(
            group.send_for(CHECKED_S, PER_S, path + "kitchens")
            for path, group in by_path.items()
        )
    )
    for group in by_path.values():
        await group.finish()
    if reports is not None:
        reports.cancel()
    return judge(by_path, record)


def _document(version: int, base: int, other: str) -> dict:
    """Return a configuration with the kept route and another one."""
    routes = [
        operator.route(f"r-{prefix.strip('/')}", prefix, "safe", SERVICE)
        for prefix in (KEPT, other)
    ]
    return operator.configuration(version, base, routes)


def judge(by_path: dict[str, clients.Clients], record: records.Record) -> int:
    """Apply CONFIG to the requests, all sent after ``configApplyS``."""
    kept = by_path[KEPT].attempts
    stale = {
        "run-on-dropped-route": [
            attempt for attempt in by_path[DROPPED].attempts if attempt.served
        ],
        "refused-on-added-route": [
            attempt
            for attempt in by_path[ADDED].attempts
            if attempt.status == 404 and not attempt.signed
        ],
    }
    for what, attempts in stale.items():
        machines = sorted({attempt.machine for attempt in attempts})
        record.write(
            "verdict", what=what, count=len(attempts), at=",".join(machines)
        )
        print(f"{what}: {len(attempts)} at {machines}")
    if sum(attempt.served for attempt in kept) < len(kept) / 2:
        return NOT_RUN
    return BROKEN if any(stale.values()) else HELD


def main() -> int:
    """Run the case in a temporary folder."""
    here = pathlib.Path(__file__).resolve().parent
    record = records.Record(here / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    with tempfile.TemporaryDirectory() as folder:
        platform = platforms.Platform(pathlib.Path(folder), 73, SIDECARS)
        try:
            return asyncio.run(run(platform, record, trouble))
        finally:
            platform.stop_all()
            record.close()


if __name__ == "__main__":
    sys.exit(main())
