"""Builds the components of one node and connects them."""

from collections.abc import Iterable
from functools import partial
from typing import NamedTuple

from ..bundle.read_scheduler import ReadScheduler
from ..flow.announcements import announcement_recorder
from ..http.client import BackendPool
from ..wire.codec import PROTOCOL_VERSION
from ..wire.frames import Frame, Hello
from ..workspace.usage_exchange import UsageExchange
from .call_tools import CallEnvironment, build_call_tools, build_observer
from .dispatcher import Dispatcher
from .environment import Environment
from .frame_router import FrameRouter
from .gateway import Gateway
from .gossip_setup import build_gossiper, build_handover, build_usage
from .link import Channel
from .links import LinkTable
from .local_link import LocalLink
from .lookups import (
    backend_address,
    fence_left_ms,
    hosts_without_id,
    members_of,
    membership_policy,
    size_limits,
    target_id_of,
)
from .membership_task import MembershipTask
from .policy_applier import PolicyApplier
from .policy_holder import PolicyHolder
from .reader_handover import ReaderHandover
from .state import NodeState
from .status import status_document
from .target_updates import TargetUpdates

BACKEND_CONNECTIONS = 64


class Components(NamedTuple):
    """The components that the tasks of a node run."""

    state: NodeState
    holder: PolicyHolder
    links: LinkTable
    membership: MembershipTask
    dispatcher: Dispatcher
    gateway: Gateway
    pool: BackendPool
    updates: TargetUpdates
    handover: ReaderHandover
    usage: UsageExchange


class _RouterProxy:
    """Resolves the circular dependency between the links and the frame router."""

    router: FrameRouter

    def on_frame(self, channel: Channel, frame: Frame) -> None:
        self.router.route(channel, frame)

    def on_closed(self, number: int) -> None:
        self.router.link_closed(number)


def build_components(
    *, env: Environment, state: NodeState, holder: PolicyHolder, reader: ReadScheduler
) -> Components:
    """Return the components of a node; none of their tasks is started."""
    proxy = _RouterProxy()
    links = _build_links(env, state, holder, proxy)
    pool = _build_pool(env)
    dispatcher = _build_dispatcher(env, state, holder, links, pool)
    applier = PolicyApplier(
        state=state,
        reader=reader,
        pool=pool,
        perform=dispatcher.perform,
        members_of=members_of(state, lists_targets=env.publication.lists_targets),
        backend_address=backend_address(env.settings),
        clock=env.clock,
    )
    holder.subscribe(applier.apply)
    membership = _build_membership(env, state, holder, reader, links, applier)
    holder.subscribe(membership.apply_policy)
    usage = build_usage(env, state, holder, links)
    gateway = _build_gateway(env, state, holder, links, membership, usage)
    updates = _build_updates(env, state, applier)
    handover = build_handover(env, state, reader, links)
    parts = Components(
        state=state,
        holder=holder,
        links=links,
        membership=membership,
        dispatcher=dispatcher,
        gateway=gateway,
        pool=pool,
        updates=updates,
        handover=handover,
        usage=usage,
    )
    proxy.router = _build_router(env, parts)
    return parts


def _build_dispatcher(
    env: Environment,
    state: NodeState,
    holder: PolicyHolder,
    links: LinkTable,
    pool: BackendPool,
) -> Dispatcher:
    return Dispatcher(
        target=state.target,
        pool=pool,
        links=links,
        clock=env.clock,
        adapter=env.adapter,
        sizes=lambda: size_limits(holder),
        fence_left_ms=lambda token: fence_left_ms(env.clock, token),
        record_announcement=announcement_recorder(
            read=env.adapter.read_announcement,
            rate=state.admission.rate,
            slowdown=state.admission.slowdown,
            check=state.check,
            log=env.log,
        ),
        is_backend_up=env.is_backend_up,
    )


def _build_updates(
    env: Environment, state: NodeState, applier: PolicyApplier
) -> TargetUpdates:
    return TargetUpdates(
        directory=state.directory,
        clock=env.clock,
        on_hosts=env.take_hosts,
        on_services=applier.update_targets,
        log=env.log,
    )


