"""Decisions of the leading control process about moves."""

import dataclasses
import typing

from trefoil_fleet import exclusions
from trefoil_fleet import items as item_store
from trefoil_model import effects as common
from trefoil_moves import command_results
from trefoil_moves import conductor as conductors
from trefoil_moves import knobs as move_parameters
from trefoil_quorum import raft as rafts
from trefoil_wire import messages

if typing.TYPE_CHECKING:
    from . import control_process


class LeadingMoves:
    """Runs one conductor for each running move while the process leads.

    Args:
        process: The control process.
        parameters: Pacing and risk limits of moves.
    """

    __slots__ = (
        "process",
        "parameters",
        "conductors",
        "proposed",
        "decide_at_ms",
    )

    def __init__(
        self,
        process: "control_process.ControlProcess",
        parameters: move_parameters.MoveParameters,
    ) -> None:
        self.process = process
        self.parameters = parameters
        self.conductors: dict[str, conductors.Conductor] = {}
        self.proposed: dict[str, int] = {}
        self.decide_at_ms = 0

    def reset(self) -> None:
        """Discard all conductors; called while this process does not lead."""
        self.conductors = {}
        self.proposed = {}

    def on_step_applied(self, before: dict[str, int]) -> None:
        """Notify the conductors of the steps that an entry applied.

        Args:
            before: When each running move had made its last step before the
                entry, by move id.
        """
        now_ms = self.process.clock.now_ms()
        for move_id, conductor in list(self.conductors.items()):
            move = self.process.state.moves.get(move_id)
            if move is None or move.outcome:
                del self.conductors[move_id]
                self.proposed.pop(move_id, None)
            elif before.get(move_id) != move.step_ms:
                conductor.stepped(move, now_ms)

    def decide(self, now_ms: int) -> None:
        """Propose the steps of moves and the first versions of services."""
        if now_ms < self.decide_at_ms:
            return
        self.decide_at_ms = now_ms + conductors.DECIDE_MS
        for move in self.process.state.running_moves():
            if self.proposed.get(move.move_id, 0) <= self.process.raft.applied:
                self._decide_move(move, now_ms)
        for shares in self.process.state.items.all(item_store.SHARES):
            if (
                not command_results.version_in_force(shares)
                and not shares.move_id
            ):
                self._adopt_version(shares.service_name)

    def _adopt_version(self, service: str) -> None:
        """Propose the version that a service's targets announce.

        Only for a service whose configuration names no version: the first
        announced version is put in force, later ones require a move.
        """
        if self.proposed.get(service, 0) > self.process.raft.applied:
            return
        slots: dict[str, int] = {}
        for record in self.process.node.members.records.present():
            for target in record.targets or ():
                if target.service_name == service:
                    version = target.version
                    slots[version] = slots.get(version, 0) + target.slots
        if not slots:
            return
        version = max(sorted(slots), key=slots.__getitem__)
        self.proposed[service] = self.process.propose_own(
            messages.AdoptVersion(service_name=service, version=version)
        )
        self.process.driver.note(
            common.Note(
                "version.adopted",
                {"service": service, "version": version, "slots": slots},
            )
        )

    def _decide_move(self, move: messages.MoveRecord, now_ms: int) -> None:
        conductor = self.conductors.get(move.move_id)
        if conductor is None:
            conductor = conductors.Conductor(move, self.parameters, now_ms)
            self.conductors[move.move_id] = conductor
        wall_ms = max(
            self.process.clock.wall_ms(), self.process.state.clock_ms
        )
        decision = conductor.decide(
            move, self._capacity(move), now_ms=now_ms, wall_ms=wall_ms
        )
        body = _body_of(move, decision)
        if body is None:
            return
        self.proposed[move.move_id] = self.process.propose_own(body)
        self.process.driver.note(
            common.Note(
                "move.decided",
                {
                    "move": move.move_id,
                    "decision": type(decision).__name__.lower(),
                    "reason": decision.reason,
                    **dataclasses.asdict(
                        conductor.grounds(move, now_ms, wall_ms)
                    ),
                },
            )
        )

    def _capacity(self, move: messages.MoveRecord) -> conductors.Capacity:
        excluded = exclusions.Exclusions.from_items(self.process.state.items)
        held: set[str] = set()
        slots = {move.from_version: 0, move.to_version: 0}
        new_targets = 0
        for record in self.process.node.members.records.present():
            if excluded.contains(record):
                continue
            for target in record.targets or ():
                ready = target.state == messages.TargetState.READY
                if target.service_name != move.service_name or not ready:
                    continue
                if target.version in slots:
                    slots[target.version] += target.slots
                if target.version == move.to_version:
                    new_targets += 1
                    held.update(target.resources)
        required = {
            route.resource
            for route in self.process.state.items.all(item_store.ROUTE)
            if route.service_name == move.service_name and route.resource
        }
        return conductors.Capacity(
            old_slots=slots[move.from_version],
            new_slots=slots[move.to_version],
            new_targets=new_targets,
            missing=sorted(required - held),
        )

    def receive_report(
        self, source: str, report: messages.EvidenceReport
    ) -> None:
        """Handle a proxy's report, or pass it on to the leader.

        Args:
            source: The host that sent it.
            report: The report.
        """
        if self.process.raft.is_leader:
            conductor = self.conductors.get(report.move_id)
            if conductor is not None:
                conductor.hear(report, self.process.clock.now_ms())
            return
        leader = rafts.process_name(self.process.raft.leader)
        if leader != source:
            self.process.driver.link_send(leader, report)


def _body_of(
    move: messages.MoveRecord, decision: conductors.Decision
) -> typing.Any:
    match decision:
        case conductors.Step():
            return messages.StepMove(
                move_id=move.move_id,
                permille=decision.permille,
                phase=decision.phase,
                reason=decision.reason,
            )
        case conductors.End():
            return messages.EndMove(
                move_id=move.move_id,
                outcome=decision.outcome,
                reason=decision.reason,
            )
    return None
