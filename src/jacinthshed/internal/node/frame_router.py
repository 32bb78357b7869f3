"""Hands each frame from a peer to the part of the node that it is for."""

from collections.abc import Callable
from typing import Any

from ..bundle.order import BundleOrder
from ..discovery.directory import Directory
from ..fence.instant import Instant
from ..flow.target import Target
from ..quarantine.crash import SuspectReport
from ..wire.frames import (
    BundleData,
    BundleRequest,
    Cancel,
    Frame,
    Gossip,
    Hello,
    Leaving,
    Reply,
    Revoke,
    Revoked,
    StatusData,
    StatusRequest,
    Submit,
)
from ..wire.targets import TargetsData, TargetsRequest
from .clock import Clock
from .dispatcher import Dispatcher
from .link import Channel, finish_exchange
from .membership_task import MembershipTask
from .policy_holder import PolicyHolder
from .target_news import TargetNews

BUNDLE_ASK_INTERVAL_MS = 300.0
# A peer that doesn't answer in this time is not waited for: the next one is asked.
TARGETS_ASK_INTERVAL_MS = 300.0


class FrameRouter:
    """Owns no state but the time of the last question for a bundle.

    ``bundle_document`` gives the signed bundle in force, ``status`` the node's status,
    ``news`` takes what a peer knows of the directory above the own revision,
    ``learn_suspect`` a peer's report.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        target: Target,
        dispatcher: Dispatcher,
        membership: MembershipTask,
        holder: PolicyHolder,
        bundle_document: Callable[[], bytes | None],
        status: Callable[[], bytes],
        directory: Directory,
        news: TargetNews,
        learn_suspect: Callable[[SuspectReport], None],
        count_unknown: Callable[[], None],
    ) -> None:
        self._clock = clock
        self._target = target
        self._dispatcher = dispatcher
        self._membership = membership
        self._holder = holder
        self._bundle_document = bundle_document
        self._status = status
        self._directory = directory
        self._news = news
        self._learn_suspect = learn_suspect
        self._count_unknown = count_unknown
        self._asked_ms = float("-inf")
        self._targets_asked_ms = float("-inf")
        self._handlers = self._handler_table()

    def _handler_table(self) -> dict[type, Callable[[Channel, Any], None]]:
        return {
            Submit: self._on_submit,
            Reply: self._on_answer,
            Revoked: self._on_answer,
            StatusData: self._on_answer,
            Cancel: self._on_cancel,
            Revoke: self._on_revoke,
            Hello: self._on_hello,
            Gossip: self._on_gossip,
            Leaving: self._on_leaving,
            BundleRequest: self._on_bundle_ask,
            BundleData: self._on_bundle_data,
            StatusRequest: self._on_status_ask,
            TargetsRequest: self._on_targets_ask,
            TargetsData: self._on_targets_data,
        }

    def route(self, channel: Channel, frame: Frame) -> None:
        """Handle ``frame``, which came on ``channel``."""
        handler = self._handlers.get(type(frame))
        if handler is None:
            self._count_unknown()
            return
        handler(channel, frame)

    def link_closed(self, number: int) -> None:
        """Note that a link ended."""
        self._dispatcher.perform(self._target.link_closed(self._at(), number))

    def _on_submit(self, channel: Channel, submit: Submit) -> None:
        order = BundleOrder(submit.bundle_version, submit.bundle_digest)
        self._compare(channel, order)
        actions = self._target.submit(self._at(), channel.number, submit)
        self._dispatcher.perform(actions)

    def _on_answer(self, channel: Channel, frame: Reply | Revoked | StatusData) -> None:
        if not finish_exchange(channel, frame.request_id, frame):
            self._count_unknown()

    def _on_cancel(self, channel: Channel, cancel: Cancel) -> None:
        actions = self._target.cancel(self._at(), channel.number, cancel)
        self._dispatcher.perform(actions)

    def _on_revoke(self, channel: Channel, revoke: Revoke) -> None:
        actions = self._target.revoke(self._at(), channel.number, revoke)
        self._dispatcher.perform(actions)

    def _on_hello(self, channel: Channel, hello: Hello) -> None:
        order = BundleOrder(hello.bundle_version, hello.bundle_digest)
        self._compare(channel, order)
        if hello.record.host:
            self._membership.heard_hello(hello.record)

    def _on_gossip(self, channel: Channel, gossip: Gossip) -> None:
        order = BundleOrder(gossip.bundle_version, gossip.bundle_digest)
        self._compare(channel, order)
        for report in gossip.suspects:
            self._learn_suspect(report)
        if gossip.directory_revision > self._directory.revision:
            self._ask_for_targets(channel)
        self._membership.heard_gossip(channel, gossip)

    def _on_leaving(self, channel: Channel, notice: Leaving) -> None:
        self._membership.heard_leaving(notice)

    def _on_bundle_ask(self, channel: Channel, ask: BundleRequest) -> None:
        document = self._bundle_document()
        above = BundleOrder(ask.above_version, ask.above_digest)
        if document is not None and self._holder.order > above:
            channel.send(BundleData(document))

    def _on_bundle_data(self, channel: Channel, data: BundleData) -> None:
        peer = channel.peer.record.host if channel.peer else ""
        self._asked_ms = float("-inf")
        self._holder.offer(data.document, f"peer {peer}")

    def _on_status_ask(self, channel: Channel, ask: StatusRequest) -> None:
        channel.send(StatusData(ask.request_id, self._status()))

    def _ask_for_targets(self, channel: Channel) -> None:
        now_ms = self._clock.now_ms()
        if now_ms - self._targets_asked_ms >= TARGETS_ASK_INTERVAL_MS:
            self._targets_asked_ms = now_ms
            channel.send(TargetsRequest(self._directory.revision))

    def _on_targets_ask(self, channel: Channel, ask: TargetsRequest) -> None:
        changes = self._directory.changes_above(ask.above_revision)
        channel.send(TargetsData(self._directory.revision, tuple(changes)))

    def _on_targets_data(self, channel: Channel, data: TargetsData) -> None:
        self._targets_asked_ms = float("-inf")
        self._news.change(data.revision, data.changes)

    def _compare(self, channel: Channel, order: BundleOrder) -> None:
        """Pull the sender's bundle when it is above the one in force."""
        own = self._holder.order
        if order <= own:
            return
        now_ms = self._clock.now_ms()
        if now_ms - self._asked_ms >= BUNDLE_ASK_INTERVAL_MS:
            self._asked_ms = now_ms
            channel.send(BundleRequest(own.version, own.digest))

    def _at(self) -> Instant:
        return Instant(self._clock.now_ms(), self._clock.wall_ms())
