"""Gossip of member records, bundle orders and suspects between nodes."""

from collections.abc import Callable, Iterable, Sequence
from random import Random
from typing import Protocol

from ..bundle.model import MembershipPolicy
from ..bundle.order import BundleOrder
from ..wire.frames import Gossip, MemberRecord
from .peers import PeerSelector
from .reconciliation import Reconciliation, is_full_view, missing_from, newer_than
from .rumors import MAX_FRAME_RECORDS, RUMOR_FANOUT, Rumors
from .view import View

Suspects = tuple[tuple[int, str, str, int], ...]
Outbox = list[tuple[str, Gossip]]

# Changes that arrive within this time of each other are forwarded together.
MIN_FORWARD_INTERVAL_MS = 100.0
MAX_SUSPECTS_PER_FRAME = 16
# The reply to a differing digest contains at least the changes in this window. After a
# burst these are more than one frame holds.
RECENT_WINDOW_MS = 30_000.0
# For a node that has just started all records are recent; it must not send them all.
MAX_RECENT_RECORDS = 256
FULL_VIEW_PEERS = 4
EXPIRY_INTERVAL_MS = 60_000.0
ROUND_JITTER = 0.2


def _no_hosts() -> Sequence[str]:
    return ()


def _never() -> int:
    return -1


def _always(host: str) -> bool:
    return True


class PolicyAge(Protocol):
    """What is known of the bundle in force being the newest."""

    def reported_age_ms(self) -> int:
        """Return how long ago it was known, or -1 if nobody asks for it."""

    def has_news(self) -> bool:
        """Return whether peers that were told before would learn something."""

    def told(self) -> None:
        """Record that peers were told what is known."""


