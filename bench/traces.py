"""Simulation of a move that drives the daemons' cores.

A trace is one move of one service. Requests arrive at proxies, get a version
by the share in force there, and occupy a slot of a target. Evidence passes
through the daemons' own collectors, reports that may be reordered or lost, and
the daemons' own conductor and agreed state.
"""

import dataclasses
import heapq
import math
import random
import typing

from trefoil_fleet import items as item_store
from trefoil_moves import conductor as conductors
from trefoil_moves import evidence as evidences
from trefoil_moves import judge as comparisons
from trefoil_moves import knobs as move_parameters
from trefoil_moves import phases
from trefoil_moves import state as states
from trefoil_wire import frames
from trefoil_wire import messages

STEP_MS = 100
DECISION_INTERVAL_MS = 200
DEADLINE_MS = 90_000
WATCH_MS = 30_000
MAX_DURATION_MS = 150_000
TIMEOUT_MS = 2000
MAX_PROPAGATION_MS = 300
OLD, NEW = "v1", "v2"
START_WALL_MS = 1_700_000_000_000


@dataclasses.dataclass(slots=True, frozen=True)
class Deployment:
    """Sizes and rates of a deployment's service.

    Args:
        name: Its name.
        targets: Targets of each version.
        slots: Slots of each target.
        rate: Requests per second.
        median_ms: Median run time of a request.
        routes: Share of requests of each route.
        profile: Profile of the parameters of moves.
    """

    name: str
    targets: int
    slots: int
    rate: float
    median_ms: float
    routes: dict[str, float]
    profile: str


DEPLOYMENTS = {
    "matbakh": Deployment(
        "matbakh",
        targets=8,
        slots=12,
        rate=160.0,
        median_ms=60.0,
        routes={"list": 0.8, "pay": 0.15, "rare": 0.05},
        profile="in-time",
    ),
    "sabarmati": Deployment(
        "sabarmati",
        targets=8,
        slots=6,
        rate=120.0,
        median_ms=60.0,
        routes={"search": 0.75, "hold": 0.2, "rare": 0.05},
        profile="cautious",
    ),
}
DOMAINS = 4
PROXIES = 12


@dataclasses.dataclass(slots=True, frozen=True)
class Fault:
    """A fault or disturbance to simulate in a trace.

    Args:
        name: Its name.
        bad: Whether the new version is at fault.
        fail_share: Share of the new version's requests that fail.
        slowdown: Factor on the new version's run times.
        after_s: Time from the first request to the new version until the
            fault begins.
        route_index: Index of the only route that is affected; -1 for all.
        min_running: Least number of requests running on a target for the
            fault to occur there.
        crash_share: Share of requests that crash their target.
        hang_share: Share of requests that are never answered.
        warmup_s: Time for which new targets are slow at first.
        shared_fail_share: Share of both versions' requests that fail for a
            while.
        in_one_domain: Whether only one failure domain has shared failures.
        burst_factor: Factor on the rate for a while.
        lost_reports_share: Share of reports that are lost.
        partitions_domain: Whether a failure domain is partitioned from the
            others for a while.
        rate_factor: Factor on the rate of the whole trace.
    """

    name: str
    bad: bool = True
    fail_share: float = 0.0
    slowdown: float = 1.0
    after_s: float = 0.0
    route_index: int = -1
    min_running: int = 0
    crash_share: float = 0.0
    hang_share: float = 0.0
    warmup_s: float = 0.0
    shared_fail_share: float = 0.0
    in_one_domain: bool = False
    burst_factor: float = 1.0
    lost_reports_share: float = 0.0
    partitions_domain: bool = False
    rate_factor: float = 1.0


BAD = [
    Fault("fails at once", fail_share=0.2),
    Fault("fails on 2%", fail_share=0.02),
    Fault("slow at once", slowdown=2.0),
    Fault("fails after a while", fail_share=0.1, after_s=35),
    Fault("slow after a while", slowdown=2.5, after_s=35),
    Fault("fails under load", fail_share=0.3, min_running=2),
    Fault("slow under load", slowdown=5.0, min_running=2),
    Fault("fails on one route", fail_share=0.2, route_index=1),
    Fault("crashes", crash_share=0.01),
    Fault("stops answering", hang_share=0.1),
]
GOOD = [
    Fault("plain", bad=False),
    Fault("cold starts", bad=False, warmup_s=6),
    Fault("shared fault", bad=False, shared_fail_share=0.3),
    Fault(
        "shared fault of a domain",
        bad=False,
        shared_fail_share=0.5,
        in_one_domain=True,
    ),
    Fault("burst of load", bad=False, burst_factor=2.5),
    Fault("lost and crossed reports", bad=False, lost_reports_share=0.2),
    Fault("cut-off domain", bad=False, partitions_domain=True),
    Fault("thin traffic", bad=False, rate_factor=0.05),
]


