"""Evacuations in the replicated state: resent, delayed or withdrawn."""

import dataclasses

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from trefoil_fleet import items as item_store
from trefoil_moves import state as states
from trefoil_wire import frames
from trefoil_wire import messages

Outcome = messages.Outcome
DOMAIN = "la-marsa"
KEY = item_store.EVACUATION + DOMAIN
NOW_MS = 1_700_000_000_000


def evacuation(
    command_id: str, evacuated: bool = True, known: int = 0
) -> messages.Command:
    """Return a command that starts or ends the evacuation of the domain."""
    body = messages.EvacuateDomain(DOMAIN, evacuated, known, "cooling")
    kind, data = frames.pack_any(body)
    return messages.Command(
        command_id=command_id,
        operator_name="ann",
        issued_ms=NOW_MS,
        kind=kind,
        body=data,
        stamped_ms=NOW_MS,
    )


def is_evacuated(state: states.State) -> bool:
    """Return whether the domain is evacuated."""
    return state.items.get(KEY) is not None


def test_an_evacuation_records_operator_time_and_reason() -> None:
    state = states.State()
    assert state.apply(5, evacuation("a")).outcome == Outcome.DONE
    record = state.items.get(KEY)
    assert (record.operator_name, record.since_ms) == ("ann", NOW_MS)
    assert record.reason == "cooling"
    assert state.items.revision == 5


@pytest.mark.parametrize("evacuated", [True, False])
def test_a_resent_call_is_acknowledged_again(evacuated: bool) -> None:
    """The reply was lost, so the same call arrives as another command."""
    state = states.State()
    state.apply(5, evacuation("a"))
    state.apply(6, evacuation("b", evacuated, known=5))
    resent = state.apply(7, evacuation("c", evacuated, known=5))
    assert resent.outcome == Outcome.DONE
    assert is_evacuated(state) == evacuated


def test_a_delayed_call_does_not_evacuate_the_domain_again() -> None:
    """A suspended host submits the call after the evacuation has ended."""
    state = states.State()
    state.apply(5, evacuation("a", known=4))
    state.apply(6, evacuation("b", evacuated=False, known=5))
    late = state.apply(7, evacuation("c", known=4))
    assert late.outcome == Outcome.NOT_RUN
    assert late.cause == messages.Cause.CONFLICT
    assert not is_evacuated(state)


def test_a_snapshot_keeps_an_evacuation() -> None:
    state = states.State()
    state.apply(5, evacuation("a"))
    assert is_evacuated(states.State.from_bytes(state.to_bytes()))


def test_the_end_of_an_evacuation_is_kept_despite_many_deleted_routes() -> (
    None
):
    """Without its tombstone, a delayed call would evacuate the domain again.

    Tombstones of evacuations must not be evicted together with those of
    routes.
    """
    state = states.State()
    state.apply(5, evacuation("a"))
    state.apply(6, evacuation("b", evacuated=False))
    for number in range(item_store.MAX_TOMBSTONES + 10):
        key = f"{item_store.ROUTE}r{number}"
        state.items.set(7, key, messages.Drain("x"))
        state.items.delete(8, key)
    assert state.items.revision_of(KEY) == 6


@dataclasses.dataclass
class CommandInFlight:
    """A command in flight.

    Args:
        call: Number of the operator's call that it belongs to.
        host: The control host that created it.
        command: The command.
    """

    call: int
    host: int
    command: messages.Command


HOSTS = 3


class Operator(stateful.RuleBasedStateMachine):
    """One operator, hosts that lag behind and commands that are delayed.

    The operator makes one call after the other and sends each any number of
    times, to any host. Whatever arrives late, the domain must be in the state
    that the latest acknowledged call requested.
    """

    def __init__(self) -> None:
        super().__init__()
        self.state = states.State()
        self.index = 1
        self.command_count = 0
        self.known = [1] * HOSTS
        self.call = 0
        self.wanted = False
        self.acknowledged = True
        self.in_flight: list[CommandInFlight] = []

    def _send(self, host: int) -> None:
        self.command_count += 1
        command = evacuation(
            f"n{self.command_count}", self.wanted, self.known[host]
        )
        self.in_flight.append(CommandInFlight(self.call, host, command))

    @stateful.precondition(lambda self: self.acknowledged)
    @stateful.rule(wanted=st.booleans())
    def begin_call(self, wanted: bool) -> None:
        """Begin another call."""
        self.call += 1
        self.wanted = wanted
        self.acknowledged = False

    @stateful.precondition(lambda self: not self.acknowledged)
    @stateful.rule(host=st.integers(0, HOSTS - 1))
    def send(self, host: int) -> None:
        """Send the current call to a host, which creates a command."""
        self._send(host)

    @stateful.rule(host=st.integers(0, HOSTS - 1))
    def catch_up(self, host: int) -> None:
        """Let a host catch up."""
        self.known[host] = self.index

    @stateful.precondition(lambda self: self.in_flight)
    @stateful.rule(position=st.integers(0, 20))
    def commit_command(self, position: int) -> None:
        """Commit any command in flight, however late."""
        sent = self.in_flight.pop(position % len(self.in_flight))
        self.index += 1
        past = self.state.apply(self.index, sent.command)
        is_current = sent.call == self.call and not self.acknowledged
        if past.outcome == Outcome.DONE:
            self.acknowledged |= is_current
        else:
            self.known[sent.host] = past.revision
            if is_current:
                self._send(sent.host)

    @stateful.invariant()
    def domain_matches_the_acknowledged_call(self) -> None:
        """Check the domain against the latest acknowledged call."""
        if self.acknowledged:
            assert is_evacuated(self.state) == self.wanted


TestOperator = Operator.TestCase
TestOperator.settings = settings(max_examples=200, stateful_step_count=40)
