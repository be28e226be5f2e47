"""Metrics as text, for whatever collects them over HTTP."""

import dataclasses
import typing

from . import _page
from . import http_server
from . import metrics as metric_store

TEXT_HEADER = b"Content-Type: text/plain; version=0.0.4; charset=utf-8\r\n"
PREFIX = "trefoilroute"
QUANTILES = (50.0, 90.0, 99.0, 99.9)


@dataclasses.dataclass(slots=True)
class Sample:
    """One value of a family, with what tells it from the others."""

    labels: dict[str, str]
    value: float


@dataclasses.dataclass(slots=True)
class Family:
    """Values of one name that differ by their labels.

    Args:
        name: Its name, without the prefix.
        text: What it tells.
        labels: Names of the labels that each sample has.
        counts: Whether its values only grow.
        samples: The values.
    """

    name: str
    text: str
    labels: list[str]
    counts: bool
    samples: list[Sample] = dataclasses.field(default_factory=list)

    def add(self, value: float, **labels: str) -> None:
        """Add a value."""
        self.samples.append(Sample(labels, value))


class Engine(typing.Protocol):
    """What the page asks a process for."""

    def gauges(self) -> dict[str, float]:
        """Return what is true now, by name."""

    def families(self) -> list[Family]:
        """Return the values that differ by labels."""


class Exposition(_page.Page):
    """Answers GET by all counters, gauges and latencies of a process.

    Args:
        metrics: The process's metrics.
        bytes_out: Bytes sent to peers, by kind of message.
        far_bytes_out: The part of them that left the failure domain.
        engine: Tells what is true now.
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
        for tenant, found in sorted(self.metrics.histograms.items()):
            for quantile in QUANTILES:
                value_ms = found.get_value_at_percentile(quantile) / 1000
                family.add_metric([tenant, f"{quantile / 100:g}"], value_ms)
            family.add_metric([tenant, "count"], found.get_total_count())
        return family


def _labelled(core: typing.Any, family: Family) -> typing.Any:
    """Return a family as the library knows it."""
    kind = core.GaugeMetricFamily
    if family.counts:
        kind = core.CounterMetricFamily
    found = kind(f"{PREFIX}_{family.name}", family.text, labels=family.labels)
    for sample in family.samples:
        values = [sample.labels[label] for label in family.labels]
        found.add_metric(values, sample.value)
    return found


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
