"""How long a proxy honours the keys that it knows."""

import dataclasses
import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from trefoil_accounts import key_lease
from trefoil_fleet import revision_rounds
from trefoil_model import clock as clocks
from trefoil_wire import messages

REVOCATION_MS = 5000


def lease_at(revision: int) -> key_lease.KeyLease:
    lease = key_lease.KeyLease(REVOCATION_MS)
    lease.put_in_force(revision)
    return lease


def test_a_lease_counts_from_its_question_not_from_the_answer() -> None:
    lease = lease_at(7)
    question = lease.question_due(1000)
    lease.on_reply(messages.RevisionReply(question.nonce, 7))
    assert lease.is_valid(1000 + lease.term_ms - 1)
    assert not lease.is_valid(1000 + lease.term_ms)
    assert lease.term_ms <= REVOCATION_MS


def test_an_answer_holds_only_once_its_revision_is_in_force() -> None:
    lease = lease_at(6)
    question = lease.question_due(1000)
    lease.on_reply(messages.RevisionReply(question.nonce, 7))
    assert not lease.is_valid(1100)
    lease.put_in_force(7)
    assert lease.is_valid(1100)


def test_an_answer_to_another_question_renews_nothing() -> None:
    lease = lease_at(7)
    question = lease.question_due(1000)
    lease.on_reply(messages.RevisionReply(question.nonce + 1, 7))
    assert not lease.is_valid(1100)


def test_the_same_answer_twice_renews_once() -> None:
    lease = lease_at(7)
    question = lease.question_due(1000)
    reply = messages.RevisionReply(question.nonce, 7)
    lease.on_reply(reply)
    expires_ms = lease.expires_ms
    lease.on_reply(reply)
    assert lease.expires_ms == expires_ms


def test_questions_that_are_not_answered_are_bounded_and_repeated() -> None:
    lease = lease_at(7)
    for now_ms in range(0, 60_000, 50):
        lease.question_due(now_ms)
    assert len(lease.questions) <= key_lease.MAX_QUESTIONS


def test_a_renewed_lease_is_not_asked_for_again_at_once() -> None:
    lease = lease_at(7)
    question = lease.question_due(1000)
    lease.on_reply(messages.RevisionReply(question.nonce, 7))
    assert lease.question_due(1300) is None
    assert lease.question_due(2000) is not None


def test_without_contact_keys_hold_for_three_fifths_of_the_bound() -> None:
    """Guards callers of sound keys against refusals that no rule needs."""
    lease = lease_at(7)
    now_ms = 0
    for now_ms in range(0, 20_000, 50):
        question = lease.question_due(now_ms)
        if question is not None:
            lease.on_reply(messages.RevisionReply(question.nonce, 7))
    assert lease.is_valid(now_ms + int(0.6 * REVOCATION_MS))


def test_questions_of_many_hosts_are_asked_once() -> None:
    rounds = revision_rounds.RevisionRounds(100)
    for host in range(300):
        rounds.add(f"h{host}", host)
    nonce = rounds.begin(1000)
    assert rounds.begin(1001) == 0
    assert len(rounds.complete(nonce)) == 300
    assert rounds.begin(1002) == 0


def test_a_question_that_came_later_waits_for_the_next_answer() -> None:
    """Guards against a lease by an answer from before the question."""
    rounds = revision_rounds.RevisionRounds(100)
    rounds.add("early", 1)
    nonce = rounds.begin(1000)
    rounds.add("late", 2)
    assert [w.host for w in rounds.complete(nonce)] == ["early"]
    assert [w.host for w in rounds.complete(rounds.begin(1001))] == ["late"]


def test_a_question_without_an_answer_is_asked_again() -> None:
    rounds = revision_rounds.RevisionRounds(100)
    rounds.add("h1", 1)
    lost = rounds.begin(1000)
    again = rounds.begin(1000 + revision_rounds.ROUND_TIMEOUT_MS)
    assert rounds.complete(lost) == []
    assert [w.host for w in rounds.complete(again)] == ["h1"]


@dataclasses.dataclass(slots=True)
class Host:
    """A proxy as the machine below sees it."""

    clock: clocks.PausedClock
    lease: key_lease.KeyLease
    revision: int
    lifetime: int = 0


@dataclasses.dataclass(slots=True)
class Flight:
    """A message that is on its way.

    Args:
        host: The proxy that it belongs to.
        lifetime: The lifetime of that proxy that sent the question.
        message: The question or the answer.
    """

    host: int
    lifetime: int
    message: messages.RevisionQuery | messages.RevisionReply


