"""Runs the soak: real processes, injected faults, checked guarantees.

python -m soak --seeds 50
python -m soak --seed 17 --keep folder
python -m soak --seeds 10 --leaving
"""

import collections
import json
import pathlib
import shutil
import sys
import tempfile
import threading
import time

import fire

from trefoil_emulator import fleet as fleets

from . import callers as caller_module
from . import checks
from . import deployment as deployments
from . import eager
from . import plan as plans
from . import relays as relay_module
from . import trouble as injection
from . import watch

# Allows at most nine faults; the whole run ends within half a minute.
FAULT_PERIOD_S = 12.0
# Eleven Python processes start together, possibly on a busy machine.
LEADER_TIMEOUT_S = 40.0
# How long calls continue after the period in which faults begin.
EXTRA_LOAD_S = 1.0


class Run:
    """One run of one seed.

    Args:
        seed: Seeds the faults, the calls and the operator's choice of
            control process.
        folder: Folder for settings, data and logs.
        duration_s: Length in seconds of the period in which faults begin.
        leaving: Whether planned shutdowns are the only faults.
    """

    __slots__ = (
        "seed",
        "folder",
        "duration_s",
        "kinds",
        "faults",
        "problems",
        "status_counts",
        "eager_status_counts",
    )

    def __init__(
        self,
        seed: int,
        folder: pathlib.Path,
        duration_s: float,
        leaving: bool = False,
    ) -> None:
        self.seed = seed
        self.folder = folder
        self.duration_s = duration_s
        self.kinds = plans.SHUTDOWN_KINDS if leaving else tuple(plans.Kind)
        self.faults: list[plans.Fault] = []
        self.problems: list[str] = []
        self.status_counts: collections.Counter[int] = collections.Counter()
        self.eager_status_counts: collections.Counter[int] = (
            collections.Counter()
        )

    def execute(self) -> None:
        """Run the deployment under faults and collect the problems.

        Raises:
            WaitTimeout: No leader was elected in time, or the first document
                was not accepted.
        """
        relays = relay_module.Relays()
        previous_hook = threading.excepthook
        threading.excepthook = self.add_thread_failure
        try:
            hall_ms = eager.draw_run_ms(self.seed)
            with deployments.Deployment(
                self.folder, relays, hall_ms
            ) as deployment:
                self._execute(deployment)
        finally:
            threading.excepthook = previous_hook
            relays.stop()

    def add_thread_failure(self, failure: threading.ExceptHookArgs) -> None:
        """Report a caller or check that ended, as it would find no more.

        Args:
            failure: The exception that ended its thread.
        """
        kind = failure.exc_type.__name__
        self.problems.append(f"a thread failed: {kind}: {failure.exc_value}")

    def _execute(self, deployment: deployments.Deployment) -> None:
        plan = plans.Plan.from_seed(
            self.seed,
            deployment.members_by_role,
            self.duration_s,
            self.kinds,
        )
        self.faults = plan.faults
        deployment.start()
        deployment.wait_leader(LEADER_TIMEOUT_S)
        operator = watch.Operator(deployment, self.seed)
        if not operator.apply_next():
            raise fleets.WaitTimeout("the first document was not accepted")
        self._add_problem(
            checks.check_all_serve(deployment, {operator.number})
        )
        monitor = watch.RevisionMonitor(deployment)
        callers = caller_module.Callers(deployment, self.seed)
        eager_callers = eager.EagerCallers(deployment, self.seed)
        injector = injection.FaultInjector(deployment, plan.faults)
        started_s = time.monotonic()
        callers.start(self.duration_s + EXTRA_LOAD_S)
        eager_callers.start()
        monitor.thread.start()
        operator.thread.start()
        injector.start()
        injector.join()
        callers.join()
        eager_callers.stop()
        operator.stop()
        self._check_recovery(deployment, operator)
        monitor.stop()
        self.problems += operator.problems + monitor.problems
        self.problems += injector.problems + checks.check_processes(deployment)
        self._check_calls(deployment, callers, started_s)
        self._check_eager_calls(
            deployment, eager_callers.connections, callers.attempts, started_s
        )

    def _check_recovery(
        self, deployment: deployments.Deployment, operator: watch.Operator
    ) -> None:
        newest = {operator.acknowledged, operator.number}
        self._add_problem(checks.check_all_serve(deployment, newest))
        if not operator.apply_next(checks.RECOVERY_TIMEOUT_S):
            self._add_problem("no document is accepted after the faults")
            return
        self._add_problem(
            checks.check_all_serve(deployment, {operator.number})
        )

    def _check_calls(
        self,
        deployment: deployments.Deployment,
        callers: caller_module.Callers,
        started_s: float,
    ) -> None:
        attempts, runs = callers.attempts, deployment.runs()
        self.status_counts.update(attempt.status for attempt in attempts)
        self.problems += checks.check_answers_match(attempts)
        self.problems += checks.check_payments_run_once(runs)
        self.problems += checks.check_not_run_answers(attempts, runs)
        self.problems += checks.check_shutdowns(
            attempts, runs, deployment.shutdowns, self.faults, started_s
        )

    def _check_eager_calls(
        self,
        deployment: deployments.Deployment,
        connections: list[eager.Connection],
        attempts: list[caller_module.Attempt],
        started_s: float,
    ) -> None:
        runs = deployment.runs()
        for connection in connections:
            for answer in connection.caller.answers:
                self.eager_status_counts[answer.status] += 1
        self.problems += eager.check_answers(connections, runs)
        self.problems += eager.check_shutdowns(
            connections,
            attempts,
            runs,
            deployment.shutdowns,
            lambda shutdown: checks.overlaps_fault(
                shutdown, self.faults, started_s
            ),
        )

    def _add_problem(self, problem: str) -> None:
        if problem:
            self.problems.append(problem)

    def report(self) -> dict[str, object]:
        """Return the report that is printed for this seed."""
        return {
            "seed": self.seed,
            "problems": self.problems,
            "faults": [str(fault) for fault in self.faults],
            "calls": _by_status(self.status_counts),
            "eager_calls": _by_status(self.eager_status_counts),
        }


