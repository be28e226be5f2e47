"""Limits of accounts: tokens, keepers, and the sum over all hosts."""

import dataclasses
import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from trefoil_accounts import account_tokens
from trefoil_accounts import expiring_tokens
from trefoil_accounts import quota_keeper
from trefoil_accounts import quota_terms
from trefoil_model import clock as clocks
from trefoil_wire import messages

TERMS = quota_terms.QuotaTerms()
START_MS = 1_000_000


def limited(rate_per_s: float, burst: float = 0.0) -> messages.Account:
    return messages.Account("alice", [], None, rate_per_s, burst)


def keeper_of(
    account: messages.Account, peers: tuple[str, ...] = ()
) -> quota_keeper.QuotaKeeper:
    keeper = quota_keeper.QuotaKeeper(TERMS)
    keeper.put_in_force({account.name: account}, START_MS)
    keeper.set_keepers(list(peers), len(peers) + 1, START_MS)
    return keeper


def ask(wanted: int, waiting: int = 0, ask_id: int = 1) -> messages.TokenAsk:
    wish = messages.TokenWish("alice", wanted, waiting or wanted, wanted)
    return messages.TokenAsk(ask_id, [wish])


@pytest.mark.parametrize("rate", [0.1, 1.0, 20.0, 169.0, 5000.0])
@pytest.mark.parametrize("burst_s", [0.0, 0.1, 1.0, 10.0])
@pytest.mark.parametrize("keepers", [1, 3, 6])
@pytest.mark.parametrize("slack", [0.0, 20.0])
def test_the_parts_add_up_to_what_is_allowed(
    rate: float, burst_s: float, keepers: int, slack: float
) -> None:
    """A keeper's bucket holds one token where the limit allows less."""
    terms = quota_terms.QuotaTerms(5000, 0.1, slack)
    share = terms.share(rate, rate * burst_s, keepers)
    most = keepers * (share.capacity + share.initial)
    most += rate * (5 + quota_terms.CARRY_S)
    allowed = terms.allowed(rate, rate * burst_s)
    if share.capacity == 1:
        allowed = max(allowed, rate * (5 + quota_terms.CARRY_S) + keepers)
        allowed += keepers * share.initial
    assert most <= allowed + 1e-6
    assert share.capacity >= 1


def test_a_keeper_grants_what_its_bucket_holds() -> None:
    keeper = keeper_of(limited(10, 10))
    keeper.on_ask("h1", ask(1000), START_MS)
    (send,) = keeper.on_ask("h1", ask(5), START_MS + 1000)
    (grant,) = send.message.grants
    assert (send.to, grant.granted, grant.wait_ms) == ("h1", 5, 0)


def test_an_account_over_its_limit_is_told_when_to_ask_again() -> None:
    keeper = keeper_of(limited(10))
    keeper.on_ask("h1", ask(1000), START_MS)
    waits = []
    for number in range(3):
        (send,) = keeper.on_ask(f"h{number}", ask(1), START_MS)
        assert send.message.grants[0].granted == 0
        waits.append(send.message.grants[0].wait_ms)
    assert 0 < waits[0] <= 200
    assert [wait - waits[0] for wait in waits] == [0, 100, 200]


def test_an_account_without_a_limit_gets_what_it_wants() -> None:
    keeper = keeper_of(limited(0))
    (send,) = keeper.on_ask("h1", ask(7), START_MS)
    assert send.message.grants[0].granted == 7
    assert not keeper.purses


def test_a_keeper_borrows_what_its_domain_lacks() -> None:
    borrower = keeper_of(limited(10, 10), ("d2",))
    lender = keeper_of(limited(10, 10), ("d1",))
    first = borrower.on_ask("h1", ask(1000), START_MS)
    assert [send.to_keeper for send in first] == [True]
    lent = lender.on_ask("d1", first[0].message, START_MS)
    (answer,) = borrower.on_reply("d2", lent[0].message, START_MS + 2)
    one = TERMS.share(10, 10, 2)
    assert answer.message.grants[0].granted == int(2 * one.initial)


