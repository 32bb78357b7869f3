"""Membership views and gossipers of a whole fleet in virtual time.

Frames are encoded and decoded by the code that nodes run, so their sizes and the
processor time are real. Links have the delays within and between zones and regions,
and lose frames at a given rate. Real links lose no single frame, but when a link
breaks, all frames in flight on it are lost.
"""

import heapq
from collections.abc import Callable, Sequence
from random import Random
from time import process_time

import msgspec

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
LENGTH_PREFIX_BYTES = 4
# TCP and IP headers of a packet that carries a single frame, and of its
# acknowledgement.
PACKET_HEADER_BYTES = 104
RESTART_SEEDS = 8
# Links that one node opens for calls: to three services, each with 3 or 4 targets in
# its zone.
SERVICE_LINKS = 10
# Shortest interval between requests for a newer bundle, as in a node.
BUNDLE_REQUEST_INTERVAL_MS = 300.0
DEFAULT_GOSSIP_INTERVAL_MS = MembershipPolicy().gossip_interval_ms


def fleet_record(
    number: int,
    incarnation: int = 1_790_000_000_000,
    zones: Sequence[str] = ZONES,
) -> MemberRecord:
    """Return the record of one host, with fields of realistic length.

    Hosts of one service are spread over the zones; zones that aren't the default ones
    have equal numbers of hosts also in a small fleet.
    """
    place = number // SERVICES if zones is ZONES else number
    return MemberRecord(
        host=f"host-{number:04d}.example",
        incarnation=incarnation,
        state="live",
        revision=0,
        service=f"service-{number % SERVICES:02d}",
        availability_zone=zones[place % len(zones)],
        peer_address=f"10.20.{number // 250}.{number % 250}:7400",
        started_ms=incarnation,
    )


class Member:
    """One node: its view, its gossiper and the bundle in force."""

    def __init__(
        self,
        record: MemberRecord,
        linked: Callable[[], list[str]],
        policy: MembershipPolicy,
    ) -> None:
        self.view = View(self_record=record)
        self.order = NO_BUNDLE
        self.document = b""
        self.requested_ms = float("-inf")
        self.gossiper = Gossiper(
            view=self.view,
            policy=policy,
            random=Random(f"{record.host} {record.incarnation}"),
            bundle_order=lambda: self.order,
            linked=linked,
        )


