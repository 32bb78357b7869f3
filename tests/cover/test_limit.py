"""The adaptive limit with backend servers simulated by a function of their load."""

import random

from hypothesis import given, settings, strategies as st

from jacinthshed.internal.admission import AdaptiveLimit, Outcome
from jacinthshed.internal.bundle.model import AdmissionPolicy

SLOTS = 20
UNLOADED_MS = 10.0
SEEDS = range(20)

seeds = st.integers(0, 2**16)


def _limit():
    return AdaptiveLimit(slots=SLOTS, policy=AdmissionPolicy())


def _run(limit, rounds, latency_of, *, seed=0, nested_ms=0.0, routes=("route",)):
    """Complete ``rounds`` sets of ``limit.value`` dispatches; return the limits."""
    random_source = random.Random(seed)
    values = []
    for _ in range(rounds):
        limit.record_saturation()
        in_flight = limit.value
        for _ in range(in_flight):
            route = random_source.choice(routes)
            own_ms = latency_of(route, in_flight) * random_source.uniform(0.5, 1.5)
            limit.record_completion(
                0.0,
                own_ms + nested_ms,
                Outcome.OK,
                route=route,
                nested_ms=nested_ms,
            )
        values.append(limit.value)
    return values


def _unloaded(route, in_flight):
    return UNLOADED_MS


def _with_quarter_capacity(route, in_flight):
    """The latency of a server that runs only ``SLOTS / 4`` requests at a time."""
    return UNLOADED_MS * max(1.0, in_flight / (SLOTS / 4))


def _mean_share(latency_of):
    """Return the mean limit over all seeds, as a share of the slots."""
    values = []
    for seed in SEEDS:
        limit = _limit()
        _run(limit, 20, _unloaded, seed=seed)
        values += _run(limit, 200, latency_of, seed=seed)[100:]
        # A lowered limit recovers once the latency is normal again.
        assert _run(limit, 100, _unloaded, seed=seed)[-1] == SLOTS
    return sum(values) / len(values) / SLOTS


def test_slowness_not_caused_by_concurrency_hardly_lowers_the_limit():
    assert _mean_share(lambda route, in_flight: 10 * UNLOADED_MS) >= 0.95


def test_lost_capacity_lowers_the_limit_until_it_returns():
    assert _mean_share(_with_quarter_capacity) <= 0.75


@settings(max_examples=30)
@given(seed=seeds)
def test_slow_nested_calls_do_not_change_the_limit(seed):
    limit = _limit()
    _run(limit, 20, _unloaded, seed=seed)
    values = _run(limit, 50, _unloaded, seed=seed, nested_ms=5_000.0)
    assert set(values) == {SLOTS}


@settings(max_examples=30)
@given(seed=seeds)
def test_a_shift_to_slow_routes_does_not_change_the_limit(seed):
    limit = _limit()

    def by_route(route, in_flight):
        return 200.0 if route == "slow" else 2.0

    _run(limit, 20, by_route, seed=seed, routes=("fast", "fast", "fast", "slow"))
    values = _run(limit, 50, by_route, seed=seed, routes=("slow",))
    assert set(values) == {SLOTS}


def test_refusals_of_one_window_count_once():
    limit = _limit()
    for _ in range(SLOTS):
        limit.record_completion(0.0, 1.0, Outcome.REFUSED, route="route")
    assert limit.value == int(0.9 * SLOTS)
    assert _run(limit, 50, _unloaded)[-1] == SLOTS


def test_failures_do_not_change_the_limit():
    limit = _limit()
    _run(limit, 20, _unloaded)
    for _ in range(1_000):
        limit.record_completion(0.0, 0.1, Outcome.FAILED, route="route")
    assert set(_run(limit, 50, _unloaded)) == {SLOTS}


def test_a_minimum_above_the_slots_does_not_raise_the_limit():
    limit = AdaptiveLimit(slots=2, policy=AdmissionPolicy(min_limit=9))
    assert limit.value == 2
