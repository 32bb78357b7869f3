"""Metrics of a node in the Prometheus text format."""

from collections.abc import Iterator, Mapping

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.metrics_core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    HistogramMetricFamily,
    Metric,
)
from prometheus_client.registry import Collector

from .metrics import Metrics

PREFIX = "jacinthshed_"
# Gauges of which there is one for each value of a label. The value ends their name.
LABELED_GAUGES = {"routing.load_spread": "service"}
_GAUGE_TEXT = "A figure of this moment."


class _NodeCollector(Collector):
    def __init__(self, *, metrics: Metrics, gauges: Mapping[str, float]) -> None:
        self._metrics = metrics
        self._gauges = gauges

    def collect(self) -> Iterator[Metric]:
        decisions = CounterMetricFamily(
            PREFIX + "decisions",
            "Decisions made.",
            labels=("event", "value"),
        )
        for name, count in self._metrics.totals.items():
            event, _, value = name.partition(".")
            decisions.add_metric((event, value), count)
        yield decisions
        yield from self._traffic()
        times = HistogramMetricFamily(
            PREFIX + "elapsed_ms", "Times in milliseconds.", labels=("event",)
        )
        for name, histogram in self._metrics.histograms.items():
            event = name.partition(".")[0]
            times.add_metric((event,), histogram.cumulative(), histogram.sum_ms)
        yield times
        yield from _gauge_families(self._gauges)

    def _traffic(self) -> Iterator[Metric]:
        labels = ("frame", "zone")
        frames = CounterMetricFamily(
            PREFIX + "sent_frames", "Frames sent to other nodes.", labels=labels
        )
        payload = CounterMetricFamily(
            PREFIX + "sent_bytes", "Bytes of frames sent to other nodes.", labels=labels
        )
        for sent in self._metrics.traffic.sent():
            frames.add_metric((sent.frame, sent.zone), sent.frames)
            payload.add_metric((sent.frame, sent.zone), sent.payload_bytes)
        yield frames
        yield payload


def _gauge_families(gauges: Mapping[str, float]) -> Iterator[GaugeMetricFamily]:
    labeled: dict[str, GaugeMetricFamily] = {}
    for name, value in gauges.items():
        stem = next((s for s in LABELED_GAUGES if name.startswith(f"{s}.")), None)
        if stem is None:
            yield GaugeMetricFamily(_metric_name(name), _GAUGE_TEXT, value)
            continue
        family = labeled.get(stem)
        if family is None:
            labels = (LABELED_GAUGES[stem],)
            family = GaugeMetricFamily(_metric_name(stem), _GAUGE_TEXT, labels=labels)
            labeled[stem] = family
        family.add_metric((name.removeprefix(f"{stem}."),), value)
    yield from labeled.values()


def _metric_name(name: str) -> str:
    return PREFIX + name.replace(".", "_")


def metrics_page(metrics: Metrics, gauges: Mapping[str, float]) -> bytes:
    """Return the body of the response to a Prometheus scrape."""
    registry = CollectorRegistry(auto_describe=False)
    registry.register(_NodeCollector(metrics=metrics, gauges=gauges))
    return generate_latest(registry)
