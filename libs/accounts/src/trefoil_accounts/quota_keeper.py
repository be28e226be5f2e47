"""Issues the tokens of accounts in one failure domain.

A keeper's only state is what its buckets hold. It issues from its own part of
each limit and borrows from other keepers what its domain lacks. A loan that
is lost, or whose borrower stops, is lost: no token is ever used twice, so the
sum holds whichever hosts stop, restart or are partitioned.
"""

import collections
import dataclasses
import math
import typing

from trefoil_model import token_bucket
from trefoil_wire import messages

from . import demand as demands
from . import quota_terms

# A keeper that did not answer, or had nothing to lend, is not asked again for
# this long: an account over its limit would be asked for with each request.
LOAN_PAUSE_MS = 150
# A loan covers the demand of this time, so that a steady demand above the own
# part needs few loans.
LOAN_HORIZON_S = 0.2
# What the own failure domain needs within this time is not lent.
RESERVED_S = 0.1
# Buckets are full again after this time, and take no memory any more.
IDLE_MS = 60_000
MAX_WAIT_MS = 2000
# Parts of tokens add up to whole ones within this error.
ROUNDING = 1e-6
# An account counts as limited until this long after its tokens were short.
LIMITED_MS = 5000


@dataclasses.dataclass(slots=True, frozen=True)
class Send:
    """A message to an entry proxy or another keeper.

    Args:
        to: The sender of the ask that it answers, or the other keeper.
        message: The message.
        to_keeper: Whether it goes to another keeper.
    """

    to: str
    message: typing.Any
    to_keeper: bool = False


@dataclasses.dataclass(slots=True)
class PendingAsk:
    """An ask that waits for a loan.

    Args:
        to: Its sender.
        ask_id: Its id.
        missing: Tokens that its waiting requests lack.
        granted: Tokens that were granted so far.
    """

    to: str
    ask_id: int
    missing: int
    granted: int


@dataclasses.dataclass(slots=True)
class Loan:
    """A question to other keepers for tokens of one account.

    Args:
        ask_id: Its id.
        asked_ms: When it was sent.
        wanted: Tokens that each lender was asked for.
        lenders: The keepers that have not answered yet.
    """

    ask_id: int
    asked_ms: int
    wanted: int
    lenders: set[str]


@dataclasses.dataclass(slots=True)
class Purse:
    """What a keeper has of one account's tokens.

    Args:
        account: The account.
        bucket: Its own part of the limit, and what it borrowed.
        asked_ms: When tokens were last asked for.
        demand: Requests of its own failure domain.
        income: Tokens that other keepers lend.
        next_turn_ms: When the next entry proxy that is told to wait may ask
            again.
        pending: Asks that wait for a loan.
        loan: The question that was sent for them, None if there is none.
        no_loan_until_ms: Per keeper, until when it is not asked.
        issued: Tokens that were granted to entry proxies.
        lent: Tokens that were lent to other keepers.
        denied: Requests that entry proxies refused for want of tokens.
        short_ms: When tokens were last short.
    """

    account: messages.Account
    bucket: token_bucket.TokenBucket
    asked_ms: int
    demand: demands.Demand = dataclasses.field(default_factory=demands.Demand)
    income: demands.Demand = dataclasses.field(default_factory=demands.Demand)
    next_turn_ms: float = 0.0
    pending: list[PendingAsk] = dataclasses.field(default_factory=list)
    loan: Loan | None = None
    no_loan_until_ms: dict[str, int] = dataclasses.field(default_factory=dict)
    issued: int = 0
    lent: float = 0.0
    denied: int = 0
    short_ms: int = -LIMITED_MS

    def take(self, count: int, now_ms: int) -> int:
        """Take up to some whole tokens; return how many there were."""
        whole = min(count, int(self.bucket.refill(now_ms) + ROUNDING))
        self.bucket.take_up_to(whole, now_ms)
        return whole

    def turn_ms(self, now_ms: int) -> int:
        """Return when the entry proxy that is told to wait may ask again.

        Each gets the time of another token. If all were told when the next
        one is there, they would ask for it together, and all but one in vain.
        """
        free_ms = now_ms + self.bucket.wait_ms(0, now_ms)
        turn_ms = max(free_ms, self.next_turn_ms)
        latest_ms = now_ms + MAX_WAIT_MS
        if turn_ms >= latest_ms:
            return MAX_WAIT_MS
        per_s = self.bucket.per_s + self.income.per_s(now_ms)
        self.next_turn_ms = turn_ms + 1000 / per_s
        return max(math.ceil(turn_ms - now_ms), 1)


