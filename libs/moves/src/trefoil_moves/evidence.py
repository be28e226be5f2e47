"""Evidence about versions: counted at proxies, merged at the leader.

Tallies are cumulative for a process's life, so a report that is lost, late,
doubled or crossed changes nothing once a later one arrives.
"""

import collections.abc
import dataclasses
import typing

from trefoil_model import latency
from trefoil_wire import messages

# In a move of seconds each tenth until a fault is seen is a tenth of all
# requests at risk.
REPORT_MS = 250
REPORT_MS_PER_HOST = 3
# What presses is told in this part of the usual pause.
URGENT_PART = 0.4


class TallyKey(typing.NamedTuple):
    """What a tally is kept for."""

    route: str
    version: str
    domain: str


@dataclasses.dataclass(slots=True)
class Counts:
    """Requests of one route, version and failure domain."""

    requests: float = 0
    failures: float = 0
    latencies: dict[int, float] = dataclasses.field(default_factory=dict)

    def add(self, latency_us: int, failed: bool, cold: bool) -> None:
        """Count a request.

        A cold target's latency is left out: its first requests are slow on
        any version and would condemn each new one.
        """
        self.requests += 1
        self.failures += failed
        if not cold:
            bucket = latency.bucket_of(latency_us)
            self.latencies[bucket] = self.latencies.get(bucket, 0) + 1

    def merge(self, other: "Counts") -> None:
        """Add other counts to these."""
        self.requests += other.requests
        self.failures += other.failures
        for bucket, count in other.latencies.items():
            self.latencies[bucket] = self.latencies.get(bucket, 0) + count

    def minus(self, other: "Counts") -> "Counts":
        """Return what came since other, earlier counts."""
        return Counts(
            self.requests - other.requests,
            self.failures - other.failures,
            {
                bucket: count - other.latencies.get(bucket, 0)
                for bucket, count in self.latencies.items()
                if count > other.latencies.get(bucket, 0)
            },
        )

    def fade(self, keep: float) -> None:
        """Scale the counts down."""
        self.requests *= keep
        self.failures *= keep
        self.latencies = {b: c * keep for b, c in self.latencies.items()}


Window = dict[TallyKey, Counts]


class Collector:
    """A proxy's counts for the move of one service.

    Args:
        move_id: The move.
        host: Name of this host.
        incarnation: This process's life.
        on_trial: The version that is being brought in.

    ``whole`` tells that it has all the traffic: each tenth of a second that
    its answers are heard of sooner is a tenth that a bad one gets less.
    """

    __slots__ = (
        "move_id",
        "host",
        "incarnation",
        "on_trial",
        "sequence",
        "counts",
        "changed",
        "window",
        "reported_ms",
        "told_all_ms",
        "urgent",
        "whole",
        "halted",
    )

    def __init__(
        self, move_id: str, host: str, incarnation: int, on_trial: str = ""
    ) -> None:
        self.move_id = move_id
        self.host = host
        self.incarnation = incarnation
        self.on_trial = on_trial
        self.sequence = 0
        self.counts: Window = {}
        self.changed: set[TallyKey] = set()
        self.window: Window = {}
        self.reported_ms = -REPORT_MS
        self.told_all_ms = 0
        self.urgent = False
        self.whole = False
        self.halted = False

    def observe(
        self, key: TallyKey, latency_us: int, failed: bool, cold: bool
    ) -> None:
        """Count an answered request."""
        for counts in (self.counts, self.window):
            counts.setdefault(key, Counts()).add(latency_us, failed, cold)
        self.changed.add(key)
        if failed and key.version == self.on_trial:
            self.urgent = True

    def take_window(self) -> Window:
        """Return what was counted since the last call."""
        window = self.window
        self.window = {}
        return window

    def report(
        self, now_ms: int, hosts: int = 0
    ) -> messages.EvidenceReport | None:
        """Return the tallies that changed, if a report is due.

        Args:
            now_ms: The time on the runtime's clock.
            hosts: Size of the fleet. A seed passes on the reports of all
                that it serves, so a large fleet reports less often; a proxy
                that halted tells at once.
        """
        pause_ms = report_pause_ms(hosts)
        if self.urgent or self.whole:
            pause_ms = urgent_pause_ms(hosts)
        due = now_ms >= self.reported_ms + pause_ms or self.halted
        if not self.changed or not due:
            return None
        self.reported_ms = now_ms
        self.urgent = False
        if self.whole and now_ms >= self.told_all_ms + 2 * pause_ms:
            # The old version's counts change no more. A leader that takes
            # over would never hear of them, and have nothing to compare with.
            self.told_all_ms = now_ms
            self.changed.update(self.counts)
        self.sequence += 1
        tallies = [
            messages.Tally(
                route=key.route,
                version=key.version,
                domain=key.domain,
                requests=self.counts[key].requests,
                failures=self.counts[key].failures,
                latencies=dict(self.counts[key].latencies),
            )
            for key in sorted(self.changed)
        ]
        self.changed = set()
        return messages.EvidenceReport(
            move_id=self.move_id,
            host=self.host,
            incarnation=self.incarnation,
            sequence=self.sequence,
            tallies=tallies,
            halted=self.halted,
        )


@dataclasses.dataclass(slots=True)
class Reported:
    """What one proxy's life has reported so far."""

    incarnation: int
    counts: Window


class Merger:
    """The leader's sum of the reports of one move."""

    __slots__ = ("by_host", "window", "halted_by")

    def __init__(self) -> None:
        self.by_host: dict[str, Reported] = {}
        self.window: Window = {}
        self.halted_by = ""

    def hear(self, report: messages.EvidenceReport, now_ms: int) -> None:
        """Take a report and add what is new in it to the window."""
        known = self.by_host.get(report.host)
        if known is not None and report.incarnation < known.incarnation:
            return
        if known is None or report.incarnation > known.incarnation:
            known = Reported(report.incarnation, {})
            self.by_host[report.host] = known
        if report.halted:
            self.halted_by = report.host
        for tally in report.tallies or ():
            self._take(known, tally)

    def _take(self, known: Reported, tally: messages.Tally) -> None:
        key = TallyKey(tally.route, tally.version, tally.domain)
        old = known.counts.get(key, Counts())
        if tally.requests <= old.requests:
            # Reports crossed: what this one tells is in a later one.
            return
        new = Counts(
            tally.requests, tally.failures, dict(tally.latencies or {})
        )
        known.counts[key] = new
        self.window.setdefault(key, Counts()).merge(new.minus(old))

    def take_window(self) -> Window:
        """Return what was reported since the last call."""
        window = self.window
        self.window = {}
        return window


def report_pause_ms(hosts: int) -> int:
    """Return the pause between a proxy's reports in a fleet of some size."""
    return max(REPORT_MS, hosts * REPORT_MS_PER_HOST)


def urgent_pause_ms(hosts: int) -> int:
    """Return the pause while the version on trial fails, or is whole."""
    return int(report_pause_ms(hosts) * URGENT_PART)


def routes_in(window: collections.abc.Iterable[TallyKey]) -> list[str]:
    """Return the routes that a window tells of."""
    return sorted({key.route for key in window})
