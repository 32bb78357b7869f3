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
        for name, gauge_value in self._gauges.items():
            metric = PREFIX + name.replace(".", "_")
            yield GaugeMetricFamily(metric, "A figure of this moment.", gauge_value)

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


def metrics_page(metrics: Metrics, gauges: Mapping[str, float]) -> bytes:
    """Return the body of the response to a Prometheus scrape."""
    registry = CollectorRegistry(auto_describe=False)
    registry.register(_NodeCollector(metrics=metrics, gauges=gauges))
    return generate_latest(registry)
