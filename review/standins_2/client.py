"""Clients that send requests and keep what they got."""

import asyncio
import dataclasses
import itertools
import secrets
import time

from . import fleet
from . import wire


@dataclasses.dataclass(slots=True)
class Attempt:
    """One client attempt and its outcome.

    Args:
        id: Its ``Request-Id``.
        path: Its path.
        sent_s: When it was sent, on the monotonic clock.
        status: The status of its answer, 0 without one.
        fields: The fields of the answer.
        body: The body of the answer.
    """

    id: str
    path: str
    sent_s: float
    status: int = 0
    fields: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""


class Clients:
    """Clients on the machines of a deployment.

    Args:
        deployment: The deployment.
    """

    def __init__(self, deployment: fleet.Fleet) -> None:
        self.fleet = deployment
        self.attempts: list[Attempt] = []
        self.numbers = itertools.count(1)

    async def send(
        self,
        machine: fleet.Machine,
        route: str,
        *,
        method: str = "GET",
        deadline_s: float = 5.0,
        fields: dict[str, str] | None = None,
    ) -> Attempt:
        """Send one request on a new connection."""
        number = next(self.numbers)
        path = f"/{route}/{number}"
        attempt = Attempt(secrets.token_hex(8), path, time.monotonic())
        self.attempts.append(attempt)
        response = await wire.call(
            self.fleet.outbound(machine),
            method,
            path,
            wait_s=deadline_s,
            fields={
                "Host": f"{route}.example",
                "Request-Id": attempt.id,
                "Deadline-Ms": str(int(deadline_s * 1000)),
                "Connection": "close",
            }
            | (fields or {}),
        )
        if response is not None:
            attempt.status = response.status
            attempt.fields = response.fields
            attempt.body = response.body
        return attempt

    async def keep_sending(
        self, machine: fleet.Machine, route: str, per_s: float
    ) -> None:
        """Send requests at a steady rate until cancelled."""
        async with asyncio.TaskGroup() as group:
            while True:
                group.create_task(self.send(machine, route))
                await asyncio.sleep(1 / per_s)
