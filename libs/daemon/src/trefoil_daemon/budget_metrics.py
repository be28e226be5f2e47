"""Metrics of a proxy's retry budgets."""

from trefoil_requests import budget

from . import exposition


def families(
    budgets: dict[str, budget.RetryBudget],
) -> list[exposition.Family]:
    """Return each service's repeats by cause and its remaining budget."""
    repeats = exposition.Family(
        "repeats",
        "Requests that targets may see more than once, by cause",
        ["service", "cause"],
        is_counter=True,
    )
    remaining = exposition.Family(
        "retry_budget",
        "Repeats that this proxy may still ask for",
        ["service"],
        is_counter=False,
    )
    for service, service_budget in sorted(budgets.items()):
        remaining.add(service_budget.tokens, service=service)
        for cause, count in service_budget.spent.items():
            repeats.add(count, service=service, cause=cause)
    return [repeats, remaining]
