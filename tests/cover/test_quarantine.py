"""Requests that crash servers are quarantined; those that ran beside them are not."""

from random import Random

from hypothesis import given, strategies as st

from jacinthshed.internal.bundle.model import QuarantinePolicy
from jacinthshed.internal.quarantine.crash import CLEAR, CRASH, CrashId, decode_update
from jacinthshed.internal.quarantine.decisions import (
    NotSuspected,
    Quarantined,
    RunAlone,
)
from jacinthshed.internal.quarantine.fingerprint import fingerprint
from jacinthshed.internal.quarantine.suspect_record import MAX_DOUBLINGS
from jacinthshed.internal.quarantine.suspects import Suspects

from ..common.crashes import POLICY, CrashingNode, deliver, gossip

CRASHING = 1
FREQUENT = 2
RESENDS = 100


def _nodes(count, policy=POLICY):
    return [
        CrashingNode(host=f"h{n}", crashing={CRASHING}, policy=policy)
        for n in range(count)
    ]


@given(seed=st.integers(0, 99), gap_ms=st.integers(0, 2_000))
def test_resends_crash_no_more_servers_than_a_quarantine_requires(seed, gap_ms):
    nodes = _nodes(4)
    random = Random(seed)
    for turn in range(RESENDS):
        now_ms = 1_000.0 + turn * gap_ms
        host = random.randrange(4)
        nodes[host].offer(now_ms, CRASHING)
        nodes[host].end(now_ms)
        gossip(nodes, now_ms)
    # Crashes on a single host need a third one. No two requests run at the same time.
    assert sum(node.crash_count for node in nodes) <= POLICY.crashes + 1


@given(st.lists(st.lists(st.integers(0, 3), max_size=8), max_size=30))
def test_simultaneous_resends_crash_each_server_once_more_at_most(waves):
    nodes = _nodes(4)
    for turn, wave in enumerate(waves):
        now_ms = 1_000.0 + 50 * turn
        for host in wave:
            nodes[host].offer(now_ms, CRASHING)
        for node in nodes:
            node.end(now_ms)
        gossip(nodes, now_ms)
    # All four nodes may start the request after one crash, before the quarantine.
    assert sum(node.crash_count for node in nodes) <= POLICY.crashes + len(nodes) - 1


def test_hosts_without_gossip_see_three_crashes_each():
    nodes = _nodes(3)
    for turn in range(RESENDS):
        for node in nodes:
            node.offer(1_000.0 + turn, CRASHING)
            node.end(1_000.0 + turn)
    assert [node.crash_count for node in nodes] == [POLICY.crashes + 1] * 3


def test_quarantine_doubles_for_a_caller_that_resends_after_each_one():
    (node,) = _nodes(1)
    now_ms, waits_ms = 1_000.0, []
    while node.crash_count < POLICY.crashes + MAX_DOUBLINGS:
        assert node.offer(now_ms, CRASHING)
        node.end(now_ms)
        check = node.suspects.check(now_ms, CRASHING)
        wait_ms = check.retry_after_ms if isinstance(check, Quarantined) else 0
        waits_ms.append(wait_ms)
        now_ms += wait_ms + 1
    doubled = [POLICY.quarantine_ttl_ms * 2**n for n in range(1, MAX_DOUBLINGS + 1)]
    assert waits_ms == [0, 0, *doubled]


def test_crash_reported_after_a_later_success_is_cleared():
    node = CrashingNode(host="h0", crashing=set())
    node.offer(2_000.0, FREQUENT)
    node.end(2_000.0)
    node.suspects.apply_report(2_100.0, (FREQUENT, "h1", "crash:1.1", 500))
    assert node.suspects.check(2_100.0, FREQUENT) == NotSuspected()
    node.suspects.apply_report(2_100.0, (FREQUENT, "h2", "crash:1.1", 50))
    assert node.suspects.check(2_100.0, FREQUENT) == RunAlone(busy=False)


def test_success_on_one_host_clears_the_request_on_all():
    nodes = _nodes(3)
    nodes[0].suspects.crashed(1_000.0, "h0", 1, [FREQUENT])
    gossip(nodes, 1_001.0)
    nodes[1].offer(1_002.0, FREQUENT)
    nodes[1].end(1_002.0)
    gossip(nodes, 1_003.0)
    checks = [node.suspects.check(1_004.0, FREQUENT) for node in nodes]
    assert checks == [NotSuspected()] * 3