class QuotaKeeper:
    """The keeper of one failure domain.

    All times are from a clock that goes on while the host is suspended.

    Args:
        terms: How far limits may be exceeded.
        first_ask_id: Where the ids of its questions begin. Drawn at random, it
            keeps loans for an earlier keeper of this host from being taken
            for new ones: they may be of any age.
    """

    __slots__ = (
        "terms",
        "accounts",
        "shares",
        "peers",
        "purses",
        "last_ask_id",
    )

    def __init__(
        self, terms: quota_terms.QuotaTerms, first_ask_id: int = 0
    ) -> None:
        self.terms = terms
        self.accounts: dict[str, messages.Account] = {}
        self.shares = 1
        self.peers: list[str] = []
        self.purses: collections.OrderedDict[str, Purse] = (
            collections.OrderedDict()
        )
        self.last_ask_id = first_ask_id

    def put_in_force(
        self, accounts: typing.Mapping[str, messages.Account], now_ms: int
    ) -> None:
        """Apply the accounts of a new configuration.

        Buckets keep what they hold, up to their new size.
        """
        self.accounts = dict(accounts)
        for name, purse in list(self.purses.items()):
            account = self.accounts.get(name)
            if account is None or not account.rate_per_s:
                del self.purses[name]
            elif account != purse.account:
                purse.account = account
                self._resize(purse, now_ms)

    def set_keepers(self, peers: list[str], shares: int, now_ms: int) -> None:
        """Set the other keepers and the number of parts of each limit.

        Args:
            peers: Names of the other keepers.
            shares: Number of failure domains; a domain without a keeper
                leaves its part unused.
            now_ms: The time.
        """
        self.peers = peers
        if shares != self.shares:
            self.shares = shares
            for purse in self.purses.values():
                self._resize(purse, now_ms)

    def _share(self, account: messages.Account) -> quota_terms.Share:
        return self.terms.share(account.rate_per_s, account.burst, self.shares)

    def _resize(self, purse: Purse, now_ms: int) -> None:
        share = self._share(purse.account)
        purse.bucket.set_rate(share.per_s, share.capacity, now_ms)

    def _purse(self, name: str, now_ms: int) -> Purse | None:
        """Return the purse of a limited account, None without a limit."""
        purse = self.purses.get(name)
        if purse is None:
            account = self.accounts.get(name)
            if account is None or not account.rate_per_s:
                return None
            share = self._share(account)
            bucket = token_bucket.TokenBucket(
                share.per_s, share.capacity, now_ms
            )
            bucket.tokens = share.initial
            purse = self.purses[name] = Purse(account, bucket, now_ms)
        purse.asked_ms = now_ms
        self.purses.move_to_end(name)
        return purse

    # Asks of entry proxies

    def on_ask(
        self, sender: str, ask: messages.TokenAsk, now_ms: int
    ) -> list[Send]:
        """Grant tokens to an entry proxy, or lend some to another keeper."""
        if ask.lend:
            return [self._lend(sender, ask, now_ms)]
        grants = []
        sends: list[Send] = []
        for wish in ask.wishes:
            purse = self._purse(wish.account, now_ms)
            if purse is None:
                # Not limited here, or not known yet: nothing to wait for.
                unlimited = messages.TokenGrant(wish.account, wish.wanted, 0)
                grants.append(unlimited)
                continue
            purse.demand.add(wish.arrived, now_ms)
            purse.denied += wish.denied
            granted = purse.take(wish.wanted, now_ms)
            purse.issued += granted
            missing = wish.waiting - granted
            if missing > 0 and self._may_borrow(purse, now_ms):
                purse.pending.append(
                    PendingAsk(sender, ask.ask_id, missing, granted)
                )
                sends += self._borrow(purse, now_ms)
            else:
                grants.append(self._grant(purse, granted, missing, now_ms))
        if grants:
            reply = messages.TokenReply(ask.ask_id, grants)
            sends.append(Send(sender, reply))
        return sends

    def _grant(
        self, purse: Purse, granted: int, missing: int, now_ms: int
    ) -> messages.TokenGrant:
        wait_ms = purse.turn_ms(now_ms) if missing > 0 else 0
        if missing > 0:
            purse.short_ms = now_ms
        return messages.TokenGrant(purse.account.name, granted, wait_ms)

    # Loans

    def _lenders(self, purse: Purse, now_ms: int) -> list[str]:
        return [
            peer
            for peer in self.peers
            if now_ms >= purse.no_loan_until_ms.get(peer, 0)
        ]

    def _may_borrow(self, purse: Purse, now_ms: int) -> bool:
        return purse.loan is not None or bool(self._lenders(purse, now_ms))

    def _borrow(self, purse: Purse, now_ms: int) -> list[Send]:
        """Ask other keepers for what the waiting requests lack, and more."""
        lenders = self._lenders(purse, now_ms)
        if purse.loan is not None or not lenders:
            return []
        missing = sum(pending.missing for pending in purse.pending)
        excess_per_s = purse.demand.per_s(now_ms) - purse.bucket.per_s
        ahead = max(excess_per_s, 0.0) * LOAN_HORIZON_S
        lacking = missing + ahead - purse.bucket.refill(now_ms)
        wanted = math.ceil(lacking)
        self.last_ask_id += 1
        purse.loan = Loan(self.last_ask_id, now_ms, wanted, set(lenders))
        wish = messages.TokenWish(purse.account.name, wanted, missing)
        ask = messages.TokenAsk(self.last_ask_id, [wish], True)
        return [Send(lender, ask, True) for lender in lenders]

    def _lend(self, sender: str, ask: messages.TokenAsk, now_ms: int) -> Send:
        grants = []
        for wish in ask.wishes:
            lent = self._lend_tokens(wish, now_ms)
            grants.append(messages.TokenGrant(wish.account, lent, 0))
        return Send(sender, messages.TokenReply(ask.ask_id, grants), True)

    def _lend_tokens(self, wish: messages.TokenWish, now_ms: int) -> float:
        purse = self._purse(wish.account, now_ms)
        if purse is None:
            return 0.0
        reserved = purse.demand.per_s(now_ms) * RESERVED_S
        free = purse.bucket.refill(now_ms) - reserved
        lent = purse.bucket.take_up_to(min(wish.wanted, free), now_ms)
        purse.lent += lent
        return lent

    def on_reply(
        self, lender: str, reply: messages.TokenReply, now_ms: int
    ) -> list[Send]:
        """Put a loan into the bucket, for the requests that wait for it.

        A loan that arrives after its question has ended is void: it may have
        been under way for any time.
        """
        sends = []
        for grant in reply.grants:
            purse = self.purses.get(grant.account)
            loan = purse.loan if purse is not None else None
            if loan is None or loan.ask_id != reply.ask_id:
                continue
            if now_ms >= loan.asked_ms + quota_terms.LOAN_TIMEOUT_MS:
                continue
            if grant.granted < loan.wanted:
                purse.no_loan_until_ms[lender] = now_ms + LOAN_PAUSE_MS
            purse.bucket.add(grant.granted, now_ms)
            purse.income.add(grant.granted, now_ms)
            loan.lenders.discard(lender)
            if not loan.lenders:
                purse.loan = None
            sends += self._serve_pending(purse, now_ms)
        return sends

    def _serve_pending(self, purse: Purse, now_ms: int) -> list[Send]:
        """Answer the asks that have enough or can get no more."""
        sends = []
        pending, purse.pending = purse.pending, []
        for ask in pending:
            granted = purse.take(ask.missing, now_ms)
            purse.issued += granted
            ask.granted += granted
            ask.missing -= granted
            if ask.missing > 0 and purse.loan is not None:
                purse.pending.append(ask)
                continue
            grant = self._grant(purse, ask.granted, ask.missing, now_ms)
            reply = messages.TokenReply(ask.ask_id, [grant])
            sends.append(Send(ask.to, reply))
        return sends

    def limited_accounts(self, now_ms: int) -> set[str]:
        """Return the accounts that have used their limits up."""
        return {
            name
            for name, purse in self.purses.items()
            if now_ms < purse.short_ms + LIMITED_MS
        }

    # Time

    def tick(self, now_ms: int) -> list[Send]:
        """End loans that were not answered, and forget idle accounts."""
        sends = []
        for purse in list(self.purses.values()):
            loan = purse.loan
            if loan is None:
                continue
            if now_ms >= loan.asked_ms + quota_terms.LOAN_TIMEOUT_MS:
                for lender in loan.lenders:
                    purse.no_loan_until_ms[lender] = now_ms + LOAN_PAUSE_MS
                purse.loan = None
                sends += self._serve_pending(purse, now_ms)
        while self.purses:
            name, purse = next(iter(self.purses.items()))
            if now_ms < purse.asked_ms + IDLE_MS:
                break
            del self.purses[name]
        return sends
