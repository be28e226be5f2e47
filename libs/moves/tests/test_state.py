"""The replicated state: commands run at most once and never in part."""

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from trefoil_fleet import items as item_store
from trefoil_moves import phases
from trefoil_moves import state as states
from trefoil_wire import frames
from trefoil_wire import messages

Outcome = messages.Outcome
NOW_MS = 1_700_000_000_000


def configuration(
    version: str = "v1", route_service: str = "tables", resource: str = "pay"
) -> messages.ApplyConfiguration:
    """Return a configuration with one service and one route."""
    return messages.ApplyConfiguration(
        services=[messages.Service("tables", ["pay", "list"], version, 0.2)],
        routes=[
            messages.Route(
                name="r",
                host="*",
                prefix="/",
                methods=[],
                service_name=route_service,
                resource=resource,
                tenant="t",
                timeout_ms=1000,
                repeat=messages.Repeat.ONCE,
            )
        ],
        expected_revision=0,
    )


def command(
    body: object,
    command_id: str = "1",
    operator: str = "ann",
    issued_ms: int = NOW_MS,
    stamped_ms: int = NOW_MS,
) -> messages.Command:
    """Return an operator's command with the given body."""
    kind, data = frames.pack_any(body)
    return messages.Command(
        command_id=command_id,
        operator_name=operator,
        issued_ms=issued_ms,
        kind=kind,
        body=data,
        stamped_ms=stamped_ms,
    )


def move(to: str = "v2", start: str = "v1") -> messages.StartMove:
    """Return a request to move the service between two versions."""
    return messages.StartMove("tables", start, to, NOW_MS + 60_000, 50, 1000)


def configured_state() -> states.State:
    """Return a state with the default configuration."""
    state = states.State()
    state.apply(1, command(configuration()))
    return state


def shares_of(state: states.State) -> dict[str, int]:
    """Return the service's traffic shares in permille, by version."""
    record = state.items.get(item_store.SHARES + "tables")
    return {share.version: share.permille for share in record.shares}


def test_a_resent_command_gets_the_same_outcome_and_runs_once() -> None:
    """The reply is lost and the operator sends the command again.

    It was committed already; if it ran twice, a second move would start.
    """
    state = configured_state()
    first = state.apply(2, command(move(), "m"))
    resent = state.apply(3, command(move(), "m"))
    assert resent == first
    assert len(state.moves) == 1


def test_a_command_id_belongs_to_its_first_command() -> None:
    """Two operators use the same id for different commands."""
    state = configured_state()
    first = state.apply(2, command(move("v2"), "7", "ann"))
    second = state.apply(3, command(move("v3"), "7", "ben"))
    assert first.outcome == Outcome.DONE
    assert second.outcome == Outcome.NOT_RUN
    assert [m.to_version for m in state.moves.values()] == ["v2"]
    assert state.recorded_outcome(command(move("v2"), "7", "ann")) == first


def test_a_cancelled_command_never_runs() -> None:
    """An operator cancels a pending command, which then arrives.

    The cancellation was confirmed, so the command must not run any more.
    """
    state = configured_state()
    state.apply(2, command(messages.CancelCommand("late"), "c"))
    late_result = state.apply(3, command(move(), "late"))
    assert late_result.outcome == Outcome.NOT_RUN
    assert not state.moves


def test_a_cancel_of_a_completed_command_is_refused() -> None:
    state = configured_state()
    state.apply(2, command(move(), "m"))
    cancel = state.apply(3, command(messages.CancelCommand("m"), "c"))
    assert cancel.outcome == Outcome.NOT_RUN
    assert len(state.moves) == 1


@pytest.mark.parametrize(
    ("case", "body", "reason"),
    [
        ("unknown service", configuration(route_service="x"), "no service x"),
        ("unknown resource", configuration(resource="z"), "no resource z"),
        ("wrong revision", None, "expected revision 9"),
        ("same version", move("v1"), "the same"),
        ("not in force", move("v3", "v2"), "at version v1"),
        ("no such service", messages.ReverseMove("x"), "no move runs"),
    ],
)
def test_a_refused_command_changes_nothing(
    case: str, body: object, reason: str
) -> None:
    state = configured_state()
    before = state.items.digest
    if body is None:
        body = configuration()
        body.expected_revision = 9
    past = state.apply(2, command(body, "x"))
    assert past.outcome == Outcome.NOT_RUN
    assert reason in past.reason
    assert state.items.digest == before


def test_two_moves_on_a_service_never_run_concurrently() -> None:
    state = configured_state()
    state.apply(2, command(move("v2"), "a"))
    second = state.apply(3, command(move("v3"), "b"))
    assert second.outcome == Outcome.NOT_RUN
    assert "move a runs" in second.reason


