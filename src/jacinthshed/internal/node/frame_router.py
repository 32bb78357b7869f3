"""Routes each frame from a peer to the component that handles it."""

from collections.abc import Callable
from typing import Any

from ..bundle.order import BundleOrder
from ..discovery.directory import Directory
from ..fence.instant import Instant
from ..flow.target import Target
from ..quarantine.crash import SuspectReport
from ..wire.bundle_data import pack_bundle, unpack_bundle
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
    Unanswered,
    Withdraw,
)
from ..wire.targets import TargetsData, TargetsList, TargetsRequest
from ..wire.usage import UsageReport, UsageShare
from ..workspace.freshness import Freshness
from ..workspace.usage_exchange import UsageExchange
from .clock import Clock
from .dispatcher import Dispatcher
from .link import Channel, finish_exchange
from .membership_task import MembershipTask
from .policy_holder import PolicyHolder
from .target_updates import TargetUpdates

BUNDLE_REQUEST_INTERVAL_MS = 300.0
# After this time without an answer, the request may go to another peer.
TARGETS_REQUEST_INTERVAL_MS = 300.0


class FrameRouter:
    """Calls the handler of each frame type.

    Its only state is when it last requested a bundle and targets from a peer.
    ``bundle_document`` returns the signed bundle in force, ``status`` the node's status
    document. ``updates`` receives directory changes above this node's revision, and
    ``record_suspect`` a peer's report of a suspect.
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
        freshness: Freshness,
        usage: UsageExchange,
        updates: TargetUpdates,
        record_suspect: Callable[[SuspectReport], None],
        receive_unanswered: Callable[[Unanswered], None],
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
        self._freshness = freshness
        self._usage = usage
        self._updates = updates
        self._record_suspect = record_suspect
        self._receive_unanswered = receive_unanswered
        self._count_unknown = count_unknown
        self._bundle_requested_ms = float("-inf")
        self._targets_requested_ms = float("-inf")
        self._handlers = self._handler_table()

    def _handler_table(self) -> dict[type, Callable[[Channel, Any], None]]:
        return {
            Submit: self._on_submit,
            Reply: self._on_answer,
            Revoked: self._on_answer,
            StatusData: self._on_answer,
            Cancel: self._on_cancel,
            Withdraw: self._on_withdraw,
            Revoke: self._on_revoke,
            Unanswered: self._on_unanswered,
            Hello: self._on_hello,
            Gossip: self._on_gossip,
            Leaving: self._on_leaving,
            BundleRequest: self._on_bundle_request,
            BundleData: self._on_bundle_data,
            StatusRequest: self._on_status_request,
            TargetsRequest: self._on_targets_request,
            TargetsData: self._on_targets_data,
            TargetsList: self._on_targets_list,
            UsageReport: self._on_usage_report,
            UsageShare: self._on_usage_share,
        }

    def route(self, channel: Channel, frame: Frame) -> None:
        """Handle ``frame``, received on ``channel``."""
        handler = self._handlers.get(type(frame))
        if handler is None:
            self._count_unknown()
            return
        handler(channel, frame)

    def link_closed(self, number: int) -> None:
        """Tell the target that link ``number`` has closed."""
        self._dispatcher.perform(self._target.link_closed(self._now(), number))

    def _on_submit(self, channel: Channel, submit: Submit) -> None:
        order = BundleOrder(submit.bundle_version, submit.bundle_digest)
        self._request_newer_bundle(channel, order)
        actions = self._target.submit(self._now(), channel.number, submit)
        self._dispatcher.perform(actions)

    def _on_answer(self, channel: Channel, frame: Reply | Revoked | StatusData) -> None:
        if not finish_exchange(channel, frame.request_id, frame):
            self._count_unknown()

    def _on_cancel(self, channel: Channel, cancel: Cancel) -> None:
        actions = self._target.cancel(self._now(), channel.number, cancel)
        self._dispatcher.perform(actions)

    def _on_withdraw(self, channel: Channel, withdraw: Withdraw) -> None:
        actions = self._target.withdraw(self._now(), channel.number, withdraw)
        self._dispatcher.perform(actions)

    def _on_unanswered(self, channel: Channel, notice: Unanswered) -> None:
        self._receive_unanswered(notice)

    def _on_revoke(self, channel: Channel, revoke: Revoke) -> None:
        actions = self._target.revoke(self._now(), channel.number, revoke)
        self._dispatcher.perform(actions)

    def _on_hello(self, channel: Channel, hello: Hello) -> None:
        order = BundleOrder(hello.bundle_version, hello.bundle_digest)
        self._request_newer_bundle(channel, order)
        if hello.record.host:
            self._membership.receive_hello(hello.record)

    def _on_gossip(self, channel: Channel, gossip: Gossip) -> None:
        order = BundleOrder(gossip.bundle_version, gossip.bundle_digest)
        self._request_newer_bundle(channel, order)
        own = self._holder.order
        self._freshness.peer_reported(own, order, gossip.policy_age_ms)
        for report in gossip.suspects:
            self._record_suspect(report)
        if gossip.directory_revision > self._directory.revision:
            self._request_targets(channel)
        self._membership.receive_gossip(channel, gossip)

    def _on_leaving(self, channel: Channel, notice: Leaving) -> None:
        self._membership.receive_leaving(notice)

    def _on_bundle_request(self, channel: Channel, request: BundleRequest) -> None:
        document = self._bundle_document()
        above = BundleOrder(request.above_version, request.above_digest)
        if document is not None and self._holder.order > above:
            channel.send(pack_bundle(document, compressed=request.takes_compressed))

    def _on_bundle_data(self, channel: Channel, data: BundleData) -> None:
        peer = channel.peer.record.host if channel.peer else ""
        self._bundle_requested_ms = float("-inf")
        self._holder.offer(unpack_bundle(data), f"peer {peer}")

    def _on_status_request(self, channel: Channel, request: StatusRequest) -> None:
        channel.send(StatusData(request.request_id, self._status()))

    def _on_usage_report(self, channel: Channel, report: UsageReport) -> None:
        channel.send(self._usage.answer(report))

    def _on_usage_share(self, channel: Channel, share: UsageShare) -> None:
        self._usage.receive_share(share)

    def _request_targets(self, channel: Channel) -> None:
        now_ms = self._clock.now_ms()
        if now_ms - self._targets_requested_ms >= TARGETS_REQUEST_INTERVAL_MS:
            self._targets_requested_ms = now_ms
            channel.send(TargetsRequest(self._directory.revision))

    def _on_targets_request(self, channel: Channel, request: TargetsRequest) -> None:
        directory = self._directory
        above = request.above_revision
        if directory.has_all_changes_above(above):
            changes = tuple(directory.changes_above(above))
            channel.send(TargetsData(directory.revision, changes))
        else:
            everything = tuple(directory.changes_above(0))
            channel.send(TargetsList(directory.revision, everything))

    def _on_targets_data(self, channel: Channel, data: TargetsData) -> None:
        self._targets_requested_ms = float("-inf")
        self._updates.change_by_peer(data.revision, data.changes)

    def _on_targets_list(self, channel: Channel, found: TargetsList) -> None:
        # It is long, and may have to be requested again: not before the usual interval.
        self._updates.replace_by_peer(found.revision, found.entries)

    def _request_newer_bundle(self, channel: Channel, order: BundleOrder) -> None:
        """Request the sender's bundle if it is above the one in force."""
        own = self._holder.order
        if order <= own:
            return
        now_ms = self._clock.now_ms()
        if now_ms - self._bundle_requested_ms >= BUNDLE_REQUEST_INTERVAL_MS:
            self._bundle_requested_ms = now_ms
            channel.send(BundleRequest(own.version, own.digest, takes_compressed=True))

    def _now(self) -> Instant:
        return Instant(self._clock.now_ms(), self._clock.wall_ms())
