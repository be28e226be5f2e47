"""The promises, checked from what callers and targets saw."""

import collections

from trefoil_emulator import fleet as fleets

from . import callers as caller_store
from . import deployment as deployments
from . import plan as plans

# A silent link (3.5 s), a start (1 s), an election (1.2 s) and a lease (3 s)
# one after the other, twice, on a busy machine.
RECOVER_S = 25.0
# A fault's effects last longer than the fault: silent links are found after
# 3.5 s, a control host's successor within a second.
AFTERMATH_S = 5.0
TRACE = "Traceback (most recent call last)"


def answers_are_own(attempts: list[caller_store.Attempt]) -> list[str]:
    """Every caller gets the whole answer to its own request."""
    return [
        f"{found.name} at {found.host} got another request's answer"
        for found in attempts
        if not found.own
    ]


def payments_run_once(runs: list[str]) -> list[str]:
    """A payment runs at most once, however often it is sent."""
    payments = collections.Counter(
        name.partition(".")[0] for name in runs if name.startswith("pay")
    )
    return [
        f"{payment} ran {count} times"
        for payment, count in payments.items()
        if count > 1
    ]


def not_run_is_true(
    attempts: list[caller_store.Attempt], runs: list[str]
) -> list[str]:
    """What was said not to have run has not run."""
    ran = set(runs)
    return [
        f"{found.name} at {found.host} was answered {found.status} and ran"
        for found in attempts
        if found.status in caller_store.NOT_RUN and found.name in ran
    ]


def leaving_cuts_nothing(
    attempts: list[caller_store.Attempt],
    runs: list[str],
    leaves: list[deployments.Leave],
    faults: list[plans.Fault],
    began_s: float,
) -> list[str]:
    """A proxy that leaves answers what it has passed on.

    Only where nothing else was in trouble at the time.
    """
    ran = set(runs)
    found = []
    for leave in leaves:
        if _is_troubled(leave, faults, began_s):
            continue
        for attempt in attempts:
            cut = attempt.status == 0 and attempt.name in ran
            during = leave.began_s <= attempt.sent_s <= leave.ended_s
            if cut and during and attempt.host == leave.host:
                found.append(f"{attempt.name}: cut as {leave.host} left")
    return found


def _is_troubled(
    leave: deployments.Leave, faults: list[plans.Fault], began_s: float
) -> bool:
    for fault in faults:
        if fault.kind in (plans.Kind.TERMINATE, plans.Kind.ROLL):
            # Planned as well: it cuts nothing either.
            continue
        from_s = began_s + fault.at_s
        to_s = from_s + fault.for_s + AFTERMATH_S
        if from_s <= leave.ended_s and leave.began_s <= to_s:
            return True
    return False


def serves_again(deployment: deployments.Deployment, numbers: set[int]) -> str:
    """Every proxy acts on the newest document once faults are over.

    Args:
        deployment: The processes.
        numbers: Documents that may be the newest.
    """

    def all_serve() -> bool:
        return all(
            any(
                deployment.call(host, f"/marker-{n}", timeout_s=3).status
                == caller_store.OK
                for n in numbers
            )
            for host in deployments.HOSTS
        )

    try:
        fleets.wait_for("all proxies to serve", all_serve, RECOVER_S, 0.3)
    except fleets.WaitTimeout as error:
        return f"{error}; newest document {max(numbers)}"
    return ""


def nothing_ended(deployment: deployments.Deployment) -> list[str]:
    """No process ends by itself, none has an error that nobody caught."""
    found = []
    for name in deployment.members:
        if not deployment.is_up(name):
            found.append(f"{name} has ended by itself")
        if TRACE in deployment.log(name):
            found.append(f"{name} has a traceback in its log")
    return found