@dataclasses.dataclass(slots=True)
class Result:
    """Result of a trace.

    Args:
        kind: The fault's name.
        bad: Whether the version was bad.
        outcome: ``done``, ``taken back``, ``not run`` or ``running``.
        in_time: Whether all traffic had moved by the deadline.
        requests: All requests.
        harmed: Requests affected by the new version's fault.
        to_zero_ms: Time from the first harmed request to the last request to
            the new version; -1 unless the version was taken back after harm.
        decided_to_zero_ms: Time from the verdict to the last request to the
            new version; -1 if ``to_zero_ms`` is -1.
        report_bytes: Bytes of evidence reports.
        reason: The reason for the outcome.
    """

    kind: str
    bad: bool
    outcome: str
    in_time: bool
    requests: int
    harmed: int
    to_zero_ms: int
    decided_to_zero_ms: int
    report_bytes: int
    reason: str


class Targets:
    """The targets of one version and the time at which each slot is free."""

    def __init__(self, count: int, slots: int) -> None:
        self.slots = slots
        self.free_at_ms = [[0.0] * slots for _ in range(count)]
        self.down_until_ms = [0.0] * count

    def running(self, target_index: int, now_ms: float) -> int:
        """Return the number of a target's slots in use."""
        return sum(
            1
            for free_at_ms in self.free_at_ms[target_index]
            if free_at_ms > now_ms
        )

    def run(self, target_index: int, now_ms: float, took_ms: float) -> float:
        """Run a request; return when it ends."""
        start = max(now_ms, self.free_at_ms[target_index][0])
        end = start + took_ms
        heapq.heapreplace(self.free_at_ms[target_index], end)
        return end


class Controller(typing.Protocol):
    """Decides on the steps of a move."""

    def tick(self, trace: "Trace", now_ms: int) -> None:
        """Evaluate new evidence and apply a decision, if any."""


class ProductController:
    """The daemons' own conductor."""

    def __init__(self, parameters: move_parameters.MoveParameters) -> None:
        self.parameters = parameters
        self.conductor: conductors.Conductor | None = None

    def tick(self, trace: "Trace", now_ms: int) -> None:
        """Pass new reports to the conductor and apply its decision."""
        move = trace.move
        if move.outcome:
            return
        if self.conductor is None:
            self.conductor = conductors.Conductor(
                move, self.parameters, now_ms
            )
        for report in trace.take_arrived_reports(now_ms):
            self.conductor.hear(report, now_ms)
        decision = self.conductor.decide(
            move,
            trace.capacity(),
            now_ms=now_ms,
            wall_ms=START_WALL_MS + now_ms,
        )
        if decision is not None:
            trace.apply(decision, now_ms)
            if not move.outcome:
                self.conductor.stepped(move, now_ms)


