"""Callers of the soak that send ahead, wait for slots and read slowly."""

import bisect
import dataclasses
import math
import random
import threading
import time
import typing

from trefoil_emulator import eager_caller

from . import callers as caller_module
from . import deployment as deployments

CALLER_COUNT = 8
MAX_AHEAD = 4
# 0 is as fast as the caller can. The answers to all that a slow one has sent
# ahead take two seconds, a quarter of a leaving proxy's grace.
READ_BYTES_PER_S = (0, 0, 80_000)
PATHS = ("/halls", "/bookings")
# With the long runs, some requests still wait when a leaving proxy's time
# ends. Callers then read fast: an answer that comes last could not reach a
# slow one before the exit.
SHORT_RUNS_MS = (100.0, 300.0)
LONG_RUNS_MS = 3000.0
RECONNECT_PAUSE_S = 0.1


@dataclasses.dataclass(slots=True, frozen=True)
class Connection:
    """One connection of a caller.

    Args:
        host: The proxy.
        opened_s: When it was opened, in seconds of the monotonic clock.
        caller: Its requests and answers.
    """

    host: str
    opened_s: float
    caller: eager_caller.EagerCaller

    def unanswered(self) -> list[str]:
        """Return the names of the requests without a whole answer."""
        answered = {answer.name for answer in self.caller.answers}
        return [name for name in self.caller.sent if name not in answered]

    def owed_until_s(self, shutdown: deployments.Shutdown) -> float:
        """Return until when a request was read that must be answered.

        What is sent behind an answer that ends the connection need not be.
        No such answer comes before the signal.

        Args:
            shutdown: The shutdown that ended the connection.
        """
        if any(answer.closes for answer in self.caller.answers):
            return shutdown.started_s
        return min(self.caller.ended_s, shutdown.ended_s)


@dataclasses.dataclass(slots=True, frozen=True, order=True)
class RoundTrip:
    """A request that a proxy answered.

    Args:
        sent_s: When it was sent, in seconds of the monotonic clock.
        received_s: When its answer was received, likewise.
    """

    sent_s: float
    received_s: float


class Reading:
    """When a proxy had read what was sent to it, by what it answered since.

    A time alone does not tell: on a busy machine a process may not run for
    seconds. Each turn of a proxy's loop serves all sockets. A turn that began
    after a request was sent accepts its connection, the next one reads it.

    Args:
        trips: Requests that the proxy answered, on all connections.
    """

    __slots__ = ("sent_s", "received_s")

    def __init__(self, trips: list[RoundTrip]) -> None:
        ordered = sorted(trips)
        self.sent_s = [trip.sent_s for trip in ordered]
        # The first answer to any request that was sent no earlier.
        self.received_s = [trip.received_s for trip in ordered]
        for index in range(len(ordered) - 2, -1, -1):
            later_s = self.received_s[index + 1]
            self.received_s[index] = min(self.received_s[index], later_s)

    def _next_answer_s(self, sent_s: float) -> float:
        index = bisect.bisect_left(self.sent_s, sent_s)
        if index == len(self.sent_s):
            return math.inf
        return self.received_s[index]

    def done_s(self, sent_s: float) -> float:
        """Return by when a request was surely read, infinite if unknown.

        Args:
            sent_s: When it was sent, in seconds of the monotonic clock.
        """
        return self._next_answer_s(self._next_answer_s(sent_s))


class EagerCallers:
    """Callers who use each connection until the proxy ends it.

    They connect without a relay, whose buffers would read for them.

    Args:
        deployment: The deployment to call.
        seed: Seeds the choice of proxies, paths and ways to read.
    """

    __slots__ = ("deployment", "connections", "stopped", "threads")

    def __init__(self, deployment: deployments.Deployment, seed: int) -> None:
        self.deployment = deployment
        self.connections: list[Connection] = []
        self.stopped = threading.Event()
        self.threads = [
            threading.Thread(
                target=self._call,
                args=(number, random.Random(f"{seed}.{number}")),
            )
            for number in range(CALLER_COUNT)
        ]

    def start(self) -> None:
        """Start all callers."""
        for thread in self.threads:
            thread.start()

    def stop(self) -> None:
        """End all connections and wait for the callers."""
        self.stopped.set()
        for thread in self.threads:
            thread.join()

    def _call(self, number: int, rng: random.Random) -> None:
        count = 0
        while not self.stopped.is_set():
            count += 1
            connection = self._connect(f"eager{number}x{count}", rng)
            if connection is None:
                self.stopped.wait(RECONNECT_PAUSE_S)
                continue
            self.connections.append(connection)
            while connection.caller.thread.is_alive():
                if self.stopped.wait(RECONNECT_PAUSE_S):
                    break
            connection.caller.stop()

    def _draw_speed(self, rng: random.Random) -> int:
        bytes_per_s = rng.choice(READ_BYTES_PER_S)
        return 0 if self.deployment.hall_ms == LONG_RUNS_MS else bytes_per_s

    def _connect(self, name: str, rng: random.Random) -> Connection | None:
        host = rng.choice(list(deployments.HOSTS))
        opened_s = time.monotonic()
        try:
            caller = eager_caller.EagerCaller(
                name,
                self.deployment.members[host].address("callers"),
                rng.choice(PATHS),
                ahead=rng.randint(1, MAX_AHEAD),
                bytes_per_s=self._draw_speed(rng),
            )
        except OSError:
            # The proxy is down or has stopped listening.
            return None
        return Connection(host, opened_s, caller)


