"""Workspaces that compete for too little capacity get shares by their rates."""

import pytest

from tests.common.fair_share_replay import Competition, fair_shares
from tests.common.usage_replay import limit

RATES = {"a": 200.0, "b": 100.0, "c": 60.0, "d": 20.0}
USUAL = {name: rate / 2 for name, rate in RATES.items()}
SETTLE_S, MEASURED_S = 5, 30
with_few_and_many_nodes = pytest.mark.parametrize("nodes", [12, 90])


def competition(nodes, capacity_per_s, rates=RATES, **more):
    """Return a competition that has run at usual load for 10 s."""
    limits = {name: limit(rate, rate) for name, rate in rates.items()}
    made = Competition(
        nodes=nodes, limits=limits, capacity_per_s=capacity_per_s, **more
    )
    made.set_demand(**{name: rate / 2 for name, rate in rates.items()})
    made.measure(10)
    return made


def served_part(counts):
    """Return the served part of what was wanted."""
    return counts.served / counts.wanted


@with_few_and_many_nodes
@pytest.mark.parametrize("demand_per_s", [RATES["a"], 10 * USUAL["a"]])
def test_a_large_workspace_displaces_none_inside_its_share(nodes, demand_per_s):
    """All workspaces lost the same part of their requests.

    Above the rate, the limit admits twice as much as it names while capacity is short,
    since what targets refuse is counted back.
    """
    replay = competition(nodes, 240)
    replay.set_demand(a=demand_per_s)
    replay.measure(SETTLE_S)
    counts = replay.measure(MEASURED_S)
    for name in "bcd":
        assert served_part(counts[name]) >= 0.95
    rest_per_s = replay.capacity_per_s - sum(USUAL[name] for name in "bcd")
    assert counts["a"].served >= 0.9 * MEASURED_S * rest_per_s


@with_few_and_many_nodes
def test_scarce_capacity_is_divided_by_the_rates(nodes):
    """At less than half of the sum of all rates, nobody is inside its share."""
    replay = competition(nodes, 150)
    demand = {name: 2 * rate for name, rate in RATES.items()}
    replay.set_demand(**demand)
    replay.measure(SETTLE_S)
    counts = replay.measure(MEASURED_S)
    shares = fair_shares(demand, RATES, replay.capacity_per_s)
    for name, share_per_s in shares.items():
        assert counts[name].served == pytest.approx(MEASURED_S * share_per_s, rel=0.2)


def test_the_beginning_of_ten_times_the_usual_load_costs_others_less_than_a_second():
    """With the demand over two seconds, others lost the requests of 0.8 s."""
    wanted = served = 0
    for seed in range(4):
        replay = competition(90, 240, seed=seed)
        replay.set_demand(a=10 * USUAL["a"])
        counts = replay.measure(4)
        wanted += sum(counts[name].wanted for name in "bcd")
        served += sum(counts[name].served for name in "bcd")
    others_per_s = sum(USUAL[name] for name in "bcd")
    assert wanted - served <= 4 * others_per_s * 0.7


@with_few_and_many_nodes
def test_unused_shares_go_to_those_who_can_use_them(nodes):
    """Reserved parts of the capacity would stay unused."""
    replay = competition(nodes, 240)
    replay.set_demand(a=10 * USUAL["a"], b=0, c=5.0, d=0)
    replay.measure(SETTLE_S)
    counts = replay.measure(MEASURED_S)
    assert counts["a"].served >= 0.9 * MEASURED_S * RATES["a"]
    assert served_part(counts["c"]) >= 0.95


@with_few_and_many_nodes
@pytest.mark.parametrize("share", [0.05, 0.005])
def test_capacity_is_used_where_all_rates_are_far_above_the_demand(nodes, share):
    """All hashes are small then, and re-admission takes steps of the whole span."""
    rates = {name: rate / share for name, rate in RATES.items()}
    replay = competition(nodes, 150, rates)
    replay.set_demand(**RATES)
    replay.measure(SETTLE_S)
    counts = replay.measure(MEASURED_S)
    served = sum(count.served for count in counts.values())
    assert served >= 0.95 * MEASURED_S * replay.capacity_per_s


@with_few_and_many_nodes
def test_a_workspace_that_sends_little_is_served(nodes):
    """At 90 nodes, most have not met it. Unscaled, a quarter was served."""
    replay = competition(nodes, 180, {"a": 200.0, "b": 200.0, "t": 4.0})
    replay.set_demand(a=400.0, b=400.0, t=1.0)
    replay.measure(SETTLE_S)
    counts = replay.measure(60)
    assert served_part(counts["t"]) >= 0.85


def test_requests_without_a_limited_workspace_are_not_starved():
    replay = competition(12, 240)
    replay.set_demand(a=400.0, unlimited=50.0)
    replay.measure(SETTLE_S)
    counts = replay.measure(MEASURED_S)
    assert served_part(counts["unlimited"]) >= 0.4


def test_the_loss_of_a_home_changes_no_shares():
    """A new home counts from nothing."""
    replay = competition(90, 240)
    replay.set_demand(a=10 * USUAL["a"])
    replay.measure(SETTLE_S)
    replay.restart(
        *{replay.nodes["n0"]._home_of(replay.now_ms, name) for name in RATES}
    )
    counts = replay.measure(4)
    wanted = sum(counts[name].wanted for name in "bcd")
    assert sum(counts[name].served for name in "bcd") >= 0.9 * wanted


@with_few_and_many_nodes
def test_all_are_served_soon_after_the_load_is_usual_again(nodes):
    """The use of the busy time stayed at nodes that see little."""
    replay = competition(nodes, 240)
    replay.set_demand(a=10 * USUAL["a"])
    replay.measure(10)
    replay.set_demand(**USUAL)
    replay.measure(3)
    counts = replay.measure(MEASURED_S)
    for name in RATES:
        assert served_part(counts[name]) >= 0.97
