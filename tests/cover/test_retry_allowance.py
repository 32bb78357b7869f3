"""The allowance is conserved over a tree of nodes whose messages misbehave."""

import random
from typing import NamedTuple

from hypothesis import given, settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from jacinthshed.internal.retry import AllowanceLedger

NODES = 3

positions = st.integers(0, 11)


class Submit(NamedTuple):
    node: int
    attempt_id: str
    allowance: int


class Answer(NamedTuple):
    node: int
    request_id: str
    attempt_id: str
    unused: int


class Call(NamedTuple):
    """A nested call that a running request waits for."""

    node: int
    request_id: str


class AllowanceTree(RuleBasedStateMachine):
    """Oracle: one counter of further attempts, and the sum of the roots' allowances."""

    def __init__(self):
        super().__init__()
        self.ledgers = [AllowanceLedger() for _ in range(NODES)]
        self.bag = []
        self.parents = {}
        self.calls = []
        self.attempts = 0
        self.further_attempts = 0
        self.granted = 0

    def send_attempt(self, call):
        """Make one attempt of a call, to any node."""
        self.attempts += 1
        attempt_id = f"a{self.attempts}"
        part = self.ledgers[call.node].split(
            call.request_id, attempt_id, calls_others=True
        )
        self.bag.append(Submit(self.attempts % NODES, attempt_id, part))
        self.parents[attempt_id] = (call.node, call.request_id)

    @precondition(lambda self: self.granted < 6)
    @rule(allowance=st.integers(1, 4), node=st.integers(0, NODES - 1))
    def root(self, allowance, node):
        self.attempts += 1
        root_id = f"r{self.attempts}"
        self.granted += allowance
        self.ledgers[node].open(root_id, allowance)
        self.calls.append(Call(node, root_id))
        self.send_attempt(self.calls[-1])

    @precondition(lambda self: self.opened())
    @rule(data=st.data())
    def nested_call(self, data):
        """A running request calls deeper; calls of one request may be parallel."""
        node, request_id = data.draw(st.sampled_from(self.opened()))
        self.calls.append(Call(node, request_id))
        self.send_attempt(self.calls[-1])

    def opened(self):
        return sorted(
            (node, request_id)
            for node, ledger in enumerate(self.ledgers)
            for request_id in ledger._accounts
        )

    @precondition(lambda self: self.calls)
    @rule(data=st.data())
    def retry(self, data):
        call = data.draw(st.sampled_from(self.calls))
        if self.ledgers[call.node].spend(call.request_id):
            self.further_attempts += 1
            self.send_attempt(call)

    @precondition(lambda self: self.bag)
    @rule(picks=st.lists(st.tuples(positions, st.integers(0, 2), st.booleans())))
    def network(self, picks):
        """Deliver, lose (0 copies) or duplicate messages in any order."""
        for position, copies, keep in picks:
            if self.bag:
                index = position % len(self.bag)
                message = self.bag[index] if keep else self.bag.pop(index)
                for _ in range(copies):
                    self.deliver(message)

    def deliver(self, message):
        ledger = self.ledgers[message.node]
        if isinstance(message, Submit):
            ledger.open(message.attempt_id, message.allowance)
        else:
            ledger.give_back(message.request_id, message.attempt_id, message.unused)

    @rule(picks=st.lists(positions, min_size=1, max_size=3))
    def answer(self, picks):
        """End running nested requests, whether or not their own calls are done."""
        for position in picks:
            nested = [opened for opened in self.opened() if opened[1] in self.parents]
            if nested:
                node, request_id = nested[position % len(nested)]
                unused = self.ledgers[node].close(request_id)
                parent_node, parent_id = self.parents[request_id]
                self.bag.append(Answer(parent_node, parent_id, request_id, unused))

    @invariant()
    def further_attempts_stay_within_the_allowance(self):
        assert self.further_attempts <= self.granted

    @invariant()
    def nothing_is_owned_twice(self):
        accounts = [a for ledger in self.ledgers for a in ledger._accounts.values()]
        owned = sum(account.owned for account in accounts)
        assert owned + self.further_attempts <= self.granted


AllowanceTree.TestCase.settings = settings(max_examples=200, stateful_step_count=30)
TestAllowanceTree = AllowanceTree.TestCase


class FailingChain:
    """Layers that each call the next one; no call at the deepest layer succeeds."""

    def __init__(self, depth, lost_share, random_source):
        self.ledgers = [AllowanceLedger() for _ in range(depth)]
        self.lost_share = lost_share
        self.random = random_source
        self.deepest_calls = 0
        self.attempts = 0

    def run(self, layer, request_id, allowance):
        """Run a request at one layer and return what it gives back."""
        if layer == len(self.ledgers):
            self.deepest_calls += 1
            return allowance
        ledger = self.ledgers[layer]
        ledger.open(request_id, allowance)
        self._attempt(layer, request_id)
        while ledger.spend(request_id):
            self._attempt(layer, request_id)
        return ledger.close(request_id)

    def _attempt(self, layer, request_id):
        self.attempts += 1
        attempt_id = f"{request_id}/{self.attempts}"
        deepest = layer == len(self.ledgers) - 1
        part = self.ledgers[layer].split(
            request_id, attempt_id, calls_others=not deepest
        )
        unused = self.run(layer + 1, attempt_id, part)
        if self.random.random() >= self.lost_share:
            self.ledgers[layer].give_back(request_id, attempt_id, unused)


@settings(max_examples=60)
@given(
    depth=st.integers(1, 23),
    allowance=st.integers(0, 8),
    roots=st.integers(1, 4),
    lost_share=st.sampled_from([0.0, 0.3, 1.0]),
    seed=st.integers(0, 2**16),
)
def test_total_failure_multiplies_nothing(depth, allowance, roots, lost_share, seed):
    chain = FailingChain(depth, lost_share, random.Random(seed))
    for root in range(roots):
        chain.run(0, f"root{root}", allowance)
    assert chain.deepest_calls <= roots * (1 + allowance)


def test_whole_allowance_is_usable_at_the_deepest_of_23_layers():
    chain = FailingChain(23, 0.0, random.Random(0))
    chain.run(0, "root", 5)
    assert chain.deepest_calls == 6


def test_closed_ids_are_forgotten_in_order():
    ledger = AllowanceLedger(max_closed=2)
    for request_id in "abc":
        ledger.open(request_id, 1)
        ledger.close(request_id)
    assert not ledger.open("c", 1)
    assert not ledger.open("b", 1)
    assert ledger.open("a", 1)
