"""Tests of the request limit of a cold target over any second."""

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st

from trefoil_requests import admission
from trefoil_requests import warmup as warmups
from trefoil_wire import messages

PER_S = 6.5
OVERAGE = 1.5
SLACK = 8.0
LASTS_MS = 3000
MAX_STARTS_PER_S = int(PER_S * OVERAGE + SLACK)
SLOTS = 30
LONG_DEADLINE_MS = 10_000


def limit() -> warmups.Limit:
    """Return the cold-target limit of a service."""
    service = messages.Service(
        "s", [], "v1", warmup_ms=LASTS_MS, warmup_per_s=PER_S
    )
    cold_limit = warmups.Limit.from_service(service, OVERAGE, SLACK)
    assert cold_limit is not None
    return cold_limit


def test_a_service_without_a_rate_has_no_limit() -> None:
    service = messages.Service("s", [], "v1")
    assert warmups.Limit.from_service(service, OVERAGE, SLACK) is None


def test_a_wait_for_a_cold_target_is_known_in_advance() -> None:
    """A request that cannot start in time is refused immediately."""
    warmup = warmups.Warmup(limit())
    warmup.announce(LASTS_MS, 0)
    gate = admission.AdmissionController(SLOTS, warmup)
    gate.offer(admission.QueuedRequest(1, LONG_DEADLINE_MS), 0)
    gate.offer(admission.QueuedRequest(2, LONG_DEADLINE_MS), 0)
    decision = gate.offer(admission.QueuedRequest(3, 200, priority=1), 0)
    assert isinstance(decision, admission.Refused)
    assert 250 <= decision.retry_after_ms <= 350


class ColdTarget(stateful.RuleBasedStateMachine):
    """One target that turns cold at any time, under many requests.

    It turns cold by a restart, which it announces, or after an evacuation,
    which its proxy assumes. Even if announcements arrive late, no second in
    which it is cold has more starts than allowed.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now_ms = 0
        self.gate = admission.AdmissionController(
            SLOTS, warmups.Warmup(limit())
        )
        self.number = 0
        self.cold: list[tuple[int, int]] = []
        self.starts: list[int] = []

    def _note_start(self, started: bool) -> None:
        if started:
            self.starts.append(self.now_ms)

    @stateful.rule(count=st.integers(1, 40))
    def arrive(self, count: int) -> None:
        """Offer requests that may wait."""
        for _ in range(count):
            self.number += 1
            waiting = admission.QueuedRequest(
                self.number, self.now_ms + LONG_DEADLINE_MS
            )
            decision = self.gate.offer(waiting, self.now_ms)
            self._note_start(isinstance(decision, admission.Admitted))

    @stateful.rule(by_ms=st.sampled_from([1, 10, 50, 120, 700]))
    def wait(self, by_ms: int) -> None:
        """Let time pass, and start the requests that are admitted."""
        self.now_ms += by_ms
        while self.gate.next_admitted(self.now_ms) is not None:
            self._note_start(True)

    @stateful.rule(count=st.integers(1, SLOTS))
    def finish(self, count: int) -> None:
        """Finish some requests."""
        for _ in range(min(count, self.gate.running)):
            self.gate.finished(5.0)

    @stateful.rule()
    def start(self) -> None:
        """Restart the target, which announces its warm-up."""
        self.starts = []
        self.cold.append((self.now_ms, self.now_ms + LASTS_MS))
        self.gate.warmup.announce(LASTS_MS, self.now_ms)

    @stateful.rule(age_ms=st.integers(0, 1000))
    def evacuated(self, age_ms: int) -> None:
        """End the evacuation of its domain; it turned cold just before."""
        until_ms = self.now_ms - age_ms + LASTS_MS
        self.cold.append((self.now_ms - age_ms, until_ms))
        self.starts = []
        self.gate.warmup.assume_cold(self.now_ms)

    @stateful.rule()
    def late_announcement(self) -> None:
        """Deliver an announcement that is older than the assumption."""
        if self.gate.warmup.assumed_cold:
            self.gate.warmup.announce(0, self.now_ms)

    @stateful.rule()
    def asked(self) -> None:
        """Let the target return its remaining warm-up when asked."""
        if self.cold:
            left_ms = max(until for _, until in self.cold) - self.now_ms
            self.gate.warmup.set_remaining(max(left_ms, 0), self.now_ms)

    @stateful.invariant()
    def no_second_has_too_many(self) -> None:
        """Check the starts within the last second of the cold time."""
        cold = [c for c in self.cold if c[0] <= self.now_ms < c[1]]
        if cold:
            since_ms = max(min(c[0] for c in cold), self.now_ms - 999)
            count = sum(at_ms >= since_ms for at_ms in self.starts)
            assert count <= MAX_STARTS_PER_S


TestColdTarget = ColdTarget.TestCase
TestColdTarget.settings = settings(max_examples=150, stateful_step_count=40)
