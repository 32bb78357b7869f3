"""The parts of one node, built and wired to each other."""

from collections.abc import Iterable
from functools import partial
from typing import NamedTuple

from ..bundle.read_scheduler import ReadScheduler
from ..http.client import BackendPool
from ..membership.gossip import Gossiper
from ..wire.codec import PROTOCOL_VERSION
from ..wire.frames import Frame, Hello
from .call_tools import CallSurroundings, make_observer, make_tools
from .dispatcher import Dispatcher
from .frame_router import FrameRouter
from .gateway import Gateway
from .link import Channel
from .links import LinkTable
from .local_link import LocalLink
from .lookups import (
    fence_left_ms,
    members_of,
    membership_policy,
    own_address,
    size_limits,
    target_id_of,
)
from .membership_task import MembershipTask
from .policy_follower import PolicyFollower
from .policy_holder import PolicyHolder
from .state import NodeState
from .status import status_document
from .surroundings import Surroundings
from .target_news import TargetNews

BACKEND_CONNECTIONS = 64


class Components(NamedTuple):
    """What the tasks of a node run."""

    state: NodeState
    holder: PolicyHolder
    links: LinkTable
    membership: MembershipTask
    dispatcher: Dispatcher
    gateway: Gateway
    pool: BackendPool
    news: TargetNews


class _Wiring:
    """Breaks the circle between links and the router of their frames."""

    router: FrameRouter

    def on_frame(self, channel: Channel, frame: Frame) -> None:
        self.router.route(channel, frame)

    def on_closed(self, number: int) -> None:
        self.router.link_closed(number)


def build_components(
    *,
    around: Surroundings,
    state: NodeState,
    holder: PolicyHolder,
    reader: ReadScheduler,
) -> Components:
    """Return the parts of a node; none of their tasks runs yet."""
    wiring = _Wiring()
    links = _build_links(around, state, holder, wiring)
    pool = _build_pool(around)
    dispatcher = Dispatcher(
        target=state.target,
        pool=pool,
        links=links,
        clock=around.clock,
        edge=around.edge,
        sizes=lambda: size_limits(holder),
        fence_left_ms=lambda token: fence_left_ms(around.clock, token),
        is_backend_up=around.is_backend_up,
    )
    follower = PolicyFollower(
        state=state,
        reader=reader,
        pool=pool,
        perform=dispatcher.perform,
        members_of=members_of(state, lists_targets=around.publication.lists_targets),
        own_address=own_address(around.settings),
        clock=around.clock,
    )
    holder.follow(follower.follow)
    membership = _build_membership(around, state, holder, reader, links, follower)
    holder.follow(membership.follow)
    gateway = _build_gateway(around, state, holder, links, membership)
    news = _build_news(around, state, follower)
    wiring.router = _build_router(
        around, state, holder, dispatcher, membership, gateway, news
    )
    return Components(state, holder, links, membership, dispatcher, gateway, pool, news)


def _build_news(
    around: Surroundings, state: NodeState, follower: PolicyFollower
) -> TargetNews:
    return TargetNews(
        directory=state.directory,
        clock=around.clock,
        on_hosts=around.take_hosts,
        on_services=follower.targets_changed,
        log=around.log,
    )


def _build_router(
    around: Surroundings,
    state: NodeState,
    holder: PolicyHolder,
    dispatcher: Dispatcher,
    membership: MembershipTask,
    gateway: Gateway,
    news: TargetNews,
) -> FrameRouter:
    clock = around.clock
    return FrameRouter(
        clock=clock,
        target=state.target,
        dispatcher=dispatcher,
        membership=membership,
        holder=holder,
        bundle_document=lambda: state.store.current and state.store.current.data,
        status=lambda: status_document(
            state, holder, leaving=around.is_leaving(), in_flight=gateway.in_flight
        ),
        directory=state.directory,
        news=news,
        learn_suspect=lambda report: state.suspects.apply_report(
            clock.now_ms(), report
        ),
        count_unknown=lambda: around.metrics.increment("frames.unknown"),
    )


