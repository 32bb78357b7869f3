"""Shed levels: what they refuse, how they expire, and how a target admits again."""

from hypothesis import given, settings, strategies as st

from jacinthshed.internal.admission import (
    NOTHING_SHED,
    ROOT_HASH_SPAN,
    Admission,
    Outcome,
    Refuse,
    ShedLevel,
    ShedLevelTable,
    Start,
)
from jacinthshed.internal.admission.shed_level_controller import (
    QueueState,
    ShedLevelController,
)
from jacinthshed.internal.admission.shed_level_table import FRESH_MS, PROBE_FRACTION
from jacinthshed.internal.admission.work import sort_key
from tests.common.admission import fixed_limit_policy, work

TTL_MS = 1_000.0
NO_PROBE = 1.0

levels = st.builds(ShedLevel, st.integers(1, 5), st.integers(0, ROOT_HASH_SPAN - 1))
all_ranks = st.integers(1, 6)
hashes = st.integers(0, ROOT_HASH_SPAN - 1)


def _refuses(table, now_ms, rank, root_hash, fraction=NO_PROBE):
    wait_ms = table.refusal_wait_ms(now_ms, ("service",), rank, root_hash, fraction)
    return wait_ms is not None


@settings(max_examples=200)
@given(received=st.lists(levels, max_size=4), rank=all_ranks, root_hash=hashes)
def test_refuses_only_what_all_fresh_targets_shed(received, rank, root_hash):
    table = ShedLevelTable(ttl_ms=TTL_MS)
    for host, level in enumerate(received):
        table.record(0.0, "service", f"host{host}", level)
    expected = bool(received) and all((rank, root_hash) >= level for level in received)
    assert _refuses(table, FRESH_MS, rank, root_hash) == expected
    assert not _refuses(table, FRESH_MS, rank, root_hash, PROBE_FRACTION / 2)


@settings(max_examples=200)
@given(
    received=st.lists(levels, min_size=1, max_size=4),
    rank=all_ranks,
    root_hash=hashes,
    ages=st.lists(st.floats(FRESH_MS * 1.01, 2 * TTL_MS), min_size=2, max_size=2),
)
def test_old_levels_admit_a_growing_share_of_roots(received, rank, root_hash, ages):
    table = ShedLevelTable(ttl_ms=TTL_MS)
    for host, level in enumerate(received):
        table.record(0.0, "service", f"host{host}", level)
    younger_ms, older_ms = sorted(ages)
    refused_younger = _refuses(table, younger_ms, rank, root_hash)
    assert not (refused_younger and rank == 1)
    assert refused_younger or not _refuses(table, older_ms, rank, root_hash)
    assert not _refuses(table, TTL_MS + 0.1, rank, root_hash)


def test_a_level_half_way_to_expiry_admits_half_of_the_roots():
    table = ShedLevelTable(ttl_ms=TTL_MS)
    table.record(0.0, "service", "host", ShedLevel(2, 0))
    middle_ms = (FRESH_MS + TTL_MS) / 2
    assert not _refuses(table, middle_ms, 3, int(0.49 * ROOT_HASH_SPAN))
    assert _refuses(table, middle_ms, 3, int(0.51 * ROOT_HASH_SPAN))


def test_an_old_loose_level_does_not_override_a_fresh_one():
    table = ShedLevelTable(ttl_ms=TTL_MS)
    table.record(0.0, "service", "a", NOTHING_SHED)
    table.record(2 * FRESH_MS, "service", "b", ShedLevel(2, 0))
    assert _refuses(table, 2 * FRESH_MS, 3, 0)


class Target:
    """An admission under steady work that holds a slot for ``hold_ms`` each."""

    def __init__(self, slots, hold_ms):
        policy = fixed_limit_policy(slots)
        self.admission = Admission(slots=slots, queue=slots, policy=policy)
        self.hold_ms = hold_ms
        self.now_ms = 0.0
        self.tickets = 0
        self.ends = []

    def _apply(self, decisions):
        for decision in decisions:
            if isinstance(decision, Start):
                self.ends.append((self.now_ms + self.hold_ms, decision.ticket))

    def run(self, until_ms, works_per_ms):
        """Offer work below the level, with ranks 1 to 3 in turn; return the levels."""
        seen = []
        while self.now_ms < until_ms:
            self.now_ms += 1.0
            while self.ends and self.ends[0][0] <= self.now_ms:
                ticket = self.ends.pop(0)[1]
                self._apply(
                    self.admission.finish(self.now_ms, ticket, self.hold_ms, Outcome.OK)
                )
            for _ in range(works_per_ms):
                self._offer()
            seen.append(self.admission.level(self.now_ms))
        return seen

    def _offer(self):
        self.tickets += 1
        rank = 1 + self.tickets % 3
        root_hash = self.tickets * 2_654_435_761 % ROOT_HASH_SPAN
        if not self.admission.level(self.now_ms).sheds(rank, root_hash):
            item = work(self.tickets, rank=rank, root_hash=root_hash)
            self._apply(self.admission.offer(self.now_ms, item, "route"))


def test_level_settles_where_the_demand_below_it_fills_the_slots():
    target = Target(slots=20, hold_ms=20.0)
    settled = target.run(3_000.0, works_per_ms=3)[1_000:]
    # A third of the demand can be served: all of rank 1 and hardly anything else.
    assert min(settled).rank >= 1
    near_rank_1 = [
        ShedLevel(1, ROOT_HASH_SPAN // 2) <= s < (2, 3 << 30) for s in settled
    ]
    assert sum(near_rank_1) >= 0.95 * len(near_rank_1)


def test_nothing_is_shed_one_second_after_the_demand_has_ended():
    target = Target(slots=20, hold_ms=20.0)
    assert target.run(2_000.0, works_per_ms=6)[-1] != NOTHING_SHED
    assert target.run(3_000.0, works_per_ms=0)[-1] == NOTHING_SHED


def test_work_that_would_be_queued_first_is_not_shed():
    admission = Admission(slots=2, queue=4, policy=fixed_limit_policy(2))
    for now_ms in range(1_000):
        # No work ends. Two attempts of rank 1 arrive among many of rank 2.
        rank = 1 if now_ms in (100, 400) else 2
        admission.offer(float(now_ms), work(now_ms, rank=rank), "route")
        assert not admission.level(float(now_ms)).sheds(1, ROOT_HASH_SPAN - 1)
    assert admission.level(1_000.0).sheds(3, 0)


@settings(max_examples=100)
@given(
    arrivals=st.lists(st.tuples(st.integers(1, 3), hashes), min_size=1, max_size=20),
    free=st.integers(-10, 3),
    last_rank=st.integers(1, 3),
)
def test_the_level_never_sheds_work_that_sorts_before_the_last_entry(
    arrivals, free, last_rank
):
    """This holds also when no call ended, or the limit was lowered, in the window."""
    controller = ShedLevelController()
    queue = QueueState(free=free, middle=None, last=sort_key(work(0, rank=last_rank)))
    controller.update(0.0, queue)
    for rank, root_hash in arrivals:
        controller.record_arrival(1.0, rank, root_hash)
    controller.record_shed()
    controller.update(1_000.0, queue)
    assert controller.level >= ShedLevel(last_rank, 0)


def test_a_leaving_target_sheds_all():
    target = Target(slots=1, hold_ms=20.0)
    target.admission.drain(0.0)
    assert target.admission.level(0.0).sheds(1, 0)
    assert isinstance(target.admission.offer(0.0, work(1), "route")[0], Refuse)
