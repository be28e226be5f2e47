"""A restarted core machine answers a read with an older configuration."""

import asyncio
import json
import signal
import sys
import time

from standins_2 import case
from standins_2 import fleet
from standins_2 import operator

# More than a snapshot covers, so that a restarted process has to catch up.
FIRST_VERSIONS = 18
APPLY_S = 2.0
CALM_S = 4.0
# A process that listens has opened its links after this time.
LINKED_S = 0.07
READ_WAIT_S = 1.0
ROUNDS_UNTIL_S = 95


class Reads:
    """Reads configurations and keeps those that were too old."""

    def __init__(self, deployment: fleet.Fleet, record: case.Record) -> None:
        self.operator = operator.Operator(deployment)
        self.record = record
        self.acked = 0
        self.acked_s = 0.0
        self.broken: list[str] = []

    async def put_next(self) -> None:
        """Put one more configuration in force."""
        version = self.acked + 1
        routes = [operator.route("list", "beds", timeoutS=1 + version / 10)]
        value = operator.config(version, self.acked, routes, ["beds"])
        if not await self.operator.put_config(value):
            raise RuntimeError(f"version {version} was not acknowledged")
        self.acked = version
        self.acked_s = time.monotonic()
        self.record.add(f"version {version} acknowledged")

    async def read(self, core: fleet.Machine) -> None:
        """Read at a machine, and check what it answers."""
        sent_s = time.monotonic()
        must = self.acked if sent_s - self.acked_s > APPLY_S else 0
        response = await self.operator.read_config(core, READ_WAIT_S)
        if response is None or response.status != 200:
            status = response.status if response is not None else "no answer"
            self.record.add(f"read at {core.name}: {status}")
            return
        version = json.loads(response.body)["version"]
        self.record.add(f"read at {core.name}: 200, version {version}")
        if version < must:
            age_s = sent_s - self.acked_s
            self.broken.append(
                f"{core.name} answered version {version}; version {must} "
                f"had been acknowledged {age_s:.1f} s before the read"
            )


async def choose(
    deployment: fleet.Fleet, record: case.Record
) -> tuple[fleet.Machine, fleet.Machine]:
    """Return the leader and a follower that opens the link to it."""
    follower = deployment.cores[0]
    leader = deployment.leader()
    while leader is follower:
        record.add(f"{leader.name} leads; it is restarted as planned work")
        await restart(deployment, leader)
        await asyncio.sleep(1)
        leader = deployment.leader()
    return leader, follower


async def restart(deployment: fleet.Fleet, core: fleet.Machine) -> None:
    """Stop a process with SIGTERM and start it again."""
    deployment.stop(core)
    await asyncio.sleep(0.8)
    deployment.start(core)
    deployment.wait_listening(deployment.control(core))


async def play_round(
    deployment: fleet.Fleet, record: case.Record, reads: Reads, trouble: bool
) -> None:
    """Read at a follower that is restarted while the leader is frozen."""
    leader, follower = await choose(deployment, record)
    await restart(deployment, follower)
    record.add(f"{follower.name} was stopped and started")
    await reads.put_next()
    await asyncio.sleep(CALM_S)
    began_s = time.monotonic()
    if trouble:
        deployment.signal(leader, signal.SIGSTOP)
        record.add(f"{leader.name}, the leader, is frozen")
    first = asyncio.create_task(reads.read(follower))
    await asyncio.sleep(0.02)
    deployment.stop(follower)
    deployment.start(follower)
    record.add(f"{follower.name} gets SIGTERM and starts again")
    await asyncio.to_thread(
        deployment.wait_listening, deployment.control(follower)
    )
    second = asyncio.create_task(reads.read(follower))
    await asyncio.sleep(LINKED_S)
    if trouble:
        deployment.signal(leader, signal.SIGCONT)
        frozen_s = time.monotonic() - began_s
        record.add(f"{leader.name} wakes after {frozen_s:.2f} s")
    await first
    await second


async def check(
    deployment: fleet.Fleet, record: case.Record, trouble: bool
) -> list[str]:
    """Play rounds until one breaks the rule or the time is up."""
    deployment.start_all()
    reads = Reads(deployment, record)
    for _ in range(FIRST_VERSIONS):
        await reads.put_next()
    while not reads.broken and record.now_s < ROUNDS_UNTIL_S:
        await play_round(deployment, record, reads, trouble)
    return reads.broken


if __name__ == "__main__":
    case.run(__file__, fleet.Fleet(["za", "zb", "zc"], []), check)
    sys.exit(case.COULD_NOT_RUN)
