"""Runs the soak: real processes, faults from outside, promises checked.

python -m soak --seeds 50
python -m soak --seed 17 --keep folder
"""

import json
import pathlib
import shutil
import sys
import tempfile
import time

import fire

from trefoil_emulator import fleet as fleets

from . import callers as caller_store
from . import checks
from . import deployment as deployments
from . import plan as plans
from . import relays as relay_store
from . import trouble as troubles
from . import watch

# Nine faults at most, and the whole run within half a minute.
LASTS_S = 12.0
# Eleven Python processes start at once, on a machine that may be busy.
READY_S = 40.0
# Calls go on for this long after the last fault has begun.
QUIET_S = 1.0


class Run:
    """One run of one seed.

    Args:
        seed: Draws the faults, the calls and whom the operator asks.
        folder: Where settings, data and logs go.
        lasts_s: How long faults may come.
    """

    __slots__ = ("seed", "folder", "lasts_s", "faults", "problems", "calls")

    def __init__(
        self, seed: int, folder: pathlib.Path, lasts_s: float
    ) -> None:
        self.seed = seed
        self.folder = folder
        self.lasts_s = lasts_s
        self.faults: list[plans.Fault] = []
        self.problems: list[str] = []
        self.calls: dict[int, int] = {}

    def play(self) -> None:
        """Play it and collect what broke."""
        relays = relay_store.Relays()
        try:
            with deployments.Deployment(self.folder, relays) as made:
                self._play(made)
        finally:
            relays.stop()

    def _play(self, made: deployments.Deployment) -> None:
        plan = plans.Plan.from_seed(self.seed, made.names, self.lasts_s)
        self.faults = plan.faults
        made.start()
        made.wait_leader(READY_S)
        operator = watch.Operator(made, self.seed)
        if not operator.change():
            raise fleets.WaitTimeout("the first document was not accepted")
        self._note(checks.serves_again(made, {operator.number}))
        revisions = watch.Revisions(made)
        sender = caller_store.Callers(made, self.seed)
        trouble = troubles.Trouble(made, plan.faults)
        began_s = time.monotonic()
        sender.start(self.lasts_s + QUIET_S)
        revisions.thread.start()
        operator.thread.start()
        trouble.start()
        trouble.join()
        sender.join()
        operator.stop()
        self._check_end(made, operator)
        revisions.stop()
        self.problems += operator.problems + revisions.problems
        self.problems += trouble.problems + checks.nothing_ended(made)
        self._check_calls(made, sender, began_s)

    def _check_end(
        self, made: deployments.Deployment, operator: watch.Operator
    ) -> None:
        newest = {operator.acknowledged, operator.number}
        self._note(checks.serves_again(made, newest))
        if not operator.change(checks.RECOVER_S):
            self._note("no document is accepted after the faults")
            return
        self._note(checks.serves_again(made, {operator.number}))

    def _check_calls(
        self,
        made: deployments.Deployment,
        sender: caller_store.Callers,
        began_s: float,
    ) -> None:
        attempts, runs = sender.attempts, made.runs()
        for found in attempts:
            self.calls[found.status] = self.calls.get(found.status, 0) + 1
        self.problems += checks.answers_are_own(attempts)
        self.problems += checks.payments_run_once(runs)
        self.problems += checks.not_run_is_true(attempts, runs)
        self.problems += checks.leaving_cuts_nothing(
            attempts, runs, made.leaves, self.faults, began_s
        )

    def _note(self, problem: str) -> None:
        if problem:
            self.problems.append(problem)

    def report(self) -> dict[str, object]:
        """Return what is printed of it."""
        return {
            "seed": self.seed,
            "problems": self.problems,
            "faults": [str(fault) for fault in self.faults],
            "calls": {str(k): n for k, n in sorted(self.calls.items())},
        }


def play(seed: int, lasts_s: float, keep: str) -> bool:
    """Play a seed, print its report; return whether every promise held."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    run = Run(seed, folder, lasts_s)
    try:
        run.play()
    except fleets.WaitTimeout as error:
        run.problems.append(str(error))
    print(json.dumps(run.report()), flush=True)
    if run.problems and keep:
        shutil.copytree(folder, pathlib.Path(keep) / folder.name)
    shutil.rmtree(folder)
    return not run.problems


def main(
    seed: int = -1,
    seeds: int = 1,
    first: int = 1,
    lasts_s: float = LASTS_S,
    keep: str = "",
) -> None:
    """Run the soak.

    Args:
        seed: The one seed to play; else ``seeds`` of them.
        seeds: How many.
        first: The first of them.
        lasts_s: How long faults come in each.
        keep: Folder for the logs of seeds that failed.
    """
    chosen = [seed] if seed >= 0 else list(range(first, first + seeds))
    failed = [s for s in chosen if not play(s, lasts_s, keep)]
    print(json.dumps({"played": len(chosen), "failed": failed}))
    sys.exit(bool(failed))


if __name__ == "__main__":
    fire.Fire(main)
