"""Asks the keepers of quotas for the tokens that a proxy needs."""

import typing

from trefoil_accounts import account_tokens
from trefoil_wire import messages

from . import quota_keepers

if typing.TYPE_CHECKING:
    from . import proxy_process

# A keeper that did not answer is asked last for this long.
AVOID_MS = 1000
# Keepers that are asked one after the other before a call is refused.
MAX_ASKED = 2
# Questions are answered or given up before so many others are sent.
KEPT_ASKS = 256


class TokenAsks:
    """The questions of one proxy to the keepers.

    The keeper of the own failure domain is asked first.

    Args:
        process: The proxy process.
    """

    __slots__ = ("process", "avoid_until_ms", "keeper_by_ask", "unanswered")

    def __init__(self, process: "proxy_process.ProxyProcess") -> None:
        self.process = process
        self.avoid_until_ms: dict[str, int] = {}
        self.keeper_by_ask: dict[int, str] = {}
        self.unanswered: dict[str, int] = {}

    def send(self, ask: messages.TokenAsk) -> None:
        """Send a question to the first keeper that can be asked."""
        now_ms = self.process.clock.boot_ms()
        for keeper in self._keepers(now_ms):
            self.keeper_by_ask[ask.ask_id] = keeper.name
            sent = self.process.driver.request_send(
                keeper.name, keeper.address, ask
            )
            if sent:
                return

    def _keepers(self, now_ms: int) -> list[messages.ControlHost]:
        """Return the keepers, in the order in which they are asked."""
        node = self.process.node
        keepers = quota_keepers.keepers_by_domain(node.overlay.control_hosts)
        own = keepers.pop(node.members.record.domain, None)
        ranked = ([own] if own is not None else []) + list(keepers.values())

        def is_avoided(keeper: messages.ControlHost) -> bool:
            return now_ms < self.avoid_until_ms.get(keeper.name, 0)

        return sorted(ranked, key=is_avoided)

    def on_reply(self, reply: messages.TokenReply) -> None:
        """Use granted tokens for the calls that wait for them."""
        process = self.process
        for grant in reply.grants:
            self.unanswered.pop(grant.account, None)
        tokens = process.entry.tokens
        released = tokens.on_reply(reply, process.clock.boot_ms())
        process.perform(
            process.entry.release(
                released, process.clock.now_ms(), process.now_us()
            )
        )
        for grant in reply.grants:
            self._ask_for_waiting(grant.account)

    def _ask_for_waiting(self, account: str) -> None:
        """Ask for calls that came while the last question was open."""
        tokens = self.process.entry.tokens
        if account in tokens.balances:
            ask = tokens.ask_waiting(account, self.process.clock.boot_ms())
            if ask is not None:
                self.send(ask)

    def tick(self) -> None:
        """Ask other keepers where one is late, and for tokens ahead."""
        now_ms = self.process.clock.boot_ms()
        tokens = self.process.entry.tokens
        for item in tokens.take_unanswered(now_ms):
            self._on_unanswered(item, now_ms)
        ask = tokens.ask_ahead(now_ms)
        if ask is not None:
            self.send(ask)
        while len(self.keeper_by_ask) > KEPT_ASKS:
            del self.keeper_by_ask[next(iter(self.keeper_by_ask))]

    def _on_unanswered(
        self, question: account_tokens.Unanswered, now_ms: int
    ) -> None:
        """Avoid a keeper that is late; refuse calls if several were late."""
        account = question.account
        keeper = self.keeper_by_ask.get(question.ask_id, "")
        self.avoid_until_ms[keeper] = now_ms + AVOID_MS
        late = self.unanswered[account] = self.unanswered.get(account, 0) + 1
        if late < MAX_ASKED:
            return
        self.unanswered.pop(account)
        process = self.process
        released = process.entry.tokens.release_unanswered(account)
        process.perform(
            process.entry.release(
                released, process.clock.now_ms(), process.now_us()
            )
        )
