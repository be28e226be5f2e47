"""Carries the faults of a plan out, each on a thread of its own."""

import subprocess
import threading
import time
import typing

from . import deployment as deployments
from . import plan as plans
from . import relays as relay_store

# A region's distance both ways, for every piece that is relayed.
DELAY_S = 0.15
HELD = {
    plans.Kind.HOLD_IN: {relay_store.Way.IN},
    plans.Kind.HOLD_OUT: {relay_store.Way.OUT},
    plans.Kind.CUT: set(relay_store.Way),
}


class Trouble:
    """What harms a deployment during a run.

    Args:
        deployment: The processes.
        faults: What to do to them.
    """

    __slots__ = ("deployment", "faults", "threads", "problems")

    def __init__(
        self,
        deployment: deployments.Deployment,
        faults: list[plans.Fault],
    ) -> None:
        self.deployment = deployment
        self.faults = faults
        self.threads: list[threading.Thread] = []
        self.problems: list[str] = []

    def start(self) -> None:
        """Let each fault come at its time."""
        began_s = time.monotonic()
        for fault in self.faults:
            thread = threading.Thread(target=self._do, args=(fault, began_s))
            thread.start()
            self.threads.append(thread)

    def join(self) -> None:
        """Wait until all are over."""
        for thread in self.threads:
            thread.join()

    def _do(self, fault: plans.Fault, began_s: float) -> None:
        time.sleep(max(began_s + fault.at_s - time.monotonic(), 0))
        try:
            self._carry_out(fault)
        except subprocess.TimeoutExpired:
            self.problems.append(f"{fault.member} did not leave in time")

    def _carry_out(self, fault: plans.Fault) -> None:
        made = self.deployment
        match fault.kind:
            case plans.Kind.KILL:
                self._away([fault.member], fault.for_s)
            case plans.Kind.KILL_CONTROLS:
                self._away(made.control_names, fault.for_s)
            case plans.Kind.WIPE:
                self._away([fault.member], fault.for_s, made.lose_disk)
            case plans.Kind.TEAR:
                self._away([fault.member], fault.for_s, made.tear_log)
            case plans.Kind.PAUSE:
                made.pause(fault.member, fault.for_s)
            case plans.Kind.TERMINATE:
                made.leave(fault.member)
            case plans.Kind.ROLL:
                for host in deployments.HOSTS:
                    made.leave(host)
            case _:
                self._on_links(fault)

    def _away(
        self,
        names: list[str],
        for_s: float,
        on_disk: typing.Callable[[str], None] | None = None,
    ) -> None:
        killed = [n for n in names if self.deployment.kill_if_up(n)]
        if on_disk is not None:
            for name in killed:
                on_disk(name)
        time.sleep(for_s)
        for name in killed:
            self.deployment.start_again(name)

    def _on_links(self, fault: plans.Fault) -> None:
        found = list(self.deployment.before[fault.member].values())
        for relay in found:
            self._begin(relay, fault.kind)
        if fault.kind in (plans.Kind.RESET, plans.Kind.SILENCE):
            return
        time.sleep(fault.for_s)
        for relay in found:
            self._end(relay, fault.kind)

    def _begin(self, relay: relay_store.Relay, kind: plans.Kind) -> None:
        match kind:
            case plans.Kind.RESET:
                self.deployment.relays.call(relay.reset)
            case plans.Kind.SILENCE:
                self.deployment.relays.call(relay.silence)
            case plans.Kind.DELAY:
                relay.delay_s = DELAY_S
            case _:
                relay.held = relay.held | HELD[kind]

    def _end(self, relay: relay_store.Relay, kind: plans.Kind) -> None:
        if kind == plans.Kind.DELAY:
            relay.delay_s = 0.0
        else:
            relay.held = relay.held - HELD[kind]
