"""A small model of arrivals and slots that drives the cores of moves.

One trace is one move of one service. Callers' requests arrive at proxies,
take a version by the share in force there and a target's slot; evidence goes
through the daemons' own collectors, reports that cross or get lost, and the
daemons' own conductor and agreed state.
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
DECIDE_MS = 200
DEADLINE_MS = 90_000
WATCH_MS = 30_000
END_MS = 150_000
TIMEOUT_MS = 2000
SPREAD_MS = 300
OLD, NEW = "v1", "v2"
START_WALL_MS = 1_700_000_000_000


@dataclasses.dataclass(slots=True, frozen=True)
class Deployment:
    """Sizes and rates of a deployment's service.

    Args:
        name: Its name.
        targets: Targets of each version.
        slots: Slots of each target.
        rate: Requests a second.
        base_ms: Median time of a request.
        routes: Share of requests of each route.
        profile: The knobs' profile.
    """

    name: str
    targets: int
    slots: int
    rate: float
    base_ms: float
    routes: dict[str, float]
    profile: str


DEPLOYMENTS = {
    "matbakh": Deployment(
        "matbakh",
        targets=8,
        slots=12,
        rate=160.0,
        base_ms=60.0,
        routes={"list": 0.8, "pay": 0.15, "rare": 0.05},
        profile="in-time",
    ),
    "sabarmati": Deployment(
        "sabarmati",
        targets=8,
        slots=6,
        rate=120.0,
        base_ms=60.0,
        routes={"search": 0.75, "hold": 0.2, "rare": 0.05},
        profile="cautious",
    ),
}
DOMAINS = 4
PROXIES = 12


@dataclasses.dataclass(slots=True, frozen=True)
class Fault:
    """What happens in a trace.

    Args:
        name: Its name.
        bad: Whether the new version is to blame.
        fail: Share of the new version's requests that fail.
        slow: How many times slower the new version is.
        after_s: When it shows, from the first request to the version.
        route: The position of the one route on which it shows, if set.
        above_busy: Requests running on a target from which it shows.
        crash: Share of requests that crash their target.
        hang: Share of requests that are never answered.
        cold_s: Time for which new targets are slow at first.
        shared_fail: Share of both versions' requests that fail for a while.
        shared_domain: Whether only one failure domain has that.
        burst: How many times the rate grows for a while.
        lose_reports: Share of reports that are lost.
        cut: Whether a failure domain is cut off for a while.
        thin: Factor on the rate.
    """

    name: str
    bad: bool = True
    fail: float = 0.0
    slow: float = 1.0
    after_s: float = 0.0
    route: int = -1
    above_busy: int = 0
    crash: float = 0.0
    hang: float = 0.0
    cold_s: float = 0.0
    shared_fail: float = 0.0
    shared_domain: bool = False
    burst: float = 1.0
    lose_reports: float = 0.0
    cut: bool = False
    thin: float = 1.0


BAD = [
    Fault("fails at once", fail=0.2),
    Fault("fails on 2%", fail=0.02),
    Fault("slow at once", slow=2.0),
    Fault("fails after a while", fail=0.1, after_s=35),
    Fault("slow after a while", slow=2.5, after_s=35),
    Fault("fails under load", fail=0.3, above_busy=2),
    Fault("slow under load", slow=5.0, above_busy=2),
    Fault("fails on one route", fail=0.2, route=1),
    Fault("crashes", crash=0.01),
    Fault("stops answering", hang=0.1),
]
GOOD = [
    Fault("plain", bad=False),
    Fault("cold starts", bad=False, cold_s=6),
    Fault("shared fault", bad=False, shared_fail=0.3),
    Fault(
        "shared fault of a domain",
        bad=False,
        shared_fail=0.5,
        shared_domain=True,
    ),
    Fault("burst of load", bad=False, burst=2.5),
    Fault("lost and crossed reports", bad=False, lose_reports=0.2),
    Fault("cut-off domain", bad=False, cut=True),
    Fault("thin traffic", bad=False, thin=0.05),
]


@dataclasses.dataclass(slots=True)
class Result:
    """What a trace came to.

    Args:
        kind: The fault's name.
        bad: Whether the version was bad.
        outcome: ``done``, ``taken back``, ``not run`` or ``running``.
        in_time: Whether all traffic had moved by the deadline.
        requests: Requests in all.
        harmed: Requests that met the new version's fault.
        to_zero_ms: From the first harmed request to the last one sent to
            the new version; -1 where that does not apply.
        decided_to_zero_ms: From the verdict to the last one sent to it.
        report_bytes: Bytes of evidence reports.
        why: The reason of the outcome.
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
    why: str


