"""Derives counters and timers from logged decisions."""

from enum import StrEnum
from typing import Any

from .log import LogDecision, log_decision
from .metrics import Metrics

# Only fields with a fixed set of values may be part of a metric's name; free text
# would create an unbounded number of metrics.
_COUNTED_FIELDS = ("verdict", "reason", "outcome")
_ELAPSED_FIELD = "elapsed_ms"


def counting_log(metrics: Metrics, log: LogDecision = log_decision) -> LogDecision:
    """Return a function that counts a decision in ``metrics`` and calls ``log``.

    A decision is counted even if ``log`` doesn't write it. The counter ``EVENT`` counts
    every decision with that event name, and ``EVENT.VALUE`` each ``StrEnum`` value of
    the fields ``verdict``, ``reason`` and ``outcome``. A field ``elapsed_ms`` is added
    to the timer ``EVENT.elapsed_ms``.
    """

    # Caches metric names, as this runs for every call.
    names: dict[tuple[str, object], str] = {}

    def metric_name(event: str, value: object) -> str:
        name = names.get((event, value))
        if name is None:
            name = names[event, value] = f"{event}.{value}"
        return name

    def log_and_count(event: str, **fields: Any) -> None:
        metrics.increment(event)
        for field in _COUNTED_FIELDS:
            value = fields.get(field)
            if isinstance(value, StrEnum):
                metrics.increment(metric_name(event, value))
        elapsed_ms = fields.get(_ELAPSED_FIELD)
        if elapsed_ms is not None:
            metrics.timing(metric_name(event, _ELAPSED_FIELD), elapsed_ms)
        log(event, **fields)

    return log_and_count
