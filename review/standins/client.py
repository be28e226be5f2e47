"""Clients that send requests at a steady rate, each on a new connection."""

import asyncio
import dataclasses
import itertools
import time

from . import http
from . import record as records

NOTHING = 0


@dataclasses.dataclass(slots=True)
class Attempt:
    """One client attempt and what came of it.

    Args:
        request_id: Its ``Request-Id``.
        machine: The machine that took it.
        sent_s: When it was sent, on the monotonic clock.
        ended_s: When the answer or the end of the connection came.
        status: Status of the answer; 0 if none came in full.
        signed: Whether the answer bore the upstream's signature.
    """

    request_id: str
    machine: str
    sent_s: float
    ended_s: float = 0.0
    status: int = NOTHING
    signed: bool = False

    @property
    def served(self) -> bool:
        """Return whether it was answered by an upstream with success."""
        return self.status // 100 == 2 and self.signed


class Clients:
    """Sends requests to machines in turn.

    Args:
        addresses: Outbound address of each machine, by name.
        record: Where the attempts are written.
        name: What the ids of their requests begin with.
        time_limit_s: How long they wait.
    """

    def __init__(
        self,
        addresses: dict[str, tuple[str, int]],
        record: records.Record,
        name: str = "r",
        time_limit_s: float = 3.0,
    ) -> None:
        self.time_limit_s = time_limit_s
        self.name = name
        self.addresses = addresses
        self.record = record
        self.attempts: list[Attempt] = []
        self.numbers = itertools.count(1)
        self.tasks: set[asyncio.Task[None]] = set()

    async def send_for(
        self,
        for_s: float,
        per_s: float,
        path: str,
        method: str = "GET",
    ) -> None:
        """Send requests at a rate for some seconds."""
        until_s = time.monotonic() + for_s
        names = itertools.cycle(self.addresses)
        while time.monotonic() < until_s:
            self._start(next(names), path, method)
            await asyncio.sleep(1 / per_s)

    async def send_one(self, path: str, method: str = "GET") -> None:
        """Send one request to the first machine."""
        self._start(next(iter(self.addresses)), path, method)

    def _start(self, machine: str, path: str, method: str) -> None:
        request_id = f"{self.name}-{next(self.numbers):06d}"
        attempt = Attempt(request_id, machine, time.monotonic())
        self.attempts.append(attempt)
        task = asyncio.create_task(self._send(attempt, method, path))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def finish(self) -> None:
        """Wait for the answers to all requests."""
        await asyncio.gather(*self.tasks)

    async def _send(self, attempt: Attempt, method: str, path: str) -> None:
        self.record.write(
            "sent", id=attempt.request_id, to=attempt.machine, path=path
        )
        fields = {
            "Host": "kitchens.example",
            "Request-Id": attempt.request_id,
            "Deadline-Ms": str(int(self.time_limit_s * 1000)),
        }
        try:
            answer = await asyncio.wait_for(
                http.call(
                    self.addresses[attempt.machine], method, path, fields
                ),
                self.time_limit_s,
            )
        except (OSError, asyncio.TimeoutError, http.BrokenAnswer) as error:
            self.record.write(
                "unanswered", id=attempt.request_id, why=type(error).__name__
            )
            return
        finally:
            attempt.ended_s = time.monotonic()
        attempt.status = answer.status
        attempt.signed = "response-signature" in answer.fields
        self.record.write(
            "answered", id=attempt.request_id, status=answer.status
        )