class BaselineController:
    """Steps at fixed intervals and decides by fixed thresholds."""

    STEPS_PERMILLE = (50, 250, 500, 1000)
    STEP_MS = 15_000
    MAX_FAILURE_RATE = 0.05
    MAX_SLOWDOWN = 1.5
    MIN_REQUESTS = 20
    WINDOW_MS = 10_000

    def __init__(self) -> None:
        self.step_index = -1
        self.step_started_ms = 0
        self.merger = evidences.Merger()
        self.windows: list[tuple[int, evidences.Window]] = []

    def tick(self, trace: "Trace", now_ms: int) -> None:
        """Take the version back above a threshold; else step when due."""
        move = trace.move
        if move.outcome:
            return
        for report in trace.take_arrived_reports(now_ms):
            self.merger.add_report(report, now_ms)
        if now_ms % 1000 == 0:
            self.windows.append((now_ms, self.merger.take_window()))
        recent = [
            w
            for taken_ms, w in self.windows
            if now_ms - taken_ms < self.WINDOW_MS
        ]
        if self._exceeds_threshold(recent):
            outcome = messages.Outcome.TAKEN_BACK
            trace.apply(conductors.End(outcome, "threshold"), now_ms)
        elif (
            self.step_index < 0
            or now_ms - self.step_started_ms >= self.STEP_MS
        ):
            self._step(trace, now_ms)

    def _step(self, trace: "Trace", now_ms: int) -> None:
        self.step_index += 1
        self.step_started_ms = now_ms
        if self.step_index < len(self.STEPS_PERMILLE):
            share = self.STEPS_PERMILLE[self.step_index]
            phase = phases.WATCH if share == 1000 else phases.RAMP
            trace.apply(conductors.Step(share, phase, ""), now_ms)
        elif self.step_index > len(self.STEPS_PERMILLE):
            end = conductors.End(messages.Outcome.DONE, "")
            trace.apply(end, now_ms)

    def _exceeds_threshold(self, windows: list[evidences.Window]) -> bool:
        totals = {OLD: [0.0, 0.0, 0.0, 0.0], NEW: [0.0, 0.0, 0.0, 0.0]}
        for window in windows:
            for key, counts in window.items():
                total = totals[key.version]
                total[0] += counts.requests
                total[1] += counts.failures
                for bucket, count in counts.latencies.items():
                    total[2] += count * 2 ** (bucket / 4)
                    total[3] += count
        new, old = totals[NEW], totals[OLD]
        if new[0] < self.MIN_REQUESTS:
            return False
        if new[1] / new[0] > self.MAX_FAILURE_RATE:
            return True
        is_comparable = (
            new[3] >= self.MIN_REQUESTS and old[3] >= self.MIN_REQUESTS
        )
        return (
            is_comparable
            and new[2] / new[3] > self.MAX_SLOWDOWN * old[2] / old[3]
        )


