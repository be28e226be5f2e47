"""Reports of the revision in force at each host, for the Raft leader."""

import dataclasses

from trefoil_wire import messages

REFRESH_MS = 30_000
MAX_AGE_MS = (1 << 31) - 1


@dataclasses.dataclass(slots=True)
class ReceivedReport:
    """A report and the time of its arrival."""

    report: messages.Report
    received_ms: int

    def age_ms(self, now_ms: int) -> int:
        """Return the age of the reported state in milliseconds."""
        return self.report.age_ms + now_ms - self.received_ms


class Reports:
    """The newest report of each host, and the reports to be forwarded."""

    __slots__ = ("by_host", "pending")

    def __init__(self) -> None:
        self.by_host: dict[str, ReceivedReport] = {}
        self.pending: dict[str, int] = {}

    def add(self, report: messages.Report, now_ms: int) -> bool:
        """Store a report if it is newer; return whether it was stored."""
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
        """Return and clear the reports to forward, with their current age."""
        due = []
        for host in self.pending:
            received = self.by_host.get(host)
            if received is not None:
                due.append(with_current_age(received, now_ms))
        self.pending = {}
        return due

    def resend_all(self) -> None:
        """Mark every known report to be forwarded again."""
        self.pending = {
            host: received.received_ms
            for host, received in self.by_host.items()
        }

    def remove(self, host: str) -> None:
        """Remove the report of a host that has left or died."""
        self.by_host.pop(host, None)
        self.pending.pop(host, None)


def with_current_age(received: ReceivedReport, now_ms: int) -> messages.Report:
    """Return a report whose age includes the time that it was held here."""
    report = received.report
    return messages.Report(
        host=report.host,
        incarnation=report.incarnation,
        revision=report.revision,
        rejected=report.rejected,
        # With an age that no message holds, none of the reports would be
        # sent. A report of weeks ago is old, whichever its age.
        age_ms=min(received.age_ms(now_ms), MAX_AGE_MS),
    )
