"""Tests of the log lines about retry budgets."""

from trefoil_requests import budget
from trefoil_requests import spending


def test_repeats_are_reported_each_second_by_cause() -> None:
    retry_budget = budget.RetryBudget(0.5)
    budgets = {"s": retry_budget, "quiet": budget.RetryBudget(0.5)}
    spending_log = spending.SpendingLog()
    assert spending_log.report(budgets, 0) == []
    for _ in range(4):
        retry_budget.deposit()
    assert retry_budget.withdraw(budget.Cause.REFUSED)
    assert retry_budget.withdraw(budget.Cause.HEDGED)
    assert spending_log.report(budgets, spending.REPORT_INTERVAL_MS - 1) == []
    (note,) = spending_log.report(budgets, spending.REPORT_INTERVAL_MS)
    assert note.event == "budget.spent"
    assert note.fields["service"] == "s"
    assert note.fields["requests"] == 4
    assert note.fields["refused"] == note.fields["hedged"] == 1
    assert note.fields["lost"] == 0
    assert spending_log.report(budgets, 2 * spending.REPORT_INTERVAL_MS) == []
