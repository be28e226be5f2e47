"""Evidence about versions: counted at proxies, merged at the leader.

Tallies are cumulative over a process's lifetime, so a report that is lost,
delayed, duplicated or reordered makes no difference once a later one arrives.
"""

import collections.abc
import dataclasses
import typing

from trefoil_model import latency
from trefoil_wire import messages

# Interval between a proxy's reports in a small fleet. It is short because in a
# move of seconds each tenth of its time that passes before a fault is detected
# puts a tenth of all requests at risk.
REPORT_INTERVAL_MS = 250
# Interval per host of the fleet, which limits the rate of reports in large
# fleets.
INTERVAL_MS_PER_HOST = 3
# Urgent evidence is reported after this part of the usual interval.
URGENT_INTERVAL_FACTOR = 0.4


class TallyKey(typing.NamedTuple):
    """Identifies a tally: route, version and failure domain."""

    route: str
    version: str
    domain: str


@dataclasses.dataclass(slots=True)
class Counts:
    """Requests of one route, version and failure domain.

    Args:
        requests: All requests.
        failures: Failed requests.
        latencies: Requests to warm targets, by latency bucket.
    """

    requests: float = 0
    failures: float = 0
    latencies: dict[int, float] = dataclasses.field(default_factory=dict)

    def add(self, latency_us: int, failed: bool, cold: bool) -> None:
        """Count a request.

        The latency of a cold target is left out: its first requests are slow
        with any version, so each new version would get a verdict.
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

    def increase_since(self, other: "Counts") -> "Counts":
        """Return the increase since other, earlier counts."""
        return Counts(
            self.requests - other.requests,
            self.failures - other.failures,
            {
                bucket: count - other.latencies.get(bucket, 0)
                for bucket, count in self.latencies.items()
                if count > other.latencies.get(bucket, 0)
            },
        )

    def decay(self, factor: float) -> None:
        """Multiply all counts by a factor below 1."""
        self.requests *= factor
        self.failures *= factor
        self.latencies = {b: c * factor for b, c in self.latencies.items()}


# Counts of one period, by tally key.
Window = dict[TallyKey, Counts]


class Collector:
    """A proxy's counts for the move of one service.

    Args:
        move_id: Id of the move.
        host: Name of this host.
        incarnation: Incarnation of this process.
        new_version: The version that traffic moves to.

    ``halted`` is set once the proxy has stopped sending to the new version.
    ``has_all_traffic`` is set while the new version has all the traffic.
    Reports are more frequent then, since each tenth of a second saved is a
    tenth of a second of traffic that a bad version does not get.
    """

    __slots__ = (
        "move_id",
        "host",
        "incarnation",
        "new_version",
        "sequence",
        "counts",
        "changed",
        "window",
        "reported_ms",
        "full_report_ms",
        "is_urgent",
        "has_all_traffic",
        "halted",
    )

    def __init__(
        self, move_id: str, host: str, incarnation: int, new_version: str = ""
    ) -> None:
        self.move_id = move_id
        self.host = host
        self.incarnation = incarnation
        self.new_version = new_version
        self.sequence = 0
        self.counts: Window = {}
        self.changed: set[TallyKey] = set()
        self.window: Window = {}
        self.reported_ms = -REPORT_INTERVAL_MS
        self.full_report_ms = 0
        self.is_urgent = False
        self.has_all_traffic = False
        self.halted = False

    def observe(
        self, key: TallyKey, latency_us: int, failed: bool, cold: bool
    ) -> None:
        """Count an answered request."""
        for counts in (self.counts, self.window):
            counts.setdefault(key, Counts()).add(latency_us, failed, cold)
        self.changed.add(key)
        if failed and key.version == self.new_version:
            self.is_urgent = True

    def take_window(self) -> Window:
        """Return the counts since the last call and reset them."""
        window = self.window
        self.window = {}
        return window

    def report(
        self, now_ms: int, hosts: int = 0
    ) -> messages.EvidenceReport | None:
        """Return the tallies that changed, if a report is due.

        Args:
            now_ms: The time on the runtime's clock.
            hosts: Size of the fleet. A seed forwards the reports of all
                hosts that it serves, so a large fleet reports less often. A
                proxy that halted the version reports at once.
        """
        interval_ms = report_interval_ms(hosts)
        if self.is_urgent or self.has_all_traffic:
            interval_ms = urgent_interval_ms(hosts)
        due = now_ms >= self.reported_ms + interval_ms or self.halted
        if not self.changed or not due:
            return None
        self.reported_ms = now_ms
        self.is_urgent = False
        if (
            self.has_all_traffic
            and now_ms >= self.full_report_ms + 2 * interval_ms
        ):
            # The old version's counts no longer change. Without full
            # reports a new leader would never receive them and would have
            # nothing to compare the new version with.
            self.full_report_ms = now_ms
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
class HostTallies:
    """Cumulative counts reported by one incarnation of a proxy.

    Args:
        incarnation: The incarnation of the proxy's process.
        counts: The latest counts that it reported.
    """

    incarnation: int
    counts: Window


class Merger:
    """Merges the reports of all proxies on one move, at the leader.

    ``halted_by`` names a proxy that has stopped sending to the new version.
    """

    __slots__ = ("by_host", "window", "halted_by")

    def __init__(self) -> None:
        self.by_host: dict[str, HostTallies] = {}
        self.window: Window = {}
        self.halted_by = ""

    def add_report(self, report: messages.EvidenceReport, now_ms: int) -> None:
        """Add the increase since the host's last report to the window."""
        host_tallies = self.by_host.get(report.host)
        if (
            host_tallies is not None
            and report.incarnation < host_tallies.incarnation
        ):
            return
        if (
            host_tallies is None
            or report.incarnation > host_tallies.incarnation
        ):
            host_tallies = HostTallies(report.incarnation, {})
            self.by_host[report.host] = host_tallies
        if report.halted:
            self.halted_by = report.host
        for tally in report.tallies or ():
            self._add_tally(host_tallies, tally)

    def _add_tally(
        self, host_tallies: HostTallies, tally: messages.Tally
    ) -> None:
        key = TallyKey(tally.route, tally.version, tally.domain)
        old = host_tallies.counts.get(key, Counts())
        if tally.requests <= old.requests:
            # Reordered: a later report with these counts came first.
            return
        new = Counts(
            tally.requests, tally.failures, dict(tally.latencies or {})
        )
        host_tallies.counts[key] = new
        self.window.setdefault(key, Counts()).merge(new.increase_since(old))

    def take_window(self) -> Window:
        """Return the counts reported since the last call and reset them."""
        window = self.window
        self.window = {}
        return window


def report_interval_ms(hosts: int) -> int:
    """Return the interval between a proxy's reports, by fleet size."""
    return max(REPORT_INTERVAL_MS, hosts * INTERVAL_MS_PER_HOST)


def urgent_interval_ms(hosts: int) -> int:
    """Return the interval while the new version fails or has all traffic."""
    return int(report_interval_ms(hosts) * URGENT_INTERVAL_FACTOR)


def routes_in(window: collections.abc.Iterable[TallyKey]) -> list[str]:
    """Return the sorted names of the routes in a window."""
    return sorted({key.route for key in window})