def test_a_service_with_a_move_cannot_be_removed() -> None:
    state = configured_state()
    state.apply(2, command(move(), "a"))
    empty = messages.ApplyConfiguration([], [], 0)
    past = state.apply(3, command(empty, "b"))
    assert past.outcome == Outcome.NOT_RUN
    assert shares_of(state) == {"v1": 1000}


def test_taking_a_move_back_is_a_new_revision() -> None:
    """A bad version is taken back and the shares are as before.

    The revision must increase, since proxies ignore older revisions.
    """
    state = configured_state()
    state.apply(2, command(move(), "a"))
    step = messages.StepMove("a", 50, phases.TRIAL, "ready")
    state.apply(3, command(step, ""))
    assert shares_of(state) == {"v1": 950, "v2": 50}
    state.apply(4, command(messages.ReverseMove("tables"), "r"))
    assert shares_of(state) == {"v1": 1000}
    assert state.items.revision == 4
    assert state.moves["a"].outcome == Outcome.TAKEN_BACK


def test_commands_older_than_the_retention_are_refused() -> None:
    """A command is sent again two days later, when its outcome is deleted.

    It may have run, so it must not run now, and "not run" might be wrong.
    """
    state = configured_state()
    later_ms = NOW_MS + 2 * states.RETENTION_MS
    state.apply(2, command(move(), "m", stamped_ms=NOW_MS))
    state.apply(
        3,
        command(
            messages.DrainHost("h", True),
            "d",
            issued_ms=later_ms,
            stamped_ms=later_ms,
        ),
    )
    assert "m" not in state.past
    refusal = state.refusal(command(move(), "m"))
    assert refusal.outcome == Outcome.EXPIRED
    assert "no longer kept" in refusal.reason


class CommandMachine(stateful.RuleBasedStateMachine):
    """Commands in any order, resent or with equal ids, and snapshots."""

    command_ids = st.sampled_from(["1", "2", "3", "4", "5", "6"])

    @stateful.initialize()
    def begin(self) -> None:
        self.state = configured_state()
        self.index = 1
        self.outcomes: dict[tuple[str, int], int] = {}
        self.revision = self.state.items.revision

    def _apply(self, body: object, command_id: str, operator: str) -> None:
        self.index += 1
        sent = command(body, command_id, operator)
        past = self.state.apply(self.index, sent)
        if past is None:
            return
        key = (command_id, states.command_digest(sent))
        assert self.outcomes.setdefault(key, past.outcome) == past.outcome

    @stateful.rule(
        command_id=command_ids,
        operator=st.sampled_from(["ann", "ben"]),
        to=st.sampled_from(["v1", "v2", "v3"]),
        start=st.sampled_from(["v1", "v2"]),
    )
    def start_move(
        self, command_id: str, operator: str, to: str, start: str
    ) -> None:
        self._apply(move(to, start), command_id, operator)

    @stateful.rule(command_id=command_ids)
    def reverse_move(self, command_id: str) -> None:
        self._apply(messages.ReverseMove("tables"), command_id, "ann")

    @stateful.rule(command_id=command_ids, cancelled=command_ids)
    def cancel_command(self, command_id: str, cancelled: str) -> None:
        self._apply(messages.CancelCommand(cancelled), command_id, "ann")

    @stateful.rule(
        command_id=command_ids, permille=st.sampled_from([20, 500, 1000])
    )
    def step_move(self, command_id: str, permille: int) -> None:
        step = messages.StepMove(command_id, permille, phases.RAMP, "")
        self._apply(step, "", "leader")

    @stateful.rule(
        command_id=command_ids,
        outcome=st.sampled_from([Outcome.DONE, Outcome.TAKEN_BACK]),
    )
    def end_move(self, command_id: str, outcome: int) -> None:
        self._apply(messages.EndMove(command_id, outcome, ""), "", "leader")

    @stateful.rule()
    def restore_snapshot(self) -> None:
        restored = states.State.from_bytes(self.state.to_bytes())
        assert restored.to_bytes() == self.state.to_bytes()
        self.state = restored

    @stateful.invariant()
    def revisions_never_decrease(self) -> None:
        if hasattr(self, "state"):
            assert self.state.items.revision >= self.revision
            self.revision = self.state.items.revision

    @stateful.invariant()
    def shares_add_up_to_all_traffic(self) -> None:
        if hasattr(self, "state"):
            assert sum(shares_of(self.state).values()) == 1000
            assert len(self.state.running_moves()) <= 1

    @stateful.invariant()
    def without_a_move_one_version_has_all_traffic(self) -> None:
        if hasattr(self, "state") and not self.state.running_moves():
            assert 1000 in shares_of(self.state).values()


TestCommandMachine = CommandMachine.TestCase
TestCommandMachine.settings = settings(
    max_examples=100, stateful_step_count=40
)
