"""Spreads member records, bundle orders and suspects between nodes."""

from collections.abc import Callable, Iterable, Sequence
from random import Random

from ..bundle.model import MembershipPolicy
from ..bundle.order import BundleOrder
from ..wire.frames import Gossip, MemberRecord
from .peers import Peers
from .reconciliation import Reconciliation, is_full, missing_from, newer_than
from .rumors import MAX_RECORDS, REPEATS, Rumors
from .view import View

Suspects = tuple[tuple[int, str, str, int], ...]
Outbox = list[tuple[str, Gossip]]

# News that arrive within this time of each other are told on together.
FORWARD_GAP_MS = 100.0
MAX_SUSPECTS = 16
# An answer to another digest brings at least the changes of this time: after a burst
# they are more than one frame holds.
RECENT_MS = 30_000.0
# A node that has just started learned all records lately, and must not send them all.
MAX_RECENT = 256
CONFIRMING_PEERS = 4
EXPIRY_INTERVAL_MS = 60_000.0
JITTER = 0.2


def _no_hosts() -> Sequence[str]:
    return ()


def _never() -> int:
    return -1


def _always(host: str) -> bool:
    return True


class Gossiper:
    """Decides what to tell which peer.

    News are told on at once to a few peers, which reaches nearly all of a fleet in
    the time of a few hops. A digest sent to one peer each round finds what was
    missed. A round without news costs one small frame.
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
        self._peers = Peers(
            view=view, random=random, linked=linked, is_reachable=is_reachable
        )
        self._rumors = Rumors()
        self._reconciliation = Reconciliation(quiet_ms=policy.gossip_interval_ms)
        self._next_round_ms = float("-inf")
        self._next_expiry_ms = float("-inf")
        self._forwarded_ms = float("-inf")
        self._told_order = bundle_order()
        self._told_revision = directory_revision()
        self._told_suspects: frozenset[tuple[int, str, str]] = frozenset()
        self.is_joined = False
        self._rumors.add([view.self_record])

    def set_policy(self, policy: MembershipPolicy) -> None:
        """Go by the times of ``policy`` from now on."""
        self._policy = policy
        self._reconciliation.quiet_ms = policy.gossip_interval_ms

    def tick(self, now_ms: float) -> Outbox:
        """Return what is due to be sent; call it about every ``FORWARD_GAP_MS``."""
        if now_ms >= self._next_expiry_ms:
            self._next_expiry_ms = now_ms + EXPIRY_INTERVAL_MS
            self._view.expire(now_ms)
        outbox = self._forward(now_ms)
        if now_ms >= self._next_round_ms:
            spread = 1 + JITTER * (2 * self._random.random() - 1)
            interval_ms = self._policy.gossip_interval_ms * spread
            self._next_round_ms = now_ms + interval_ms
            outbox += self._round(now_ms)
        return outbox

    def receive(self, now_ms: float, sender: str, gossip: Gossip) -> Outbox:
        """Take in ``gossip`` and return answers and what is told on."""
        changed = self._view.merge(now_ms, gossip.records)
        self._rumors.add(changed)
        outbox = self._answer(now_ms, sender, gossip)
        if gossip.wants_full_view and outbox:
            outbox[0] = self._with_all_suspects(outbox[0])
        outbox += self._forward(now_ms, sender)
        return outbox

    def announce(self, now_ms: float, records: Iterable[MemberRecord]) -> Outbox:
        """Spread records that this node itself put into its view."""
        self._rumors.add(records)
        return self._forward(now_ms)

    def request_full_views(self, now_ms: float) -> Outbox:
        """Ask a few peers for what was missed, as after a pause.

        A peer whose digest is the same answers with an empty frame.
        """
        near = self._peers.several(CONFIRMING_PEERS)
        peers = near or list(self._view.hosts()[:CONFIRMING_PEERS])
        return [(peer, self._message((), wants_full_view=True)) for peer in peers]

    def _with_all_suspects(self, told: tuple[str, Gossip]) -> tuple[str, Gossip]:
        """Tell a node that has just started what it did not hear as news."""
        peer, message = told
        return peer, message._replace(suspects=self._all_suspects())

    def _round(self, now_ms: float) -> Outbox:
        peer = self._peers.next_peer()
        if peer is None:
            return []
        wants_full_view = not self.is_joined or self._reconciliation.asks_all(now_ms)
        records = self._rumors.take(self._view, 1)
        if wants_full_view:
            records += (self._view.self_record,)
        return [(peer, self._message(records, wants_full_view=wants_full_view))]

    def _forward(self, now_ms: float, sender: str = "") -> Outbox:
        if now_ms - self._forwarded_ms < FORWARD_GAP_MS or not self._has_news():
            return []
        peers = self._peers.several(REPEATS, exclude=sender)
        if not peers:
            return []
        self._forwarded_ms = now_ms
        self._told_order = self._bundle_order()
        self._told_revision = self._directory_revision()
        self._told_suspects = _identities(self._suspects())
        message = self._message(self._rumors.take(self._view, len(peers)))
        return [(peer, message) for peer in peers]

    def _has_news(self) -> bool:
        if len(self._rumors) or self._bundle_order() != self._told_order:
            return True
        if self._directory_revision() != self._told_revision:
            return True
        return not _identities(self._suspects()) <= self._told_suspects

    def _answer(self, now_ms: float, sender: str, gossip: Gossip) -> Outbox:
        records: list[MemberRecord] = []
        must_answer = gossip.wants_full_view or self._is_behind(gossip)
        if gossip.view_digest == self._view.digest:
            self.is_joined = True
            self._view.last_agreed_ms = now_ms
            self._reconciliation.agreed()
        else:
            records += newer_than(self._view, gossip.records)
            if is_full(gossip.records):
                self.is_joined = True
                self._reconciliation.got_all(now_ms)
                records += missing_from(self._view, gossip.records)
            elif gossip.wants_full_view and self._reconciliation.gives_all(now_ms):
                return [(sender, self._message(self._view.records()))]
            elif self._reconciliation.differed(now_ms, self._view):
                since_ms = now_ms - RECENT_MS
                recent = self._view.recent(MAX_RECORDS - 1, since_ms)
                records += recent[:MAX_RECENT]
                records.append(self._view.self_record)
                must_answer = True
        return self._answers(sender, records, must_answer)

    def _answers(
        self, sender: str, records: list[MemberRecord], must_answer: bool
    ) -> Outbox:
        unique = tuple({record.host: record for record in records}.values())
        starts = range(0, max(len(unique), int(must_answer)), MAX_RECORDS)
        return [
            (sender, self._message(unique[start : start + MAX_RECORDS]))
            for start in starts
        ]

    def _is_behind(self, gossip: Gossip) -> bool:
        order = BundleOrder(gossip.bundle_version, gossip.bundle_digest)
        return order < self._bundle_order()

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
            suspects=self._suspects()[:MAX_SUSPECTS],
            platform_age_ms=self._platform_age_ms(),
            directory_revision=self._directory_revision(),
        )


def _identities(suspects: Suspects) -> frozenset[tuple[int, str, str]]:
    """Return the suspects without their ages, which change all the time."""
    return frozenset((key, route, host) for key, route, host, _ in suspects)