class Gossiper:
    """Decides which gossip to send to which peer.

    Changes are forwarded at once to a few peers, which reaches nearly the whole fleet
    within a few hops. In addition, each round sends a digest of the view to one peer to
    detect missed changes. A round without changes costs one small frame.

    The callables return the current state of the node: its bundle order, the suspects
    to forward, all known suspects, the age of the platform's last answer in
    milliseconds or -1, the directory revision, what is known of the bundle being the
    newest, the hosts with an open link that is
    known to work, and whether a host is reachable.
    """

    def __init__(
        self,
        *,
        view: View,
        policy: MembershipPolicy,
        random: Random,
        bundle_order: Callable[[], BundleOrder],
        suspects: Callable[[], Suspects] = tuple,
        all_suspects: Callable[[], Suspects] = tuple,
        platform_age_ms: Callable[[], int] = _never,
        directory_revision: Callable[[], int] = int,
        freshness: PolicyAge | None = None,
        linked: Callable[[], Sequence[str]] = _no_hosts,
        is_reachable: Callable[[str], bool] = _always,
    ) -> None:
        self._view = view
        self._policy = policy
        self._random = random
        self._bundle_order = bundle_order
        self._suspects = suspects
        self._all_suspects = all_suspects
        self._platform_age_ms = platform_age_ms
        self._directory_revision = directory_revision
        self._freshness = freshness
        self._peers = PeerSelector(
            view=view, random=random, linked=linked, is_reachable=is_reachable
        )
        self._peers.set_prefers_own_zone(_prefers_own_zone(policy))
        self._rumors = Rumors()
        self._reconciliation = Reconciliation(settle_ms=policy.gossip_interval_ms)
        self._next_round_ms = float("-inf")
        self._next_expiry_ms = float("-inf")
        self._last_forward_ms = float("-inf")
        self._sent_order = bundle_order()
        self._sent_revision = directory_revision()
        self._sent_suspects: frozenset[tuple[int, str, str]] = frozenset()
        self.is_joined = False
        self._rumors.add([view.self_record])

    def set_policy(self, policy: MembershipPolicy) -> None:
        """Use the intervals and the kind of neighbours of ``policy`` from now on."""
        self._policy = policy
        self._peers.set_prefers_own_zone(_prefers_own_zone(policy))
        self._reconciliation.settle_ms = policy.gossip_interval_ms

    def tick(self, now_ms: float) -> Outbox:
        """Return the messages that are due.

        Call it about every ``MIN_FORWARD_INTERVAL_MS``.
        """
        if now_ms >= self._next_expiry_ms:
            self._next_expiry_ms = now_ms + EXPIRY_INTERVAL_MS
            self._view.expire(now_ms)
        outbox = self._forward(now_ms)
        if now_ms >= self._next_round_ms:
            jitter_factor = 1 + ROUND_JITTER * (2 * self._random.random() - 1)
            interval_ms = self._policy.gossip_interval_ms * jitter_factor
            self._next_round_ms = now_ms + interval_ms
            outbox += self._gossip_round(now_ms)
        return outbox

    def receive(self, now_ms: float, sender: str, gossip: Gossip) -> Outbox:
        """Merge ``gossip`` and return the replies and the messages to forward."""
        changed = self._view.merge(now_ms, gossip.records)
        self._rumors.add(changed)
        outbox = self._reply(now_ms, sender, gossip)
        if gossip.wants_full_view and outbox:
            outbox[0] = self._with_all_suspects(outbox[0])
        outbox += self._forward(now_ms, sender)
        return outbox

    def neighbours(self) -> tuple[str, ...]:
        """Return the hosts that get gossip from this node at any time."""
        return self._peers.neighbours()

    def digest(self) -> Gossip:
        """Return a message that tells a peer whether the views and revisions differ."""
        return self._message(())

    def announce(self, now_ms: float, records: Iterable[MemberRecord]) -> Outbox:
        """Forward records that this node itself stored in its view."""
        self._rumors.add(records)
        return self._forward(now_ms)

    def request_full_views(self, now_ms: float) -> Outbox:
        """Return requests to a few peers for missed changes, as after a pause.

        A peer with the same digest replies with a message without records.
        """
        sampled = self._peers.sample_peers(FULL_VIEW_PEERS)
        peers = sampled or list(self._view.hosts()[:FULL_VIEW_PEERS])
        return [(peer, self._message((), wants_full_view=True)) for peer in peers]

    def _with_all_suspects(
        self, message_to_peer: tuple[str, Gossip]
    ) -> tuple[str, Gossip]:
        """Add all suspects, for a node that requested the full view."""
        peer, message = message_to_peer
        return peer, message._replace(suspects=self._all_suspects())

    def _gossip_round(self, now_ms: float) -> Outbox:
        peer = self._peers.next_peer()
        if peer is None:
            return []
        wants_full_view = (
            not self.is_joined or self._reconciliation.should_request_full_view(now_ms)
        )
        records = self._rumors.take(self._view, 1)
        if wants_full_view:
            records += (self._view.self_record,)
        return [(peer, self._message(records, wants_full_view=wants_full_view))]

    def _forward(self, now_ms: float, sender: str = "") -> Outbox:
        if (
            now_ms - self._last_forward_ms < MIN_FORWARD_INTERVAL_MS
            or not self._has_unsent_changes()
        ):
            return []
        peers = self._peers.sample_peers(RUMOR_FANOUT, exclude=sender)
        if not peers:
            return []
        self._last_forward_ms = now_ms
        self._sent_order = self._bundle_order()
        self._sent_revision = self._directory_revision()
        self._sent_suspects = _identities(self._suspects())
        if self._freshness is not None:
            self._freshness.told()
        message = self._message(self._rumors.take(self._view, len(peers)))
        return [(peer, message) for peer in peers]

    def _has_unsent_changes(self) -> bool:
        if len(self._rumors) or self._bundle_order() != self._sent_order:
            return True
        if self._directory_revision() != self._sent_revision:
            return True
        if self._freshness is not None and self._freshness.has_news():
            return True
        return not _identities(self._suspects()) <= self._sent_suspects

    def _reply(self, now_ms: float, sender: str, gossip: Gossip) -> Outbox:
        records: list[MemberRecord] = []
        must_reply = gossip.wants_full_view or self._is_behind(gossip)
        if gossip.view_digest == self._view.digest:
            self.is_joined = True
            self._view.last_agreed_ms = now_ms
            self._reconciliation.digests_agreed()
        else:
            records += newer_than(self._view, gossip.records)
            if is_full_view(gossip.records):
                self.is_joined = True
                self._reconciliation.full_view_received(now_ms)
                records += missing_from(self._view, gossip.records)
            elif gossip.wants_full_view and self._reconciliation.may_send_full_view(
                now_ms
            ):
                return [(sender, self._message(self._view.records()))]
            elif self._reconciliation.digests_differed(now_ms, self._view):
                since_ms = now_ms - RECENT_WINDOW_MS
                recent = self._view.recent(MAX_FRAME_RECORDS - 1, since_ms)
                records += recent[:MAX_RECENT_RECORDS]
                records.append(self._view.self_record)
                must_reply = True
        return self._split_reply(sender, records, must_reply)

    def _split_reply(
        self, sender: str, records: list[MemberRecord], must_reply: bool
    ) -> Outbox:
        unique = tuple({record.host: record for record in records}.values())
        starts = range(0, max(len(unique), int(must_reply)), MAX_FRAME_RECORDS)
        return [
            (sender, self._message(unique[start : start + MAX_FRAME_RECORDS]))
            for start in starts
        ]

    def _is_behind(self, gossip: Gossip) -> bool:
        order = BundleOrder(gossip.bundle_version, gossip.bundle_digest)
        return (
            order < self._bundle_order()
            or gossip.directory_revision < self._directory_revision()
        )

    def _message(
        self, records: tuple[MemberRecord, ...], *, wants_full_view: bool = False
    ) -> Gossip:
        order = self._bundle_order()
        return Gossip(
            view_digest=self._view.digest,
            records=records,
            wants_full_view=wants_full_view,
            bundle_version=order.version,
            bundle_digest=order.digest,
            suspects=self._suspects()[:MAX_SUSPECTS_PER_FRAME],
            platform_age_ms=self._platform_age_ms(),
            directory_revision=self._directory_revision(),
            policy_age_ms=self._freshness.reported_age_ms() if self._freshness else -1,
        )


def _prefers_own_zone(policy: MembershipPolicy) -> bool:
    return policy.neighbours == "own-zone"


def _identities(suspects: Suspects) -> frozenset[tuple[int, str, str]]:
    """Return the suspects without their ages, which differ at every call."""
    return frozenset(
        (fingerprint, host, event) for fingerprint, host, event, _ in suspects
    )
