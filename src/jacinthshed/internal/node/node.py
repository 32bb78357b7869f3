"""A node: its listeners, tasks and graceful shutdown."""

from collections.abc import Sequence
from random import Random
from typing import NamedTuple

import trio

from ..bundle.model import DrainPolicy, SizeLimits
from ..bundle.store import BundleStore
from ..http.network import Network
from ..membership.host_list import ListedHost, should_leave
from ..memory.node_account import build_account, grant_periodically, memory_gauges
from ..settings.model import NodeSettings
from ..telemetry.log import LogDecision
from ..telemetry.metrics import Metrics
from .backend_health import build_health_task, is_listening
from .clock import SYSTEM_CLOCK, Clock
from .components import Components, build_components
from .environment import Environment
from .feed_setup import build_feed_tasks, build_platform_reader
from .feed_task import FeedTask
from .integration import Integration
from .listeners import Listeners
from .policy_holder import PolicyHolder
from .shutdown import shut_down
from .state import build_state, first_record
from .status import node_gauges
from .target_updates import make_sinks

BOOTSTRAP_TIMEOUT_S = 6.0


class NodeAddresses(NamedTuple):
    """The addresses that a node listens on."""

    entry: str
    egress: str
    peer: str


class Node:
    """Runs beside one backend server, or alone as an entry."""

    def __init__(
        self,
        *,
        settings: NodeSettings,
        integration: Integration,
        network: Network,
        random: Random,
        log: LogDecision,
        clock: Clock = SYSTEM_CLOCK,
        metrics: Metrics | None = None,
    ) -> None:
        self._settings = settings
        self._publication, self._adapter = integration
        self._network = network
        self._random = random
        self._log = log
        self._clock = clock
        self._metrics = metrics or Metrics()
        self._memory = build_account(
            budget_bytes=settings.memory.budget_bytes, now_ms=clock.now_ms, log=log
        )
        self._started_ms = clock.now_ms()
        self._components: Components | None = None
        self._built = trio.Event()
        self._leave_requested = trio.Event()
        self._refuses_callers = False
        self._listeners: Listeners | None = None
        self._feeds: Sequence[FeedTask] = ()

    @property
    def is_leaving(self) -> bool:
        """Whether the node has begun to leave."""
        return self._leave_requested.is_set()

    def gauges(self) -> dict[str, float]:
        """Return the node's current gauges by metric name."""
        if self._components is None:
            return {}
        components = self._components
        now_ms, in_flight = self._clock.now_ms(), components.gateway.in_flight
        age_ms = self._reader.answer_age_ms(now_ms)
        state, holder = components.state, components.holder
        gauges = node_gauges(state, holder, now_ms, in_flight, age_ms)
        return gauges | memory_gauges(self._memory)

    def leave(self) -> None:
        """Begin a graceful shutdown; ``run`` returns when it is complete.

        Further calls change nothing: a stop in progress doesn't serve callers again.
        """
        if self.is_leaving:
            return
        policy = self._components.holder.current() if self._components else None
        self._refuses_callers = policy is None or not policy.bundle.drain.callers_ms
        self._leave_requested.set()

    async def run(
        self, *, task_status: trio.TaskStatus[NodeAddresses] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until the node has left; report its addresses once it serves.

        Raises ``OSError`` when an address can't be listened on.
        """
        peer_address = str(self._settings.listen.peer)
        async with trio.open_nursery() as nursery:
            peer: str = await nursery.start(
                self._network.listen, peer_address, self._accept_peer
            )
            components = self._build(peer)
            listeners = self._build_listeners(components)
            entry, egress = await listeners.start(nursery)
            self._start_tasks(nursery, components)
            await self._bootstrap(nursery, components)
            task_status.started(NodeAddresses(entry, egress, peer))
            await self._leave_requested.wait()
            await self._shut_down(components, listeners)
            nursery.cancel_scope.cancel()

    def _build(self, peer_address: str) -> Components:
        settings = self._settings
        store = BundleStore(
            open_bundle=self._publication.open_bundle, deployment=settings.deployment
        )
        holder = PolicyHolder(store=store, now_ms=self._clock.now_ms, log=self._log)
        state = build_state(
            record=first_record(
                settings, peer_address, self._clock.wall_ms(), self._random
            ),
            store=store,
            random=self._random,
            clock_ms=self._clock.now_ms,
            policy=holder.current,
            check_answer=self._adapter.check_answer,
            log=self._log,
        )
        self._reader = build_platform_reader(
            settings, self._publication, self._random, self._clock
        )
        self._env = self._build_environment()
        components = build_components(
            env=self._env, state=state, holder=holder, reader=self._reader
        )
        self._components = components
        self._built.set()
        return components

    def _build_environment(self) -> Environment:
        return Environment(
            settings=self._settings,
            network=self._network,
            clock=self._clock,
            metrics=self._metrics,
            publication=self._publication,
            adapter=self._adapter,
            log=self._log,
            memory=self._memory,
            is_leaving=lambda: self.is_leaving,
            refuses_callers=lambda: self._refuses_callers,
            is_backend_up=self._is_backend_up,
            on_pause=self._on_pause,
            on_listed_leaving=self._leave_as_listed,
            wake_feeds=self._wake_feeds,
            take_hosts=self._take_hosts,
        )

    def _build_listeners(self, components: Components) -> Listeners:
        self._listeners = Listeners(
            settings=self._settings,
            network=self._network,
            gateway=components.gateway,
            sizes=self._sizes,
            is_ready=lambda: self.is_ready,
            metrics_page=self._metrics_page,
            memory=self._memory,
        )
        return self._listeners

    def _start_tasks(self, nursery: trio.Nursery, components: Components) -> None:
        components.links.start(nursery)
        components.dispatcher.start(nursery)
        task = build_health_task(self._env, components.state)
        if task is not None:
            nursery.start_soon(task.run)
        nursery.start_soon(components.dispatcher.expire_waiting)
        nursery.start_soon(grant_periodically, self._memory)
        nursery.start_soon(components.membership.run)
        nursery.start_soon(components.updates.run)
        nursery.start_soon(components.usage.run)

    async def _bootstrap(self, nursery: trio.Nursery, components: Components) -> None:
        """Read the feeds and join the peers before serving, for a bounded time.

        A stale platform's bundle is used only after peers could send a higher one.
        """
        tasks = self._feeds = build_feed_tasks(
            env=self._env,
            reader=self._reader,
            sinks=make_sinks(components.holder, components.updates, self._take_hosts),
            on_answer=components.updates.source_answered,
            take_read_again_ms=components.updates.take_read_again_ms,
            on_failure=components.handover.report,
            on_policy_read=components.state.freshness.confirmed,
        )
        for task in tasks:
            nursery.start_soon(task.run)
        with trio.move_on_after(BOOTSTRAP_TIMEOUT_S):
            for task in tasks:
                await task.attempted.wait()
            is_current = self._publication.is_current
            if not (is_current and all(task.has_answered for task in tasks)):
                await components.membership.wait_joined()
        components.holder.begin_serving()
        nursery.start_soon(self._watch_service, components)
        self._log(
            "serving", host=self._settings.host, version=components.holder.order[0]
        )

    def _wake_feeds(self) -> None:
        for task in self._feeds:
            task.wake()

    async def _watch_service(self, components: Components) -> None:
        await components.membership.wait_service_reached(self._settings.service)
        components.state.check.is_known_to_service = True

    def _take_hosts(self, listed: Sequence[ListedHost]) -> None:
        assert self._components is not None
        if self._components.membership.receive_host_list(listed):
            self._leave_as_listed()

    def _leave_as_listed(self) -> None:
        """Leave as the platform's list says, unless it may mean an earlier process."""
        uptime_ms = self._clock.now_ms() - self._started_ms
        if not self.is_leaving and should_leave(uptime_ms):
            self._log("leaving", reason="the platform's list shows this host leaving")
            self.leave()

    async def _shut_down(self, components: Components, listeners: Listeners) -> None:
        policy = components.holder.current()
        await shut_down(
            components=components,
            listeners=listeners,
            drain=policy.bundle.drain if policy else DrainPolicy(),
            refuse_callers=self._refuse_callers,
            clock=self._clock,
            log=self._log,
        )

    def _refuse_callers(self) -> None:
        self._refuses_callers = True

    async def _accept_peer(self, stream: trio.abc.Stream) -> None:
        await self._built.wait()
        assert self._components is not None
        await self._components.links.accept(stream)

    def _on_pause(self, length_ms: float) -> None:
        if self._components is not None:
            self._components.state.freshness.forget()
        policy = self._components.holder.current() if self._components else None
        if policy is None or self._listeners is None:
            return
        if length_ms > policy.bundle.fence.lifetime_ms:
            self._listeners.close_callers()

    def _sizes(self) -> SizeLimits:
        policy = self._components.holder.current() if self._components else None
        return policy.bundle.sizes if policy else SizeLimits()

    def _metrics_page(self) -> bytes:
        # Imported on first use, so that a node starts quickly.
        from ..telemetry.exposition import metrics_page

        return metrics_page(self._metrics, self.gauges())

    @property
    def is_ready(self) -> bool:
        """Whether callers may use this node: it has a policy and knows the targets."""
        if self._components is None or self.is_leaving:
            return False
        knows_targets = (
            not self._publication.lists_targets
            or self._components.state.directory.revision
        )
        return bool(knows_targets and self._components.holder.current())

    async def _is_backend_up(self) -> bool:
        backend = self._settings.backend
        if backend is None:
            return False
        return await is_listening(self._network, str(backend.address))
