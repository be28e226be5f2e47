"""A control process's words on the floor of proxies that restarted."""

import typing

from trefoil_fleet import node as nodes
from trefoil_quorum import raft as rafts
from trefoil_wire import frames
from trefoil_wire import messages

if typing.TYPE_CHECKING:
    from . import control_process

COMMAND_CODE = frames.CODES[messages.CommandRequest]
MOST = 1 << 30


class FloorConfirmations:
    """Answers the questions that the fleet core passes on.

    Args:
        process: The control process.
    """

    __slots__ = ("process", "waiting")

    def __init__(self, process: "control_process.ControlProcess") -> None:
        self.process = process
        self.waiting: list[int] = []

    def ask(self, nonce: int) -> None:
        """Find the newest revision for a restarted proxy."""
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
        """Ask the leader, if there is one, what waited for it."""
        if not self.process.raft.leader:
            return
        waiting, self.waiting = self.waiting, []
        for nonce in waiting:
            self._ask_leader(nonce)

    def _ask_leader(self, nonce: int) -> None:
        """Get the leader's word; kept until somebody leads.

        Proxies that all restarted ask before there is a leader. Left to ask
        again, they would refuse their callers for another turn after it.
        """
        process = self.process
        leader = rafts.process_name(process.raft.leader)
        if process.raft.is_leader:
            process.read(
                lambda: self._tell(nonce),
                lambda: self._keep(nonce),
            )
        elif leader in process.node.links:
            process.driver.link_send(
                leader, messages.FloorQuery(nonce, process.settings.host)
            )
        else:
            self._keep(nonce)

    def _keep(self, nonce: int) -> None:
        self.waiting.append(nonce)
        del self.waiting[: -nodes.MAX_FLOOR_RELAYS]

    def _newest_known(self) -> int:
        """Return a revision that nothing acknowledged is above."""
        raft = self.process.raft
        for entry in reversed(raft.log.slice_from(raft.applied + 1, MOST)):
            if rafts.type_code(entry) == COMMAND_CODE:
                return entry.index
        return self.process.state.items.revision

    def _tell(self, nonce: int) -> None:
        process = self.process
        process.perform(
            process.node.send_leader_confirmation(
                nonce, process.state.items.revision, process.clock.now_ms()
            )
        )