class Targets:
    """The targets of one version: when each slot is free."""

    def __init__(self, count: int, slots: int) -> None:
        self.slots = slots
        self.free = [[0.0] * slots for _ in range(count)]
        self.down_until = [0.0] * count

    def busy(self, at: int, now_ms: float) -> int:
        """Return how many of a target's slots are in use."""
        return sum(1 for free in self.free[at] if free > now_ms)

    def run(self, at: int, now_ms: float, took_ms: float) -> float:
        """Run a request; return when it ends."""
        start = max(now_ms, self.free[at][0])
        end = start + took_ms
        heapq.heapreplace(self.free[at], end)
        return end


class Controller(typing.Protocol):
    """What decides on a move: the product's conductor, or a baseline."""

    def tick(self, trace: "Trace", now_ms: int) -> None:
        """Look at the evidence and step."""


class Product:
    """The daemons' conductor and agreed state."""

    def __init__(self, knobs: move_parameters.MoveParameters) -> None:
        self.knobs = knobs
        self.conductor: conductors.Conductor | None = None

    def tick(self, trace: "Trace", now_ms: int) -> None:
        """Let the conductor decide."""
        move = trace.move
        if move.outcome:
            return
        if self.conductor is None:
            self.conductor = conductors.Conductor(move, self.knobs, now_ms)
        for report in trace.arrived(now_ms):
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


class Baseline:
    """Fixed steps and one threshold, as a script would have them."""

    STEPS = (50, 250, 500, 1000)
    STEP_MS = 15_000
    FAIL_RATE = 0.05
    SLOWER = 1.5
    LEAST = 20
    KEEP_MS = 10_000

    def __init__(self) -> None:
        self.at = -1
        self.since_ms = 0
        self.merger = evidences.Merger()
        self.windows: list[tuple[int, evidences.Window]] = []

    def tick(self, trace: "Trace", now_ms: int) -> None:
        """Step by the clock, take back above the threshold."""
        move = trace.move
        if move.outcome:
            return
        for report in trace.arrived(now_ms):
            self.merger.add_report(report, now_ms)
        if now_ms % 1000 == 0:
            self.windows.append((now_ms, self.merger.take_window()))
        recent = [w for at, w in self.windows if now_ms - at < self.KEEP_MS]
        if self._bad(recent):
            outcome = messages.Outcome.TAKEN_BACK
            trace.apply(conductors.End(outcome, "threshold"), now_ms)
        elif self.at < 0 or now_ms - self.since_ms >= self.STEP_MS:
            self._step(trace, now_ms)

    def _step(self, trace: "Trace", now_ms: int) -> None:
        self.at += 1
        self.since_ms = now_ms
        if self.at < len(self.STEPS):
            share = self.STEPS[self.at]
            phase = phases.WATCH if share == 1000 else phases.RAMP
            trace.apply(conductors.Step(share, phase, ""), now_ms)
        elif self.at > len(self.STEPS):
            end = conductors.End(messages.Outcome.DONE, "")
            trace.apply(end, now_ms)

    def _bad(self, windows: list[evidences.Window]) -> bool:
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
        if new[0] < self.LEAST:
            return False
        if new[1] / new[0] > self.FAIL_RATE:
            return True
        both = new[3] >= self.LEAST and old[3] >= self.LEAST
        return both and new[2] / new[3] > self.SLOWER * old[2] / old[3]


