"""A request that kills servers is stopped, and what ran beside it is not."""

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

from ..common.crashes import POLICY, CrashingNode, gossip, tell

KILLER = 1
POPULAR = 2
RESENDS = 100


def _nodes(count, policy=POLICY):
    return [
        CrashingNode(host=f"h{n}", killers={KILLER}, policy=policy)
        for n in range(count)
    ]


@given(seed=st.integers(0, 99), gap_ms=st.integers(0, 2_000))
def test_request_resent_many_times_kills_as_many_servers_as_it_takes(seed, gap_ms):
    nodes = _nodes(4)
    random = Random(seed)
    for turn in range(RESENDS):
        now_ms = 1_000.0 + turn * gap_ms
        host = random.randrange(4)
        nodes[host].offer(now_ms, KILLER)
        nodes[host].end(now_ms)
        gossip(nodes, now_ms)
    # On one host alone a third death is asked for. Nothing runs at the same instant.
    assert sum(node.deaths for node in nodes) <= POLICY.crashes + 1


@given(st.lists(st.lists(st.integers(0, 3), max_size=8), max_size=30))
def test_resends_at_one_instant_kill_each_server_once_more_at_most(waves):
    nodes = _nodes(4)
    for turn, wave in enumerate(waves):
        now_ms = 1_000.0 + 50 * turn
        for host in wave:
            nodes[host].offer(now_ms, KILLER)
        for node in nodes:
            node.end(now_ms)
        gossip(nodes, now_ms)
    # One death may be known and no quarantine in force when all four start it.
    assert sum(node.deaths for node in nodes) <= POLICY.crashes + len(nodes) - 1


def test_hosts_that_hear_of_nobody_lose_three_servers_each():
    nodes = _nodes(3)
    for turn in range(RESENDS):
        for node in nodes:
            node.offer(1_000.0 + turn, KILLER)
            node.end(1_000.0 + turn)
    assert [node.deaths for node in nodes] == [POLICY.crashes + 1] * 3


def test_caller_that_waits_out_each_quarantine_kills_ever_more_slowly():
    (node,) = _nodes(1)
    now_ms, waits_ms = 1_000.0, []
    while node.deaths < POLICY.crashes + MAX_DOUBLINGS:
        assert node.offer(now_ms, KILLER)
        node.end(now_ms)
        check = node.suspects.check(now_ms, KILLER)
        wait_ms = check.retry_after_ms if isinstance(check, Quarantined) else 0
        waits_ms.append(wait_ms)
        now_ms += wait_ms + 1
    doubled = [POLICY.quarantine_ttl_ms * 2**n for n in range(1, MAX_DOUBLINGS + 1)]
    assert waits_ms == [0, 0, *doubled]


def test_success_known_before_the_news_of_an_earlier_death_clears_it():
    node = CrashingNode(host="h0", killers=set())
    node.offer(2_000.0, POPULAR)
    node.end(2_000.0)
    node.suspects.apply_report(2_100.0, (POPULAR, "h1", "crash:1.1", 500))
    assert node.suspects.check(2_100.0, POPULAR) == NotSuspected()
    node.suspects.apply_report(2_100.0, (POPULAR, "h2", "crash:1.1", 50))
    assert node.suspects.check(2_100.0, POPULAR) == RunAlone(busy=False)


def test_success_on_one_host_clears_the_request_on_all():
    nodes = _nodes(3)
    nodes[0].suspects.crashed(1_000.0, "h0", 1, [POPULAR])
    gossip(nodes, 1_001.0)
    nodes[1].offer(1_002.0, POPULAR)
    nodes[1].end(1_002.0)
    gossip(nodes, 1_003.0)
    checks = [node.suspects.check(1_004.0, POPULAR) for node in nodes]
    assert checks == [NotSuspected()] * 3


@given(order=st.permutations(range(8)), lag=st.integers(1, 4))
def test_popular_request_beside_the_killer_stays_served(order, lag):
    nodes = _nodes(4)
    served = refused = 0
    for turn in range(40):
        now_ms = 1_000.0 + 20 * turn
        for number, node in enumerate(nodes):
            started = node.offer(now_ms, POPULAR)
            served += started
            refused += not started
            if turn < 8 and order[turn] % 4 == number:
                node.offer(now_ms, KILLER)
        for node in nodes:
            node.end(now_ms)
        if turn % lag == 0:
            gossip(nodes, now_ms)
    # It may wait its turn while it is a suspect, and is never in quarantine for long.
    assert refused <= 8 * lag
    assert all(
        isinstance(n.suspects.check(now_ms, POPULAR), NotSuspected) for n in nodes
    )
    assert served + refused == 160


