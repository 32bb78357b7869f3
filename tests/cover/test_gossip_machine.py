"""Membership views under loss, reordering, restarts, pauses and partitions."""

from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from jacinthshed.internal.bundle.model import MembershipPolicy
from jacinthshed.internal.wire.frames import Leaving

from ..common.members import Fleet, fleet_records, listed

HOSTS = 5
SETTLE_MS = 40_000
hosts = st.integers(0, HOSTS - 1).map("host-{}".format)
places = st.integers(0, 1_000)


class GossipMachine(RuleBasedStateMachine):
    """Gossiping nodes, with one event per rule.

    The oracle is a dictionary: for each node and host, the highest incarnation whose
    departure was announced to the node.
    """

    policy = MembershipPolicy()

    def __init__(self):
        super().__init__()
        self.fleet = Fleet(fleet_records(HOSTS), policy=self.policy)
        self.known_departures = {host: {} for host in self.fleet.nodes}
        self.stale_lists = [self.fleet.listed]
        self.incarnation = 1

    def record_departure(self, node, host, incarnation):
        known = self.known_departures[node].get(host, 0)
        self.known_departures[node][host] = max(known, incarnation)

    def deliver(self, transfer):
        sender, target, frame = transfer
        if self.fleet.may_pass(sender, target):
            if isinstance(frame, Leaving):
                self.record_departure(target, frame.host, frame.incarnation)
            else:
                for record in frame.records:
                    if record.state != "live":
                        self.record_departure(target, record.host, record.incarnation)
        self.fleet.deliver(transfer)

    @rule(ms=st.sampled_from([100.0, 1_000.0]))
    def tick(self, ms):
        self.fleet.tick(ms)

    @precondition(lambda self: self.fleet.in_transit)
    @rule(place=places, copies=st.integers(0, 2))
    def deliver_in_any_order(self, place, copies):
        in_transit = self.fleet.in_transit
        transfer = in_transit.pop(place % len(in_transit))
        for _ in range(copies):
            self.deliver(transfer)

    @rule(count=st.integers(1, 20))
    def deliver_many(self, count):
        for _ in range(min(count, len(self.fleet.in_transit))):
            self.deliver(self.fleet.in_transit.pop(0))

    @rule(host=hosts, notifies_links=st.booleans())
    def leave(self, host, notifies_links):
        node = self.fleet.nodes[host]
        record = node.view.leave(self.fleet.now_ms)
        self.record_departure(host, host, record.incarnation)
        self.fleet.post(host, node.gossiper.announce(self.fleet.now_ms, [record]))
        if notifies_links:
            notice = Leaving(host, record.incarnation)
            others = self.fleet.nodes.keys() - {host}
            self.fleet.post(host, [(other, notice) for other in sorted(others)])

    @rule(host=hosts)
    def restart(self, host):
        self.incarnation += 1
        record = self.fleet.nodes[host].view.self_record
        self.known_departures[host] = {}
        self.fleet.start(
            record._replace(incarnation=self.incarnation, state="live", revision=0)
        )

    @rule(host=hosts)
    def restart_with_a_clock_set_back(self, host):
        record = self.fleet.nodes[host].view.self_record
        self.known_departures[host] = {}
        self.fleet.start(record._replace(incarnation=1, state="live", revision=0))

    @rule(finder=hosts, host=hosts)
    def declare_live_host_gone(self, finder, host):
        node = self.fleet.nodes[finder]
        changed = node.view.declare_gone(self.fleet.now_ms, host)
        for record in changed:
            self.record_departure(finder, host, record.incarnation)
        self.fleet.post(finder, node.gossiper.announce(self.fleet.now_ms, changed))

    @rule(host=hosts)
    def pause(self, host):
        self.fleet.paused.add(host)

    @rule(host=hosts)
    def resume(self, host):
        if host in self.fleet.paused:
            self.fleet.paused.remove(host)
            gossiper = self.fleet.nodes[host].gossiper
            self.fleet.post(host, gossiper.request_full_views(self.fleet.now_ms))

    @rule(side=st.sets(hosts))
    def partition(self, side):
        self.fleet.partitioned = side

    @rule(missing=st.sets(hosts), leaving=st.sets(hosts))
    def publish_list(self, missing, leaving):
        records = [node.view.self_record for node in self.fleet.nodes.values()]
        entries = [listed(r, r.host in leaving) for r in records]
        self.stale_lists.append([e for e in entries if e.host not in missing])

    @rule(host=hosts, place=places)
    def read_stale_list(self, host, place):
        stale = self.stale_lists[place % len(self.stale_lists)]
        self.fleet.nodes[host].view.apply_host_list(self.fleet.now_ms, stale)

    @invariant()
    def departed_hosts_are_not_routable(self):
        for host, node in self.fleet.nodes.items():
            for other, incarnation in self.known_departures[host].items():
                record = node.view.get(other)
                if node.view.is_routable(other):
                    assert record.incarnation > incarnation, (host, record)

    @invariant()
    def members_are_routable(self):
        for node in self.fleet.nodes.values():
            members = node.view.members("ledger")
            routable = [h for h in self.fleet.nodes if node.view.is_routable(h)]
            assert all(node.view.is_routable(r.host) for r in members)
            assert bool(members) == bool(routable)

    def teardown(self):
        """Check that all views are equal and true after all faults have ended."""
        self.fleet.paused.clear()
        self.fleet.partitioned = set()
        for node in self.fleet.nodes.values():
            node.view.apply_host_list(self.fleet.now_ms, self.stale_lists[0])
        self.fleet.run(SETTLE_MS)
        states = {h: n.view.self_record.state for h, n in self.fleet.nodes.items()}
        for host, node in self.fleet.nodes.items():
            for other, state in states.items():
                is_live = state == "live"
                assert node.view.is_routable(other) == is_live, (host, other, state)
        assert len(self.fleet.digests()) == 1


class OwnZoneGossipMachine(GossipMachine):
    """The same with neighbours in the own zone, in zones of one and two nodes.

    Guards against changes that never reach another zone.
    """

    policy = MembershipPolicy(neighbours="own-zone")


TestGossipMachine = GossipMachine.TestCase
TestGossipMachine.settings = settings(max_examples=100, stateful_step_count=50)
TestOwnZoneGossipMachine = OwnZoneGossipMachine.TestCase
TestOwnZoneGossipMachine.settings = TestGossipMachine.settings