class Revocations(stateful.RuleBasedStateMachine):
    """Proxies with leases, one agreed history, and a network in between.

    Hosts are partitioned (their messages stay in flight), suspended,
    restarted and slow to apply revisions; messages are late, lost, doubled
    and reordered. Every revision takes a key away.
    """

    HOSTS = 3

    def __init__(self) -> None:
        super().__init__()
        self.true_ms = 1_000_000
        self.acked_ms: dict[int, int] = {}
        self.newest = 1
        self.hosts = [
            Host(clocks.PausedClock(), key_lease.KeyLease(REVOCATION_MS), 1)
            for _ in range(self.HOSTS)
        ]
        for host in self.hosts:
            host.lease.put_in_force(1)
        self.flights: list[Flight] = []
        self.rng = random.Random(1)

    @stateful.rule(by_ms=strategies.sampled_from((50, 300, 1500, 3000)))
    def time_passes(self, by_ms: int) -> None:
        self.true_ms += by_ms
        for host in self.hosts:
            host.clock.advance(by_ms)

    @stateful.rule(
        number=strategies.integers(0, HOSTS - 1),
        for_ms=strategies.sampled_from((100, 2500, 8000)),
    )
    def a_host_is_suspended(self, number: int, for_ms: int) -> None:
        self.true_ms += for_ms
        for other, host in enumerate(self.hosts):
            if other == number:
                host.clock.suspend(for_ms)
            else:
                host.clock.advance(for_ms)

    @stateful.rule(number=strategies.integers(0, HOSTS - 1))
    def a_host_restarts(self, number: int) -> None:
        host = self.hosts[number]
        host.lease = key_lease.KeyLease(REVOCATION_MS)
        host.lifetime += 1
        host.lease.put_in_force(host.revision)

    @stateful.rule()
    def a_key_is_taken_away(self) -> None:
        self.newest += 1
        self.acked_ms[self.newest] = self.true_ms

    @stateful.rule(number=strategies.integers(0, HOSTS - 1))
    def a_host_applies_the_newest_revision(self, number: int) -> None:
        self.hosts[number].revision = self.newest
        self.hosts[number].lease.put_in_force(self.newest)

    @stateful.rule(number=strategies.integers(0, HOSTS - 1))
    def a_host_asks(self, number: int) -> None:
        host = self.hosts[number]
        question = host.lease.question_due(host.clock.boot_ms())
        if question is not None:
            self.flights.append(Flight(number, host.lifetime, question))

    @stateful.rule(number=strategies.integers(0, HOSTS - 1))
    def a_host_renews_its_lease(self, number: int) -> None:
        """Its question and the answer arrive at once."""
        before = len(self.flights)
        self.a_host_asks(number)
        if len(self.flights) > before:
            self.deliver(len(self.flights) - 1)
            self.deliver(len(self.flights) - 1)

    @stateful.precondition(lambda self: self.flights)
    @stateful.rule(doubled=strategies.booleans())
    def a_message_arrives(self, doubled: bool) -> None:
        position = self.rng.randrange(len(self.flights))
        if doubled:
            self.flights.append(self.flights[position])
        self.deliver(position)

    def deliver(self, position: int) -> None:
        flight = self.flights.pop(position)
        if isinstance(flight.message, messages.RevisionQuery):
            reply = messages.RevisionReply(flight.message.nonce, self.newest)
            self.flights.append(Flight(flight.host, flight.lifetime, reply))
            return
        host = self.hosts[flight.host]
        if flight.lifetime == host.lifetime:
            host.lease.on_reply(flight.message)

    @stateful.precondition(lambda self: self.flights)
    @stateful.rule()
    def a_message_is_lost(self) -> None:
        del self.flights[self.rng.randrange(len(self.flights))]

    @stateful.invariant()
    def no_key_is_honoured_past_its_end(self) -> None:
        for host in self.hosts:
            if not host.lease.is_valid(host.clock.boot_ms()):
                continue
            for revision, acked_ms in self.acked_ms.items():
                honours_old_key = host.revision < revision
                late = self.true_ms > acked_ms + REVOCATION_MS
                assert not (honours_old_key and late)


Revocations.TestCase.settings = hypothesis.settings(
    derandomize=True, max_examples=150, stateful_step_count=40, deadline=None
)
TestRevocations = Revocations.TestCase