def _by_status(counts: collections.Counter[int]) -> dict[str, int]:
    return {str(status): n for status, n in sorted(counts.items())}


def run_seed(
    seed: int, duration_s: float, keep_folder: str, leaving: bool
) -> bool:
    """Run one seed and print its report.

    Args:
        seed: The seed.
        duration_s: Length in seconds of the period in which faults begin.
        keep_folder: Folder for the files of a failed run; empty keeps none.
        leaving: Whether planned shutdowns are the only faults.

    Returns:
        Whether no problem was found.
    """
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    run = Run(seed, folder, duration_s, leaving)
    try:
        run.execute()
    except fleets.WaitTimeout as error:
        run.problems.append(str(error))
    print(json.dumps(run.report()), flush=True)
    if run.problems and keep_folder:
        shutil.copytree(folder, pathlib.Path(keep_folder) / folder.name)
    shutil.rmtree(folder)
    return not run.problems


def main(
    seed: int = -1,
    seeds: int = 1,
    first: int = 1,
    lasts_s: float = FAULT_PERIOD_S,
    keep: str = "",
    leaving: bool = False,
) -> None:
    """Run the soak.

    Args:
        seed: The only seed to run; if negative, ``seeds`` seeds are run.
        seeds: Number of seeds to run.
        first: The first of these seeds.
        lasts_s: Length in seconds of each run's period of faults.
        keep: Folder for the files of failed runs.
        leaving: Let planned shutdowns be the only faults.
    """
    chosen = [seed] if seed >= 0 else list(range(first, first + seeds))
    failed = [s for s in chosen if not run_seed(s, lasts_s, keep, leaving)]
    print(json.dumps({"played": len(chosen), "failed": failed}))
    sys.exit(bool(failed))


if __name__ == "__main__":
    fire.Fire(main)
