"""Workspaces that compete for targets, on one clock and without a network."""

from collections import Counter
from itertools import count
from typing import NamedTuple

from jacinthshed.internal.admission import (
    Admission,
    Outcome,
    Refuse,
    ShedLevelTable,
    Start,
    Work,
)
from jacinthshed.internal.admission.work import hash_of_root
from jacinthshed.internal.workspace.fair_share import scaled_hash
from tests.common.admission import fixed_limit_policy
from tests.common.usage_replay import LINK_MS, Nodes

HOLD_MS = 200.0
DEADLINE_MS = 2_000.0
ADVANCE_MS = 10.0
LEVEL_TTL_MS = 1_000.0
RANK = 1
SERVICE = "service"


class Request(NamedTuple):
    """A root request on its way: where it entered, and the target that it got."""

    number: int
    workspace: str
    entry: str
    target: int
    root_hash: int


class Counts(NamedTuple):
    """Requests of one workspace: wanted, within its limit, and served."""

    wanted: int
    admitted: int
    served: int


class Competition(Nodes):
    """Nodes whose workspaces compete for the slots of ``targets`` equal targets.

    ``limits`` has the limit of each workspace; one without an entry has no limit. All
    targets together serve about ``capacity_per_s`` requests. Requests that are refused
    are not sent again.
    """

    def __init__(self, *, nodes, limits, capacity_per_s, targets=3, seed=1):
        super().__init__(nodes, None, seed)
        self.limits = limits
        slots = round(capacity_per_s * HOLD_MS / 1_000 / targets)
        policy = fixed_limit_policy(slots)
        self.targets = [
            Admission(slots=slots, queue=0, policy=policy) for _ in range(targets)
        ]
        self.capacity_per_s = slots * targets * 1_000 / HOLD_MS
        self.tables = {name: ShedLevelTable(ttl_ms=LEVEL_TTL_MS) for name in self.names}
        self.demand = {}
        self.shed_at_entry = 0
        self._counts = Counter()
        self._numbers = count()
        self._in_flight = {}
        for number in range(targets):
            self.later(ADVANCE_MS, self._advance, number)

    def limit_of(self, workspace):
        return self.limits.get(workspace)

    def set_demand(self, **per_s):
        """Let workspaces send ``per_s`` requests a second from now on."""
        for workspace, rate_per_s in per_s.items():
            is_new = not self.demand.get(workspace)
            self.demand[workspace] = rate_per_s
            if is_new and rate_per_s:
                self._later_request(workspace)

    def measure(self, for_s):
        """Go on for ``for_s``; return what each workspace got in that time."""
        self._counts.clear()
        self.shed_at_entry = 0
        end_ms = self.now_ms + for_s * 1_000
        while self._events[0][0] < end_ms:
            self.next_event()
        self.now_ms = end_ms
        return {
            name: Counts(*(self._counts[name, kind] for kind in Counts._fields))
            for name in self.demand
        }

    def _later_request(self, workspace):
        wait_s = self.random.expovariate(self.demand[workspace])
        self.later(wait_s * 1_000, self._arrive, workspace)

    def _arrive(self, workspace):
        if not self.demand[workspace]:
            return
        self._later_request(workspace)
        self._counts[workspace, "wanted"] += 1
        entry = self.random.choice(self.names)
        usage = self.nodes[entry]
        number = next(self._numbers)
        use_permille = usage.use_permille(workspace)
        root_hash = scaled_hash(hash_of_root(f"root-{number}"), use_permille)
        if usage.admit(workspace) is not None:
            return
        self._counts[workspace, "admitted"] += 1
        target = self.random.randrange(len(self.targets))
        request = Request(number, workspace, entry, target, root_hash)
        wait_ms = self.tables[entry].refusal_wait_ms(
            self.now_ms, (SERVICE,), RANK, root_hash, self.random.random()
        )
        if wait_ms is None:
            self.later(LINK_MS, self._offer, request)
        else:
            self.shed_at_entry += 1
            usage.give_back(workspace)

    def _offer(self, request):
        self._in_flight[request.number] = request
        deadline_at_ms = self.now_ms + DEADLINE_MS
        work = Work(request.number, RANK, 0, request.root_hash, deadline_at_ms)
        self._apply(self.targets[request.target].offer(self.now_ms, work, SERVICE))

    def _apply(self, decisions):
        for decision in decisions:
            request = self._in_flight[decision.ticket]
            if isinstance(decision, Start):
                hold_ms = HOLD_MS * self.random.uniform(0.5, 1.5)
                self.later(hold_ms, self._finish, request, hold_ms)
            elif isinstance(decision, Refuse):
                self._reply(request, is_served=False)

    def _finish(self, request, hold_ms):
        self._counts[request.workspace, "served"] += 1
        admission = self.targets[request.target]
        decisions = admission.finish(self.now_ms, request.number, hold_ms, Outcome.OK)
        self._reply(request, is_served=True)
        self._apply(decisions)

    def _reply(self, request, *, is_served):
        del self._in_flight[request.number]
        level = self.targets[request.target].level(self.now_ms)
        self.later(LINK_MS, self._receive, request, level, is_served)

    def _receive(self, request, level, is_served):
        host = f"target-{request.target}"
        self.tables[request.entry].record(self.now_ms, SERVICE, host, level)
        if not is_served:
            self.nodes[request.entry].give_back(request.workspace)

    def _advance(self, number):
        self._apply(self.targets[number].advance(self.now_ms))
        self.later(ADVANCE_MS, self._advance, number)


def fair_shares(demand, rates, capacity_per_s):
    """Return the max-min fair shares of a capacity, weighted by ``rates``."""
    shares = {}
    left_per_s = capacity_per_s
    by_use = sorted(demand, key=lambda name: demand[name] / rates[name])
    for position, name in enumerate(by_use):
        weights = sum(rates[other] for other in by_use[position:])
        shares[name] = min(demand[name], left_per_s * rates[name] / weights)
        left_per_s -= shares[name]
    return shares