def test_a_late_loan_is_void() -> None:
    """It may have been under way for any time, in a partition."""
    borrower = keeper_of(limited(10, 10), ("d2",))
    lender = keeper_of(limited(10, 10), ("d1",))
    (question,) = borrower.on_ask("h1", ask(1000), START_MS)
    (lent,) = lender.on_ask("d1", question.message, START_MS)
    late_ms = START_MS + quota_terms.LOAN_TIMEOUT_MS
    (refusal,) = borrower.tick(late_ms)
    granted = refusal.message.grants[0].granted
    left = borrower.purses["alice"].bucket.refill(late_ms)
    assert borrower.on_reply("d2", lent.message, late_ms) == []
    assert borrower.purses["alice"].bucket.refill(late_ms) == left
    share = TERMS.share(10, 10, 2)
    own = share.initial + share.per_s * quota_terms.LOAN_TIMEOUT_MS / 1000
    assert granted == int(own)


def test_a_keeper_does_not_lend_what_its_own_domain_needs() -> None:
    lender = keeper_of(limited(100, 100), ("d1",))
    wish = messages.TokenWish("alice", 0, 0, 1000)
    lender.on_ask("h1", messages.TokenAsk(1, [wish]), START_MS)
    loan = messages.TokenAsk(2, [messages.TokenWish("alice", 9, 9)], True)
    (send,) = lender.on_ask("d1", loan, START_MS)
    assert send.message.grants[0].granted == 0


def test_a_new_limit_applies_at_once_and_tokens_are_kept() -> None:
    keeper = keeper_of(limited(100, 100))
    keeper.on_ask("h1", ask(1), START_MS)
    keeper.put_in_force({"alice": limited(1, 1)}, START_MS + 1000)
    (send,) = keeper.on_ask("h1", ask(1000), START_MS + 1000)
    most = TERMS.share(1, 1, 1).capacity
    assert send.message.grants[0].granted <= most


def test_accounts_that_are_idle_take_no_memory() -> None:
    keeper = quota_keeper.QuotaKeeper(TERMS)
    accounts = {
        f"a{n}": messages.Account(f"a{n}", [], None, 10, 10)
        for n in range(10_000)
    }
    keeper.put_in_force(accounts, START_MS)
    for number in range(100):
        wishes = [messages.TokenWish(f"a{number}", 1, 1, 1)]
        keeper.on_ask("h1", messages.TokenAsk(number, wishes), START_MS)
    assert len(keeper.purses) == 100
    keeper.tick(START_MS + quota_keeper.IDLE_MS)
    assert not keeper.purses


# The entry proxy


def answered(
    tokens: account_tokens.AccountTokens,
    granted: int,
    wait_ms: int = 0,
    now_ms: int = START_MS,
) -> list[account_tokens.Released]:
    """Answer the open question for the account."""
    ask_id = tokens.balances["alice"].ask.ask_id
    grant = messages.TokenGrant("alice", granted, wait_ms)
    reply = messages.TokenReply(ask_id, [grant])
    return tokens.on_reply(reply, now_ms)


def test_the_first_request_waits_for_a_token() -> None:
    tokens = account_tokens.AccountTokens()
    assert tokens.take("alice", 1, START_MS) == account_tokens.Wait()
    assert tokens.ask_waiting("alice", START_MS).wishes[0].waiting == 1
    assert tokens.ask_waiting("alice", START_MS) is None
    (released,) = answered(tokens, 1)
    assert released.call_id == 1
    assert isinstance(released.decision, account_tokens.Taken)


def test_requests_over_the_limit_come_back_one_after_the_other() -> None:
    tokens = account_tokens.AccountTokens()
    for call_id in range(3):
        tokens.take("alice", call_id, START_MS)
    tokens.ask_waiting("alice", START_MS)
    released = answered(tokens, 0, wait_ms=100)
    waits = [item.decision.retry_after_ms for item in released]
    assert waits == [200, 300, 400]
    refused = tokens.take("alice", 9, START_MS + 1)
    assert refused.retry_after_ms == 499


