"""Goodput and recovery time from the samples of one run."""

from collections.abc import Sequence
from typing import NamedTuple

from .load import Sample
from .scenario import Phase

BUCKET_S = 0.5
RECOVERED_SHARE = 0.9


class RouteFigures(NamedTuple):
    """One route during the surge."""

    route: str
    sent: int
    answered: int
    answered_per_s: float


class RunFigures(NamedTuple):
    """One run. ``recovery_s`` is ``None`` when the run ended before recovery."""

    routes: list[RouteFigures]
    recovery_s: float | None


def run_figures(samples: Sequence[Sample], phases: Sequence[Phase]) -> RunFigures:
    """Return goodput by route during the surge, and the time to recover after it."""
    surge = phases[1]
    names = sorted({sample.route for sample in samples})
    routes = [_route(name, samples, surge) for name in names]
    return RunFigures(routes, _recovery_s(samples, phases))


def _route(name: str, samples: Sequence[Sample], surge: Phase) -> RouteFigures:
    own = [s for s in samples if s.route == name and s.phase == surge.name]
    answered = sum(sample.answered for sample in own)
    return RouteFigures(name, len(own), answered, answered / surge.length_s)


def _recovery_s(samples: Sequence[Sample], phases: Sequence[Phase]) -> float | None:
    """Return the time from the surge's end to the last bucket that falls short."""
    calm, surge, after = phases
    end_s = calm.length_s + surge.length_s
    buckets = int(after.length_s / BUCKET_S)
    recovery_s = 0.0
    for number in range(buckets):
        start_s = end_s + number * BUCKET_S
        own = [s for s in samples if start_s <= s.sent_s < start_s + BUCKET_S]
        if own and sum(s.answered for s in own) < RECOVERED_SHARE * len(own):
            recovery_s = (number + 1) * BUCKET_S
    return None if recovery_s >= after.length_s else recovery_s
