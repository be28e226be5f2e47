"""Moves of seconds: three steps, and little exposure of what is bad."""

import dataclasses
import typing

import pytest

from trefoil_moves import conductor as conductors
from trefoil_moves import knobs as knob_store
from trefoil_moves import phases
from trefoil_wire import messages

SPAN_MS = 16_000
RATE = 300
REPORT_MS = 500
USUAL_BUCKET = 40
SLOW_BUCKET = 52
# Cold targets' latencies are not counted, so that no step has its evidence.
COLD = -1
EXPOSURE_SHARE = 0.1
EXPOSURE_SLACK = 50
FULL = conductors.Capacity(48, 48, 4, [])


@dataclasses.dataclass(slots=True)
class Tallies:
    """What all proxies counted so far of one version."""

    requests: float = 0
    failures: float = 0
    latencies: dict[int, float] = dataclasses.field(default_factory=dict)

    def add(self, requests: float, failed: float, bucket: int) -> None:
        """Count requests that all took about the same time."""
        self.requests += requests
        self.failures += failed
        if bucket == COLD:
            return
        self.latencies[bucket] = self.latencies.get(bucket, 0) + requests

    def tally(self, version: str) -> messages.Tally:
        """Return the counts as a proxy reports them."""
        return messages.Tally(
            "r",
            version,
            "d",
            int(self.requests),
            int(self.failures),
            {bucket: int(n) for bucket, n in self.latencies.items()},
        )


@dataclasses.dataclass(slots=True)
class Played:
    """How a move went."""

    outcome: int
    ended_ms: int
    exposed: float


def play(
    *,
    fails: typing.Callable[[int], float] = lambda now_ms: 0.0,
    bucket: typing.Callable[[str, int], int] = lambda v, t: USUAL_BUCKET,
    watch_ms: int = 1000,
    new_leader_ms: int = -1,
    loaded: float = 0.0,
    rate: int = RATE,
) -> Played:
    """Play a move; requests follow the shares at once.

    Args:
        fails: Part of the new version's requests that fail, by time.
        bucket: Latency of a version's requests, by time.
        watch_ms: How long the watch after the whole share lasts.
        new_leader_ms: When another leader takes the move over.
        loaded: Part of its requests that fail once it has them all.
        rate: Requests a second.
    """
    move = messages.MoveRecord(
        "m",
        "s",
        "v1",
        "v2",
        SPAN_MS,
        80,
        watch_ms,
        0,
        0,
        phases.WAITING,
        0,
        "",
        0,
        [],
    )
    knobs = knob_store.Knobs(
        exposed_part=EXPOSURE_SHARE, exposed_requests=EXPOSURE_SLACK
    )
    conductor = conductors.Conductor(move, knobs, 0)
    counts = {"v1": Tallies(), "v2": Tallies()}
    for now_ms in range(0, SPAN_MS + 4000, 100):
        if now_ms == new_leader_ms:
            conductor = conductors.Conductor(move, knobs, now_ms)
        new = rate * 0.1 * move.permille / 1000
        whole = move.permille == conductors.WHOLE
        failed = max(fails(now_ms), loaded if whole else 0.0)
        counts["v2"].add(new, new * failed, bucket("v2", now_ms))
        counts["v1"].add(rate * 0.1 - new, 0, bucket("v1", now_ms))
        if now_ms % REPORT_MS == 0:
            tallies = [found.tally(v) for v, found in counts.items()]
            conductor.hear(
                messages.EvidenceReport("m", "h", 1, now_ms + 1, tallies),
                now_ms,
            )
        decision = conductor.decide(move, FULL, now_ms=now_ms, wall_ms=now_ms)
        if isinstance(decision, conductors.End):
            exposed = counts["v2"].requests
            return Played(decision.outcome, now_ms, exposed)
        if decision is not None:
            move.permille = decision.permille
            move.phase = decision.phase
            move.step_ms = now_ms
            conductor.stepped(move, now_ms)
    raise AssertionError("the move did not end")


RATES = [20, 130, 300, 600]
TAKEN_BACK_MS = 600
# A change of leader in the midst of the last steps.
LAST_CHANGES_MS = [12_000, 12_500, 13_000, 13_200, 13_400, 13_600]


def allowed(rate: int = RATE) -> float:
    """Return how many requests a bad version may get."""
    return rate * SPAN_MS / 1000 * EXPOSURE_SHARE + EXPOSURE_SLACK


def test_a_good_version_is_whole_in_time() -> None:
    found = play()
    assert found.outcome == messages.Outcome.DONE
    assert found.ended_ms <= SPAN_MS


def test_a_version_that_fails_at_once_is_taken_back_in_seconds() -> None:
    found = play(fails=lambda now_ms: 0.34)
    assert found.outcome == messages.Outcome.TAKEN_BACK
    assert found.ended_ms <= 5000
    assert found.exposed <= allowed()


def test_a_version_that_fails_later_is_taken_back() -> None:
    """It is well for three seconds, as if it had a leak."""
    found = play(fails=lambda now_ms: 0.5 * (now_ms >= 3000))
    assert found.outcome == messages.Outcome.TAKEN_BACK
    assert found.exposed <= allowed()


def test_a_version_that_fails_under_load_is_taken_back() -> None:
    """It is well with a third of the traffic and fails with all of it.

    What it got on the way leaves little for the time until the fault is
    seen, agreed and spread to every proxy: 0.6 s more at the whole rate.
    """
    found = play(loaded=0.15)
    assert found.outcome == messages.Outcome.TAKEN_BACK
    assert found.exposed + 0.6 * RATE <= allowed() - EXPOSURE_SLACK