def test_a_token_that_expired_lets_nothing_through() -> None:
    """Tokens that a suspended host holds must not be used when it wakes."""
    tokens = account_tokens.AccountTokens()
    tokens.take("alice", 1, START_MS)
    tokens.ask_waiting("alice", START_MS)
    answered(tokens, 5, now_ms=START_MS + 10)
    late_ms = START_MS + quota_terms.TOKEN_LIFETIME_MS
    assert isinstance(
        tokens.take("alice", 2, late_ms - 1), account_tokens.Taken
    )
    assert tokens.take("alice", 3, late_ms) == account_tokens.Wait()


def test_an_answer_to_a_question_that_was_given_up_is_void() -> None:
    tokens = account_tokens.AccountTokens()
    tokens.take("alice", 1, START_MS)
    question = tokens.ask_waiting("alice", START_MS)
    late_ms = START_MS + account_tokens.ASK_TIMEOUT_MS
    (late,) = tokens.take_unanswered(late_ms)
    assert (late.account, late.ask_id) == ("alice", question.ask_id)
    grant = messages.TokenGrant("alice", 5, 0)
    reply = messages.TokenReply(question.ask_id, [grant])
    assert tokens.on_reply(reply, late_ms) == []
    tokens.ask_waiting("alice", late_ms)
    assert tokens.on_reply(reply, late_ms) == []
    assert tokens.balances["alice"].tokens.total(late_ms) == 0


def test_a_token_that_came_back_is_void_when_it_was() -> None:
    tokens = account_tokens.AccountTokens()
    tokens.take("alice", 1, START_MS)
    tokens.ask_waiting("alice", START_MS)
    (released,) = answered(tokens, 1)
    token = released.decision.token
    tokens.give_back("alice", token)
    balance = tokens.balances["alice"]
    assert balance.tokens.total(token.until_ms - 1) == 1
    assert balance.tokens.total(token.until_ms) == 0


def test_calls_that_no_keeper_answers_are_released_undecided() -> None:
    tokens = account_tokens.AccountTokens()
    tokens.take("alice", 1, START_MS)
    tokens.ask_waiting("alice", START_MS)
    assert tokens.release_unanswered("alice") == [
        account_tokens.Released(1, None)
    ]


def test_a_busy_account_asks_ahead_and_an_idle_one_does_not() -> None:
    tokens = account_tokens.AccountTokens()
    for number in range(100):
        tokens.take("alice", number, START_MS + 10 * number)
    now_ms = START_MS + 1000
    (wish,) = tokens.ask_ahead(now_ms).wishes
    assert wish.wanted > wish.waiting == 100
    quiet = account_tokens.AccountTokens()
    quiet.take("alice", 1, START_MS)
    quiet.cancel("alice", 1)
    assert quiet.ask_ahead(START_MS + 50) is None


def test_tokens_that_expire_first_are_taken_first() -> None:
    tokens = expiring_tokens.ExpiringTokens()
    tokens.add(1, 200)
    tokens.add(1, 100)
    assert tokens.take(0).until_ms == 100
    assert tokens.take(0).until_ms == 200
    assert tokens.take(0) is None


# The sum over all hosts


@dataclasses.dataclass(slots=True)
class Flight:
    """A message that is on its way.

    Args:
        sender: Name of its sender.
        receiver: Name of its receiver.
        lifetime: The lifetime of the receiver that it is meant for.
        message: The message.
    """

    sender: str
    receiver: str
    lifetime: int
    message: messages.TokenAsk | messages.TokenReply


