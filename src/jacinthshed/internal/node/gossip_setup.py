"""Builds what a node exchanges with all others: gossip, and the use of workspaces."""

from ..bundle.read_scheduler import ReadScheduler
from ..membership.gossip import Gossiper
from ..membership.record_order import LIVE
from ..workspace.usage_exchange import Frame, UsageExchange, limit_of
from ..workspace.usage_home import Limit
from .environment import Environment
from .links import LinkTable
from .lookups import membership_policy
from .policy_holder import PolicyHolder
from .reader_handover import ReaderHandover
from .state import NodeState


def build_gossiper(
    env: Environment,
    state: NodeState,
    holder: PolicyHolder,
    reader: ReadScheduler,
    links: LinkTable,
) -> Gossiper:
    """Return the gossip of a node, with functions that read the node's state."""
    clock = env.clock

    def platform_age_ms() -> int:
        age_ms = reader.answer_age_ms(clock.now_ms())
        return -1 if age_ms is None else int(age_ms)

    def linked() -> list[str]:
        now_ms = clock.now_ms()
        open_links = links.stream_links()
        peers = [link.peer for link in open_links if link.health.is_confirmed(now_ms)]
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
        freshness=state.freshness,
        linked=linked,
        is_reachable=state.failures.is_reachable,
    )


def build_usage(
    env: Environment, state: NodeState, holder: PolicyHolder, links: LinkTable
) -> UsageExchange:
    """Return the account of the use of workspaces, with functions of this node."""
    own_host = state.record.host

    def hosts() -> list[str]:
        live = [record.host for record in state.view.records() if record.state == LIVE]
        return [host for host in live if state.failures.is_reachable(host)]

    def limits(name: str) -> Limit | None:
        policy = holder.current()
        return limit_of(policy.bundle.workspaces.get(name)) if policy else None

    def send(host: str, frame: Frame) -> None:
        channel = links.to_host(host)
        if channel is not None:
            channel.send(frame)
        else:
            links.send_soon(host, frame)

    return UsageExchange(
        own_host=own_host,
        hosts=hosts,
        limits=limits,
        send=send,
        now_ms=env.clock.now_ms,
        random=state.random,
        log=env.log,
    )


def build_handover(
    env: Environment, state: NodeState, reader: ReadScheduler, links: LinkTable
) -> ReaderHandover:
    """Return what tells other nodes that the platform doesn't answer this one."""
    return ReaderHandover(
        host=state.record.host,
        reader=reader,
        links=links,
        clock=env.clock,
        wake_feeds=env.wake_feeds,
        log=env.log,
    )