def _build_router(env: Environment, parts: Components) -> FrameRouter:
    clock, state, gateway = env.clock, parts.state, parts.gateway
    return FrameRouter(
        clock=clock,
        target=state.target,
        dispatcher=parts.dispatcher,
        membership=parts.membership,
        holder=parts.holder,
        bundle_document=lambda: state.store.current and state.store.current.data,
        status=lambda: status_document(
            state,
            parts.holder,
            now_ms=clock.now_ms(),
            leaving=env.is_leaving(),
            in_flight=gateway.in_flight,
            unusable_hosts=hosts_without_id(
                state, requires_target_id=env.publication.lists_targets
            ),
            usage=parts.usage,
        ),
        directory=state.directory,
        freshness=state.freshness,
        usage=parts.usage,
        updates=parts.updates,
        record_suspect=lambda report: state.suspects.apply_report(
            clock.now_ms(), report
        ),
        receive_unanswered=parts.handover.receive,
        count_unknown=lambda: env.metrics.increment("frames.unknown"),
    )


def _build_links(
    env: Environment, state: NodeState, holder: PolicyHolder, proxy: _RouterProxy
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
        now_ms = env.clock.now_ms()
        state.failures.record_failure(now_ms, host)
        state.picker.unreachable(now_ms, host)

    links = LinkTable(
        connect=env.network.connect,
        clock=env.clock,
        policy=lambda: membership_policy(holder),
        hello=hello,
        address_of=address_of,
        on_frame=proxy.on_frame,
        on_closed=proxy.on_closed,
        on_failed=failed,
        on_reached=state.failures.record_contact,
        memory=env.memory,
        traffic=env.metrics.traffic,
    )
    local = LocalLink(hello=hello, on_frame=proxy.on_frame)
    links.add_local(local, state.record.host)
    return links


def _build_pool(env: Environment) -> BackendPool:
    return BackendPool(
        connect=env.network.connect,
        address=backend_address(env.settings),
        max_connections=BACKEND_CONNECTIONS,
        memory=env.memory,
    )


def _build_membership(
    env: Environment,
    state: NodeState,
    holder: PolicyHolder,
    reader: ReadScheduler,
    links: LinkTable,
    applier: PolicyApplier,
) -> MembershipTask:
    def publish(services: Iterable[str]) -> None:
        for service in dict.fromkeys((*services, *state.directory.services())):
            applier.update_members(service)

    gossiper = build_gossiper(env, state, holder, reader, links)
    return MembershipTask(
        view=state.view,
        gossiper=gossiper,
        failures=state.failures,
        pauses=state.pauses,
        reader=reader,
        links=links,
        clock=env.clock,
        seeds=[str(seed) for seed in env.settings.seeds],
        on_members=publish,
        on_renewed=state.renew,
        on_pause=env.on_pause,
        on_listed_leaving=env.on_listed_leaving,
        random=state.random,
        log=env.log,
    )


def _build_gateway(
    env: Environment,
    state: NodeState,
    holder: PolicyHolder,
    links: LinkTable,
    membership: MembershipTask,
    usage: UsageExchange,
) -> Gateway:
    call_env = CallEnvironment(
        state=state,
        clock=env.clock,
        policy=holder.current,
        adapter=env.adapter,
        target_id_of=target_id_of(state),
        requires_target_id=env.publication.lists_targets,
        log=env.log,
    )
    return Gateway(
        clock=env.clock,
        random=state.random,
        policy=holder.current,
        ledger=state.ledger,
        contexts=state.contexts,
        links=links,
        adapter=env.adapter,
        tools=build_call_tools(call_env),
        refuses_callers=env.refuses_callers,
        wait_confirmed=membership.wait_confirmed,
        nested=state.nested,
        observed_calls=state.observed_calls,
        policy_age_ms=state.freshness.age_ms,
        usage=usage,
        observer_for=partial(build_observer, call_env),
        log=env.log,
    )