@given(st.permutations(range(4)), st.data())
def test_suspicion_that_was_cleared_does_not_come_back(order, data):
    source, clearer, late = _nodes(3)
    source.offer(1_000.0, POPULAR)
    source.suspects.crashed(1_000.0, "h0", 1, [POPULAR])
    accusation = source.suspects.all_reports(1_000.0)
    tell(clearer, 1_001.0, accusation)
    clearer.offer(1_002.0, POPULAR)
    clearer.end(1_002.0)
    cleared = clearer.suspects.all_reports(1_002.0)
    told = [accusation, accusation, cleared, cleared]
    delay_ms = data.draw(st.integers(0, 60_000))
    for index in order:
        tell(late, 2_000.0 + delay_ms, told[index])
    assert isinstance(late.suspects.check(62_000.0, POPULAR), NotSuspected)
    tell(late, 62_000.0, accusation)
    assert late.suspects.may_retry(POPULAR)


def test_suspects_run_one_at_a_time_and_are_not_retried():
    node = CrashingNode(host="h0", killers=set())
    node.suspects.crashed(1_000.0, "h0", 1, [5, 6])
    assert not node.suspects.may_retry(5)
    assert node.suspects.check(1_001.0, 5) == RunAlone(busy=False)
    assert node.offer(1_001.0, 5)
    assert node.suspects.check(1_002.0, 6) == RunAlone(busy=True)
    node.end(1_003.0)
    assert node.suspects.check(1_004.0, 6) == RunAlone(busy=False)
    assert node.suspects.may_retry(5)


def test_death_is_put_down_to_those_already_suspected():
    node = CrashingNode(host="h0", killers={KILLER})
    node.offer(1_000.0, KILLER)
    node.end(1_000.0)
    node.offer(1_001.0, POPULAR)
    node.offer(1_001.0, KILLER)
    node.end(1_002.0)
    assert node.suspects.check(1_003.0, POPULAR) == NotSuspected()


@given(deaths=st.lists(st.lists(st.integers(10, 40), max_size=9), max_size=30))
def test_flood_of_suspects_stays_bounded_and_keeps_the_quarantine(deaths):
    policy = QuarantinePolicy(max_entries=12)
    suspects = Suspects(policy=policy)
    for host in ("h1", "h2"):
        suspects.apply_report(1_000.0, (KILLER, host, "crash:1.1", 0))
    for turn, in_flight in enumerate(deaths):
        suspects.crashed(1_001.0 + turn, "h0", 1, in_flight)
    assert len(suspects) <= 12
    assert isinstance(suspects.check(1_100.0, KILLER), Quarantined)


def test_suspicion_expires():
    suspects = Suspects(policy=POLICY)
    suspects.crashed(1_000.0, "h0", 1, [5])
    assert suspects.check(1_000.0 + POLICY.suspect_ttl_ms, 5) == NotSuspected()


@given(st.integers(0, 2**64 - 1), st.text(), st.text(max_size=12), st.integers())
def test_report_that_is_noise_changes_nothing(mark, host, event, age_ms):
    suspects = Suspects(policy=POLICY)
    suspects.apply_report(1_000.0, (mark, host, event, age_ms))
    assert isinstance(suspects.check(1_000.0, mark), NotSuspected)


def test_news_survives_its_report():
    news = decode_update((7, "h0", "clear:3.4", 0)).unwrap()
    assert (news.event, news.crash_id) == (CLEAR, CrashId(3, 4))
    assert decode_update((7, "h0", "crash:3.4", 0)).unwrap().event == CRASH


def test_fingerprint_tells_requests_apart():
    whole = {"route": "r", "method": b"POST", "target": b"/a", "body": b"b"}
    marks = {fingerprint(**whole), fingerprint(**whole)}
    for field, other in (("route", "s"), ("method", b"PUT"), ("target", b"/ab")):
        marks.add(fingerprint(**{**whole, field: other}))
    marks.add(fingerprint(**{**whole, "target": b"/", "body": b"ab"}))
    assert len(marks) == 5
