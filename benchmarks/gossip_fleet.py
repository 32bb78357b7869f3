"""Views and gossipers of a whole fleet in virtual time, with counted frames.

Frames are really encoded and decoded, so sizes and processor time are those of the
product's code. Links have the delays of zones and regions, and lose frames at a given
rate; a link of the product loses none, but breaks, and takes its frames along.
"""

import heapq
from collections.abc import Callable, Sequence
from random import Random
from time import process_time

from jacinthshed.internal.bundle.model import MembershipPolicy
from jacinthshed.internal.bundle.order import NO_BUNDLE, BundleOrder
from jacinthshed.internal.membership.gossip import Gossiper
from jacinthshed.internal.membership.host_list import ListedHost
from jacinthshed.internal.membership.overlay import choose_neighbours
from jacinthshed.internal.membership.view import View
from jacinthshed.internal.wire.codec import decode, encode
from jacinthshed.internal.wire.frames import (
    BundleData,
    BundleRequest,
    Frame,
    Gossip,
    MemberRecord,
)

TICK_MS = 100.0
SERVICES = 37
ZONES = tuple(f"region-{r}-zone-{z}" for r in "ab" for z in range(4))
DELAY_MS = {"zone": 1.0, "region": 5.0, "far": 40.0}
LENGTH_BYTES = 4
# Headers of TCP and IP for a frame that goes out alone, and for its acknowledgement.
PACKET_BYTES = 104
CONTACTS = 8
# Links that one node opens for calls: three services of the 3 or 4 targets in its zone.
SERVICE_LINKS = 10
# As in the node: how often at most it asks for a bundle above its own.
BUNDLE_ASK_INTERVAL_MS = 300.0