def test_a_version_that_is_slow_is_taken_back() -> None:
    found = play(
        bucket=lambda v, t: SLOW_BUCKET if v == "v2" else USUAL_BUCKET
    )
    assert found.outcome == messages.Outcome.TAKEN_BACK
    assert found.exposed <= allowed()


def test_what_slows_both_versions_does_not_condemn_the_new_one() -> None:
    """After the whole share something slows every target down.

    The old version has no traffic then. Latency compared with its past
    alone takes a good version back, and its operator misses the deadline.
    """
    found = play(
        bucket=lambda v, t: SLOW_BUCKET if t >= 5500 else USUAL_BUCKET,
        watch_ms=4000,
    )
    assert found.outcome == messages.Outcome.DONE


def test_a_version_that_turns_slow_after_the_whole_share_is_taken_back() -> (
    None
):
    """It is well until it has all traffic, then each request drags.

    The old version gets a part again, is as fast as ever beside it, and the
    move is taken back.
    """
    found = play(
        bucket=lambda v, t: (
            SLOW_BUCKET if v == "v2" and t >= 7500 else USUAL_BUCKET
        ),
        watch_ms=4000,
    )
    assert found.outcome == messages.Outcome.TAKEN_BACK
    assert found.ended_ms <= 7500 + 5000


def test_a_leader_that_takes_over_in_the_watch_sees_a_late_fault() -> None:
    """The leader is lost after the whole share, then the version fails.

    The next leader learns what was before from the proxies' cumulative
    reports; without the old version's past it had nothing to compare with
    and ended the move as done.
    """
    found = play(
        fails=lambda now_ms: 0.3 * (now_ms >= 10_500),
        watch_ms=6000,
        new_leader_ms=9000,
    )
    assert found.outcome == messages.Outcome.TAKEN_BACK
    assert found.ended_ms <= 10_500 + 3000


@pytest.mark.parametrize("rate", [150, 300, 600])
def test_a_fault_under_load_is_bounded_though_evidence_was_thin(
    rate: int,
) -> None:
    """Steps that waited for evidence in vain left nothing for the last one.

    The version's targets are cold, so that no step has its evidence, and it
    fails with all the traffic: 0.6 s more until the fault is agreed and
    spread to every proxy.
    """
    found = play(
        bucket=lambda v, t: COLD if v == "v2" else USUAL_BUCKET,
        loaded=0.15,
        rate=rate,
    )
    assert found.outcome == messages.Outcome.TAKEN_BACK
    assert found.exposed + 0.6 * rate <= allowed(rate)


@pytest.mark.parametrize("new_leader_ms", [1500, 3500, 4500])
def test_a_leader_that_takes_over_knows_what_was_spent(
    new_leader_ms: int,
) -> None:
    """Counted from its own start, the version would get it all once more."""
    found = play(
        bucket=lambda v, t: COLD if v == "v2" else USUAL_BUCKET,
        loaded=0.15,
        new_leader_ms=new_leader_ms,
    )
    assert found.outcome == messages.Outcome.TAKEN_BACK
    assert found.exposed + 0.6 * RATE <= allowed()


@pytest.mark.parametrize("rate", [150, 300, 600])
def test_a_good_version_of_thin_evidence_is_whole_in_time(rate: int) -> None:
    found = play(
        bucket=lambda v, t: COLD if v == "v2" else USUAL_BUCKET, rate=rate
    )
    assert found.outcome == messages.Outcome.DONE
    assert found.ended_ms <= SPAN_MS - 1000


@pytest.mark.parametrize("rate", RATES)
@pytest.mark.parametrize("turns_ms", [3000, 5000, 7000, 9000, 11_000])
def test_a_version_that_turns_bad_late_is_not_taken_for_good(
    turns_ms: int, rate: int
) -> None:
    """It was done by half of its time; nobody watched it any more."""
    found = play(fails=lambda now_ms: 0.4 * (now_ms >= turns_ms), rate=rate)
    assert found.outcome == messages.Outcome.TAKEN_BACK
    assert found.exposed + TAKEN_BACK_MS / 1000 * rate <= allowed(rate)


@pytest.mark.parametrize("new_leader_ms", LAST_CHANGES_MS)
@pytest.mark.parametrize("rate", RATES)
def test_a_new_leader_does_not_end_a_watch_that_saw_nothing(
    rate: int, new_leader_ms: int
) -> None:
    """Its watch ended by its clock, before the first failures were told."""
    found = play(loaded=0.4, rate=rate, new_leader_ms=new_leader_ms)
    assert found.outcome == messages.Outcome.TAKEN_BACK
    assert found.exposed + TAKEN_BACK_MS / 1000 * rate <= allowed(rate)


@pytest.mark.parametrize("new_leader_ms", [-1, 3000, 8000, *LAST_CHANGES_MS])
@pytest.mark.parametrize("rate", RATES)
def test_a_good_version_is_done_in_time_whoever_leads(
    rate: int, new_leader_ms: int
) -> None:
    """Steps that wait must leave a new leader the time to end the move."""
    found = play(rate=rate, new_leader_ms=new_leader_ms)
    assert found.outcome == messages.Outcome.DONE
    assert found.ended_ms <= SPAN_MS
