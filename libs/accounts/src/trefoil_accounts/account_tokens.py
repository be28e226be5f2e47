"""The tokens of accounts that one entry proxy holds and asks for.

A request of an account with a limit needs a token. Tokens for the requests
that are expected soon are asked for ahead, so that requests of a busy account
do not wait; the first one of an idle account waits for a round trip within
the failure domain.
"""

import dataclasses
import math
import typing

from trefoil_wire import messages

from . import demand as demands
from . import expiring_tokens
from . import quota_terms

# Tokens are asked for ahead for this time, when those for half of it are left.
# It is shorter than the lifetime of a token, so that few are wasted.
AHEAD_S = 0.25
REFILL_PART = 0.5
# A keeper answers within milliseconds, or after a loan. One that does not is
# probably down or partitioned, and another one is asked.
ASK_TIMEOUT_MS = 100
# Refused callers come back spread over this time at most.
MAX_RETRY_MS = 2000


@dataclasses.dataclass(slots=True, frozen=True)
class Taken:
    """The request may run.

    Args:
        token: The token that it took, to be given back if it does not run.
    """

    token: expiring_tokens.Token


@dataclasses.dataclass(slots=True, frozen=True)
class Wait:
    """The request waits for tokens that have been or must be asked for."""


@dataclasses.dataclass(slots=True, frozen=True)
class OverLimit:
    """The account has used its limit up; the request did not run.

    Args:
        retry_after_ms: When there is room for its caller again.
    """

    retry_after_ms: int


@dataclasses.dataclass(slots=True)
class Ask:
    """A question for tokens that has no answer yet.

    Args:
        ask_id: Its id.
        asked_ms: When it was sent.
    """

    ask_id: int
    asked_ms: int


@dataclasses.dataclass(slots=True)
class Balance:
    """What a proxy holds of one account's tokens.

    Args:
        tokens: The tokens.
        arrivals: Rate of its requests at this proxy.
        waiting: Calls that wait for tokens, the first one first.
        ask: The question without an answer, None if there is none.
        empty_until_ms: Until when requests are refused at once.
        told_until_ms: Latest time at which a refused caller was told to come
            back.
        pause_ms: Pause between two callers that are told to come back.
        arrived: Requests since the last question.
        denied: Requests that were refused since the last question.
        total_denied: Requests that were refused since the start.
    """

    tokens: expiring_tokens.ExpiringTokens = dataclasses.field(
        default_factory=expiring_tokens.ExpiringTokens
    )
    arrivals: demands.Demand = dataclasses.field(
        default_factory=demands.Demand
    )
    waiting: list[int] = dataclasses.field(default_factory=list)
    ask: Ask | None = None
    empty_until_ms: int = 0
    told_until_ms: int = 0
    pause_ms: int = 0
    arrived: int = 0
    denied: int = 0
    total_denied: int = 0

    def missing_ahead(self, now_ms: int) -> int:
        """Return how many tokens to ask for ahead, 0 if enough are left.

        That is fewer than are expected to be used, by the deviation of a
        random number of requests: tokens that are not used are lost to the
        other proxies.
        """
        expected = self.arrivals.per_s(now_ms) * AHEAD_S
        wanted = int(expected - math.sqrt(expected))
        left = self.tokens.total(now_ms)
        if left >= wanted * REFILL_PART:
            return 0
        return max(wanted - left, 0)


@dataclasses.dataclass(slots=True, frozen=True)
class Unanswered:
    """A question that was given up.

    Args:
        account: The account whose tokens were asked for.
        ask_id: Id of the question.
    """

    account: str
    ask_id: int


@dataclasses.dataclass(slots=True, frozen=True)
class Released:
    """A call that no longer waits for a token.

    Args:
        call_id: The call.
        decision: Whether it may run; None if no keeper could be asked.
    """

    call_id: int
    decision: Taken | OverLimit | None


