"""Counters, timers and gauges of a process, and their export to statsd."""

import re
from collections import Counter
from collections.abc import Callable, Mapping
from typing import Protocol

import trio

from .histogram import Histogram
from .traffic import Traffic

FLUSH_INTERVAL_S = 1.0
MAX_TIMINGS = 256
MAX_PACKET_BYTES = 1_400

# The store lists services with any name. Some characters separate the parts of a line
# to statsd, and its client raises an error for those that aren't ASCII.
_NOT_IN_NAMES = re.compile(r"[^A-Za-z0-9_.-]")

ReadGauges = Callable[[], Mapping[str, float]]


class Pipeline(Protocol):
    """The methods of a statsd pipeline that ``Metrics.flush`` calls."""

    def incr(self, stat: str, count: int) -> None:
        """Add to a counter."""

    def timing(self, stat: str, delta: float) -> None:
        """Add a duration in milliseconds."""

    def gauge(self, stat: str, value: float) -> None:
        """Set a gauge."""

    def send(self) -> None:
        """Send everything that was added."""


class Metrics:
    """Counters, timers and gauges of one process.

    ``totals``, ``histograms`` and ``traffic`` count since the process started; a flush
    sends what was added since the previous flush. Each method costs a few dictionary
    updates. A flush sends at most the last ``MAX_TIMINGS`` values of each timer.
    """

    def __init__(self) -> None:
        self.totals: Counter[str] = Counter()
        self.histograms: dict[str, Histogram] = {}
        self.traffic = Traffic()
        self._sent: Counter[str] = Counter()
        self._gauges: dict[str, float] = {}
        self._timings: dict[str, list[float]] = {}
        self._timing_counts: Counter[str] = Counter()

    def increment(self, name: str, count: int = 1) -> None:
        """Add ``count`` to the counter ``name``."""
        self.totals[name] += count

    def gauge(self, name: str, value: float) -> None:
        """Set the gauge ``name``."""
        self._gauges[name] = value

    def replace_gauges(self, gauges: Mapping[str, float]) -> None:
        """Set ``gauges``, and no longer send others, as those of a removed service."""
        self._gauges = dict(gauges)

    def timing(self, name: str, elapsed_ms: float) -> None:
        """Add a duration in milliseconds to the timer ``name``."""
        histogram = self.histograms.get(name)
        if histogram is None:
            histogram = self.histograms[name] = Histogram()
        histogram.add(elapsed_ms)
        values = self._timings.setdefault(name, [])
        if len(values) < MAX_TIMINGS:
            values.append(elapsed_ms)
        else:
            values[self._timing_counts[name] % MAX_TIMINGS] = elapsed_ms
        self._timing_counts[name] += 1

    def flush(self, pipeline: Pipeline) -> None:
        """Send what was added since the last flush through ``pipeline``.

        Gauges keep their value and are sent with every flush.
        """
        totals = self.totals + Counter(self.traffic.totals())
        for name, count in (totals - self._sent).items():
            pipeline.incr(name, count)
        for name, value in self._gauges.items():
            pipeline.gauge(_NOT_IN_NAMES.sub("_", name), value)
        for name, values in self._timings.items():
            for elapsed_ms in values:
                pipeline.timing(name, elapsed_ms)
        self._sent = totals
        self._timings.clear()
        self._timing_counts.clear()
        pipeline.send()


async def send_metrics(
    metrics: Metrics,
    *,
    host: str,
    port: int,
    prefix: str = "jacinthshed",
    read_gauges: ReadGauges = dict,
) -> None:
    """Send ``metrics`` to statsd over UDP every ``FLUSH_INTERVAL_S`` until cancelled.

    ``read_gauges`` is called before each of these flushes and returns the current gauge
    values.
    """
    # Imported here, as most nodes don't use statsd and the import slows their start.
    import statsd

    client = statsd.StatsClient(
        host=host,
        port=port,
        prefix=prefix,
        maxudpsize=MAX_PACKET_BYTES,
        ipv6=":" in host,
    )
    try:
        while True:
            await trio.sleep(FLUSH_INTERVAL_S)
            metrics.replace_gauges(read_gauges())
            metrics.flush(client.pipeline())
    finally:
        metrics.flush(client.pipeline())
        client.close()
