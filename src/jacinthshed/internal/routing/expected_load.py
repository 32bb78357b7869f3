"""Estimates of the present load of targets, and the random choice by expected room."""

from collections.abc import Sequence
from math import exp
from typing import NamedTuple

from .target import UNKNOWN_LOAD, Target

# Figures of a reply lose two thirds of their weight in this time. A target that gets
# little work reports the end of a slow moment (600 ms) late, or that it has room again.
AGING_MS = 1_000.0
# Load that one request adds. Targets don't tell their slots; on the platform they have
# about ten.
LOAD_PER_REQUEST = 0.1
# Load at which a target has no room left, at least. With a mean above 1 it rises, so
# that the less busy targets are still preferred. The exact margin matters little: in
# replays, 0.25 gave nearly the same utilization as 0.1.
FULL_LOAD = 1.0
ROOM_ABOVE_MEAN = 0.1
# A full target gets some work, as its replies tell when it has room again.
MIN_ROOM = 0.02


class Estimates(NamedTuple):
    """What targets are expected to be like now, in the order of the targets.

    ``loads`` are shares of their limits. ``factors`` are how many times as long as
    usual work takes there.
    """

    loads: list[float]
    factors: list[float]


def estimates(targets: Sequence[Target], now_ms: float) -> Estimates:
    """Return the estimates of ``targets`` from their last replies.

    A load is raised by the requests sent since, and ages toward the mean. A target that
    never replied is expected to have the mean load.
    """
    known = [t.load for t in targets if t.has_reported]
    mean = sum(known) / len(known) if known else UNKNOWN_LOAD
    loads, factors = [], []
    for target in targets:
        # The weight of a target that never replied is 0, as its age is infinite.
        weight = exp(min(0.0, (target.load_at_ms - now_ms) / AGING_MS))
        factor = target.usual_factor + (target.factor - target.usual_factor) * weight
        load = target.load + target.sent_since_report * LOAD_PER_REQUEST * factor
        loads.append(max(mean + (load - mean) * weight, target.load_hint))
        factors.append(factor)
    return Estimates(loads, factors)


def room_weights(expected: Estimates) -> list[float]:
    """Return numbers in proportion to the requests that each target has room for.

    At a target where work takes ``factor`` times as long, a slot is worth that much
    less, and each request also occupies it for that much longer.
    """
    loads, factors = expected
    if not loads:
        return []
    ceiling = max(FULL_LOAD, sum(loads) / len(loads) + ROOM_ABOVE_MEAN)
    return [
        max(MIN_ROOM, ceiling - load) / (factor * factor)
        for load, factor in zip(loads, factors, strict=True)
    ]


def weighted_index(weights: Sequence[float], fraction: float) -> int:
    """Return the index at ``fraction``, from 0 up to 1, of the sum of ``weights``."""
    left = fraction * sum(weights)
    for index, weight in enumerate(weights):
        left -= weight
        if left < 0:
            return index
    return len(weights) - 1
