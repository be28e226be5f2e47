"""Metrics as text, for whatever collects them over HTTP."""

import typing

from . import _page
from . import http_server
from . import metrics as metric_store

TEXT_HEADER = b"Content-Type: text/plain; version=0.0.4; charset=utf-8\r\n"
PREFIX = "trefoilroute"
QUANTILES = (50.0, 90.0, 99.0, 99.9)


class Exposition(_page.Page):
    """Answers GET by all counters, gauges and latencies of a process.

    Args:
        metrics: The process's metrics.
        bytes_out: Bytes sent to peers, by kind of message.
        far_bytes_out: The part of them that left the failure domain.
        gauges: Returns what is true now, by name.
    """

    __slots__ = ("metrics", "bytes_out", "far_bytes_out", "gauges")

    def __init__(
        self,
        metrics: metric_store.Metrics,
        bytes_out: dict[str, int],
        far_bytes_out: dict[str, int],
        gauges: typing.Callable[[], dict[str, float]],
    ) -> None:
        self.metrics = metrics
        self.bytes_out = bytes_out
        self.far_bytes_out = far_bytes_out
        self.gauges = gauges

    def get(self, connection: http_server.ServerConnection) -> None:
        """Answer a GET."""
        connection.answer(200, "OK", TEXT_HEADER, self.text())

    def text(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        # Most processes are never asked; the library is loaded when one is.
        import prometheus_client
        from prometheus_client import registry

        found = registry.CollectorRegistry()
        found.register(typing.cast(registry.Collector, self))
        return prometheus_client.generate_latest(found)

    def collect(self) -> typing.Iterator[typing.Any]:
        """Return the metric families."""
        from prometheus_client import core

        events = core.CounterMetricFamily(
            f"{PREFIX}_events", "What happened, by name", labels=["event"]
        )
        for name, value in sorted(self.metrics.totals.items()):
            events.add_metric([name], value)
        yield events
        yield _by_kind(
            core, "control_bytes", "Bytes sent to peers", self.bytes_out
        )
        yield _by_kind(
            core,
            "far_bytes",
            "Bytes sent to peers in other failure domains",
            self.far_bytes_out,
        )
        for name, value in sorted(self.gauges().items()):
            yield core.GaugeMetricFamily(f"{PREFIX}_{name}", name, value)
        yield self._latencies(core)

    def _latencies(self, core: typing.Any) -> typing.Any:
        family = core.GaugeMetricFamily(
            f"{PREFIX}_latency_ms",
            "Latency of answers by tenant and quantile",
            labels=["tenant", "quantile"],
        )
        for tenant, found in sorted(self.metrics.histograms.items()):
            for quantile in QUANTILES:
                value_ms = found.get_value_at_percentile(quantile) / 1000
                family.add_metric([tenant, f"{quantile / 100:g}"], value_ms)
            family.add_metric([tenant, "count"], found.get_total_count())
        return family


def _by_kind(
    core: typing.Any, name: str, text: str, counted: dict[str, int]
) -> typing.Any:
    """Return a counter with a value for each kind of message."""
    family = core.CounterMetricFamily(
        f"{PREFIX}_{name}", text, labels=["kind"]
    )
    for kind, value in sorted(counted.items()):
        family.add_metric([kind], value)
    return family
