"""Builders of member records, and a model fleet of gossiping nodes."""

from random import Random

from jacinthshed.internal.bundle.model import MembershipPolicy
from jacinthshed.internal.bundle.order import NO_BUNDLE
from jacinthshed.internal.membership.gossip import Gossiper
from jacinthshed.internal.membership.host_list import ListedHost
from jacinthshed.internal.membership.view import View
from jacinthshed.internal.wire.frames import Gossip, Leaving, MemberRecord

SERVICE = "ledger"
ZONES = ("colombo-a", "colombo-b", "gampaha")
TICK_MS = 100.0
POLICY = MembershipPolicy()


def member(host, incarnation=1, state="live", revision=0, **changes):
    """Return a member record of ``host``."""
    record = MemberRecord(
        host, incarnation, state, revision, SERVICE, ZONES[0], "10.0.0.1:7400", 0
    )
    return record._replace(**changes)


def fleet_records(count, services=(SERVICE,), zones=ZONES):
    """Return records of ``count`` hosts spread over services and zones."""
    return [
        member(
            f"host-{number}",
            service=services[number % len(services)],
            availability_zone=zones[number // len(services) % len(zones)],
            peer_address=f"10.0.{number // 250}.{number % 250}:7400",
        )
        for number in range(count)
    ]


def listed(record, leaving=False):
    """Return the entry for ``record`` in the platform's list."""
    return ListedHost(
        record.host,
        record.service,
        record.availability_zone,
        record.peer_address,
        leaving,
    )


class Node:
    """A node's view and gossiper; ``order`` is the order of its bundle."""

    def __init__(self, record, seed, order=NO_BUNDLE, linked=tuple, policy=POLICY):
        self.view = View(self_record=record)
        self.order = order
        self.gossiper = Gossiper(
            view=self.view,
            policy=policy,
            random=Random(f"{seed} {record.host} {record.incarnation}"),
            bundle_order=lambda: self.order,
            linked=linked,
        )

    def handle(self, now_ms, sender, frame):
        """Process one frame and return the frames to send."""
        if isinstance(frame, Leaving):
            changed = self.view.apply_leaving(now_ms, frame)
            return self.gossiper.announce(now_ms, changed)
        assert isinstance(frame, Gossip)
        order = type(self.order)(frame.bundle_version, frame.bundle_digest)
        self.order = max(self.order, order)
        outbox = self.gossiper.receive(now_ms, sender, frame)
        if self.view.outranked_by and self.view.self_record.state == "live":
            incarnation = self.view.outranked_by.incarnation + 1
            renewed = self.view.renew(now_ms, incarnation)
            outbox += self.gossiper.announce(now_ms, [renewed])
        return outbox


class Fleet:
    """Nodes by host, and the frames in transit between them."""

    def __init__(self, records, seed=0, policy=POLICY):
        self.now_ms = 0.0
        self.policy = policy
        self.seed = seed
        self.random = Random(seed)
        self.listed = [listed(record) for record in records]
        self.nodes = {}
        self.paused = set()
        self.partitioned = set()
        self.in_transit = []
        for record in records:
            self.start(record)

    def start(self, record):
        """Start a node that has only the platform's list."""
        node = Node(record, self.seed, policy=self.policy)
        self.nodes[record.host] = node
        node.view.apply_host_list(self.now_ms, self.listed)

    def post(self, sender, outbox):
        """Put frames in transit."""
        self.in_transit += [(sender, target, frame) for target, frame in outbox]

    def tick(self, ms=TICK_MS):
        """Advance time and tick every node that is not paused."""
        self.now_ms += ms
        for host, node in self.nodes.items():
            if host not in self.paused:
                self.post(host, node.gossiper.tick(self.now_ms))

    def may_pass(self, sender, target):
        """Return whether a frame can be delivered now."""
        is_separated = (sender in self.partitioned) != (target in self.partitioned)
        return target in self.nodes and target not in self.paused and not is_separated

    def deliver(self, transfer):
        """Deliver one frame, or drop it if it can't be delivered."""
        sender, target, frame = transfer
        if self.may_pass(sender, target):
            outbox = self.nodes[target].handle(self.now_ms, sender, frame)
            self.post(target, outbox)

    def run(self, ms, loss=0.0):
        """Advance time, delivering every frame within a tick; drop a share ``loss``."""
        end_ms = self.now_ms + ms
        while self.now_ms < end_ms:
            self.tick()
            while self.in_transit:
                transfer = self.in_transit.pop(0)
                if self.random.random() >= loss:
                    self.deliver(transfer)

    def digests(self):
        """Return the distinct digests of all views."""
        return {node.view.digest for node in self.nodes.values()}
