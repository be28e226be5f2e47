"""The key of a tenant that was taken away is honoured for good."""

import asyncio
import sys
import typing

from standins_2 import case
from standins_2 import client
from standins_2 import fleet
from standins_2 import operator
from standins_2 import upstream

SERVICE = "preview"
ROUTE = "open"
# The tenant's own routes, which go with it. ``big_config`` adds up to 1,764.
OWN_ROUTES = 600
REVOKE_S = 5
BOUNDS = {"strictRevoke": True, "revokeS": REVOKE_S}
STAYS = {"name": "studio-stays", "apiKeys": ["key-that-stays-0123456789"]}
LEAVES = {"name": "studio-leaves", "apiKeys": ["key-that-leaves-0123456789"]}
# The old key is tried this often, a second apart.
TRIES = 10


def config(
    version: int, base: int, tenants: list[typing.Any], own_routes: int
) -> operator.Config:
    """Return a configuration with tenants and the leaving one's routes."""
    routes = [operator.route(ROUTE, SERVICE)]
    routes += [
        operator.route(f"own{number}", SERVICE) for number in range(own_routes)
    ]
    value = operator.config(version, base, routes, [SERVICE])
    return value | {"tenants": tenants}


class Keys:
    """Sends requests with keys.

    Args:
        deployment: The deployment.
        record: The record of the case.
    """

    def __init__(self, deployment: fleet.Fleet, record: case.Record) -> None:
        self.clients = client.Clients(deployment)
        self.sides = deployment.sides
        self.record = record

    async def send(self, tenant: dict[str, typing.Any]) -> list[int]:
        """Send a request of a tenant at each machine; return the statuses."""
        key = f"Token {tenant['apiKeys'][0]}"
        statuses = []
        for side in self.sides:
            attempt = await self.clients.send(
                side, ROUTE, fields={"Authorization": key}
            )
            statuses.append(attempt.status)
        self.record.add(f"requests of {tenant['name']}: {statuses}")
        return statuses


async def check(
    deployment: fleet.Fleet, record: case.Record, trouble: bool
) -> list[str]:
    """Take a tenant away, with trouble together with its many routes."""
    deployment.start_all()
    servers = [
        upstream.Upstream(
            deployment, side, service=SERVICE, id=f"i-{side.name}"
        )
        for side in deployment.sides
    ]
    for server in servers:
        await server.start()
    head = operator.Operator(deployment)
    own_routes = OWN_ROUTES if trouble else 0
    value = config(3, 0, [STAYS, LEAVES], own_routes)
    if not await head.put_config(value):
        raise RuntimeError("the first configuration was not acknowledged")
    record.add(f"version 3 acknowledged: two tenants, {own_routes} own routes")
    await asyncio.sleep(4)
    keys = Keys(deployment, record)
    for tenant in (STAYS, LEAVES):
        if await keys.send(tenant) != [200] * len(deployment.sides):
            raise RuntimeError("a sound key was not served")
    if not await head.put_config(config(5, 3, [STAYS], 0)):
        raise RuntimeError("the second configuration was not acknowledged")
    record.add("version 5 acknowledged: one tenant, no own routes")
    await asyncio.sleep(REVOKE_S + 1)
    runs_before = [len(server.runs) for server in servers]
    served = 0
    for _ in range(TRIES):
        served += (await keys.send(LEAVES)).count(200)
        await asyncio.sleep(1)
    runs = sum(len(server.runs) for server in servers) - sum(runs_before)
    tenants = {
        request.fields.get("tenant-id", "")
        for server, before in zip(servers, runs_before)
        for request in server.runs[before:]
    }
    record.add(f"after that, upstreams ran {runs} requests, as {tenants}")
    if await keys.send(STAYS) != [200] * len(deployment.sides):
        record.add("the key that stays is not served everywhere")
    if not runs:
        return []
    return [
        f"{runs} requests with the key that version 5 took away ran, "
        f"{REVOKE_S + 1} s and more after its acknowledgement; {served} of "
        f"them were answered with 200"
    ]


if __name__ == "__main__":
    services = [SERVICE] * 3
    case.run(
        __file__, fleet.Fleet(["za", "zb", "zc"], services, BOUNDS), check
    )
    sys.exit(case.COULD_NOT_RUN)
