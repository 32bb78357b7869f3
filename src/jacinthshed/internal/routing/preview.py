"""What the picker would choose now, computed without a choice being made."""

from collections.abc import Callable, Set
from itertools import permutations
from math import inf
from typing import NamedTuple

from .picker import Pick, Picker, Pools
from .pool import CandidatePair, Pool
from .target import Target

# The time grows with the square of the number of targets. 32 targets in each of the two
# pools of a service take a few milliseconds, during which the node does nothing else.
MAX_POOL_TARGETS = 32

Weights = dict[Target, float]
"""Usable targets of a pool, with weights in proportion to which they are drawn."""

Weigh = Callable[[Pool, float, Set[str]], Weights]
"""Takes a pool, the time in ms and excluded hosts, and returns the weights."""


class Candidate(NamedTuple):
    """What the picker knows about a target, and its probability of being chosen.

    ``load`` is the load that the choice is based on, as a share of the target's limit.
    ``load_age_ms`` is None when the target never reported one. ``avoid_ms`` is how long
    the target is still avoided, or 0. ``probability`` is None if it isn't computed.
    """

    host: str
    availability_zone: str
    is_local: bool
    load: float
    load_age_ms: float | None
    in_flight: int
    avoid_ms: float
    probability: float | None


class Preview(NamedTuple):
    """The candidates of a service, and the probabilities of the picker's reasons.

    ``reasons`` is empty when there is no target, and None if it isn't computed because
    a pool has more than ``MAX_POOL_TARGETS`` targets.
    """

    candidates: tuple[Candidate, ...]
    reasons: dict[str, float] | None


def pair_weights(pool: Pool, now_ms: float, exclude: Set[str]) -> Weights:
    """Return how often each target is the better one of two random usable targets."""
    usable = pool.usable(now_ms, exclude)
    weights = dict.fromkeys(usable, 0.0)
    if len(usable) == 1:
        weights[usable[0]] = 1.0
    for pair in permutations(usable, 2):
        best, other, best_share = pool.rank(now_ms, pair)
        weights[best] += best_share
        weights[other] += 1.0 - best_share
    return weights


def room_chances(pool: Pool, now_ms: float, exclude: Set[str]) -> Weights:
    """Return the weights of the usable targets in the choice by expected room."""
    targets, _, weights = pool.chances(now_ms, exclude)
    return dict(zip(targets, weights, strict=True))


def preview(
    picker: Picker,
    now_ms: float,
    service: str,
    *,
    exclude: Set[str] = frozenset(),
) -> Preview | None:
    """Return what ``picker.pick`` would choose now, or None for an unknown service.

    It reads the picker's state, changes nothing and draws no random number.
    """
    pools = picker.pools_of(service)
    if pools is None:
        return None
    by_room = picker.uses_expected_room(service)
    weigh: Weigh = room_chances if by_room else pair_weights
    loads = believed_loads(pools, now_ms, by_room)
    outcomes: dict[Pick, float] | None = None
    if max(len(pool.targets) for pool in pools) <= MAX_POOL_TARGETS:
        local = weigh(pools.local, now_ms, exclude)
        spill = weigh(pools.spill, now_ms, exclude)

        def choose(best: Target | None, far: Target | None) -> Pick | None:
            pick = picker.decide(now_ms, single(best), lambda: single(far))
            return pick or picker.last_resort(pools, exclude)

        def single(target: Target | None) -> CandidatePair | None:
            if target is None:
                return None
            return CandidatePair(target, target, loads[target], by_room)

        outcomes = choice_probabilities(local, spill, choose)
    candidates = _candidates(now_ms, pools, loads, outcomes)
    return Preview(candidates, _reasons(outcomes))


def choice_probabilities(
    local: Weights,
    spill: Weights,
    choose: Callable[[Target | None, Target | None], Pick | None],
) -> dict[Pick, float]:
    """Return the probability of each pick, from the weights of the candidates.

    ``choose`` takes the target drawn in the node's own availability zone and the one
    drawn in others, each None if there is none, and returns the pick.
    """
    outcomes: dict[Pick, float] = {}
    for best, best_probability in _normalized(local):
        for far, far_probability in _normalized(spill):
            pick = choose(best, far)
            if pick is not None:
                probability = best_probability * far_probability
                outcomes[pick] = outcomes.get(pick, 0.0) + probability
    return outcomes


def _normalized(weights: Weights) -> list[tuple[Target | None, float]]:
    total = sum(weights.values())
    if not weights:
        return [(None, 1.0)]
    if total <= 0.0:
        return [(target, 1.0 / len(weights)) for target in weights]
    return [(target, weight / total) for target, weight in weights.items()]


def believed_loads(pools: Pools, now_ms: float, by_room: bool) -> dict[Target, float]:
    """Return the loads that the choice is based on."""
    loads: dict[Target, float] = {}
    for pool in pools:
        for target in pool.targets:
            loads[target] = target.effective_load(now_ms)
        if by_room:
            targets, expected, _ = pool.chances(now_ms)
            loads.update(zip(targets, expected, strict=True))
    return loads


def _reasons(outcomes: dict[Pick, float] | None) -> dict[str, float] | None:
    if outcomes is None:
        return None
    reasons: dict[str, float] = {}
    for pick, probability in outcomes.items():
        reasons[pick.reason] = reasons.get(pick.reason, 0.0) + probability
    return {reason: share for reason, share in reasons.items() if share > 0.0}


def _candidates(
    now_ms: float,
    pools: Pools,
    loads: dict[Target, float],
    outcomes: dict[Pick, float] | None,
) -> tuple[Candidate, ...]:
    by_host: dict[str, float] = {}
    for pick, probability in (outcomes or {}).items():
        by_host[pick.host] = by_host.get(pick.host, 0.0) + probability

    def candidate(target: Target, is_local: bool) -> Candidate:
        age_ms = now_ms - target.load_at_ms
        return Candidate(
            host=target.host,
            availability_zone=target.availability_zone,
            is_local=is_local,
            load=loads[target],
            load_age_ms=age_ms if age_ms < inf else None,
            in_flight=target.in_flight,
            avoid_ms=max(0.0, target.avoid_until_ms - now_ms),
            probability=None if outcomes is None else by_host.get(target.host, 0.0),
        )

    return (
        *(candidate(target, True) for target in pools.local.targets),
        *(candidate(target, False) for target in pools.spill.targets),
    )