class Fleet:
    """Members by host, and the frames in flight by time of arrival.

    ``loss`` is the share of frames that are lost. ``cpu_s`` is the processor time of
    all members together; ``sent_bytes`` and ``sent_frames`` count what they have sent,
    ``other_zone_bytes`` and ``other_zone_frames`` the part of it between ``zones``.
    ``neighbours`` is the field of the policy.
    """

    def __init__(
        self,
        size: int,
        *,
        loss: float = 0.0,
        zones: Sequence[str] = ZONES,
        neighbours: str = "any",
    ) -> None:
        self.now_ms = 0.0
        self.loss = loss
        self.cpu_s = 0.0
        self.sent_bytes = 0
        self.sent_frames = 0
        self.other_zone_bytes = 0
        self.other_zone_frames = 0
        self._policy = msgspec.convert({"neighbours": neighbours}, MembershipPolicy)
        self._random = Random(size)
        self._arrivals: list[tuple[float, int, str, str, bytes]] = []
        self._frame_number = 0
        records = [fleet_record(number, zones=zones) for number in range(size)]
        self.zone_of = {record.host: record.availability_zone for record in records}
        self._linked: dict[str, list[str]] = {host: [] for host in self.zone_of}
        for host in self.zone_of:
            for other in self._neighbours(host):
                self._linked[other].append(host)
        self._add_service_links(records, zones)
        self.members = {record.host: self._member(record) for record in records}
        for member in self.members.values():
            member.view.merge(0.0, records)

    def _member(self, record: MemberRecord) -> Member:
        return Member(record, lambda: self._linked[record.host], self._policy)

    def _neighbours(self, host: str) -> tuple[str, ...]:
        def is_in_own_zone(other: str) -> bool:
            return self.zone_of[other] == self.zone_of[host]

        prefers_own_zone = self._policy.neighbours == "own-zone"
        return choose_neighbours(
            host,
            self.zone_of,
            lambda _: True,
            is_in_own_zone=is_in_own_zone if prefers_own_zone else None,
        )

    def _add_service_links(
        self, records: list[MemberRecord], zones: Sequence[str]
    ) -> None:
        """Add links for calls within each zone; few real calls leave their zone."""
        for zone in zones:
            hosts = [r.host for r in records if r.availability_zone == zone]
            for host in hosts:
                count = min(SERVICE_LINKS, len(hosts))
                for other in self._random.sample(hosts, count):
                    self._linked[host].append(other)
                    self._linked[other].append(host)

    def restart(self, host: str) -> Member:
        """Start a new incarnation whose list of hosts has ``RESTART_SEEDS`` entries."""
        old = self.members[host].view.self_record
        record = old._replace(incarnation=old.incarnation + 1, state="live", revision=0)
        member = self.members[host] = self._member(record)
        known = [self.members[h].view.self_record for h in sorted(self.members)]
        seeds = self._random.sample(known, min(RESTART_SEEDS, len(known)))
        member.view.apply_host_list(
            self.now_ms,
            [
                ListedHost(r.host, r.service, r.availability_zone, r.peer_address)
                for r in seeds
            ],
        )
        return member

    def send(self, sender: str, outbox: Sequence[tuple[str, Frame]]) -> None:
        """Encode and count the frames of ``outbox``, and schedule their arrival."""
        payloads: dict[int, bytes] = {}
        for target, frame in outbox:
            # A frame for several peers is encoded only once.
            payload = payloads.get(id(frame))
            if payload is None:
                payload = payloads[id(frame)] = encode(frame)
            self.sent_bytes += len(payload)
            self.sent_frames += 1
            if self.zone_of[sender] != self.zone_of[target]:
                self.other_zone_bytes += len(payload)
                self.other_zone_frames += 1
            if target in self.members and self._random.random() >= self.loss:
                self._frame_number += 1
                at_ms = self.now_ms + self._delay_ms(sender, target)
                item = (at_ms, self._frame_number, sender, target, payload)
                heapq.heappush(self._arrivals, item)

    def step(self) -> None:
        """Run one tick of every member and deliver the frames that arrive in it."""
        started_s = process_time()
        end_ms = self.now_ms + TICK_MS
        for host, member in self.members.items():
            self.send(host, member.gossiper.tick(self.now_ms))
        while self._arrivals and self._arrivals[0][0] < end_ms:
            at_ms, _, sender, target, payload = heapq.heappop(self._arrivals)
            if target in self.members:
                self.now_ms = max(self.now_ms, at_ms)
                self._deliver(sender, target, payload)
        self.now_ms = end_ms
        self.cpu_s += process_time() - started_s

    def run(self, duration_ms: float) -> None:
        """Advance virtual time by ``duration_ms``, rounded up to whole ticks."""
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.step()

    def run_until(self, condition: Callable[[Member], bool], limit_ms: float) -> float:
        """Advance virtual time until every member has met ``condition`` once.

        Return how many milliseconds it took, or infinity after ``limit_ms``.
        """
        start_ms = self.now_ms
        pending = set(self.members)
        while self.now_ms - start_ms < limit_ms:
            self.step()
            pending = {h for h in pending if not condition(self.members[h])}
            if not pending:
                return self.now_ms - start_ms
        return float("inf")

    def _deliver(self, sender: str, target: str, payload: bytes) -> None:
        member = self.members[target]
        frame = decode(payload[LENGTH_PREFIX_BYTES:])
        if isinstance(frame, Gossip):
            self._request_newer_bundle(sender, target, frame)
            self.send(target, member.gossiper.receive(self.now_ms, sender, frame))
        elif isinstance(frame, BundleRequest):
            self.send(target, [(sender, BundleData(member.document))])
        elif isinstance(frame, BundleData):
            other = self.members[sender]
            member.order = max(member.order, other.order)
            member.document = frame.document

    def _request_newer_bundle(self, sender: str, target: str, gossip: Gossip) -> None:
        member = self.members[target]
        order = BundleOrder(gossip.bundle_version, gossip.bundle_digest)
        is_due = self.now_ms - member.requested_ms >= BUNDLE_REQUEST_INTERVAL_MS
        if order > member.order and is_due:
            member.requested_ms = self.now_ms
            self.send(target, [(sender, BundleRequest(*member.order))])

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
