"""Answers of a control process to questions for the newest revision."""

import typing

from trefoil_fleet import revision_rounds
from trefoil_quorum import raft as rafts
from trefoil_wire import messages

if typing.TYPE_CHECKING:
    from . import control_process


class RevisionAnswers:
    """Answers the questions of proxies and of other control processes.

    The leader confirms with a quorum that it still leads; the others ask it.

    Args:
        process: The control process.
    """

    __slots__ = ("process", "rounds")

    def __init__(self, process: "control_process.ControlProcess") -> None:
        self.process = process
        self.rounds = revision_rounds.RevisionRounds(
            process.rng.getrandbits(revision_rounds.NONCE_BITS)
        )

    def ask(self, host: str, query: messages.RevisionQuery) -> None:
        """Handle the question of a host."""
        self.rounds.add(host, query.nonce)
        self.tick()

    def tick(self) -> None:
        """Ask the leader, if a question waits and none is in flight."""
        process = self.process
        leader = rafts.process_name(process.raft.leader)
        if not process.raft.is_leader and leader not in process.node.links:
            return
        nonce = self.rounds.begin(process.clock.now_ms())
        if not nonce:
            return
        if process.raft.is_leader:
            process.read(
                lambda: self._answer(nonce, process.state.items.revision),
                lambda: self.rounds.fail(nonce),
            )
        else:
            question = messages.RevisionQuery(nonce)
            process.driver.link_send(leader, question)

    def on_reply(self, reply: messages.RevisionReply) -> None:
        """Handle the leader's answer."""
        self._answer(reply.nonce, reply.revision)

    def _answer(self, nonce: int, revision: int) -> None:
        for waiter in self.rounds.complete(nonce):
            answer = messages.RevisionReply(waiter.nonce, revision)
            self.process.driver.link_send(waiter.host, answer)
