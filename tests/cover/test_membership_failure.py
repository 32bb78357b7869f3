"""Silent links, pauses, and when unreachable hosts are declared gone."""

from itertools import pairwise

from hypothesis import given, strategies as st

from jacinthshed.internal.bundle.model import MembershipPolicy
from jacinthshed.internal.membership.failure import (
    MAX_PROBE_INTERVAL_MS,
    FailureTracker,
)
from jacinthshed.internal.membership.link_health import (
    IDLE_HEARTBEAT_FACTOR,
    LinkHealth,
)
from jacinthshed.internal.membership.pause import PauseDetector
from jacinthshed.internal.membership.view import View
from jacinthshed.internal.wire.frames import Leaving

from ..common.members import fleet_records, listed, member

POLICY = MembershipPolicy()
STEP_MS = 100.0


def run_link(steps, *, outstanding, peer_answers):
    """Return the heartbeats sent and whether the link was ever silent."""
    link = LinkHealth(now_ms=0.0, policy=POLICY)
    if outstanding:
        link.request_sent(0.0)
    heartbeats, was_silent = 0, False
    for step in range(1, steps + 1):
        now_ms = step * STEP_MS
        was_silent |= link.is_silent(now_ms)
        if link.is_heartbeat_due(now_ms):
            heartbeats += 1
            link.heartbeat_sent(now_ms)
            if peer_answers:
                link.frame_received(now_ms + STEP_MS / 2)
    return heartbeats, was_silent


def test_an_idle_link_is_never_silent_and_needs_few_heartbeats():
    heartbeats, was_silent = run_link(1_200, outstanding=False, peer_answers=True)
    assert not was_silent
    assert heartbeats <= 6


def test_a_slow_request_does_not_make_a_link_silent():
    _, was_silent = run_link(300, outstanding=True, peer_answers=True)
    assert not was_silent


@given(st.booleans())
def test_a_dead_link_is_silent(outstanding):
    idle_ms = 0.0 if outstanding else IDLE_HEARTBEAT_FACTOR * POLICY.heartbeat_ms
    steps = int((idle_ms + POLICY.silent_after_ms) / STEP_MS) + 1
    _, was_silent = run_link(steps, outstanding=outstanding, peer_answers=False)
    assert was_silent


def test_a_request_detects_in_time_that_an_idle_link_failed():
    link = LinkHealth(now_ms=0.0, policy=POLICY)
    link.request_sent(5_000.0)
    assert not link.is_silent(5_000.0 + POLICY.silent_after_ms - 1)
    assert link.is_heartbeat_due(5_000.0 + POLICY.heartbeat_ms)
    assert link.is_silent(5_000.0 + POLICY.silent_after_ms)


@given(mono_ms=st.floats(0, 1e7), wall_ms=st.integers(-(10**7), 10**7))
def test_a_pause_on_either_clock_lasts_until_a_peer_answers(mono_ms, wall_ms):
    detector = PauseDetector(pause_after_ms=1_000)
    detector.tick(0.0, 0)
    pause = detector.tick(mono_ms, wall_ms)
    assert (pause is not None) == (max(mono_ms, wall_ms) >= 1_000)
    assert detector.is_confirmed == (pause is None)
    detector.tick(mono_ms + 1, wall_ms + 1)
    assert detector.is_confirmed == (pause is None)
    detector.confirm()
    assert detector.is_confirmed


def gone_after_outage(view, hosts):
    """Return the hosts to declare gone after ``hosts`` were unreachable for long."""
    tracker = FailureTracker(policy=POLICY)
    for host in hosts:
        tracker.record_failure(0.0, host)
    return tracker.take_gone_hosts(POLICY.unreachable_after_ms, view)


@given(hosts=st.sets(st.integers(1, 8), min_size=1), is_listed=st.booleans())
def test_a_partition_alone_declares_no_host_gone(hosts, is_listed):
    fleet = fleet_records(9)
    view = View(self_record=fleet[0])
    view.merge(0.0, fleet)
    if is_listed:
        view.apply_host_list(0.0, [listed(record) for record in fleet])
    assert gone_after_outage(view, [f"host-{n}" for n in hosts]) == []


def test_an_unreachable_host_that_the_list_dropped_is_gone():
    fleet = fleet_records(9)
    view = View(self_record=fleet[0])
    view.merge(0.0, fleet)
    view.apply_host_list(0.0, [listed(record) for record in fleet])
    view.apply_host_list(0.0, [listed(record) for record in fleet[:8]])
    assert gone_after_outage(view, ["host-7", "host-8"]) == ["host-8"]
    view.apply_host_list(0.0, [listed(record) for record in fleet[:2]])
    assert gone_after_outage(view, ["host-7", "host-8"]) == []


def test_a_host_that_was_never_listed_is_not_gone():
    fleet = fleet_records(9)
    view = View(self_record=fleet[0])
    view.merge(0.0, fleet)
    view.apply_host_list(0.0, [listed(record) for record in fleet[:8]])
    assert gone_after_outage(view, ["host-8"]) == []


def test_a_host_that_was_leaving_and_is_unreachable_is_gone():
    view = View(self_record=member("host-self"))
    view.merge(0.0, [member("host-a")])
    view.apply_leaving(0.0, Leaving("host-a", 1))
    assert gone_after_outage(view, ["host-a"]) == ["host-a"]


def test_probes_back_off_up_to_a_bound_and_end_at_the_first_frame():
    tracker = FailureTracker(policy=POLICY)
    probes_ms = []
    for step in range(1_000):
        now_ms = step * STEP_MS
        if tracker.may_probe(now_ms, "host-a"):
            probes_ms.append(now_ms)
            tracker.record_failure(now_ms, "host-a")
    gaps_ms = [later - earlier for earlier, later in pairwise(probes_ms)]
    assert gaps_ms == sorted(gaps_ms)
    assert gaps_ms[0] == POLICY.heartbeat_ms
    assert gaps_ms[-1] == MAX_PROBE_INTERVAL_MS
    tracker.record_contact("host-a")
    assert tracker.is_reachable("host-a")
