"""Tests of the memory that a process holds for its peers."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from trefoil_requests import held_memory

LIMIT = 1_000_000
SMALL = held_memory.SMALL_BYTES
LARGE = 4 * SMALL
LATER_MS = held_memory.STALLED_MS


class Peer:
    """A peer whose holdings are recorded when they are released."""

    def __init__(self) -> None:
        self.released: list[held_memory.Holding] = []

    def release(self, holding: held_memory.Holding) -> None:
        """Record a release."""
        self.released.append(holding)


def holding(**fields: object) -> held_memory.Holding:
    """Return a holding of a peer of its own."""
    return held_memory.Holding(Peer(), **fields)


def filled(
    size: int, now_ms: int = 0, **fields: object
) -> tuple[held_memory.HeldMemory, list[held_memory.Holding]]:
    """Return an account with as many holdings of a size as fit."""
    memory = held_memory.HeldMemory(LIMIT)
    held = []
    while True:
        another = holding(**fields)
        claimed = memory.claim(another, size, now_ms)
        if claimed != held_memory.Granted():
            return memory, held
        held.append(another)


def test_large_requests_leave_a_part_to_small_ones() -> None:
    """A small request never waits behind large ones."""
    memory, held = filled(LARGE)
    assert memory.total <= memory.large_limit
    claimed = memory.claim(holding(), SMALL, 0)
    assert claimed == held_memory.Granted()
    assert memory.claim(holding(), LARGE, 0) == held_memory.Refused()
    assert all(other.size == LARGE for other in held)


def test_a_large_request_replaces_only_what_stalls() -> None:
    """Requests that get on would else replace each other for ever."""
    memory, held = filled(LARGE)
    assert memory.claim(holding(), LARGE, LATER_MS - 1) == (
        held_memory.Refused()
    )
    memory.moved(held[0], LARGE, LATER_MS - 1)
    claimed = memory.claim(holding(), LARGE, LATER_MS)
    assert held[0] not in claimed.released
    assert claimed.released


def test_drips_are_no_progress() -> None:
    """A client that sends a byte now and then would keep its place."""
    memory, held = filled(LARGE)
    for now_ms in range(LATER_MS):
        for other in held:
            memory.moved(other, 1, now_ms)
    assert memory.claim(holding(), LARGE, LATER_MS).released


def test_a_small_request_replaces_what_holds_much_for_long() -> None:
    """A crowd of small requests that stop short kept out ordinary ones."""
    memory, held = filled(SMALL)
    largest = holding()
    memory.count(largest, LARGE, 0)
    claimed = memory.claim(holding(), SMALL, 1)
    assert claimed.released[0] is largest


def test_an_answer_may_use_what_requests_leave_free() -> None:
    """The answer to a request that takes all it may must find room."""
    memory, _ = filled(LARGE)
    rest = memory.limit - memory.total
    claimed = memory.claim(holding(is_answer=True), rest, 0)
    assert claimed == held_memory.Granted()


@pytest.mark.parametrize("size", [1, SMALL, LARGE])
def test_what_waits_for_others_is_never_released(size: int) -> None:
    """A request that may run must not be refused as not run."""
    memory, _ = filled(size if size > 1 else SMALL, waits_for_peer=False)
    claimed = memory.claim(holding(), LARGE, 100 * LATER_MS)
    assert claimed == held_memory.Refused()


def test_a_crowd_that_stalls_is_released_together() -> None:
    """To look for the next one for each request took all of the time."""
    memory, held = filled(SMALL)
    claimed = memory.claim(holding(), SMALL, LATER_MS)
    spare = memory.limit * held_memory.FREE_SHARE
    assert sum(other.size for other in claimed.released) >= spare
    assert len(claimed.released) < len(held)


class HeldMemoryMachine(stateful.RuleBasedStateMachine):
    """Peers that send, stop, come and leave in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.memory = held_memory.HeldMemory(LIMIT)
        self.now_ms = 0
        self.held: list[held_memory.Holding] = []

    @stateful.rule(
        size=strategies.integers(1, LIMIT),
        waits=strategies.booleans(),
        is_answer=strategies.booleans(),
    )
    def come(self, size: int, waits: bool, is_answer: bool) -> None:
        """Another holding claims memory."""
        new = holding(waits_for_peer=waits, is_answer=is_answer)
        self._claim(new, size)

    @stateful.precondition(lambda self: self.held)
    @stateful.rule(data=strategies.data(), size=strategies.integers(1, LIMIT))
    def change(self, data: strategies.DataObject, size: int) -> None:
        """A holding grows or shrinks."""
        self._claim(data.draw(strategies.sampled_from(self.held)), size)

    @stateful.precondition(lambda self: self.held)
    @stateful.rule(data=strategies.data(), count=strategies.integers(1, LIMIT))
    def move(self, data: strategies.DataObject, count: int) -> None:
        """A peer sends or reads."""
        moving = data.draw(strategies.sampled_from(self.held))
        self.memory.moved(moving, count, self.now_ms)

    @stateful.precondition(lambda self: self.held)
    @stateful.rule(data=strategies.data())
    def leave(self, data: strategies.DataObject) -> None:
        """A holding ends."""
        leaving = data.draw(strategies.sampled_from(self.held))
        self.held.remove(leaving)
        self.memory.drop(leaving)

    @stateful.rule(ms=strategies.integers(1, 3 * LATER_MS))
    def wait(self, ms: int) -> None:
        """Time passes."""
        self.now_ms += ms

    def _claim(self, new: held_memory.Holding, size: int) -> None:
        old = new.size
        before = self.memory.total
        claimed = self.memory.claim(new, size, self.now_ms)
        if isinstance(claimed, held_memory.Refused):
            assert (new.size, self.memory.total) == (old, before)
            return
        for other in claimed.released:
            assert other is not new
            assert other.waits_for_peer
            is_large_request = size > SMALL and not new.is_answer
            assert other.stalls(self.now_ms) or not is_large_request
            self.memory.drop(other)
            self.held.remove(other)
        if new not in self.held:
            self.held.append(new)

    @stateful.invariant()
    def the_account_holds(self) -> None:
        """The sums are right and within their limits."""
        sizes = [other.size for other in self.held]
        assert self.memory.total == sum(sizes) <= LIMIT
        large = [
            other.size
            for other in self.held
            if other.size > SMALL and not other.is_answer
        ]
        assert self.memory.large_total == sum(large)
        assert sum(large) <= self.memory.large_limit
        assert self.memory.holdings == set(self.held)


TestHeldMemoryMachine = HeldMemoryMachine.TestCase
TestHeldMemoryMachine.settings = hypothesis.settings(
    max_examples=200, stateful_step_count=40
)
