"""Metrics over HTTP in the Prometheus text format."""

import dataclasses
import typing

from . import _page
from . import exchanges
from . import metrics as metric_store

TEXT_HEADER = b"Content-Type: text/plain; version=0.0.4; charset=utf-8\r\n"
PREFIX = "trefoilroute"
QUANTILES = (50.0, 90.0, 99.0, 99.9)


@dataclasses.dataclass(slots=True)
class Sample:
    """One value of a family, identified by its labels."""

    labels: dict[str, str]
    value: float


@dataclasses.dataclass(slots=True)
class Family:
    """Metric samples with the same name and different labels.

    Args:
        name: Metric name, without the prefix.
        description: Help text.
        labels: Label names, the same for each sample.
        is_counter: Whether the values only increase.
        samples: The samples.
    """

    name: str
    description: str
    labels: list[str]
    is_counter: bool
    samples: list[Sample] = dataclasses.field(default_factory=list)

    def add(self, value: float, **labels: str) -> None:
        """Add a sample."""
        self.samples.append(Sample(labels, value))


class Engine(typing.Protocol):
    """What the metrics page requires of its process."""

    def gauges(self) -> dict[str, float]:
        """Return the current gauge values, by name."""

    def families(self) -> list[Family]:
        """Return the labelled metrics."""


class Exposition(_page.Page):
    """Page with all counters, gauges and latencies of a process.

    Args:
        metrics: The process's metrics.
        bytes_out: Bytes sent to peers, by message kind.
        cross_domain_bytes_out: The part of them sent to other failure
            domains, by message kind.
        engine: Supplies the gauges and the labelled metrics.
    """

    __slots__ = ("metrics", "bytes_out", "cross_domain_bytes_out", "engine")

    def __init__(
        self,
        metrics: metric_store.Metrics,
        bytes_out: dict[str, int],
        cross_domain_bytes_out: dict[str, int],
        engine: Engine,
    ) -> None:
        self.metrics = metrics
        self.bytes_out = bytes_out
        self.cross_domain_bytes_out = cross_domain_bytes_out
        self.engine = engine

    def get(self, exchange: exchanges.Exchange) -> None:
        """Answer a GET."""
        exchange.answer(200, "OK", TEXT_HEADER, self.render())

    def render(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        # Imported lazily: most processes are never scraped.
        import prometheus_client
        from prometheus_client import registry

        metric_registry = registry.CollectorRegistry()
        metric_registry.register(typing.cast(registry.Collector, self))
        return prometheus_client.generate_latest(metric_registry)

    def collect(self) -> typing.Iterator[typing.Any]:
        """Yield the metric families, as prometheus_client collectors do."""
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
            self.cross_domain_bytes_out,
        )
        for name, value in sorted(self.engine.gauges().items()):
            yield core.GaugeMetricFamily(f"{PREFIX}_{name}", name, value)
        for family in self.engine.families():
            yield _labelled(core, family)
        yield self._latencies(core)

    def _latencies(self, core: typing.Any) -> typing.Any:
        family = core.GaugeMetricFamily(
            f"{PREFIX}_latency_ms",
            "Latency of answers by tenant and quantile",
            labels=["tenant", "quantile"],
        )
        for tenant, histogram in sorted(self.metrics.histograms.items()):
            for quantile in QUANTILES:
                value_ms = histogram.get_value_at_percentile(quantile) / 1000
                family.add_metric([tenant, f"{quantile / 100:g}"], value_ms)
            family.add_metric([tenant, "count"], histogram.get_total_count())
        return family


def _labelled(core: typing.Any, family: Family) -> typing.Any:
    """Return a family as a prometheus_client metric family."""
    family_class = core.GaugeMetricFamily
    if family.is_counter:
        family_class = core.CounterMetricFamily
    converted = family_class(
        f"{PREFIX}_{family.name}", family.description, labels=family.labels
    )
    for sample in family.samples:
        values = [sample.labels[label] for label in family.labels]
        converted.add_metric(values, sample.value)
    return converted


def _by_kind(
    core: typing.Any, name: str, description: str, counted: dict[str, int]
) -> typing.Any:
    """Return a counter with a value for each message kind."""
    family = core.CounterMetricFamily(
        f"{PREFIX}_{name}", description, labels=["kind"]
    )
    for kind, value in sorted(counted.items()):
        family.add_metric([kind], value)
    return family
