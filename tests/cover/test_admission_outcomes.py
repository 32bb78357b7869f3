"""Every ticket gets one decision, under a changing limit, deadlines and a drain."""

from hypothesis import settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from jacinthshed.internal.admission import Admission, Outcome, Start
from jacinthshed.internal.bundle.model import AdmissionPolicy
from jacinthshed.internal.verdict import Reason
from tests.common.admission import invested_counts, ranks, work

latencies_ms = st.sampled_from([1.0, 10.0, 100.0])
times_ms = st.sampled_from([0.0, 5.0, 50.0, 5_000.0])


class Outcomes(RuleBasedStateMachine):
    """The oracle keeps the sets of waiting and running tickets, and the ranks shed."""

    def __init__(self):
        super().__init__()
        self.now_ms = 0.0
        self.offered = {}
        self.waiting = set()
        self.running = set()
        self.shed_now = []
        self.draining = False

    @initialize(slots=st.integers(1, 3), queue=st.integers(1, 4))
    def build(self, slots, queue):
        policy = AdmissionPolicy(min_limit=1, latency_tolerance=1.5)
        self.admission = Admission(slots=slots, queue=queue, policy=policy)

    def apply(self, decisions):
        for decision in decisions:
            self.waiting.remove(decision.ticket)
            if isinstance(decision, Start):
                self.start(decision.ticket)
            elif decision.reason is Reason.SHED:
                self.shed_now.append(self.offered[decision.ticket].rank)

    def start(self, ticket):
        item = self.offered[ticket]
        self.running.add(ticket)
        assert item.deadline_at_ms > self.now_ms
        assert self.admission.in_flight <= self.admission.limit
        assert not self.draining
        assert not any(rank < item.rank for rank in self.shed_now)

    @rule(elapsed_ms=st.sampled_from([0.5, 30.0, 200.0]))
    def advance(self, elapsed_ms):
        self.now_ms += elapsed_ms
        self.shed_now.clear()

    @rule(items=st.lists(st.tuples(ranks, invested_counts, times_ms), max_size=5))
    def offer(self, items):
        for rank, invested, time_ms in items:
            ticket = len(self.offered)
            item = work(
                ticket,
                rank=rank,
                invested=invested,
                deadline_at_ms=self.now_ms + time_ms,
            )
            self.offered[ticket] = item
            self.waiting.add(ticket)
            route = "fast" if rank < 3 else "slow"
            self.apply(self.admission.offer(self.now_ms, item, route))

    @precondition(lambda self: self.running)
    @rule(
        data=st.data(),
        latency_ms=latencies_ms,
        outcome=st.sampled_from(Outcome),
        nested_share=st.sampled_from([0.0, 0.5, 1.0]),
        count=st.integers(1, 3),
    )
    def finish(self, data, latency_ms, outcome, nested_share, count):
        for _ in range(min(count, len(self.running))):
            ticket = data.draw(st.sampled_from(sorted(self.running)))
            self.running.remove(ticket)
            nested_ms = latency_ms * nested_share
            self.apply(
                self.admission.finish(
                    self.now_ms, ticket, latency_ms, outcome, nested_ms
                )
            )

    @rule()
    def expire(self):
        self.apply(self.admission.expire(self.now_ms))
        next_ms = self.admission.next_advance_ms()
        assert (next_ms is None) == (not self.waiting)
        assert next_ms is None or next_ms > self.now_ms

    @precondition(lambda self: self.waiting)
    @rule(data=st.data())
    def withdraw(self, data):
        ticket = data.draw(st.sampled_from(sorted(self.waiting)))
        self.waiting.remove(ticket)
        assert self.admission.withdraw(self.now_ms, ticket)
        assert not self.admission.withdraw(self.now_ms, ticket)

    @rule(slots=st.integers(1, 3), queue=st.integers(1, 4))
    def resize(self, slots, queue):
        policy = AdmissionPolicy()
        decisions = self.admission.resize(
            self.now_ms, slots=slots, queue=queue, policy=policy
        )
        self.apply(decisions)

    @precondition(lambda self: len(self.offered) > 20)
    @rule()
    def drain(self):
        self.draining = True
        decisions = self.admission.drain(self.now_ms)
        assert {d.reason for d in decisions} <= {Reason.LEAVING}
        self.apply(decisions)
        assert not self.waiting

    @invariant()
    def counts_agree_with_the_oracle(self):
        if hasattr(self, "admission"):
            assert self.admission.waiting == len(self.waiting)
            assert self.admission.in_flight == len(self.running)

    @invariant()
    def nothing_less_important_waits_after_a_refusal_for_load(self):
        waiting_ranks = [self.offered[ticket].rank for ticket in self.waiting]
        if self.shed_now and waiting_ranks:
            assert max(waiting_ranks) <= min(self.shed_now)


Outcomes.TestCase.settings = settings(max_examples=100, stateful_step_count=40)
TestOutcomes = Outcomes.TestCase
