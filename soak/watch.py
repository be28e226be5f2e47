"""Monitors revisions and applies documents while faults are injected."""

import dataclasses
import re
import threading
import time

from trefoil_cli import client
from trefoil_emulator import fleet as fleets

from . import deployment as deployments

# Shorter than CHANGE_INTERVAL_S, to see each document in force at each proxy.
POLL_INTERVAL_S = 0.25
CHANGE_INTERVAL_S = 0.6
# Time to wait for an outcome from one control process before trying the next.
# Covers one and a half elections.
OUTCOME_TIMEOUT_S = 5.0
REVISION = re.compile(rb"^trefoilroute_revision (\S+)", re.MULTILINE)
STARTED = re.compile(rb"^trefoilroute_started_ms (\S+)", re.MULTILINE)
DONE = "done"
DOCUMENT = """\
services:
  - {name: tables, version: v1, resources: [listings, payments]}
  - {name: halls, version: v1}
routes:
  - {name: halls, prefix: /halls, methods: [GET], service: halls,
     tenant: chefs, timeout: 20s, repeat: any}
  - {name: bookings, prefix: /bookings, methods: [GET], service: halls,
     tenant: chefs, timeout: 20s, repeat: once}
  - {name: list-slots, prefix: /slots, methods: [GET], service: tables,
     resource: listings, tenant: chefs, timeout: 2s, repeat: any}
  - {name: pay-deposit, prefix: /deposits, methods: [POST], service: tables,
     resource: payments, tenant: payments, timeout: 2s, repeat: once}
  - {name: marker, prefix: /marker-NUMBER, methods: [GET], service: tables,
     resource: listings, tenant: chefs, timeout: 2s, repeat: any}
"""


@dataclasses.dataclass(slots=True, frozen=True)
class Life:
    """One process of a proxy, as it names itself in its answers.

    The deployment's own record of the process may be older than the answer:
    a thread that starts a process learns its id only after it runs.

    Args:
        host: The proxy.
        started: When the process started, as it writes it.
    """

    host: str
    started: str


class RevisionMonitor:
    """Checks that a proxy process's revision never decreases.

    Args:
        deployment: The processes.
    """

    __slots__ = ("deployment", "highest", "problems", "stopped", "thread")

    def __init__(self, deployment: deployments.Deployment) -> None:
        self.deployment = deployment
        self.highest: dict[Life, float] = {}
        self.problems: list[str] = []
        self.stopped = threading.Event()
        self.thread = threading.Thread(target=self._run)

    def _run(self) -> None:
        while not self.stopped.wait(POLL_INTERVAL_S):
            for host in deployments.HOSTS:
                self._poll(host)

    def _poll(self, host: str) -> None:
        address = self.deployment.members[host].address("metrics")
        answer = fleets.http(f"http://{address}/metrics", timeout_s=1)
        if answer.status:
            self.add_answer(host, answer.body)

    def add_answer(self, host: str, body: bytes) -> None:
        """Compare an answer with the earlier ones of the same process.

        Args:
            host: The proxy that was asked.
            body: Its metrics.
        """
        revision, started = REVISION.search(body), STARTED.search(body)
        if revision is None or started is None:
            self.problems.append(f"{host} names no revision or start")
            return
        life = Life(host, started[1].decode())
        current = float(revision[1])
        previous = self.highest.get(life, 0.0)
        if current < previous:
            self.problems.append(
                f"{host} went back from revision {previous:g} to {current:g} "
                f"(process started at {life.started}, {time.time():.3f})"
            )
        self.highest[life] = max(previous, current)

    def stop(self) -> None:
        """Stop polling and wait for the thread to end."""
        self.stopped.set()
        self.thread.join()


class Operator:
    """Applies documents one by one, each until its outcome is known.

    Args:
        deployment: The processes.
        seed: Determines which control process is asked first.
    """

    __slots__ = (
        "deployment",
        "number",
        "acknowledged",
        "problems",
        "stopped",
        "thread",
        "control_offset",
    )

    def __init__(self, deployment: deployments.Deployment, seed: int) -> None:
        self.deployment = deployment
        self.number = 0
        self.acknowledged = 0
        self.control_offset = seed
        self.problems: list[str] = []
        self.stopped = threading.Event()
        self.thread = threading.Thread(target=self._run)

    def _run(self) -> None:
        while not self.stopped.wait(CHANGE_INTERVAL_S):
            self.apply_next()

    def apply_next(self, within_s: float = 60.0) -> bool:
        """Apply the next document.

        Args:
            within_s: Seconds to wait for an outcome.

        Returns:
            Whether it was acknowledged as done.
        """
        self.number += 1
        document = DOCUMENT.replace("NUMBER", str(self.number))
        command = f"{int(time.time() * 1000)}-{self.number}"
        deadline_s = time.monotonic() + within_s
        while time.monotonic() < deadline_s:
            outcome = self._send(document, command)
            if outcome == DONE:
                self.acknowledged = self.number
                return True
            if outcome:
                self.problems.append(f"document {self.number}: {outcome}")
                return False
        return False

    def _send(self, document: str, command: str) -> str:
        """Return the outcome; empty while it is unknown."""
        self.control_offset += 1
        names = self.deployment.control_names
        control = names[self.control_offset % len(names)]
        line = client.Line.from_number(
            "apply soak.yaml", command, "soak", document
        )
        address = self.deployment.members[control].address("admin")
        try:
            answer = client.Client(address).send_and_wait(
                line, OUTCOME_TIMEOUT_S
            )
        except (client.Unreachable, client.Refused):
            # The next attempt asks another control process, under the same
            # command number.
            time.sleep(POLL_INTERVAL_S)
            return ""
        outcome = answer["outcome"]
        return "" if outcome == "pending" else outcome

    def stop(self) -> None:
        """Finish the current document, then stop."""
        self.stopped.set()
        self.thread.join()
