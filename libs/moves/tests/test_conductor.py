"""Steps of the move controller: by evidence, slots and the deadline."""

import pytest

from trefoil_moves import conductor as conductors
from trefoil_moves import knobs as move_parameters
from trefoil_moves import phases
from trefoil_settings import settings
from trefoil_wire import messages

DEADLINE_MS = 100_000
FULL_CAPACITY = conductors.Capacity(48, 48, 4, [])
NO_TARGETS = conductors.Capacity(48, 0, 0, [])
FEW_SLOTS = conductors.Capacity(48, 12, 1, [])
MISSING_RESOURCE = conductors.Capacity(48, 48, 4, ["payments"])


def make_move(
    phase: str = phases.WAITING, permille: int = 0, watch_ms: int = 5000
) -> messages.MoveRecord:
    return messages.MoveRecord(
        move_id="m",
        service_name="s",
        from_version="v1",
        to_version="v2",
        deadline_ms=DEADLINE_MS,
        risk_permille=50,
        watch_ms=watch_ms,
        started_ms=0,
        permille=permille,
        phase=phase,
        outcome=0,
        reason="",
        step_ms=0,
        history=[],
    )


def run_move(
    move: messages.MoveRecord,
    capacity: conductors.Capacity = FULL_CAPACITY,
    *,
    start_ms: int = 0,
    until_ms: int = 200_000,
    bad_from_ms: int = -1,
    rate: int = 0,
) -> list[tuple[int, object]]:
    """Run a move and return its decisions with their times.

    Args:
        move: The move's record, which the steps change.
        capacity: Capacity of both versions.
        start_ms: When the controller starts.
        until_ms: When the run stops at the latest.
        bad_from_ms: When half of the new version's requests start to fail;
            -1 for never.
        rate: Requests a second.
    """
    controller = conductors.Conductor(
        move, move_parameters.MoveParameters(), start_ms
    )
    totals = {"v1": [0, 0], "v2": [0, 0]}
    decisions = []
    for now_ms in range(start_ms, until_ms, 200):
        if rate and now_ms % 1000 == 0:
            is_bad = 0 <= bad_from_ms <= now_ms
            controller.hear(
                _report(move, totals, rate, is_bad, now_ms), now_ms
            )
        decision = controller.decide(
            move, capacity, now_ms=now_ms, wall_ms=now_ms
        )
        if decision is None:
            continue
        decisions.append((now_ms, decision))
        if isinstance(decision, conductors.End):
            return decisions
        move.permille = decision.permille
        move.phase = decision.phase
        move.history = move.history + [f"+0s {move.phase} : x"]
        controller.stepped(move, now_ms)
    return decisions


def _report(
    move: messages.MoveRecord,
    totals: dict[str, list[int]],
    rate: int,
    is_bad: bool,
    now_ms: int,
) -> messages.EvidenceReport:
    new = rate * move.permille // 1000
    totals["v1"][0] += rate - new
    totals["v2"][0] += new
    totals["v2"][1] += new // 2 if is_bad else 0
    tallies = [
        messages.Tally("r", version, "d", count, failed, {40: count})
        for version, (count, failed) in totals.items()
    ]
    return messages.EvidenceReport("m", "h", 1, now_ms + 1, tallies, False)


def shares(decisions: list[tuple[int, object]]) -> list[int]:
    """Return the share of each step, in permille."""
    return [
        decision.permille
        for _, decision in decisions
        if isinstance(decision, conductors.Step)
    ]


def final_outcome(decisions: list[tuple[int, object]]) -> tuple[int, int]:
    """Return the time in milliseconds and the outcome of the end."""
    at_ms, decision = decisions[-1]
    assert isinstance(decision, conductors.End)
    return at_ms, decision.outcome


def test_a_good_version_has_all_traffic_by_the_deadline() -> None:
    decisions = run_move(make_move(), rate=500)
    full_ms = next(
        at_ms for at_ms, d in decisions if getattr(d, "permille", 0) == 1000
    )
    assert shares(decisions) == sorted(shares(decisions))
    assert full_ms <= DEADLINE_MS
    assert final_outcome(decisions) == (full_ms + 5000, messages.Outcome.DONE)


