"""Computes goodput and recovery time from the samples of one run."""

from collections.abc import Sequence
from typing import NamedTuple

from .load import Sample
from .scenario import Phase

BUCKET_S = 0.5
RECOVERED_SHARE = 0.9


class RouteFigures(NamedTuple):
    """Counts of one route during the surge, and its goodput in answers per second."""

    route: str
    sent: int
    answered: int
    answered_per_s: float


class RunFigures(NamedTuple):
    """Figures of one run; ``recovery_s`` is ``None`` if it ended before recovery."""

    routes: list[RouteFigures]
    recovery_s: float | None


def run_figures(samples: Sequence[Sample], phases: Sequence[Phase]) -> RunFigures:
    """Return the goodput by route during the surge, and the recovery time after it.

    ``phases`` are the calm, the surge and the phase after it.
    """
    surge = phases[1]
    names = sorted({sample.route for sample in samples})
    routes = [_route(name, samples, surge) for name in names]
    return RunFigures(routes, _recovery_s(samples, phases))


def _route(name: str, samples: Sequence[Sample], surge: Phase) -> RouteFigures:
    matching = [s for s in samples if s.route == name and s.phase == surge.name]
    answered = sum(sample.answered for sample in matching)
    return RouteFigures(name, len(matching), answered, answered / surge.length_s)


def _recovery_s(samples: Sequence[Sample], phases: Sequence[Phase]) -> float | None:
    """Return the time from the end of the surge to the end of the last bad bucket.

    A bucket of ``BUCKET_S`` is bad if fewer than ``RECOVERED_SHARE`` of its requests
    were answered. Returns 0.0 if none is bad, and ``None`` if the last one is.
    """
    calm, surge, after = phases
    end_s = calm.length_s + surge.length_s
    buckets = int(after.length_s / BUCKET_S)
    recovery_s = 0.0
    for number in range(buckets):
        start_s = end_s + number * BUCKET_S
        bucket = [s for s in samples if start_s <= s.sent_s < start_s + BUCKET_S]
        if bucket and sum(s.answered for s in bucket) < RECOVERED_SHARE * len(bucket):
            recovery_s = (number + 1) * BUCKET_S
    return None if recovery_s >= after.length_s else recovery_s