def fleet_record(number: int, incarnation: int = 1_790_000_000_000) -> MemberRecord:
    """Return the record of one host, with fields as long as real ones."""
    return MemberRecord(
        host=f"host-{number:04d}.example",
        incarnation=incarnation,
        state="live",
        revision=0,
        service=f"service-{number % SERVICES:02d}",
        availability_zone=ZONES[number // SERVICES % len(ZONES)],
        peer_address=f"10.20.{number // 250}.{number % 250}:7400",
        started_ms=incarnation,
    )


class Member:
    """One node: its view, its gossiper and the bundle that it has."""

    def __init__(self, record: MemberRecord, linked: Callable[[], list[str]]) -> None:
        self.view = View(self_record=record)
        self.order = NO_BUNDLE
        self.document = b""
        self.asked_ms = float("-inf")
        self.gossiper = Gossiper(
            view=self.view,
            policy=MembershipPolicy(),
            random=Random(f"{record.host} {record.incarnation}"),
            bundle_order=lambda: self.order,
            linked=linked,
        )


class Fleet:
    """Members by host, and frames by their time of arrival."""

    def __init__(self, size: int, *, loss: float = 0.0) -> None:
        self.now_ms = 0.0
        self.loss = loss
        self.cpu_s = 0.0
        self.sent_bytes = 0
        self.sent_frames = 0
        self._random = Random(size)
        self._arrivals: list[tuple[float, int, str, str, bytes]] = []
        self._count = 0
        records = [fleet_record(number) for number in range(size)]
        hosts = [record.host for record in records]
        self._linked: dict[str, list[str]] = {host: [] for host in hosts}
        for host in hosts:
            for other in choose_neighbours(host, hosts, lambda _: True):
                self._linked[other].append(host)
        self._add_service_links(records)
        self.members = {record.host: self._member(record) for record in records}
        for member in self.members.values():
            member.view.merge(0.0, records)

    def _member(self, record: MemberRecord) -> Member:
        return Member(record, lambda: self._linked[record.host])

    def _add_service_links(self, records: list[MemberRecord]) -> None:
        """Add the links over which calls go; nearly all stay in their zone."""
        for zone in ZONES:
            hosts = [r.host for r in records if r.availability_zone == zone]
            for host in hosts:
                count = min(SERVICE_LINKS, len(hosts))
                for other in self._random.sample(hosts, count):
                    self._linked[host].append(other)
                    self._linked[other].append(host)

    def restart(self, host: str) -> Member:
        """Start a new incarnation that knows a few listed hosts."""
        old = self.members[host].view.self_record
        record = old._replace(incarnation=old.incarnation + 1, state="live", revision=0)
        member = self.members[host] = self._member(record)
        known = [self.members[h].view.self_record for h in sorted(self.members)]
        seeds = self._random.sample(known, min(CONTACTS, len(known)))
        member.view.apply_host_list(
            self.now_ms,
            [
                ListedHost(r.host, r.service, r.availability_zone, r.peer_address)
                for r in seeds
            ],
        )
        return member

    def post(self, sender: str, outbox: Sequence[tuple[str, Frame]]) -> None:
        """Encode frames, count them, and put them under way."""
        payloads: dict[int, bytes] = {}
        for target, frame in outbox:
            # The same frame for several peers is encoded once.
            payload = payloads.get(id(frame))
            if payload is None:
                payload = payloads[id(frame)] = encode(frame)
            self.sent_bytes += len(payload)
            self.sent_frames += 1
            if target in self.members and self._random.random() >= self.loss:
                self._count += 1
                at_ms = self.now_ms + self._delay_ms(sender, target)
                item = (at_ms, self._count, sender, target, payload)
                heapq.heappush(self._arrivals, item)

    def step(self) -> None:
        """Let one tick pass at every member, and deliver what arrives meanwhile."""
        started_s = process_time()
        end_ms = self.now_ms + TICK_MS
        for host, member in self.members.items():
            self.post(host, member.gossiper.tick(self.now_ms))
        while self._arrivals and self._arrivals[0][0] < end_ms:
            at_ms, _, sender, target, payload = heapq.heappop(self._arrivals)
            if target in self.members:
                self.now_ms = max(self.now_ms, at_ms)
                self._arrive(sender, target, payload)
        self.now_ms = end_ms
        self.cpu_s += process_time() - started_s

    def run(self, span_ms: float) -> None:
        """Let time pass."""
        end_ms = self.now_ms + span_ms
        while self.now_ms < end_ms:
            self.step()

    def run_until(self, condition: Callable[[Member], bool], limit_ms: float) -> float:
        """Let time pass until all members fulfil ``condition``.

        Return the milliseconds that it took, or infinity beyond ``limit_ms``.
        """
        start_ms = self.now_ms
        pending = set(self.members)
        while self.now_ms - start_ms < limit_ms:
            self.step()
            pending = {h for h in pending if not condition(self.members[h])}
            if not pending:
                return self.now_ms - start_ms
        return float("inf")

    def _arrive(self, sender: str, target: str, payload: bytes) -> None:
        member = self.members[target]
        frame = decode(payload[LENGTH_BYTES:])
        if isinstance(frame, Gossip):
            self._ask_for_bundle(sender, target, frame)
            self.post(target, member.gossiper.receive(self.now_ms, sender, frame))
        elif isinstance(frame, BundleRequest):
            self.post(target, [(sender, BundleData(member.document))])
        elif isinstance(frame, BundleData):
            other = self.members[sender]
            member.order = max(member.order, other.order)
            member.document = frame.document

    def _ask_for_bundle(self, sender: str, target: str, gossip: Gossip) -> None:
        member = self.members[target]
        order = BundleOrder(gossip.bundle_version, gossip.bundle_digest)
        is_due = self.now_ms - member.asked_ms >= BUNDLE_ASK_INTERVAL_MS
        if order > member.order and is_due:
            member.asked_ms = self.now_ms
            self.post(target, [(sender, BundleRequest(*member.order))])

    def _delay_ms(self, sender: str, target: str) -> float:
        zones = [
            self.members[host].view.self_record.availability_zone
            for host in (sender, target)
        ]
        if zones[0] == zones[1]:
            kind = "zone"
        else:
            kind = "region" if zones[0][:8] == zones[1][:8] else "far"
        return DELAY_MS[kind] * (1 + 0.5 * self._random.random())