class AccountTokens:
    """The tokens of all accounts at one entry proxy.

    All times are from a clock that goes on while the host is suspended.
    """

    __slots__ = ("balances", "last_ask_id")

    def __init__(self, first_ask_id: int = 0) -> None:
        self.balances: dict[str, Balance] = {}
        self.last_ask_id = first_ask_id

    def keep_only(self, names: typing.Container[str]) -> None:
        """Forget accounts that are gone and for which no call waits."""
        for name, balance in list(self.balances.items()):
            if name not in names and not balance.waiting:
                del self.balances[name]

    def take(
        self, account: str, call_id: int, now_ms: int
    ) -> Taken | Wait | OverLimit:
        """Take a token for a call, or let the call wait for one."""
        balance = self.balances.get(account)
        if balance is None:
            balance = self.balances[account] = Balance()
        balance.arrivals.add(1, now_ms)
        balance.arrived += 1
        token = None if balance.waiting else balance.tokens.take(now_ms)
        if token is not None:
            return Taken(token)
        if now_ms < balance.empty_until_ms:
            return self._refuse(balance, now_ms)
        balance.waiting.append(call_id)
        return Wait()

    def give_back(self, account: str, token: expiring_tokens.Token) -> None:
        """Return the token of a request that certainly did not run.

        It is void at the same time as before. Otherwise tokens of requests
        that were refused after a long wait would add up with new ones.
        """
        balance = self.balances.get(account)
        if balance is not None:
            balance.tokens.add(1, token.until_ms)

    def cancel(self, account: str, call_id: int) -> None:
        """Forget a waiting call whose caller disconnected."""
        balance = self.balances.get(account)
        if balance is not None and call_id in balance.waiting:
            balance.waiting.remove(call_id)

    def _refuse(self, balance: Balance, now_ms: int) -> OverLimit:
        """Refuse a request and tell its caller when it is its turn.

        If all were told the time of the next token, they would come together,
        and all but one would be refused again.
        """
        balance.denied += 1
        balance.total_denied += 1
        turn_ms = max(balance.told_until_ms, balance.empty_until_ms)
        turn_ms = min(turn_ms + balance.pause_ms, now_ms + MAX_RETRY_MS)
        balance.told_until_ms = turn_ms
        return OverLimit(max(turn_ms - now_ms, 1))

    # Questions and answers

    def ask_waiting(
        self, account: str, now_ms: int
    ) -> messages.TokenAsk | None:
        """Return the question for a call that waits, None if one is open."""
        balance = self.balances[account]
        if balance.ask is not None or not balance.waiting:
            return None
        return self._ask([account], now_ms)

    def ask_ahead(self, now_ms: int) -> messages.TokenAsk | None:
        """Return the question for all tokens that will be needed soon."""
        names = [
            name
            for name, balance in self.balances.items()
            if balance.ask is None and self._needs_tokens(balance, now_ms)
        ]
        return self._ask(names, now_ms) if names else None

    def _needs_tokens(self, balance: Balance, now_ms: int) -> bool:
        if balance.waiting:
            return True
        if now_ms < balance.empty_until_ms:
            return False
        return balance.missing_ahead(now_ms) > 0

    def _ask(self, names: list[str], now_ms: int) -> messages.TokenAsk:
        self.last_ask_id += 1
        wishes = []
        for name in names:
            balance = self.balances[name]
            balance.ask = Ask(self.last_ask_id, now_ms)
            waiting = len(balance.waiting)
            wishes.append(
                messages.TokenWish(
                    name,
                    waiting + balance.missing_ahead(now_ms),
                    waiting,
                    balance.arrived,
                    balance.denied,
                )
            )
            balance.arrived = balance.denied = 0
        return messages.TokenAsk(self.last_ask_id, wishes, False)

    def on_reply(
        self, reply: messages.TokenReply, now_ms: int
    ) -> list[Released]:
        """Use granted tokens, and return the calls that need not wait."""
        released: list[Released] = []
        for grant in reply.grants:
            balance = self.balances.get(grant.account)
            ask = balance.ask if balance is not None else None
            if ask is None or ask.ask_id != reply.ask_id:
                # Tokens of a question that was given up may have been under
                # way for any time.
                continue
            balance.ask = None
            until_ms = ask.asked_ms + quota_terms.TOKEN_LIFETIME_MS
            balance.tokens.add(int(grant.granted), until_ms)
            if grant.wait_ms:
                balance.empty_until_ms = now_ms + grant.wait_ms
                balance.pause_ms = grant.wait_ms
            released += self._release(balance, now_ms)
        return released

    def _release(self, balance: Balance, now_ms: int) -> list[Released]:
        released = []
        while balance.waiting:
            token = balance.tokens.take(now_ms)
            if token is None:
                break
            released.append(Released(balance.waiting.pop(0), Taken(token)))
        if now_ms < balance.empty_until_ms:
            released += [
                Released(call_id, self._refuse(balance, now_ms))
                for call_id in balance.waiting
            ]
            balance.waiting = []
        return released

    def take_unanswered(self, now_ms: int) -> list[Unanswered]:
        """Give up the questions that were not answered in time.

        They can then be asked of another keeper.
        """
        late = []
        for name, balance in self.balances.items():
            ask = balance.ask
            if ask is not None and now_ms >= ask.asked_ms + ASK_TIMEOUT_MS:
                balance.ask = None
                late.append(Unanswered(name, ask.ask_id))
        return late

    def release_unanswered(self, account: str) -> list[Released]:
        """Return the calls that wait for tokens that no keeper grants."""
        balance = self.balances[account]
        released = [Released(call_id, None) for call_id in balance.waiting]
        balance.waiting = []
        return released