def _build_links(
    around: Surroundings, state: NodeState, holder: PolicyHolder, wiring: _Wiring
) -> LinkTable:
    def hello() -> Hello:
        order = holder.order
        record = state.view.self_record
        return Hello(PROTOCOL_VERSION, record, order.version, order.digest)

    def address_of(host: str) -> str | None:
        record = state.view.get(host)
        if record is not None:
            return record.peer_address
        listed = [c for c in state.view.contacts() if c.host == host]
        return listed[0].peer_address if listed else None

    def failed(host: str) -> None:
        now_ms = around.clock.now_ms()
        state.failures.record_failure(now_ms, host)
        state.picker.unreachable(now_ms, host)

    links = LinkTable(
        connect=around.network.connect,
        clock=around.clock,
        policy=lambda: membership_policy(holder),
        hello=hello,
        address_of=address_of,
        on_frame=wiring.on_frame,
        on_closed=wiring.on_closed,
        on_failed=failed,
        on_reached=state.failures.record_contact,
    )
    local = LocalLink(hello=hello, on_frame=wiring.on_frame)
    links.add_local(local, state.record.host)
    return links


def _build_pool(around: Surroundings) -> BackendPool:
    return BackendPool(
        connect=around.network.connect,
        address=own_address(around.settings),
        max_connections=BACKEND_CONNECTIONS,
    )


def _build_membership(
    around: Surroundings,
    state: NodeState,
    holder: PolicyHolder,
    reader: ReadScheduler,
    links: LinkTable,
    follower: PolicyFollower,
) -> MembershipTask:
    def publish(services: Iterable[str]) -> None:
        for service in dict.fromkeys((*services, *state.directory.services())):
            follower.members_changed(service)

    gossiper = _build_gossiper(around, state, holder, reader, links)
    return MembershipTask(
        view=state.view,
        gossiper=gossiper,
        failures=state.failures,
        pauses=state.pauses,
        reader=reader,
        links=links,
        clock=around.clock,
        seeds=[str(seed) for seed in around.settings.seeds],
        on_members=publish,
        on_renewed=state.renew,
        on_pause=around.on_pause,
        on_listed_leaving=around.on_listed_leaving,
        random=state.random,
        log=around.log,
    )


def _build_gossiper(
    around: Surroundings,
    state: NodeState,
    holder: PolicyHolder,
    reader: ReadScheduler,
    links: LinkTable,
) -> Gossiper:
    clock = around.clock

    def platform_age_ms() -> int:
        age_ms = reader.answer_age_ms(clock.now_ms())
        return -1 if age_ms is None else int(age_ms)

    def linked() -> list[str]:
        peers = [link.peer for link in links.streams()]
        return [peer.record.host for peer in peers if peer and peer.record.host]

    return Gossiper(
        view=state.view,
        policy=membership_policy(holder),
        random=state.random,
        bundle_order=lambda: holder.order,
        suspects=lambda: state.suspects.reports(clock.now_ms()),
        all_suspects=lambda: state.suspects.all_reports(clock.now_ms()),
        platform_age_ms=platform_age_ms,
        directory_revision=lambda: state.directory.revision,
        linked=linked,
        is_reachable=state.failures.is_reachable,
    )


def _build_gateway(
    around: Surroundings,
    state: NodeState,
    holder: PolicyHolder,
    links: LinkTable,
    membership: MembershipTask,
) -> Gateway:
    calls = CallSurroundings(
        state=state,
        clock=around.clock,
        policy=holder.current,
        edge=around.edge,
        target_id_of=target_id_of(state),
        names_targets=around.publication.lists_targets,
        log=around.log,
    )
    return Gateway(
        clock=around.clock,
        random=state.random,
        policy=holder.current,
        ledger=state.ledger,
        contexts=state.contexts,
        links=links,
        edge=around.edge,
        tools=make_tools(calls),
        refuses_callers=around.refuses_callers,
        confirmed=membership.confirmed,
        nested=state.nested,
        learned=state.learned,
        observe=partial(make_observer, calls),
        log=around.log,
    )