def test_without_traffic_the_deadline_is_still_met() -> None:
    """The service gets no request until the deadline.

    There is no evidence against the version, so it must have all the traffic
    by the deadline.
    """
    decisions = run_move(make_move())
    assert final_outcome(decisions)[1] == messages.Outcome.DONE
    assert shares(decisions)[-1] == 1000


@pytest.mark.parametrize(
    ("case", "capacity", "outcome", "reason"),
    [
        (
            "no targets",
            NO_TARGETS,
            messages.Outcome.NOT_RUN,
            "no target of the new version",
        ),
        (
            "no resource",
            MISSING_RESOURCE,
            messages.Outcome.NOT_RUN,
            "lack resources: payments",
        ),
        (
            "few slots",
            FEW_SLOTS,
            messages.Outcome.TAKEN_BACK,
            "12 slots, the old version 48",
        ),
    ],
)
def test_missing_capacity_ends_a_move_at_the_deadline(
    case: str, capacity: conductors.Capacity, outcome: int, reason: str
) -> None:
    decisions = run_move(make_move(), capacity, rate=500)
    assert final_outcome(decisions) == (DEADLINE_MS, outcome)
    assert reason in decisions[-1][1].reason
    assert all(share <= 225 for share in shares(decisions))


def test_a_move_is_taken_back_when_its_targets_disappear() -> None:
    move = make_move(phases.RAMP, 300)
    decisions = run_move(move, NO_TARGETS, rate=500)
    assert final_outcome(decisions) == (0, messages.Outcome.TAKEN_BACK)


def test_a_bad_version_keeps_its_small_share_until_it_is_taken_back() -> None:
    decisions = run_move(make_move(), rate=500, bad_from_ms=0)
    at_ms, outcome = final_outcome(decisions)
    assert outcome == messages.Outcome.TAKEN_BACK
    assert at_ms <= 15_000
    assert max(shares(decisions)) <= 50


def test_a_fault_at_full_traffic_starts_a_comparison() -> None:
    """All traffic has moved, then half of the requests fail.

    The old version has no traffic to compare with. It gets a part back until
    a fault of both versions can be distinguished from one of the new version.
    """
    decisions = run_move(
        make_move(watch_ms=60_000), rate=500, bad_from_ms=70_000
    )
    compared_ms = next(
        at_ms
        for at_ms, d in decisions
        if getattr(d, "phase", "") == phases.COMPARE
    )
    at_ms, outcome = final_outcome(decisions)
    assert outcome == messages.Outcome.TAKEN_BACK
    assert compared_ms <= 73_000
    assert at_ms <= compared_ms + 4000


def test_a_new_leader_continues_from_the_committed_step() -> None:
    move = make_move(phases.RAMP, 300)
    decisions = run_move(move, rate=500, start_ms=50_000)
    assert shares(decisions)[0] > 300
    assert final_outcome(decisions)[1] == messages.Outcome.DONE


def test_a_proxys_halt_takes_the_move_back() -> None:
    move = make_move(phases.RAMP, 300)
    controller = conductors.Conductor(
        move, move_parameters.MoveParameters(), 0
    )
    halt = messages.EvidenceReport("m", "h7", 1, 1, [], True)
    controller.hear(halt, 0)
    decision = controller.decide(move, FULL_CAPACITY, now_ms=0, wall_ms=0)
    assert decision.outcome == messages.Outcome.TAKEN_BACK
    assert "h7" in decision.reason


def test_parameters_follow_the_profile() -> None:
    assert (
        move_parameters.MoveParameters.from_profile("in-time").false_alarms
        < 0.005
    )
    assert move_parameters.MoveParameters.from_profile("cautious").pace > 0.5


def test_settings_override_the_profile() -> None:
    text = (
        "{host: c1, domain: d, peers: '127.0.0.1:1', admin: '127.0.0.1:2', "
        "controls: {c1: '127.0.0.1:1'}, voters: [c1], data_folder: x, "
        "profile: cautious, moves: {first_share: 2.5}}"
    )
    parameters = move_parameters.MoveParameters.from_settings(
        settings.parse(text, "control").ok
    )
    assert (parameters.first_permille, parameters.pace) == (25, 0.6)
