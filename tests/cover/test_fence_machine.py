"""At-most-once execution and true verdicts in a fleet under arbitrary failures.

The oracle is ``Fleet.check``: it compares every verdict that a caller received with
the starts that the backend servers recorded.
"""

from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from ..common.fence_faults import FAULTS
from ..common.fence_fleet import Fleet

INDEX = st.integers(0, 11)
SLEEPS_MS = st.sampled_from([1, 60, 450, 450, 1_100, 1_100, 4_800, 6_200])
STEPS = ["dispatch", "dispatch", "shed", "finish", "fail"]


class FenceMachine(RuleBasedStateMachine):
    """Callers, entry nodes, targets and the network, with one event per rule.

    All calls use the same key until it is past its lifetime, so that they interfere.
    """

    def __init__(self):
        super().__init__()
        self.fleet = Fleet(hosts=["a", "b"], entries=["x", "y"])

    @rule(
        entry=INDEX,
        pick=INDEX,
        first=st.sampled_from(["own", "new", "bare"]),
        bare=st.booleans(),
        is_announced=st.booleans(),
    )
    def call(self, entry, pick, first, bare, is_announced):
        state = self.fleet.newest_key()
        name = self.fleet.nth(self.fleet.entries, entry)
        if state is None or not state.may_resend(self.fleet.now_ms):
            key = f"k{len(self.fleet.keys)}"
            self.fleet.call(key, name, first, pick, announced=is_announced)
            return
        mode = "own" if state.holds_fence and not bare else "bare"
        self.fleet.call(state.key, name, mode, pick)

    @precondition(lambda self: self.fleet.newest_key() is None)
    @rule()
    def race(self):
        for name in self.fleet.entries:
            self.fleet.call("k0", name, "bare")

    @precondition(lambda self: self.fleet.sent)
    @rule(which=INDEX, pick=INDEX, copies=st.sampled_from([1, 1, 1, 0, 2]))
    def deliver_one(self, which, pick, copies):
        sent = self.fleet.nth(self.fleet.sent, which)
        if copies < 2:
            self.fleet.sent.remove(sent)
        if copies > 0:
            self.fleet.deliver(sent, pick)

    @precondition(lambda self: self.fleet.sent)
    @precondition(lambda self: self.fleet.sent)
    @rule(pick=INDEX, newest=st.booleans())
    def deliver_all(self, pick, newest):
        self.fleet.deliver_all(pick, newest=newest)

    @precondition(lambda self: self.fleet.keys)
    @rule(pick=INDEX, step=st.sampled_from(["dispatch", "dispatch", "shed"]))
    def deliver_all_and_work(self, pick, step):
        self.fleet.deliver_all(pick)
        for host in self.fleet.hosts_with("queue"):
            self.fleet.work(host, step)

    @precondition(lambda self: self.fleet.keys)
    @rule(which=INDEX, step=st.sampled_from(STEPS))
    def work(self, which, step):
        attribute = "queue" if step in ("dispatch", "shed") else "running"
        hosts = self.fleet.hosts_with(attribute)
        if hosts:
            self.fleet.work(self.fleet.nth(hosts, which), step)

    @precondition(lambda self: self.fleet.keys)
    @rule(fault=st.sampled_from(FAULTS), which=INDEX, pick=INDEX)
    def fail(self, fault, which, pick):
        fault(self.fleet, which, pick)

    @precondition(lambda self: self.fleet.keys)
    @rule(span_ms=SLEEPS_MS)
    def sleep(self, span_ms):
        self.fleet.now_ms += span_ms

    @invariant()
    def verdicts_are_true(self):
        self.fleet.check()


TestFenceMachine = FenceMachine.TestCase
TestFenceMachine.settings = settings(max_examples=400, stateful_step_count=40)
