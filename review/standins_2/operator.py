"""The operator: configurations, roll-outs and reads."""

import asyncio
import json
import time
import typing

from . import fleet
from . import wire

ACK_WAIT_S = 1.0
Config = dict[str, typing.Any]


def config(
    version: int,
    base: int,
    routes: list[dict[str, typing.Any]],
    services: list[str],
    **limits: typing.Any,
) -> Config:
    """Return a complete configuration."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": name,
                "healthPath": "/health",
                "maxConnections": 110,
                "protocol": "h1",
                "tls": False,
            }
            for name in services
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 67108864,
            "headerTimeoutS": 3,
            "idleTimeoutS": 15,
        }
        | limits,
        "baseVersion": base,
    }


def route(
    name: str, service: str, kind: str = "safe", **fields: typing.Any
) -> dict[str, typing.Any]:
    """Return a route; its host and its prefix follow from its name."""
    return {
        "name": name,
        "host": f"{name}.example",
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "timeoutS": 10,
        "targetLatencyS": 0.5,
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
    } | fields


class Operator:
    """Sends orders to the core machines, one after the other.

    Args:
        deployment: The deployment.
    """

    def __init__(self, deployment: fleet.Fleet) -> None:
        self.fleet = deployment
        self.next = 0

    async def order(
        self, method: str, path: str, value: typing.Any, for_s: float = 15
    ) -> wire.Response | None:
        """Send an order until it gets a clear response.

        The same bytes go to the next core machine after a failure, a 5xx or
        a second without a response.
        """
        body = b"" if value is None else json.dumps(value).encode()
        until_s = time.monotonic() + for_s
        pause_s = 0.1
        while time.monotonic() < until_s:
            core = self.fleet.cores[self.next % len(self.fleet.cores)]
            response = await wire.call_raw(
                self.fleet.control(core),
                method,
                path,
                body,
                wait_s=ACK_WAIT_S,
            )
            if response is not None and response.status < 500:
                return response
            self.next += 1
            await asyncio.sleep(pause_s)
            pause_s = min(pause_s * 1.5, 1)
        return None

    async def put_config(self, value: Config) -> bool:
        """Send a configuration; return whether it was acknowledged."""
        response = await self.order("PUT", "/api/config", value, 20)
        return response is not None and response.status == 200

    async def read_config(
        self, core: fleet.Machine, wait_s: float = 1.0
    ) -> wire.Response | None:
        """Read the configuration at one core machine."""
        return await wire.call(
            self.fleet.control(core), "GET", "/api/config", wait_s=wait_s
        )
