"""Renews a proxy's lease on keys, and passes on the questions of others."""

import typing

from trefoil_fleet import revision_rounds
from trefoil_model import effects as common
from trefoil_wire import messages

if typing.TYPE_CHECKING:
    from . import proxy_process

# With less of the term left, every linked control host is asked.
ASK_ALL_SHARE = 0.5


class KeyLeases:
    """The questions for the newest revision that pass through a proxy.

    Seeds of a failure domain pass on the questions of its other proxies.

    Args:
        process: The proxy process.
    """

    __slots__ = ("process", "rounds", "was_valid")

    def __init__(self, process: "proxy_process.ProxyProcess") -> None:
        self.process = process
        self.rounds = revision_rounds.RevisionRounds(
            process.node.rng.getrandbits(revision_rounds.NONCE_BITS)
        )
        self.was_valid = False

    def ask(self, host: str, query: messages.RevisionQuery) -> None:
        """Handle the question of another proxy."""
        self.rounds.add(host, query.nonce)
        self._pass_on()

    def tick(self) -> None:
        """Renew the lease if that is due, and repeat unanswered questions."""
        if self._needs_lease():
            lease = self.process.entry.incoming.access.lease
            question = lease.question_due(self.process.clock.boot_ms())
            if question is not None:
                self.rounds.add("", question.nonce)
            self._note_change()
        self._pass_on()

    def on_reply(self, reply: messages.RevisionReply) -> None:
        """Renew the lease, and answer the proxies that asked."""
        for waiter in self.rounds.complete(reply.nonce):
            answer = messages.RevisionReply(waiter.nonce, reply.revision)
            if waiter.host:
                self.process.driver.link_send(waiter.host, answer)
            else:
                self.process.entry.incoming.access.lease.on_reply(answer)

    def _note_change(self) -> None:
        """Log when keys begin or cease to be honoured."""
        lease = self.process.entry.incoming.access.lease
        valid = lease.is_valid(self.process.clock.boot_ms())
        if valid == self.was_valid:
            return
        self.was_valid = valid
        event = "keys.confirmed" if valid else "keys.unconfirmed"
        level = "info" if valid else "warning"
        fields = {"revision": lease.revision, "term_ms": lease.term_ms}
        self.process.driver.note(common.Note(event, fields, level))

    def _needs_lease(self) -> bool:
        """Return whether keys are in use, or may be by the next revision."""
        table = self.process.entry.placement.table
        return table is None or table.accounts.keys_required

    def _pass_on(self) -> None:
        peers = self._peers()
        nonce = self.rounds.begin(self.process.clock.now_ms()) if peers else 0
        if nonce:
            for peer in peers:
                question = messages.RevisionQuery(nonce)
                self.process.driver.link_send(peer, question)

    def _peers(self) -> list[str]:
        """Return the peers to ask: all control hosts when a lease runs out."""
        node = self.process.node
        lease = self.process.entry.incoming.access.lease
        left_ms = lease.expires_ms - self.process.clock.boot_ms()
        if lease.is_limited and left_ms < lease.term_ms * ASK_ALL_SHARE:
            controls = [
                link.host for link in node.links.values() if link.control
            ]
            if controls:
                return controls
        return [node.report_peer] if node.report_peer else []
