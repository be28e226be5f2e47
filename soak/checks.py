"""Checks of the guarantees against what callers and targets observed.

The checks return a description of each violation.
"""

import collections

from trefoil_emulator import fleet as fleets

from . import callers as caller_module
from . import deployment as deployments
from . import plan as plans

# An unresponsive connection (3.5 s), a start (1 s), an election (1.2 s) and a
# lease (3 s) in sequence, twice, on a busy machine.
RECOVERY_TIMEOUT_S = 25.0
# Effects outlast a fault: unresponsive connections are detected after 3.5 s,
# and a new leader is elected within a second.
FAULT_EFFECT_S = 5.0
TRACEBACK_HEADER = "Traceback (most recent call last)"


def check_answers_match(attempts: list[caller_module.Attempt]) -> list[str]:
    """Check that no caller got the answer to another request."""
    return [
        f"{attempt.name} at {attempt.host} got another request's answer"
        for attempt in attempts
        if not attempt.body_matches
    ]


def check_payments_run_once(runs: list[str]) -> list[str]:
    """Check that no payment ran twice, however often it was sent."""
    payments = collections.Counter(
        name.partition(".")[0] for name in runs if name.startswith("pay")
    )
    return [
        f"{payment} ran {count} times"
        for payment, count in payments.items()
        if count > 1
    ]


def check_not_run_answers(
    attempts: list[caller_module.Attempt], runs: list[str]
) -> list[str]:
    """Check that no request ran whose answer says that it did not run."""
    ran = set(runs)
    return [
        f"{attempt.name} at {attempt.host} "
        f"was answered {attempt.status} and ran"
        for attempt in attempts
        if attempt.status in caller_module.NOT_RUN_STATUSES
        and attempt.name in ran
    ]


def check_shutdowns(
    attempts: list[caller_module.Attempt],
    runs: list[str],
    shutdowns: list[deployments.Shutdown],
    faults: list[plans.Fault],
    started_s: float,
) -> list[str]:
    """Check that proxies shutting down answer the requests they forwarded.

    Shutdowns that overlap another fault or its effects are not checked.

    Args:
        attempts: All requests of the callers.
        runs: Names of the requests that ran.
        shutdowns: The shutdowns to check.
        faults: The faults of the run.
        started_s: When the load started, in seconds of the monotonic clock.
    """
    ran = set(runs)
    problems = []
    for shutdown in shutdowns:
        if overlaps_fault(shutdown, faults, started_s):
            continue
        for attempt in attempts:
            cut = attempt.status == 0 and attempt.name in ran
            during = (
                attempt.sent_s <= shutdown.ended_s
                and attempt.ended_s >= shutdown.started_s
            )
            if cut and during and attempt.host == shutdown.host:
                problems.append(f"{attempt.name}: cut as {shutdown.host} left")
    return problems


def overlaps_fault(
    shutdown: deployments.Shutdown, faults: list[plans.Fault], started_s: float
) -> bool:
    """Return whether a fault or its effects may disturb a shutdown.

    Args:
        shutdown: The shutdown.
        faults: The faults of the run.
        started_s: When the load started, in seconds of the monotonic clock.
    """
    for fault in faults:
        if fault.kind in plans.SHUTDOWN_KINDS:
            # A planned shutdown, which must not fail requests either.
            continue
        from_s = started_s + fault.at_s
        to_s = from_s + fault.for_s + FAULT_EFFECT_S
        if from_s <= shutdown.ended_s and shutdown.started_s <= to_s:
            return True
    return False


def check_all_serve(
    deployment: deployments.Deployment, numbers: set[int]
) -> str:
    """Check that every proxy serves the newest document after the faults.

    Waits up to ``RECOVERY_TIMEOUT_S`` for it.

    Args:
        deployment: The processes.
        numbers: Numbers of the documents that may be the newest.

    Returns:
        The problem; empty if there is none.
    """

    def all_serve() -> bool:
        return all(
            any(
                deployment.call(host, f"/marker-{n}", timeout_s=3).status
                == caller_module.OK
                for n in numbers
            )
            for host in deployments.HOSTS
        )

    try:
        fleets.wait_for(
            "all proxies to serve", all_serve, RECOVERY_TIMEOUT_S, 0.3
        )
    except fleets.WaitTimeout as error:
        return f"{error}; newest document {max(numbers)}"
    return ""


def check_processes(deployment: deployments.Deployment) -> list[str]:
    """Check that no process exited unexpectedly or logged a traceback."""
    problems = []
    for name in deployment.members:
        if not deployment.is_up(name):
            problems.append(f"{name} has ended by itself")
        if TRACEBACK_HEADER in deployment.log(name):
            problems.append(f"{name} has a traceback in its log")
    return problems
