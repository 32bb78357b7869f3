"""Counters and timers from the decisions that are logged anyway."""

from enum import StrEnum
from typing import Any

from .log import LogDecision, decision
from .metrics import Metrics

# Only fields with a closed set of values may become part of a metric's name.
_COUNTED_FIELDS = ("verdict", "reason", "outcome")
_ELAPSED_FIELD = "elapsed_ms"


def counted(metrics: Metrics, log: LogDecision = decision) -> LogDecision:
    """Return a function that logs a decision and counts it, sampled or not.

    ``EVENT`` counts all, and ``EVENT.VALUE`` counts each value of a verdict, reason or
    outcome. A field ``elapsed_ms`` goes to the timer ``EVENT.elapsed_ms``.
    """

    def log_and_count(event: str, **fields: Any) -> None:
        metrics.increment(event)
        for name in _COUNTED_FIELDS:
            value = fields.get(name)
            if isinstance(value, StrEnum):
                metrics.increment(f"{event}.{value}")
        elapsed_ms = fields.get(_ELAPSED_FIELD)
        if elapsed_ms is not None:
            metrics.timing(f"{event}.{_ELAPSED_FIELD}", elapsed_ms)
        log(event, **fields)

    return log_and_count
