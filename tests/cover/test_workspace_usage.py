"""Limits of workspaces hold over all nodes, and requests inside them are admitted."""

import pytest

from tests.common.usage_replay import Nodes, limit

WINDOW_S = 5
# What the platform's operators allow beyond a limit.
OVER, SLACK = 0.25, 20
USUAL_SHARE = 1 / 1.6
SIZES = [12, 90, 300]
LIMITS = [limit(240.0, 240.0), limit(20.0, 20.0), limit(4.0, 4.0)]
in_each_size = pytest.mark.parametrize("number", SIZES)
with_each_limit = pytest.mark.parametrize("allowed", LIMITS, ids=lambda x: f"{x[0]}")


def most_allowed(allowed):
    """Return the most requests that may run in one window."""
    return (allowed.rate_per_s * WINDOW_S + allowed.burst) * (1 + OVER) + SLACK


@in_each_size
@with_each_limit
def test_usual_load_is_admitted(number, allowed):
    """Equal parts of a limit refused requests inside it at nodes with more callers."""
    nodes = Nodes(number, allowed)
    nodes.run(20, per_s=allowed.rate_per_s * USUAL_SHARE)
    nodes.run(20, per_s=allowed.rate_per_s * USUAL_SHARE, at=nodes.names[:3])
    total = len(nodes.admitted) + len(nodes.refused)
    assert len(nodes.refused) <= 0.02 * total + 2


@in_each_size
@with_each_limit
def test_ten_times_the_usual_load_is_held_to_the_limit(number, allowed):
    """No node saw that the sum over all nodes exceeded the limit."""
    nodes = Nodes(number, allowed)
    usual = allowed.rate_per_s * USUAL_SHARE
    nodes.run(10, per_s=usual)
    nodes.run(15, per_s=10 * usual)
    assert nodes.most_in(WINDOW_S) <= most_allowed(allowed)
    before = len(nodes.admitted)
    nodes.run(10, per_s=10 * usual)
    # What is inside the limit is still admitted.
    assert len(nodes.admitted) - before >= 0.85 * 10 * allowed.rate_per_s
    nodes.run(5, per_s=usual)
    nodes.refused.clear()
    nodes.run(10, per_s=usual)
    assert len(nodes.refused) <= 0.02 * 10 * usual + 2


def test_a_limitation_ends_when_no_more_requests_come():
    """All nodes were told four times a second, for ever, and refused the next ones."""
    allowed = LIMITS[1]
    nodes = Nodes(90, allowed)
    nodes.run(10, per_s=10 * allowed.rate_per_s)
    nodes.run(6, per_s=0.001)
    before = nodes.frames
    nodes.run(5, per_s=0.001)
    assert nodes.frames - before <= 10
    nodes.refused.clear()
    nodes.run(5, per_s=allowed.rate_per_s * USUAL_SHARE)
    assert len(nodes.refused) <= 2


@with_each_limit
def test_a_restart_gives_no_fresh_burst(allowed):
    nodes = Nodes(90, allowed)
    nodes.run(10, per_s=10 * allowed.rate_per_s)
    nodes.admitted.clear()
    nodes.restart(nodes.home())
    nodes.run(10, per_s=10 * allowed.rate_per_s)
    assert nodes.most_in(WINDOW_S) <= most_allowed(allowed)


@with_each_limit
@pytest.mark.parametrize("seed", range(1, 13))
def test_nodes_that_are_cut_off_keep_to_their_own_part(allowed, seed):
    """Each admitted one request more, beside those that its home had not counted."""
    nodes = Nodes(90, allowed, seed)
    nodes.run(10, per_s=allowed.rate_per_s * USUAL_SHARE)
    nodes.cut = set(nodes.names[:15]) - {nodes.home()}
    nodes.run(20, per_s=5 * allowed.rate_per_s)
    assert nodes.most_in(WINDOW_S) <= most_allowed(allowed)


def test_a_home_that_is_cut_off_costs_little_of_what_is_inside_the_limit():
    allowed = LIMITS[0]
    nodes = Nodes(90, allowed)
    nodes.run(10, per_s=allowed.rate_per_s * USUAL_SHARE)
    nodes.cut = {nodes.home()}
    nodes.run(20, per_s=allowed.rate_per_s * USUAL_SHARE)
    total = len(nodes.admitted) + len(nodes.refused)
    assert len(nodes.refused) <= 0.25 * total


def test_a_limit_that_is_lowered_holds_after_one_window():
    nodes = Nodes(90, limit(240.0, 240.0))
    nodes.run(10, per_s=150)
    nodes.limit = limit(24.0, 24.0)
    nodes.run(WINDOW_S, per_s=150)
    nodes.admitted.clear()
    nodes.run(15, per_s=150)
    assert nodes.most_in(WINDOW_S) <= most_allowed(nodes.limit)
