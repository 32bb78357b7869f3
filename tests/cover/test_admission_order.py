"""The order in which work is started and shed, compared with a sorted list."""

from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from jacinthshed.internal.admission import Admission, Outcome, Refuse
from jacinthshed.internal.verdict import Reason
from tests.common.admission import (
    fixed_limit_policy,
    invested_counts,
    ranks,
    root_hashes,
    work,
)

SLOTS = 2
QUEUE = 3


class SortedList:
    """Oracle: running tickets, waiting work in order, and ranks shed at this time."""

    def __init__(self):
        self.running = []
        self.waiting = []
        self.shed_now = []

    def offer(self, item):
        if any(rank < item.rank for rank in self.shed_now):
            return [("shed", item.ticket)]
        if len(self.running) < SLOTS:
            self.running.append(item.ticket)
            return [("start", item.ticket)]
        self.waiting.append(item)
        self.waiting.sort(key=lambda w: (w.rank, -w.invested, w.root_hash, w.ticket))
        if len(self.waiting) <= QUEUE:
            return []
        lowest = self.waiting.pop()
        self.shed_now.append(lowest.rank)
        return [("shed", lowest.ticket)]

    def finish(self, ticket):
        self.running.remove(ticket)
        if not self.waiting:
            return []
        self.running.append(self.waiting.pop(0).ticket)
        return [("start", self.running[-1])]


def _plain(decisions):
    plain = []
    for decision in decisions:
        refused = isinstance(decision, Refuse)
        assert not refused or decision.reason is Reason.SHED
        plain.append(("shed" if refused else "start", decision.ticket))
    return plain


class SheddingOrder(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.admission = Admission(
            slots=SLOTS, queue=QUEUE, policy=fixed_limit_policy(SLOTS)
        )
        self.oracle = SortedList()
        self.now_ms = 0.0
        self.tickets = 0

    @rule()
    def advance(self):
        self.now_ms += 1.0
        self.oracle.shed_now.clear()

    @rule(rank=ranks, invested=invested_counts, root_hash=root_hashes)
    def offer(self, rank, invested, root_hash):
        self.tickets += 1
        item = work(self.tickets, rank=rank, invested=invested, root_hash=root_hash)
        decisions = self.admission.offer(self.now_ms, item, "route")
        assert _plain(decisions) == self.oracle.offer(item)

    @precondition(lambda self: self.oracle.running)
    @rule(data=st.data(), outcome=st.sampled_from(Outcome))
    def finish(self, data, outcome):
        ticket = data.draw(st.sampled_from(self.oracle.running))
        decisions = self.admission.finish(self.now_ms, ticket, 1.0, outcome)
        assert _plain(decisions) == self.oracle.finish(ticket)

    @precondition(lambda self: self.oracle.waiting)
    @rule(data=st.data())
    def withdraw(self, data):
        item = data.draw(st.sampled_from(self.oracle.waiting))
        self.oracle.waiting.remove(item)
        assert self.admission.withdraw(self.now_ms, item.ticket)


SheddingOrder.TestCase.settings = settings(max_examples=100, stateful_step_count=40)
TestSheddingOrder = SheddingOrder.TestCase