class Quotas(stateful.RuleBasedStateMachine):
    """Entry proxies and keepers of one account, on one paused clock.

    Messages are late, lost, doubled and reordered; hosts restart without
    memory, are suspended and wake; keepers are partitioned; the limit changes.
    A keeper restarts at most once in a window, as the argument says.
    """

    ENTRIES = ("e1", "e2", "e3", "e4")
    KEEPERS = ("k1", "k2", "k3")
    RATES = (2.0, 20.0, 100.0)

    def __init__(self) -> None:
        super().__init__()
        self.rng = random.Random(1)
        self.rate = 20.0
        self.clocks = {
            name: clocks.PausedClock() for name in self.ENTRIES + self.KEEPERS
        }
        self.lifetimes = dict.fromkeys(self.ENTRIES + self.KEEPERS, 0)
        self.restarted_ms = dict.fromkeys(self.KEEPERS, 0)
        self.tokens = {
            name: account_tokens.AccountTokens() for name in self.ENTRIES
        }
        self.keepers = {name: self.new_keeper(name) for name in self.KEEPERS}
        self.flights: list[Flight] = []
        self.runs_ms: list[int] = []
        self.limits: list[tuple[int, float]] = [(self.true_ms, self.rate)]
        self.last_call_id = 0

    @property
    def true_ms(self) -> int:
        """Return the time."""
        return self.clocks["e1"].wall_ms()

    def new_keeper(self, name: str) -> quota_keeper.QuotaKeeper:
        keeper = quota_keeper.QuotaKeeper(TERMS)
        account = limited(self.rate, self.rate)
        now_ms = self.clocks[name].boot_ms()
        keeper.put_in_force({account.name: account}, now_ms)
        peers = [peer for peer in self.KEEPERS if peer != name]
        keeper.set_keepers(peers, len(self.KEEPERS), now_ms)
        return keeper

    def send(self, sender: str, receiver: str, message: object) -> None:
        lifetime = self.lifetimes[receiver]
        self.flights.append(Flight(sender, receiver, lifetime, message))

    def send_all(self, name: str, sends: list[quota_keeper.Send]) -> None:
        for send in sends:
            self.send(name, send.to, send.message)

    def run(self, released: list[account_tokens.Released]) -> None:
        for item in released:
            if isinstance(item.decision, account_tokens.Taken):
                self.runs_ms.append(self.true_ms)

    def advance(self, by_ms: int, suspended: str = "") -> None:
        for name, clock in self.clocks.items():
            if name == suspended:
                clock.suspend(by_ms)
            else:
                clock.advance(by_ms)

    @stateful.rule(by_ms=strategies.sampled_from((20, 100, 400, 1500)))
    def time_passes(self, by_ms: int) -> None:
        self.advance(by_ms)

    @stateful.rule(
        name=strategies.sampled_from(ENTRIES + KEEPERS),
        for_ms=strategies.sampled_from((100, 600, 6000)),
    )
    def a_host_is_suspended(self, name: str, for_ms: int) -> None:
        self.advance(for_ms, name)

    @stateful.rule(name=strategies.sampled_from(ENTRIES))
    def an_entry_restarts(self, name: str) -> None:
        self.lifetimes[name] += 1
        self.tokens[name] = account_tokens.AccountTokens(1000)

    @stateful.rule(name=strategies.sampled_from(KEEPERS))
    def a_keeper_restarts(self, name: str) -> None:
        if self.true_ms < self.restarted_ms[name] + 2 * TERMS.window_ms:
            return
        self.restarted_ms[name] = self.true_ms
        self.lifetimes[name] += 1
        self.keepers[name] = self.new_keeper(name)

    @stateful.rule(
        name=strategies.sampled_from(ENTRIES),
        keeper=strategies.sampled_from(KEEPERS),
        count=strategies.sampled_from((1, 20, 60)),
    )
    def requests_arrive(self, name: str, keeper: str, count: int) -> None:
        tokens = self.tokens[name]
        now_ms = self.clocks[name].boot_ms()
        for _ in range(count):
            self.last_call_id += 1
            decision = tokens.take("alice", self.last_call_id, now_ms)
            self.run([account_tokens.Released(self.last_call_id, decision)])
        question = tokens.ask_waiting("alice", now_ms)
        if question is not None:
            self.send(name, keeper, question)

    @stateful.rule(
        name=strategies.sampled_from(ENTRIES),
        keeper=strategies.sampled_from(KEEPERS),
    )
    def an_entry_ticks(self, name: str, keeper: str) -> None:
        tokens = self.tokens[name]
        now_ms = self.clocks[name].boot_ms()
        tokens.take_unanswered(now_ms)
        question = tokens.ask_ahead(now_ms)
        if question is not None:
            self.send(name, keeper, question)

    @stateful.rule()
    def keepers_tick(self) -> None:
        for name, keeper in self.keepers.items():
            self.send_all(name, keeper.tick(self.clocks[name].boot_ms()))

    @stateful.rule(rate=strategies.sampled_from(RATES))
    def the_limit_changes(self, rate: float) -> None:
        self.rate = rate
        self.limits.append((self.true_ms, rate))
        account = limited(rate, rate)
        for name, keeper in self.keepers.items():
            now_ms = self.clocks[name].boot_ms()
            keeper.put_in_force({account.name: account}, now_ms)

    @stateful.rule(in_order=strategies.booleans())
    def all_messages_arrive(self, in_order: bool) -> None:
        for _ in range(200):
            if not self.flights:
                return
            count = len(self.flights)
            self.deliver(0 if in_order else self.rng.randrange(count))

    @stateful.rule(
        name=strategies.sampled_from(ENTRIES),
        keeper=strategies.sampled_from(KEEPERS),
    )
    def a_flood_is_served_at_once(self, name: str, keeper: str) -> None:
        """Requests come and all messages arrive, each 100 ms for 3 s."""
        for _ in range(30):
            self.requests_arrive(name, keeper, 60)
            self.all_messages_arrive(True)
            self.advance(100)
            self.no_window_has_more_runs_than_allowed()

    @stateful.precondition(lambda self: self.flights)
    @stateful.rule(doubled=strategies.booleans())
    def a_message_arrives(self, doubled: bool) -> None:
        position = self.rng.randrange(len(self.flights))
        if doubled:
            self.flights.append(self.flights[position])
        self.deliver(position)

    @stateful.precondition(lambda self: self.flights)
    @stateful.rule()
    def a_message_is_lost(self) -> None:
        del self.flights[self.rng.randrange(len(self.flights))]

    def deliver(self, position: int) -> None:
        flight = self.flights.pop(position)
        name = flight.receiver
        if flight.lifetime != self.lifetimes[name]:
            return
        now_ms = self.clocks[name].boot_ms()
        if name in self.tokens:
            self.run(self.tokens[name].on_reply(flight.message, now_ms))
            return
        keeper = self.keepers[name]
        if isinstance(flight.message, messages.TokenAsk):
            sends = keeper.on_ask(flight.sender, flight.message, now_ms)
        else:
            sends = keeper.on_reply(flight.sender, flight.message, now_ms)
        self.send_all(name, sends)

    @stateful.invariant()
    def no_window_has_more_runs_than_allowed(self) -> None:
        now_ms = self.true_ms
        since_ms = now_ms - TERMS.window_ms
        self.runs_ms = [run for run in self.runs_ms if run > since_ms]
        rates = [rate for at, rate in self.limits if at >= since_ms - 1000]
        before = [rate for at, rate in self.limits if at < since_ms - 1000]
        highest = max(rates + before[-1:])
        assert len(self.runs_ms) <= TERMS.allowed(highest, highest)


Quotas.TestCase.settings = hypothesis.settings(
    derandomize=True, max_examples=100, stateful_step_count=50, deadline=None
)
TestQuotas = Quotas.TestCase


def test_a_loan_of_an_earlier_keeper_adds_nothing() -> None:
    """Its tokens, of any age, were added to those of the new keeper."""
    lender = keeper_of(limited(10, 10), ("d1",))
    earlier = keeper_of(limited(10, 10), ("d2",))
    (question,) = earlier.on_ask("h1", ask(1000), START_MS)
    (lent,) = lender.on_ask("d1", question.message, START_MS)
    restarted = quota_keeper.QuotaKeeper(TERMS, first_ask_id=1 << 40)
    restarted.put_in_force({"alice": limited(10, 10)}, START_MS)
    restarted.set_keepers(["d2"], 2, START_MS)
    restarted.on_ask("h1", ask(1000), START_MS)
    left = restarted.purses["alice"].bucket.refill(START_MS)
    assert restarted.on_reply("d2", lent.message, START_MS) == []
    assert restarted.purses["alice"].bucket.refill(START_MS) == left
