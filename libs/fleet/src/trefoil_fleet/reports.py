"""Reports of what is in force where, as they travel to control hosts."""

import dataclasses

from trefoil_wire import messages

REFRESH_MS = 30_000


@dataclasses.dataclass(slots=True)
class Heard:
    """A report and when it arrived."""

    report: messages.Report
    at_ms: int

    def age_ms(self, now_ms: int) -> int:
        """Return how old the report's fact is."""
        return self.report.age_ms + now_ms - self.at_ms


class Reports:
    """The newest report of each host, and those still to pass on."""

    __slots__ = ("by_host", "pending")

    def __init__(self) -> None:
        self.by_host: dict[str, Heard] = {}
        self.pending: dict[str, int] = {}

    def hear(self, report: messages.Report, now_ms: int) -> bool:
        """Take a report unless a newer one is known."""
        known = self.by_host.get(report.host)
        if known is not None:
            old = known.report
            newer = (report.incarnation, report.revision)
            if newer < (old.incarnation, old.revision):
                return False
            same = newer == (old.incarnation, old.revision)
            if same and report.rejected == old.rejected:
                fresher = report.age_ms < known.age_ms(now_ms)
                if not fresher:
                    return False
        self.by_host[report.host] = Heard(report, now_ms)
        self.pending[report.host] = now_ms
        return True

    def take_pending(self, now_ms: int) -> list[messages.Report]:
        """Return the reports to pass on, aged, and clear them."""
        due = []
        for host in self.pending:
            heard = self.by_host.get(host)
            if heard is not None:
                due.append(aged(heard, now_ms))
        self.pending = {}
        return due

    def pass_again(self) -> None:
        """Pass every known report on once more."""
        self.pending = {
            host: heard.at_ms for host, heard in self.by_host.items()
        }

    def forget(self, host: str) -> None:
        """Drop a host that is gone."""
        self.by_host.pop(host, None)
        self.pending.pop(host, None)


def aged(heard: Heard, now_ms: int) -> messages.Report:
    """Return a report with the time that it spent here added to its age."""
    report = heard.report
    return messages.Report(
        host=report.host,
        incarnation=report.incarnation,
        revision=report.revision,
        rejected=report.rejected,
        age_ms=heard.age_ms(now_ms),
    )