class Trace:
    """One move, simulated.

    Args:
        deployment: Sizes and rates.
        fault: What happens.
        seed: Seeds everything drawn.
        controller: What decides.
        guarded: Whether proxies guard themselves.
    """

    def __init__(
        self,
        deployment: Deployment,
        fault: Fault,
        seed: int,
        controller: Controller,
        *,
        guarded: bool = True,
    ) -> None:
        self.deployment = deployment
        self.fault = fault
        self.rng = random.Random(seed)
        self.controller = controller
        self.guarded = guarded
        self.state = states.State()
        self.index = 0
        self._begin()
        count, slots = deployment.targets, deployment.slots
        self.targets = {OLD: Targets(count, slots), NEW: Targets(count, slots)}
        self.collectors = [
            evidences.Collector("m", f"p{n}", 1) for n in range(PROXIES)
        ]
        self.version_comparisons = [
            self._new_comparison() for _ in range(PROXIES)
        ]
        self.halted = [False] * PROXIES
        self.shares = [0] * PROXIES
        self.share_changes: list[tuple[int, int, int, int]] = []
        self.taken = [0] * PROXIES
        self.reports: list[tuple[int, int, typing.Any]] = []
        self.pending: list[tuple[float, int, int, typing.Any]] = []
        self.numbers = 0
        self.first_new_ms = -1.0
        self.first_harm_ms = -1.0
        self.last_new_ms = -1.0
        self.whole_ms = -1
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

    def _command(self, body: typing.Any, number: str, now_ms: int) -> None:
        kind, data = frames.pack_any(body)
        self.index += 1
        self.state.apply(
            self.index,
            messages.Command(
                command_id=number,
                operator_name="o",
                issued_ms=START_WALL_MS + now_ms,
                kind=kind,
                body=data,
                stamped_ms=START_WALL_MS + now_ms,
            ),
        )

    def _begin(self) -> None:
        service = messages.Service("s", [], OLD, 0.2)
        document = messages.ApplyConfiguration([service], [], 0)
        self._command(document, "c", 0)
        deadline_ms = START_WALL_MS + DEADLINE_MS
        move = messages.StartMove("s", OLD, NEW, deadline_ms, 50, WATCH_MS)
        self._command(move, "m", 0)

    @property
    def move(self) -> messages.MoveRecord:
        """Return the move as agreed."""
        return self.state.moves["m"]

    def capacity(self) -> conductors.Capacity:
        """Return what the fleet announces."""
        slots = self.deployment.targets * self.deployment.slots
        return conductors.Capacity(slots, slots, self.deployment.targets, [])

    def apply(self, decision: conductors.Decision, now_ms: int) -> None:
        """Agree on a decision and let it spread to the proxies."""
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
        if share == 1000 and self.whole_ms < 0:
            self.whole_ms = now_ms
        for proxy in range(PROXIES):
            after_ms = int(self.rng.uniform(20, SPREAD_MS))
            if self._is_cut(proxy % DOMAINS, now_ms):
                after_ms = int(self.event_at_ms + 15_000 - now_ms) + 300
            self.share_changes.append(
                (now_ms + after_ms, proxy, self.index, share)
            )

    def arrived(self, now_ms: int) -> list[typing.Any]:
        """Return the reports that have reached the leader."""
        due = [r for r in self.reports if r[0] <= now_ms]
        self.reports = [r for r in self.reports if r[0] > now_ms]
        return [report for _, _, report in sorted(due, key=lambda r: r[:2])]

    def _is_cut(self, domain: int, now_ms: float) -> bool:
        if not self.fault.cut or domain != self.event_domain:
            return False
        return self.event_at_ms <= now_ms < self.event_at_ms + 15_000

    # Requests

    def run(self) -> Result:
        """Run the trace to its end."""
        now_ms = 0
        while now_ms < END_MS and not self._over(now_ms):
            self._spread(now_ms)
            self._arrivals(now_ms)
            now_ms += STEP_MS
            self._answers(now_ms)
            if now_ms % 500 == 0:
                self._report(now_ms)
            if now_ms % 1000 == 0 and self.guarded:
                self._guard_all()
            if now_ms % DECIDE_MS == 0:
                self.controller.tick(self, now_ms)
        return self._result()

    def _over(self, now_ms: int) -> bool:
        move = self.move
        ended_ms = move.step_ms - START_WALL_MS
        return bool(move.outcome) and now_ms > ended_ms + 3000

    def _spread(self, now_ms: int) -> None:
        due = [c for c in self.share_changes if c[0] <= now_ms]
        if due:
            self.share_changes = [
                c for c in self.share_changes if c[0] > now_ms
            ]
            for _, proxy, revision, share in sorted(due):
                if revision > self.taken[proxy]:
                    self.taken[proxy] = revision
                    self.shares[proxy] = share

    def _arrivals(self, now_ms: int) -> None:
        rate = self.deployment.rate * self.fault.thin
        if self.fault.burst > 1:
            if 0 <= now_ms - self.event_at_ms < 15_000:
                rate *= self.fault.burst
        at_ms = float(now_ms)
        while True:
            at_ms += self.rng.expovariate(rate) * 1000
            if at_ms >= now_ms + STEP_MS:
                return
            self._request(at_ms)

    def _request(self, now_ms: float) -> None:
        rng = self.rng
        proxy = rng.randrange(PROXIES)
        route = rng.choices(
            range(len(self.deployment.routes)),
            list(self.deployment.routes.values()),
        )[0]
        share = 0 if self.halted[proxy] else self.shares[proxy]
        version = NEW if rng.randrange(1000) < share else OLD
        domain = proxy % DOMAINS
        at = domain * 2 + rng.randrange(2)
        self.requests += 1
        if version == NEW:
            self.last_new_ms = now_ms
            if self.first_new_ms < 0:
                self.first_new_ms = now_ms
        took_ms, failed, harmed = self._fate(
            version, at, route, domain, now_ms
        )
        if harmed:
            self.harmed += 1
            if self.first_harm_ms < 0:
                self.first_harm_ms = now_ms
        cold = version == NEW and now_ms - self.first_new_ms < 5000
        self.numbers += 1
        observed = (route, version, domain, took_ms, failed, cold)
        heapq.heappush(
            self.pending, (now_ms + took_ms, self.numbers, proxy, observed)
        )

    def _fate(
        self, version: str, at: int, route: int, domain: int, now_ms: float
    ) -> tuple[float, bool, bool]:
        """Return how long a request takes, whether it fails and is harmed."""
        rng = self.rng
        fault = self.fault
        targets = self.targets[version]
        base = self.deployment.base_ms
        took_ms = base * math.exp(rng.gauss(0, 0.4))
        failed = rng.random() < 0.001
        if fault.shared_fail:
            here = not fault.shared_domain or domain == self.event_domain
            if here and 0 <= now_ms - self.event_at_ms < 12_000:
                failed = failed or rng.random() < fault.shared_fail
        if version == OLD:
            end = targets.run(at, now_ms, took_ms)
            return end - now_ms, failed, False
        if now_ms < targets.down_until[at]:
            return 1.0, True, fault.bad
        age_ms = now_ms - self.first_new_ms
        if age_ms < fault.cold_s * 1000:
            took_ms *= 5
        harmed = False
        shows = (
            age_ms >= fault.after_s * 1000
            and fault.route in (-1, route)
            and targets.busy(at, now_ms) >= fault.above_busy
        )
        if shows and fault.bad:
            if rng.random() < fault.fail:
                failed = harmed = True
            if fault.slow > 1:
                took_ms *= fault.slow
                harmed = True
            if rng.random() < fault.hang:
                return float(TIMEOUT_MS), True, True
            if rng.random() < fault.crash:
                targets.down_until[at] = now_ms + 2000
                return 5.0, True, True
        end = targets.run(at, now_ms, took_ms)
        return min(end - now_ms, TIMEOUT_MS), failed, harmed

    def _answers(self, now_ms: int) -> None:
        names = list(self.deployment.routes)
        while self.pending and self.pending[0][0] <= now_ms:
            _, _, proxy, observed = heapq.heappop(self.pending)
            route, version, domain, took_ms, failed, cold = observed
            key = evidences.TallyKey(names[route], version, f"d{domain}")
            self.collectors[proxy].observe(
                key, int(took_ms * 1000), failed, cold
            )

    def _report(self, now_ms: int) -> None:
        for proxy, collector in enumerate(self.collectors):
            report = collector.report(now_ms)
            if report is None:
                continue
            self.report_bytes += len(frames.encode(report))
            lost = self.rng.random() < self.fault.lose_reports
            if lost or self._is_cut(proxy % DOMAINS, now_ms):
                continue
            late = 1500 if self.fault.lose_reports else 100
            at_ms = now_ms + int(self.rng.uniform(5, late))
            self.numbers += 1
            self.reports.append((at_ms, self.numbers, report))

    def _guard_all(self) -> None:
        for proxy, collector in enumerate(self.collectors):
            verdict = self.version_comparisons[proxy].add(
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
        to_zero = decided = -1
        if outcome == "taken back" and self.first_harm_ms >= 0:
            to_zero = int(self.last_new_ms - self.first_harm_ms)
            ended_ms = move.step_ms - START_WALL_MS
            decided = max(int(self.last_new_ms - ended_ms), 0)
        return Result(
            kind=self.fault.name,
            bad=self.fault.bad,
            outcome=outcome,
            in_time=0 <= self.whole_ms <= DEADLINE_MS,
            requests=self.requests,
            harmed=self.harmed,
            to_zero_ms=to_zero,
            decided_to_zero_ms=decided,
            report_bytes=self.report_bytes,
            why=move.reason,
        )
