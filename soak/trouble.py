"""Injects the faults of a plan, each on a separate thread."""

import subprocess
import threading
import time
import typing

from . import deployment as deployments
from . import plan as plans
from . import relays as relay_module

# Latency to a remote region, added to each read in either direction.
DELAY_S = 0.15
HELD_DIRECTIONS = {
    plans.Kind.HOLD_IN: {relay_module.Direction.IN},
    plans.Kind.HOLD_OUT: {relay_module.Direction.OUT},
    plans.Kind.CUT: set(relay_module.Direction),
}


class FaultInjector:
    """Injects faults into a deployment during a run.

    Args:
        deployment: The processes.
        faults: The faults to inject.
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
        """Start a thread for each fault, which waits until it is due."""
        started_s = time.monotonic()
        for fault in self.faults:
            thread = threading.Thread(
                target=self._inject_when_due, args=(fault, started_s)
            )
            thread.start()
            self.threads.append(thread)

    def join(self) -> None:
        """Wait until all faults have ended."""
        for thread in self.threads:
            thread.join()

    def _inject_when_due(self, fault: plans.Fault, started_s: float) -> None:
        time.sleep(max(started_s + fault.at_s - time.monotonic(), 0))
        try:
            self._inject(fault)
        except subprocess.TimeoutExpired:
            self.problems.append(f"{fault.member} did not leave in time")

    def _inject(self, fault: plans.Fault) -> None:
        deployment = self.deployment
        match fault.kind:
            case plans.Kind.KILL:
                self._kill_and_restart([fault.member], fault.for_s)
            case plans.Kind.KILL_CONTROLS:
                self._kill_and_restart(deployment.control_names, fault.for_s)
            case plans.Kind.WIPE:
                self._kill_and_restart(
                    [fault.member], fault.for_s, deployment.lose_disk
                )
            case plans.Kind.TEAR:
                self._kill_and_restart(
                    [fault.member], fault.for_s, deployment.append_torn_record
                )
            case plans.Kind.PAUSE:
                deployment.pause(fault.member, fault.for_s)
            case plans.Kind.TERMINATE:
                deployment.restart_gracefully(fault.member)
            case plans.Kind.ROLL:
                for host in deployments.HOSTS:
                    deployment.restart_gracefully(host)
            case _:
                self._inject_on_connections(fault)

    def _kill_and_restart(
        self,
        names: list[str],
        for_s: float,
        damage_disk: typing.Callable[[str], None] | None = None,
    ) -> None:
        killed = [n for n in names if self.deployment.kill_if_up(n)]
        if damage_disk is not None:
            for name in killed:
                damage_disk(name)
        time.sleep(for_s)
        for name in killed:
            self.deployment.restart(name)

    def _inject_on_connections(self, fault: plans.Fault) -> None:
        relays = list(self.deployment.relays_by_member[fault.member].values())
        for relay in relays:
            self._apply(relay, fault.kind)
        if fault.kind in (plans.Kind.RESET, plans.Kind.SILENCE):
            return
        time.sleep(fault.for_s)
        for relay in relays:
            self._revert(relay, fault.kind)

    def _apply(self, relay: relay_module.Relay, kind: plans.Kind) -> None:
        match kind:
            case plans.Kind.RESET:
                self.deployment.relays.call_soon(relay.reset)
            case plans.Kind.SILENCE:
                self.deployment.relays.call_soon(relay.silence)
            case plans.Kind.DELAY:
                relay.delay_s = DELAY_S
            case _:
                relay.held_directions = (
                    relay.held_directions | HELD_DIRECTIONS[kind]
                )

    def _revert(self, relay: relay_module.Relay, kind: plans.Kind) -> None:
        if kind == plans.Kind.DELAY:
            relay.delay_s = 0.0
        else:
            relay.held_directions = (
                relay.held_directions - HELD_DIRECTIONS[kind]
            )
