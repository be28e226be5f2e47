"""What is watched while faults come: revisions, and the operator's word."""

import re
import threading
import time

from trefoil_cli import client
from trefoil_emulator import fleet as fleets

from . import deployment as deployments

# Often enough to see each document in force at each proxy.
LOOK_S = 0.25
CHANGE_S = 0.6
# How long one control process is asked before the next; an election and a
# half.
SETTLE_S = 5.0
REVISION = re.compile(rb"^trefoilroute_revision (\S+)", re.MULTILINE)
DONE = "done"
DOCUMENT = """\
services:
  - {name: tables, version: v1, resources: [listings, payments]}
routes:
  - {name: list-slots, prefix: /slots, methods: [GET], service: tables,
     resource: listings, tenant: chefs, timeout: 2s, repeat: any}
  - {name: pay-deposit, prefix: /deposits, methods: [POST], service: tables,
     resource: payments, tenant: payments, timeout: 2s, repeat: once}
  - {name: marker, prefix: /marker-NUMBER, methods: [GET], service: tables,
     resource: listings, tenant: chefs, timeout: 2s, repeat: any}
"""


class Revisions:
    """Looks at each proxy's revision; it may only grow in one life.

    Args:
        deployment: The processes.
    """

    __slots__ = ("deployment", "highest", "problems", "stopped", "thread")

    def __init__(self, deployment: deployments.Deployment) -> None:
        self.deployment = deployment
        self.highest: dict[int, float] = {}
        self.problems: list[str] = []
        self.stopped = threading.Event()
        self.thread = threading.Thread(target=self._run)

    def _run(self) -> None:
        while not self.stopped.wait(LOOK_S):
            for host in deployments.HOSTS:
                self._look(host)

    def _look(self, host: str) -> None:
        member = self.deployment.members[host]
        pid = member.pid
        answer = fleets.http(
            f"http://{member.address('metrics')}/metrics", timeout_s=1
        )
        found = REVISION.search(answer.body)
        if found is None or member.pid != pid:
            return
        revision = float(found[1])
        before = self.highest.get(pid, 0.0)
        if revision < before:
            self.problems.append(
                f"{host} went back from revision {before:g} to {revision:g}"
            )
        self.highest[pid] = max(before, revision)

    def stop(self) -> None:
        """Stop looking."""
        self.stopped.set()
        self.thread.join()


class Operator:
    """Applies one document after the other, each until its outcome is known.

    Args:
        deployment: The processes.
        seed: Chooses whom the operator asks.
    """

    __slots__ = (
        "deployment",
        "number",
        "acknowledged",
        "problems",
        "stopped",
        "thread",
        "offset",
    )

    def __init__(self, deployment: deployments.Deployment, seed: int) -> None:
        self.deployment = deployment
        self.number = 0
        self.acknowledged = 0
        self.offset = seed
        self.problems: list[str] = []
        self.stopped = threading.Event()
        self.thread = threading.Thread(target=self._run)

    def _run(self) -> None:
        while not self.stopped.wait(CHANGE_S):
            self.change()

    def change(self, within_s: float = 60.0) -> bool:
        """Apply the next document; return whether it was acknowledged."""
        self.number += 1
        document = DOCUMENT.replace("NUMBER", str(self.number))
        command = f"{int(time.time() * 1000)}-{self.number}"
        until = time.monotonic() + within_s
        while time.monotonic() < until:
            outcome = self._say(document, command)
            if outcome == DONE:
                self.acknowledged = self.number
                return True
            if outcome:
                self.problems.append(f"document {self.number}: {outcome}")
                return False
        return False

    def _say(self, document: str, command: str) -> str:
        """Return the outcome; empty while it is not known."""
        self.offset += 1
        names = self.deployment.control_names
        at = names[self.offset % len(names)]
        line = client.Line.from_number(
            "apply soak.yaml", command, "soak", document
        )
        address = self.deployment.members[at].address("admin")
        try:
            answer = client.Client(address).send_and_wait(line, SETTLE_S)
        except (client.Unreachable, client.Refused):
            # Nothing answers there now; the command keeps its number.
            time.sleep(LOOK_S)
            return ""
        outcome = answer["outcome"]
        return "" if outcome == "pending" else outcome

    def stop(self) -> None:
        """Finish the document under way and stop."""
        self.stopped.set()
        self.thread.join()