class Trace:
    """Simulation of one move.

    Args:
        deployment: Sizes and rates.
        fault: The fault or disturbance.
        seed: Seed of all random draws.
        controller: Decides on the move.
        halts_locally: Whether proxies halt a bad version on their own
            evidence.
    """

    def __init__(
        self,
        deployment: Deployment,
        fault: Fault,
        seed: int,
        controller: Controller,
        *,
        halts_locally: bool = True,
    ) -> None:
        self.deployment = deployment
        self.fault = fault
        self.rng = random.Random(seed)
        self.controller = controller
        self.halts_locally = halts_locally
        self.state = states.State()
        self.index = 0
        self._start_move()
        count, slots = deployment.targets, deployment.slots
        self.targets = {OLD: Targets(count, slots), NEW: Targets(count, slots)}
        self.collectors = [
            evidences.Collector("m", f"p{n}", 1) for n in range(PROXIES)
        ]
        self.local_comparisons = [
            self._new_comparison() for _ in range(PROXIES)
        ]
        self.halted = [False] * PROXIES
        self.shares = [0] * PROXIES
        self.share_changes: list[tuple[int, int, int, int]] = []
        self.applied_revisions = [0] * PROXIES
        self.reports: list[tuple[int, int, typing.Any]] = []
        self.pending: list[tuple[float, int, int, typing.Any]] = []
        self.sequence = 0
        self.first_new_ms = -1.0
        self.first_harm_ms = -1.0
        self.last_new_ms = -1.0
        self.full_traffic_ms = -1
        self.requests = 0
        self.harmed = 0
        self.report_bytes = 0
        self.event_at_ms = self.rng.uniform(8000, 60_000)
        self.event_domain = self.rng.randrange(DOMAINS)

    def _new_comparison(self) -> comparisons.VersionComparison:
        return comparisons.VersionComparison(
            OLD,
            NEW,
            threshold=comparisons.threshold_for(0.005 / 860, 600),
            tolerance=0.01,
        )

    def _command(self, body: typing.Any, command_id: str, now_ms: int) -> None:
        kind, data = frames.pack_any(body)
        self.index += 1
        self.state.apply(
            self.index,
            messages.Command(
                command_id=command_id,
                operator_name="o",
                issued_ms=START_WALL_MS + now_ms,
                kind=kind,
                body=data,
                stamped_ms=START_WALL_MS + now_ms,
            ),
        )

    def _start_move(self) -> None:
        service = messages.Service("s", [], OLD, 0.2)
        document = messages.ApplyConfiguration([service], [], 0)
        self._command(document, "c", 0)
        deadline_ms = START_WALL_MS + DEADLINE_MS
        move = messages.StartMove("s", OLD, NEW, deadline_ms, 50, WATCH_MS)
        self._command(move, "m", 0)

    @property
    def move(self) -> messages.MoveRecord:
        """Return the move's record in the agreed state."""
        return self.state.moves["m"]

    def capacity(self) -> conductors.Capacity:
        """Return the capacity that the fleet announces."""
        slots = self.deployment.targets * self.deployment.slots
        return conductors.Capacity(slots, slots, self.deployment.targets, [])

    def apply(self, decision: conductors.Decision, now_ms: int) -> None:
        """Add a decision to the agreed state and schedule its propagation."""
        match decision:
            case conductors.Step():
                body: typing.Any = messages.StepMove(
                    "m", decision.permille, decision.phase, decision.reason
                )
            case conductors.End():
                body = messages.EndMove("m", decision.outcome, decision.reason)
        self._command(body, "", now_ms)
        record = self.state.items.get(item_store.SHARES + "s")
        share = {s.version: s.permille for s in record.shares}.get(NEW, 0)
        if share == 1000 and self.full_traffic_ms < 0:
            self.full_traffic_ms = now_ms
        for proxy in range(PROXIES):
            after_ms = int(self.rng.uniform(20, MAX_PROPAGATION_MS))
            if self._is_partitioned(proxy % DOMAINS, now_ms):
                after_ms = int(self.event_at_ms + 15_000 - now_ms) + 300
            self.share_changes.append(
                (now_ms + after_ms, proxy, self.index, share)
            )

    def take_arrived_reports(self, now_ms: int) -> list[typing.Any]:
        """Remove and return the reports that have reached the leader."""
        due = [r for r in self.reports if r[0] <= now_ms]
        self.reports = [r for r in self.reports if r[0] > now_ms]
        return [report for _, _, report in sorted(due, key=lambda r: r[:2])]

    def _is_partitioned(self, domain: int, now_ms: float) -> bool:
        if not self.fault.partitions_domain or domain != self.event_domain:
            return False
        return self.event_at_ms <= now_ms < self.event_at_ms + 15_000

    # Requests

    def run(self) -> Result:
        """Run the trace to its end and return the result."""
        now_ms = 0
        while now_ms < MAX_DURATION_MS and not self._is_over(now_ms):
            self._apply_share_changes(now_ms)
            self._simulate_arrivals(now_ms)
            now_ms += STEP_MS
            self._observe_answers(now_ms)
            if now_ms % 500 == 0:
                self._send_reports(now_ms)
            if now_ms % 1000 == 0 and self.halts_locally:
                self._halt_bad_versions()
            if now_ms % DECISION_INTERVAL_MS == 0:
                self.controller.tick(self, now_ms)
        return self._result()

    def _is_over(self, now_ms: int) -> bool:
        move = self.move
        ended_ms = move.step_ms - START_WALL_MS
        return bool(move.outcome) and now_ms > ended_ms + 3000

    def _apply_share_changes(self, now_ms: int) -> None:
        due = [c for c in self.share_changes if c[0] <= now_ms]
        if due:
            self.share_changes = [
                c for c in self.share_changes if c[0] > now_ms
            ]
            for _, proxy, revision, share in sorted(due):
                if revision > self.applied_revisions[proxy]:
                    self.applied_revisions[proxy] = revision
                    self.shares[proxy] = share

    def _simulate_arrivals(self, now_ms: int) -> None:
        rate = self.deployment.rate * self.fault.rate_factor
        if self.fault.burst_factor > 1:
            if 0 <= now_ms - self.event_at_ms < 15_000:
                rate *= self.fault.burst_factor
        at_ms = float(now_ms)
        while True:
            at_ms += self.rng.expovariate(rate) * 1000
            if at_ms >= now_ms + STEP_MS:
                return
            self._simulate_request(at_ms)

    def _simulate_request(self, now_ms: float) -> None:
        rng = self.rng
        proxy = rng.randrange(PROXIES)
        route_index = rng.choices(
            range(len(self.deployment.routes)),
            list(self.deployment.routes.values()),
        )[0]
        share = 0 if self.halted[proxy] else self.shares[proxy]
        version = NEW if rng.randrange(1000) < share else OLD
        domain = proxy % DOMAINS
        target_index = domain * 2 + rng.randrange(2)
        self.requests += 1
        if version == NEW:
            self.last_new_ms = now_ms
            if self.first_new_ms < 0:
                self.first_new_ms = now_ms
        took_ms, failed, harmed = self._run_on_target(
            version, target_index, route_index, domain, now_ms
        )
        if harmed:
            self.harmed += 1
            if self.first_harm_ms < 0:
                self.first_harm_ms = now_ms
        cold = version == NEW and now_ms - self.first_new_ms < 5000
        self.sequence += 1
        observation = (route_index, version, domain, took_ms, failed, cold)
        heapq.heappush(
            self.pending, (now_ms + took_ms, self.sequence, proxy, observation)
        )

    def _run_on_target(
        self,
        version: str,
        target_index: int,
        route_index: int,
        domain: int,
        now_ms: float,
    ) -> tuple[float, bool, bool]:
        """Return a request's run time and whether it fails and is harmed.

        A request is harmed if the new version's fault affects it.
        """
        rng = self.rng
        fault = self.fault
        targets = self.targets[version]
        base = self.deployment.median_ms
        took_ms = base * math.exp(rng.gauss(0, 0.4))
        failed = rng.random() < 0.001
        if fault.shared_fail_share:
            affected = not fault.in_one_domain or domain == self.event_domain
            if affected and 0 <= now_ms - self.event_at_ms < 12_000:
                failed = failed or rng.random() < fault.shared_fail_share
        if version == OLD:
            end = targets.run(target_index, now_ms, took_ms)
            return end - now_ms, failed, False
        if now_ms < targets.down_until_ms[target_index]:
            return 1.0, True, fault.bad
        age_ms = now_ms - self.first_new_ms
        if age_ms < fault.warmup_s * 1000:
            took_ms *= 5
        harmed = False
        fault_applies = (
            age_ms >= fault.after_s * 1000
            and fault.route_index in (-1, route_index)
            and targets.running(target_index, now_ms) >= fault.min_running
        )
        if fault_applies and fault.bad:
            if rng.random() < fault.fail_share:
                failed = harmed = True
            if fault.slowdown > 1:
                took_ms *= fault.slowdown
                harmed = True
            if rng.random() < fault.hang_share:
                return float(TIMEOUT_MS), True, True
            if rng.random() < fault.crash_share:
                targets.down_until_ms[target_index] = now_ms + 2000
                return 5.0, True, True
        end = targets.run(target_index, now_ms, took_ms)
        return min(end - now_ms, TIMEOUT_MS), failed, harmed

    def _observe_answers(self, now_ms: int) -> None:
        names = list(self.deployment.routes)
        while self.pending and self.pending[0][0] <= now_ms:
            _, _, proxy, observation = heapq.heappop(self.pending)
            route_index, version, domain, took_ms, failed, cold = observation
            key = evidences.TallyKey(names[route_index], version, f"d{domain}")
            self.collectors[proxy].observe(
                key, int(took_ms * 1000), failed, cold
            )

    def _send_reports(self, now_ms: int) -> None:
        for proxy, collector in enumerate(self.collectors):
            report = collector.report(now_ms)
            if report is None:
                continue
            self.report_bytes += len(frames.encode(report))
            lost = self.rng.random() < self.fault.lost_reports_share
            if lost or self._is_partitioned(proxy % DOMAINS, now_ms):
                continue
            max_delay_ms = 1500 if self.fault.lost_reports_share else 100
            at_ms = now_ms + int(self.rng.uniform(5, max_delay_ms))
            self.sequence += 1
            self.reports.append((at_ms, self.sequence, report))

    def _halt_bad_versions(self) -> None:
        for proxy, collector in enumerate(self.collectors):
            verdict = self.local_comparisons[proxy].add(
                collector.take_window()
            )
            if verdict is not None and not self.halted[proxy]:
                self.halted[proxy] = True
                collector.halted = True
                collector.changed.update(collector.counts)

    def _result(self) -> Result:
        move = self.move
        names = messages.Outcome._VALUES_TO_NAMES
        outcome = names.get(move.outcome, "running").lower().replace("_", " ")
        to_zero = decided_to_zero = -1
        if outcome == "taken back" and self.first_harm_ms >= 0:
            to_zero = int(self.last_new_ms - self.first_harm_ms)
            ended_ms = move.step_ms - START_WALL_MS
            decided_to_zero = max(int(self.last_new_ms - ended_ms), 0)
        return Result(
            kind=self.fault.name,
            bad=self.fault.bad,
            outcome=outcome,
            in_time=0 <= self.full_traffic_ms <= DEADLINE_MS,
            requests=self.requests,
            harmed=self.harmed,
            to_zero_ms=to_zero,
            decided_to_zero_ms=decided_to_zero,
            report_bytes=self.report_bytes,
            reason=move.reason,
        )
