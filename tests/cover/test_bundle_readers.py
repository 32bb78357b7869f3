"""Who reads the platform, and how often."""

from random import Random

from hypothesis import given, settings, strategies as st

from jacinthshed.internal.bundle.model import ReaderPolicy
from jacinthshed.internal.bundle.read_scheduler import (
    HOP_DELAY_MS,
    STAGE_MS,
    START_WINDOW_MS,
    ReadAction,
    ReadScheduler,
)

POLICY = ReaderPolicy()
PLATFORM_LIMIT_PER_S = 2_000
FLEET = 990
SLOW_LINK_MS = 50.0


def reader(host: str, others: int = 0, zone: str = "a") -> ReadScheduler:
    made = ReadScheduler(
        host=host,
        availability_zone=zone,
        policy=POLICY,
        keys=("bundle", "hosts"),
        random=Random(host),
        now_ms=0.0,
    )
    for index in range(others):
        made.member_up(0.0, f"h{index}", "ab"[index % 2])
    return made


def read_at_start(made: ReadScheduler) -> None:
    for key in ("bundle", "hosts"):
        for now_ms in range(0, 20_000, 500):
            if made.decide(now_ms, key).action is ReadAction.READ:
                made.read_finished(now_ms, key, answered=True)
                break


steps = st.lists(
    st.tuples(
        st.sampled_from(["ask", "fail", "answer", "join", "part", "heard"]),
        st.floats(0, 1_500),
        st.sampled_from(["bundle", "hosts"]),
    ),
    min_size=50,
    max_size=120,
)


@settings(max_examples=60)
@given(steps, st.integers(0, 1_000))
def test_whatever_happens_the_fleet_stays_under_the_platform_limit(events, others):
    made = reader("me", others)
    now_ms = 0.0
    reads_ms = []
    for event, pause_ms, key in events:
        now_ms += pause_ms
        if event in ("ask", "heard"):
            turn = made.decide(now_ms, key)
            if turn.action is not ReadAction.WAIT:
                reads_ms.append(now_ms)
        elif event in ("fail", "answer"):
            made.read_finished(now_ms, key, answered=event == "answer")
        elif event == "join":
            made.member_up(now_ms, f"new{now_ms}", "a")
        else:
            for index in range(others):
                made.member_down(now_ms, f"h{index}")
    for first_ms in reads_ms:
        in_second = sum(first_ms <= at_ms < first_ms + 1_000 for at_ms in reads_ms)
        assert in_second * FLEET < PLATFORM_LIMIT_PER_S


def test_each_zone_has_the_readers_of_the_policy_and_all_agree():
    names = [f"h{index}" for index in range(40)]
    readers = {n: reader(n, 40, "ab"[i % 2]) for i, n in enumerate(names)}
    for zone in "ab":
        in_zone = [n for i, n in enumerate(names) if "ab"[i % 2] == zone]
        assert sorted(readers[n].rank for n in in_zone) == list(range(20))
    first = min(names, key=lambda n: readers[n].rank)
    for made in readers.values():
        made.member_down(1.0, first)
    left = [readers[n].rank for n in names if n != first]
    assert sum(rank < POLICY.per_zone for rank in left) == 2 * POLICY.per_zone


def test_a_node_reads_once_at_its_start_and_then_leaves_it_to_the_readers():
    made = reader("me", 40)
    assert made.rank >= POLICY.per_zone
    assert made.answer_age_ms(0.0) is None
    read_at_start(made)
    assert made.answer_age_ms(30_000.0) is not None
    for now_ms in range(20_000, 200_000, 1_000):
        made.peer_reported_answer(now_ms, 9_000.0)
        assert made.decide(now_ms, "bundle").action is ReadAction.WAIT


def test_the_start_of_a_fleet_is_spread_over_the_window():
    firsts = []
    for index in range(200):
        made = reader(f"n{index}")
        times = range(0, int(START_WINDOW_MS) + 100, 100)
        asked = (t for t in times if made.decide(t, "bundle").wait_ms == 0.0)
        firsts.append(next(asked))
    per_tenth = [sum(f // 200 == tenth for f in firsts) for tenth in range(10)]
    assert max(per_tenth) <= 3 * len(firsts) / 10


def test_when_readers_are_quiet_the_next_ranks_step_in_by_stages():
    names = [f"h{index}" for index in range(64)]
    stepped_in = {}
    for index, name in enumerate(names):
        made = reader(name, 64, "ab"[index % 2])
        read_at_start(made)
        known_ms = 20_000.0
        made.peer_reported_answer(known_ms + HOP_DELAY_MS, 0.0)
        for at_ms in range(0, 80_000, 250):
            turn = made.decide(known_ms + at_ms, "bundle")
            if turn.reason == "readers are quiet" and turn.wait_ms == 0.0:
                stepped_in[made.rank] = at_ms
                break
    assert min(stepped_in.values()) >= POLICY.quiet_after_ms
    for rank, at_ms in stepped_in.items():
        # Ranks 2-3 form the first stage, 4-7 the second, 8-15 the third.
        stage = (rank // POLICY.per_zone).bit_length() - 1
        early_ms = POLICY.quiet_after_ms + stage * STAGE_MS
        assert early_ms <= at_ms <= early_ms + STAGE_MS + 500
    assert set(stepped_in) == set(range(POLICY.per_zone, 32))


def test_news_told_in_a_circle_grows_old():
    nodes = [reader(f"n{index}") for index in range(3)]
    nodes[0].peer_reported_answer(0.0, 0.0)
    now_ms = 0.0
    # A relay at every turn, each as slow as a link between availability zones may be.
    while now_ms < 4 * POLICY.quiet_after_ms:
        for teller, hearer in zip(nodes, nodes[1:] + nodes[:1], strict=True):
            age_ms = teller.answer_age_ms(now_ms)
            now_ms += SLOW_LINK_MS
            if age_ms is not None:
                hearer.peer_reported_answer(now_ms, age_ms)
    assert min(node.answer_age_ms(now_ms) for node in nodes) > POLICY.quiet_after_ms


def test_old_news_that_comes_late_changes_nothing():
    made = reader("me")
    made.peer_reported_answer(10_000.0, 0.0)
    age_ms = made.answer_age_ms(12_000.0)
    made.peer_reported_answer(12_000.0, 60_000.0)
    assert made.answer_age_ms(12_000.0) == age_ms == 2_000.0 + HOP_DELAY_MS


def test_failures_back_off():
    made = reader("me")
    waits = []
    now_ms = START_WINDOW_MS
    for _ in range(12):
        while made.decide(now_ms, "bundle").action is ReadAction.WAIT:
            now_ms += 100
        waits.append(now_ms)
        made.read_finished(now_ms, "bundle", answered=False)
    gaps = [b - a for a, b in zip(waits, waits[1:], strict=False)]
    assert min(gaps[-3:]) >= 5_000
    assert max(gaps) <= 11_000
