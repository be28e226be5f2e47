"""The operator: sends configurations and orders to the core machines."""

import asyncio
import time
import typing

from . import http
from . import platform as platforms
from . import record as records

PATIENCE_S = 20.0


def route(
    name: str, prefix: str, kind: str, service: str
) -> dict[str, typing.Any]:
    """Return a route of a configuration."""
    return {
        "name": name,
        "host": "kitchens.example",
        "pathPrefix": prefix,
        "kind": kind,
        "timeoutS": 4,
        "targetLatencyS": 0.5,
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
    }


def configuration(
    version: int, base: int, routes: list[dict[str, typing.Any]]
) -> dict[str, typing.Any]:
    """Return a configuration with the services that its routes name."""
    names = sorted({entry["service"] for entry in routes})
    return {
        "version": version,
        "baseVersion": base,
        "routes": routes,
        "services": [
            {
                "name": name,
                "healthPath": "/health",
                "maxConnections": 120,
                "protocol": "h1",
                "tls": False,
            }
            for name in names
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 67108864,
            "headerTimeoutS": 3,
            "idleTimeoutS": 15,
        },
    }


class Operator:
    """Repeats each order at the next machine until it has a clear answer.

    Args:
        platform: The installation.
        record: Where it writes its calls.
    """

    def __init__(
        self, platform: platforms.Platform, record: records.Record
    ) -> None:
        self.platform = platform
        self.record = record

    async def order(
        self, method: str, path: str, value: typing.Any = None
    ) -> http.Answer | None:
        """Return the first answer that is no 5xx, None if there is none."""
        until_s = time.monotonic() + PATIENCE_S
        while time.monotonic() < until_s:
            for name in self.platform.cores:
                address = self.platform.address(name, "control")
                answer = await http.call_json(address, method, path, value)
                status = answer.status if answer is not None else "none"
                self.record.write(
                    "operator", call=f"{method}:{path}", at=name, got=status
                )
                if answer is not None and answer.status < 500:
                    return answer
                await asyncio.sleep(0.1)
        return None
