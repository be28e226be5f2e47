"""Reports of what is in force where, as they travel to control hosts."""

import dataclasses

from trefoil_wire import messages

REFRESH_MS = 30_000


@dataclasses.dataclass(slots=True)
class ReceivedReport:
    """A report and when it arrived."""

    report: messages.Report
    received_ms: int

    def age_ms(self, now_ms: int) -> int:
        """Return how old the report's fact is."""
        return self.report.age_ms + now_ms - self.received_ms


class Reports:
    """The newest report of each host, and those still to pass on."""

    __slots__ = ("by_host", "pending")

    def __init__(self) -> None:
        self.by_host: dict[str, ReceivedReport] = {}
        self.pending: dict[str, int] = {}

    def add(self, report: messages.Report, now_ms: int) -> bool:
        """Take a report unless a newer one is known."""
        known = self.by_host.get(report.host)
        if known is not None:
            old = known.report
            version = (report.incarnation, report.revision)
            if version < (old.incarnation, old.revision):
                return False
            same = version == (old.incarnation, old.revision)
            if same and report.rejected == old.rejected:
                more_recent = report.age_ms < known.age_ms(now_ms)
                if not more_recent:
                    return False
        self.by_host[report.host] = ReceivedReport(report, now_ms)
        self.pending[report.host] = now_ms
        return True

    def take_pending(self, now_ms: int) -> list[messages.Report]:
        """Return the reports to pass on, aged, and clear them."""
        due = []
        for host in self.pending:
            received = self.by_host.get(host)
            if received is not None:
                due.append(with_current_age(received, now_ms))
        self.pending = {}
        return due

    def resend_all(self) -> None:
        """Pass every known report on once more."""
        self.pending = {
            host: received.received_ms
            for host, received in self.by_host.items()
        }

    def remove(self, host: str) -> None:
        """Drop a host that is gone."""
        self.by_host.pop(host, None)
        self.pending.pop(host, None)


def with_current_age(received: ReceivedReport, now_ms: int) -> messages.Report:
    """Return a report with the time that it spent here added to its age."""
    report = received.report
    return messages.Report(
        host=report.host,
        incarnation=report.incarnation,
        revision=report.revision,
        rejected=report.rejected,
        age_ms=received.age_ms(now_ms),
    )
