"""Floor confirmations that a control process sends to restarted proxies."""

import typing

from trefoil_fleet import node as nodes
from trefoil_quorum import raft as rafts
from trefoil_wire import commands
from trefoil_wire import frames
from trefoil_wire import messages

if typing.TYPE_CHECKING:
    from . import control_process

COMMAND_CODE = frames.CODES[messages.CommandRequest]
ALL_ENTRIES = 1 << 30


class FloorConfirmations:
    """Answers the floor queries that the fleet core passes on.

    Args:
        process: The control process.
    """

    __slots__ = ("process", "deferred")

    def __init__(self, process: "control_process.ControlProcess") -> None:
        self.process = process
        self.deferred: list[int] = []

    def ask(self, nonce: int) -> None:
        """Answer a query as a voter, and pass it on to the leader."""
        process = self.process
        raft = process.raft
        if raft.identity in raft.voters:
            voters = [rafts.process_name(voter) for voter in raft.voters]
            process.perform(
                process.node.send_voter_confirmation(
                    nonce, self._newest_known(), voters, process.clock.now_ms()
                )
            )
        self._ask_leader(nonce)

    def tick(self) -> None:
        """Repeat the deferred queries once there is a leader."""
        if not self.process.raft.leader:
            return
        deferred, self.deferred = self.deferred, []
        for nonce in deferred:
            self._ask_leader(nonce)

    def _ask_leader(self, nonce: int) -> None:
        """Get a confirmation from the leader; defer it if there is none.

        Proxies that restart together with the control hosts send their
        queries before a leader is elected. If these were dropped, the proxies
        would refuse their callers until they repeat the query.
        """
        process = self.process
        leader = rafts.process_name(process.raft.leader)
        if process.raft.is_leader:
            process.read(
                lambda: self._send_leader_confirmation(nonce),
                lambda: self._defer(nonce),
            )
        elif leader in process.node.links:
            process.driver.link_send(
                leader, messages.FloorQuery(nonce, process.settings.host)
            )
        else:
            self._defer(nonce)

    def _defer(self, nonce: int) -> None:
        self.deferred.append(nonce)
        del self.deferred[: -nodes.MAX_FLOOR_RELAYS]

    def _newest_known(self) -> int:
        """Return a revision that no acknowledged command exceeds."""
        raft = self.process.raft
        for entry in reversed(
            raft.log.slice_from(raft.applied + 1, ALL_ENTRIES)
        ):
            if commands.type_code(entry.command) == COMMAND_CODE:
                return entry.index
        return self.process.state.items.revision

    def _send_leader_confirmation(self, nonce: int) -> None:
        process = self.process
        process.perform(
            process.node.send_leader_confirmation(
                nonce, process.state.items.revision, process.clock.now_ms()
            )
        )
