"""Counters, sent to statsd, and a latency histogram for each tenant."""

from hdrh import histogram
import statsd

LOWEST_US = 1
HIGHEST_US = 60_000_000
SIGNIFICANT_DIGITS = 2
QUANTILES = (50.0, 90.0, 99.0, 99.9)


class Metrics:
    """The metrics of one process.

    Args:
        process: Name of the process, used as prefix of the metric names.
        address: Address of a statsd server; empty to disable sending.
    """

    __slots__ = ("client", "counters", "totals", "histograms")

    def __init__(self, process: str, address: str = "") -> None:
        self.client = None
        if address:
            host, _, port = address.rpartition(":")
            self.client = statsd.StatsClient(
                host, int(port), prefix=f"trefoilroute.{process}"
            )
        self.counters: dict[str, int] = {}
        self.totals: dict[str, int] = {}
        self.histograms: dict[str, histogram.HdrHistogram] = {}

    def count(self, name: str, value: int = 1) -> None:
        """Add to a counter, which the next ``flush`` sends."""
        self.counters[name] = self.counters.get(name, 0) + value
        self.totals[name] = self.totals.get(name, 0) + value

    def latency(self, tenant: str, latency_us: int) -> None:
        """Record a call's latency, clamped to the histogram's range."""
        latencies = self.histograms.get(tenant)
        if latencies is None:
            latencies = histogram.HdrHistogram(
                LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS
            )
            self.histograms[tenant] = latencies
        latencies.record_value(min(max(latency_us, LOWEST_US), HIGHEST_US))

    def flush(self) -> None:
        """Send and reset the counters; send each tenant's 99th percentile."""
        if self.client is not None:
            for name, value in self.counters.items():
                self.client.incr(name, value)
            for tenant, latencies in self.histograms.items():
                p99_ms = latencies.get_value_at_percentile(99.0) / 1000
                self.client.gauge(f"latency_p99_ms.{tenant}", p99_ms)
        self.counters = {}

    def quantiles(self) -> list[dict[str, object]]:
        """Return each tenant's call count and latency quantiles as rows."""
        rows = []
        for tenant, latencies in sorted(self.histograms.items()):
            row: dict[str, object] = {
                "tenant": tenant,
                "calls": latencies.get_total_count(),
            }
            for quantile in QUANTILES:
                value_us = latencies.get_value_at_percentile(quantile)
                row[f"p{quantile:g}_ms"] = value_us / 1000
            rows.append(row)
        return rows