@given(order=st.permutations(range(8)), lag=st.integers(1, 4))
def test_frequent_request_beside_a_crashing_one_is_still_served(order, lag):
    nodes = _nodes(4)
    served = refused = 0
    for turn in range(40):
        now_ms = 1_000.0 + 20 * turn
        for number, node in enumerate(nodes):
            started = node.offer(now_ms, FREQUENT)
            served += started
            refused += not started
            if turn < 8 and order[turn] % 4 == number:
                node.offer(now_ms, CRASHING)
        for node in nodes:
            node.end(now_ms)
        if turn % lag == 0:
            gossip(nodes, now_ms)
    # It may be refused while another suspect runs, and is never quarantined for long.
    assert refused <= 8 * lag
    assert all(
        isinstance(n.suspects.check(now_ms, FREQUENT), NotSuspected) for n in nodes
    )
    assert served + refused == 160


@given(st.permutations(range(4)), st.data())
def test_cleared_crash_stays_cleared_when_reported_again(order, data):
    source, clearer, late = _nodes(3)
    source.offer(1_000.0, FREQUENT)
    source.suspects.crashed(1_000.0, "h0", 1, [FREQUENT])
    crash_reports = source.suspects.all_reports(1_000.0)
    deliver(clearer, 1_001.0, crash_reports)
    clearer.offer(1_002.0, FREQUENT)
    clearer.end(1_002.0)
    clear_reports = clearer.suspects.all_reports(1_002.0)
    deliveries = [crash_reports, crash_reports, clear_reports, clear_reports]
    delay_ms = data.draw(st.integers(0, 60_000))
    for index in order:
        deliver(late, 2_000.0 + delay_ms, deliveries[index])
    assert isinstance(late.suspects.check(62_000.0, FREQUENT), NotSuspected)
    deliver(late, 62_000.0, crash_reports)
    assert late.suspects.may_retry(FREQUENT)


def test_suspects_run_one_at_a_time_and_are_not_retried():
    node = CrashingNode(host="h0", crashing=set())
    node.suspects.crashed(1_000.0, "h0", 1, [5, 6])
    assert not node.suspects.may_retry(5)
    assert node.suspects.check(1_001.0, 5) == RunAlone(busy=False)
    assert node.offer(1_001.0, 5)
    assert node.suspects.check(1_002.0, 6) == RunAlone(busy=True)
    node.end(1_003.0)
    assert node.suspects.check(1_004.0, 6) == RunAlone(busy=False)
    assert node.suspects.may_retry(5)


def test_crash_is_attributed_to_known_suspects_only():
    node = CrashingNode(host="h0", crashing={CRASHING})
    node.offer(1_000.0, CRASHING)
    node.end(1_000.0)
    node.offer(1_001.0, FREQUENT)
    node.offer(1_001.0, CRASHING)
    node.end(1_002.0)
    assert node.suspects.check(1_003.0, FREQUENT) == NotSuspected()


@given(crashes=st.lists(st.lists(st.integers(10, 40), max_size=9), max_size=30))
def test_table_stays_bounded_and_keeps_the_quarantine_in_a_flood_of_suspects(crashes):
    policy = QuarantinePolicy(max_entries=12)
    suspects = Suspects(policy=policy)
    for host in ("h1", "h2"):
        suspects.apply_report(1_000.0, (CRASHING, host, "crash:1.1", 0))
    for turn, in_flight in enumerate(crashes):
        suspects.crashed(1_001.0 + turn, "h0", 1, in_flight)
    assert len(suspects) <= 12
    assert isinstance(suspects.check(1_100.0, CRASHING), Quarantined)


def test_suspect_expires():
    suspects = Suspects(policy=POLICY)
    suspects.crashed(1_000.0, "h0", 1, [5])
    assert suspects.check(1_000.0 + POLICY.suspect_ttl_ms, 5) == NotSuspected()


@given(st.integers(0, 2**64 - 1), st.text(), st.text(max_size=12), st.integers())
def test_malformed_report_is_ignored(number, host, event, age_ms):
    suspects = Suspects(policy=POLICY)
    suspects.apply_report(1_000.0, (number, host, event, age_ms))
    assert isinstance(suspects.check(1_000.0, number), NotSuspected)


def test_report_is_decoded_to_its_update():
    update = decode_update((7, "h0", "clear:3.4", 0)).unwrap()
    assert (update.event, update.crash_id) == (CLEAR, CrashId(3, 4))
    assert decode_update((7, "h0", "crash:3.4", 0)).unwrap().event == CRASH


def test_different_requests_have_different_fingerprints():
    whole = {"route": "r", "method": b"POST", "target": b"/a", "body": b"b"}
    fingerprints = {fingerprint(**whole), fingerprint(**whole)}
    for field, other in (("route", "s"), ("method", b"PUT"), ("target", b"/ab")):
        fingerprints.add(fingerprint(**{**whole, field: other}))
    fingerprints.add(fingerprint(**{**whole, "target": b"/", "body": b"ab"}))
    assert len(fingerprints) == 5
