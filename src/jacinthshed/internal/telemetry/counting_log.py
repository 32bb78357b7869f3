"""Counters and timers from the decisions that are logged anyway."""

from enum import StrEnum
from typing import Any

from .log import LogDecision, log_decision
from .metrics import Metrics

# Only fields with a closed set of values may become part of a metric's name.
_COUNTED_FIELDS = ("verdict", "reason", "outcome")
_ELAPSED_FIELD = "elapsed_ms"


def counting_log(metrics: Metrics, log: LogDecision = log_decision) -> LogDecision:
    """Return a function that logs a decision and counts it, sampled or not.

    ``EVENT`` counts all, and ``EVENT.VALUE`` counts each value of a verdict, reason or
    outcome. A field ``elapsed_ms`` goes to the timer ``EVENT.elapsed_ms``.
    """

    # Names are joined once for each pair, as this is on the path of every call.
    joined: dict[tuple[str, object], str] = {}

    def name_of(event: str, value: object) -> str:
        name = joined.get((event, value))
        if name is None:
            name = joined[event, value] = f"{event}.{value}"
        return name

    def log_and_count(event: str, **fields: Any) -> None:
        metrics.increment(event)
        for field in _COUNTED_FIELDS:
            value = fields.get(field)
            if isinstance(value, StrEnum):
                metrics.increment(name_of(event, value))
        elapsed_ms = fields.get(_ELAPSED_FIELD)
        if elapsed_ms is not None:
            metrics.timing(name_of(event, _ELAPSED_FIELD), elapsed_ms)
        log(event, **fields)

    return log_and_count
