"""The retry allowance of a call tree is never exceeded or duplicated.

Lost, delayed or duplicated messages must not add allowance, or retries would multiply
with each layer while a service fails.
"""

import random
from typing import NamedTuple

from hypothesis import given, settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from jacinthshed.internal.retry import AllowanceLedger

NODES = 3

positions = st.integers(0, 11)


class Submit(NamedTuple):
    """A message that carries an attempt and its part of the allowance."""

    node: int
    attempt_id: str
    allowance: int


class Answer(NamedTuple):
    """A message that returns the unused allowance of an attempt."""

    node: int
    request_id: str
    attempt_id: str
    unused: int


class Call(NamedTuple):
    """A call that a running request waits for."""

    node: int
    request_id: str


class AllowanceTree(RuleBasedStateMachine):
    """Compares the number of retries with the sum of the roots' allowances."""

    def __init__(self):
        super().__init__()
        self.ledgers = [AllowanceLedger() for _ in range(NODES)]
        self.messages = []
        self.parents = {}
        self.calls = []
        self.attempts = 0
        self.retries = 0
        self.granted_allowance = 0

    def send_attempt(self, call):
        """Send one attempt of a call to some node."""
        self.attempts += 1
        attempt_id = f"a{self.attempts}"
        part = self.ledgers[call.node].split(
            call.request_id, attempt_id, calls_others=True
        )
        self.messages.append(Submit(self.attempts % NODES, attempt_id, part))
        self.parents[attempt_id] = (call.node, call.request_id)

    @precondition(lambda self: self.granted_allowance < 6)
    @rule(allowance=st.integers(1, 4), node=st.integers(0, NODES - 1))
    def start_root(self, allowance, node):
        self.attempts += 1
        root_id = f"r{self.attempts}"
        self.granted_allowance += allowance
        self.ledgers[node].open(root_id, allowance)
        self.calls.append(Call(node, root_id))
        self.send_attempt(self.calls[-1])

    @precondition(lambda self: self.open_requests())
    @rule(data=st.data())
    def nested_call(self, data):
        """A running request makes a nested call, possibly in parallel to others."""
        node, request_id = data.draw(st.sampled_from(self.open_requests()))
        self.calls.append(Call(node, request_id))
        self.send_attempt(self.calls[-1])

    def open_requests(self):
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
            self.retries += 1
            self.send_attempt(call)

    @precondition(lambda self: self.messages)
    @rule(picks=st.lists(st.tuples(positions, st.integers(0, 2), st.booleans())))
    def deliver_messages(self, picks):
        """Deliver, drop (0 copies) or duplicate messages in any order."""
        for position, copies, keep in picks:
            if self.messages:
                index = position % len(self.messages)
                message = self.messages[index] if keep else self.messages.pop(index)
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
        """End running nested requests, even if their own calls are outstanding."""
        for position in picks:
            nested = [item for item in self.open_requests() if item[1] in self.parents]
            if nested:
                node, request_id = nested[position % len(nested)]
                unused = self.ledgers[node].close(request_id)
                parent_node, parent_id = self.parents[request_id]
                self.messages.append(Answer(parent_node, parent_id, request_id, unused))

    @invariant()
    def retries_stay_within_the_allowance(self):
        assert self.retries <= self.granted_allowance

    @invariant()
    def allowance_is_not_duplicated(self):
        accounts = [a for ledger in self.ledgers for a in ledger._accounts.values()]
        owned = sum(account.owned for account in accounts)
        assert owned + self.retries <= self.granted_allowance


AllowanceTree.TestCase.settings = settings(max_examples=200, stateful_step_count=30)
TestAllowanceTree = AllowanceTree.TestCase


class FailingChain:
    """Layers that each call the next one, where every call at the deepest fails.

    ``lost_share`` is the fraction of answers that are lost.
    """

    def __init__(self, depth, lost_share, random_source):
        self.ledgers = [AllowanceLedger() for _ in range(depth)]
        self.lost_share = lost_share
        self.random = random_source
        self.deepest_calls = 0
        self.attempts = 0

    def run(self, layer, request_id, allowance):
        """Run a request at one layer and return its unused allowance."""
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
def test_retries_do_not_multiply_when_every_call_fails(
    depth, allowance, roots, lost_share, seed
):
    chain = FailingChain(depth, lost_share, random.Random(seed))
    for root in range(roots):
        chain.run(0, f"root{root}", allowance)
    assert chain.deepest_calls <= roots * (1 + allowance)


def test_whole_allowance_is_usable_at_the_deepest_of_23_layers():
    chain = FailingChain(23, 0.0, random.Random(0))
    chain.run(0, "root", 5)
    assert chain.deepest_calls == 6


def test_oldest_closed_ids_are_evicted_first():
    ledger = AllowanceLedger(max_closed=2)
    for request_id in "abc":
        ledger.open(request_id, 1)
        ledger.close(request_id)
    assert not ledger.open("c", 1)
    assert not ledger.open("b", 1)
    assert ledger.open("a", 1)