def draw_run_ms(seed: int) -> float:
    """Return the mean duration of the long runs of one run of the soak."""
    rng = random.Random(f"halls {seed}")
    return rng.choice((*SHORT_RUNS_MS, LONG_RUNS_MS))


def check_answers(connections: list[Connection], runs: list[str]) -> list[str]:
    """Check that answers are the requests' own and say truly what ran.

    Args:
        connections: All connections of the callers.
        runs: Names of the requests that ran.
    """
    ran = set(runs)
    problems = []
    for connection in connections:
        for answer in connection.caller.answers:
            name = answer.name
            if answer.status in caller_module.NOT_RUN_STATUSES:
                if name in ran:
                    problems.append(f"{name}: {answer.status}, and it ran")
            elif answer.path and not answer.path.endswith(f"/{name}"):
                problems.append(f"{name} got the answer to {answer.path}")
    return problems


def list_trips(
    host: str,
    connections: list[Connection],
    attempts: list[caller_module.Attempt],
) -> list[RoundTrip]:
    """Return all requests that a proxy answered.

    Args:
        host: The proxy.
        connections: The connections of the eager callers.
        attempts: The requests of the other callers.
    """
    trips = [
        RoundTrip(attempt.sent_s, attempt.ended_s)
        for attempt in attempts
        if attempt.host == host and attempt.status
    ]
    for connection in connections:
        if connection.host == host:
            sent_s = connection.caller.sent_s
            trips += [
                RoundTrip(sent_s[answer.name], answer.received_s)
                for answer in connection.caller.answers
            ]
    return trips


def check_shutdowns(
    connections: list[Connection],
    attempts: list[caller_module.Attempt],
    runs: list[str],
    shutdowns: list[deployments.Shutdown],
    is_disturbed: typing.Callable[[deployments.Shutdown], bool],
) -> list[str]:
    """Check that a leaving proxy answers all that ran or that it read.

    Args:
        connections: All connections of the eager callers.
        attempts: All requests of the other callers.
        runs: Names of the requests that ran.
        shutdowns: The shutdowns to check.
        is_disturbed: Whether another fault may disturb a shutdown, which is
            then not checked.
    """
    ran = set(runs)
    problems = []
    for shutdown in shutdowns:
        if is_disturbed(shutdown):
            continue
        trips = list_trips(shutdown.host, connections, attempts)
        reading = Reading(trips)
        for connection in connections:
            if _was_ended_by(connection, shutdown):
                problems += _find_unanswered(
                    connection, shutdown, ran, reading
                )
    return problems


def _was_ended_by(
    connection: Connection, shutdown: deployments.Shutdown
) -> bool:
    """Return whether the process that left had a connection at the end.

    A slow caller may read to the end of it after the process is gone.
    """
    return (
        connection.host == shutdown.host
        and connection.opened_s <= shutdown.ended_s
        and connection.caller.ended_s >= shutdown.started_s
    )


def _find_unanswered(
    connection: Connection,
    shutdown: deployments.Shutdown,
    ran: set[str],
    reading: Reading,
) -> list[str]:
    caller = connection.caller
    owed_s = connection.owed_until_s(shutdown)
    took_s = caller.ended_s - shutdown.started_s
    end = f"{'reset' if caller.is_reset else 'closed'} at {took_s:+.2f}s"
    problems = []
    for name in connection.unanswered():
        late_s = caller.sent_s[name] - shutdown.started_s
        when = f"sent {late_s:+.2f}s of the signal, {end}"
        if name in ran:
            problems.append(f"{name} ran, {shutdown.host} left: {when}")
        elif reading.done_s(caller.sent_s[name]) <= owed_s:
            problems.append(f"{name} was read, {shutdown.host} left: {when}")
    return problems
