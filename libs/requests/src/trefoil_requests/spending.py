"""Log lines that report what a proxy's retry budgets were spent on."""

from trefoil_model import effects as common

from . import budget

REPORT_INTERVAL_MS = 1000


class SpendingLog:
    """Reports each second what was spent, by service and cause.

    Repeats are bounded over the whole fleet, but no host knows their total.
    The total of a service in any time window is the sum of these lines over
    all hosts.
    """

    __slots__ = ("reported", "next_report_ms")

    def __init__(self) -> None:
        self.reported: dict[str, dict[str, float]] = {}
        self.next_report_ms = 0

    def report(
        self, budgets: dict[str, budget.RetryBudget], now_ms: int
    ) -> list[common.Note]:
        """Return a line per service with repeats since the last report."""
        if now_ms < self.next_report_ms:
            return []
        self.next_report_ms = now_ms + REPORT_INTERVAL_MS
        notes = []
        for service, retry_budget in budgets.items():
            spent = self._since_last_report(service, retry_budget)
            if any(spent[cause] for cause in budget.Cause):
                left = round(retry_budget.tokens, 1)
                fields = {"service": service, "left": left} | spent
                notes.append(common.Note("budget.spent", fields))
        return notes

    def _since_last_report(
        self, service: str, retry_budget: budget.RetryBudget
    ) -> dict[str, float]:
        totals = {"requests": retry_budget.requests} | retry_budget.spent
        before = self.reported.get(service, {})
        self.reported[service] = totals
        return {
            str(name): round(total - before.get(name, 0), 1)
            for name, total in totals.items()
        }
