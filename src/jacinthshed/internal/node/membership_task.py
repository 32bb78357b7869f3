"""Runs gossip, failure detection and link heartbeats."""

from collections.abc import Callable, Iterable, Sequence
from random import Random

import trio

from ..bundle.read_scheduler import ReadScheduler
from ..flow.policy import Policy
from ..membership.failure import FailureTracker
from ..membership.gossip import Gossiper
from ..membership.host_list import ListedHost
from ..membership.incarnation import new_incarnation
from ..membership.pause import PauseDetector
from ..membership.record_order import LIVE
from ..membership.view import View
from ..telemetry.log import LogDecision
from ..wire.frames import Gossip, Leaving, MemberRecord
from .clock import MS_PER_S, Clock
from .link import Channel, Link
from .links import LinkTable

TICK_MS = 100.0
SEED_INTERVAL_MS = 1_000.0
CONFIRM_TIMEOUT_MS = 300.0
CONTACT_WAIT_MS = 1_000.0

Outbox = list[tuple[str, Gossip]]


class MembershipTask:
    """Runs gossip, pause detection and the periodic check of links.

    ``on_members`` is called with the services known to the view whenever it changes,
    ``on_renewed`` with a new incarnation of this node, and ``on_pause`` with the length
    in ms of a pause that has just ended. ``on_listed_leaving`` is called when a peer
    reports that the platform lists this host as leaving.
    """

    def __init__(
        self,
        *,
        view: View,
        gossiper: Gossiper,
        failures: FailureTracker,
        pauses: PauseDetector,
        reader: ReadScheduler,
        links: LinkTable,
        clock: Clock,
        seeds: Sequence[str],
        on_members: Callable[[Iterable[str]], None],
        on_renewed: Callable[[int], None],
        on_pause: Callable[[float], None],
        on_listed_leaving: Callable[[], None],
        random: Random,
        log: LogDecision,
    ) -> None:
        self._view = view
        self._gossiper = gossiper
        self._failures = failures
        self._pauses = pauses
        self._reader = reader
        self._links = links
        self._clock = clock
        self._seeds = seeds
        self._on_members = on_members
        self._on_renewed = on_renewed
        self._on_pause = on_pause
        self._on_listed_leaving = on_listed_leaving
        self._random = random
        self._log = log
        self._is_running = False
        self._published_version = -1
        self._confirmed = trio.Event()
        self._confirmed.set()
        self._seeds_contacted = trio.Event()

    async def run(self) -> None:
        """Contact the seeds and run periodic work until cancelled."""
        async with trio.open_nursery() as nursery:
            self._is_running = True
            nursery.start_soon(self._contact_seeds)
            while True:
                self._tick(self._clock.now_ms())
                await trio.sleep(TICK_MS / MS_PER_S)

    def apply_policy(self, policy: Policy) -> None:
        """Use the membership policy of a new bundle."""
        self._gossiper.set_policy(policy.bundle.membership)

    async def wait_confirmed(self) -> None:
        """Return at once, or after a pause once a peer has answered.

        After a pause the view is out of date, so wait for one peer's gossip. The wait
        is bounded by ``CONFIRM_TIMEOUT_MS``, as this node may be the only one left.
        """
        self._detect_pause(self._clock.now_ms())
        if not self._confirmed.is_set():
            with trio.move_on_after(CONFIRM_TIMEOUT_MS / MS_PER_S):
                await self._confirmed.wait()
            self._confirm()

    async def wait_joined(self) -> None:
        """Return when the view agrees with a peer's, or no peer is known.

        Two nodes that start together may agree before either knows the other nodes.
        Listed hosts that are not known yet get ``CONTACT_WAIT_MS`` to be found.
        """
        await self._seeds_contacted.wait()
        while not self._gossiper.is_joined and self._has_peers():
            await trio.sleep(TICK_MS / MS_PER_S)
        with trio.move_on_after(CONTACT_WAIT_MS / MS_PER_S):
            while self._view.contacts():
                await trio.sleep(TICK_MS / MS_PER_S)

    async def wait_service_reached(self, service: str) -> None:
        """Return once a link to another target of ``service`` is open.

        That target then knows this node from the hello of the link. Returns at once if
        neither the members nor the platform's list name another target.
        """
        while targets := self._other_targets_of(service):
            for host in targets:
                if await self._links.open(host) is not None:
                    return
            await trio.sleep(SEED_INTERVAL_MS / MS_PER_S)

    def _other_targets_of(self, service: str) -> list[str]:
        own_host = self._view.self_record.host
        members = [record.host for record in self._view.members(service)]
        listed = [c.host for c in self._view.contacts() if c.service == service]
        return [host for host in (*members, *listed) if host != own_host]

    def receive_hello(self, record: MemberRecord) -> None:
        """Merge the record that a peer sent in its hello."""
        self._failures.record_contact(record.host)
        now_ms = self._clock.now_ms()
        changed = self._view.merge(now_ms, [record])
        self._send(self._gossiper.announce(now_ms, changed))
        self._publish_changes()

    def receive_gossip(self, channel: Channel, gossip: Gossip) -> None:
        """Process a peer's gossip and answer it."""
        if channel.peer is None:
            return
        now_ms = self._clock.now_ms()
        sender = channel.peer.record.host
        self._reader.peer_reported_answer(now_ms, gossip.platform_age_ms)
        for host, answer in self._gossiper.receive(now_ms, sender, gossip):
            if host == sender:
                channel.send(answer)
            else:
                self._send([(host, answer)])
        self._confirm()
        self._publish_changes()

    def receive_leaving(self, notice: Leaving) -> None:
        """Process a notice that a host takes no new work.

        A notice about this node itself forwards what the platform's list shows, because
        most nodes don't read the list.
        """
        own = self._view.self_record
        if (notice.host, notice.incarnation) == (own.host, own.incarnation):
            self._on_listed_leaving()
            return
        now_ms = self._clock.now_ms()
        changed = self._view.apply_leaving(now_ms, notice)
        self._send(self._gossiper.announce(now_ms, changed))
        self._publish_changes()

    def receive_host_list(self, hosts: Sequence[ListedHost]) -> bool:
        """Apply the platform's list; return whether it lists this host as leaving."""
        changes = self._view.apply_host_list(self._clock.now_ms(), hosts)
        for notice in changes.notices:
            self._links.send_soon(notice.host, notice)
        self._publish_changes()
        return changes.own_leaving

    def announce(self, record: MemberRecord) -> None:
        """Send a change of this node's own record on all links."""
        now_ms = self._clock.now_ms()
        self._send(self._gossiper.announce(now_ms, [record]))
        for link in self._links.stream_links():
            link.send(Leaving(record.host, record.incarnation))

    def _tick(self, now_ms: float) -> None:
        self._detect_pause(now_ms)
        self._tick_links(now_ms)
        outranked = self._view.outranked_by
        if outranked is not None and self._view.self_record.state == LIVE:
            self._renew(now_ms, outranked.incarnation)
        for host in self._failures.take_gone_hosts(now_ms, self._view):
            self._log("member_gone", host=host)
            changed = self._view.declare_gone(now_ms, host)
            self._send(self._gossiper.announce(now_ms, changed))
        self._send(self._gossiper.tick(now_ms))
        self._publish_changes()

    def _tick_links(self, now_ms: float) -> None:
        neighbours = self._gossiper.neighbours()
        for link in self._links.stream_links():
            host = link.peer.record.host if link.peer else ""
            if link.tick(now_ms, carries_gossip=host in neighbours):
                self._replace_silent(now_ms, host, link)

    def _replace_silent(self, now_ms: float, host: str, link: Link) -> None:
        """Open another link, and send on it what the silent one may have lost."""
        self._log(
            "link_silent",
            host=host,
            silent_ms=round(link.health.silent_ms(now_ms)),
            outstanding=link.health.outstanding,
        )
        if host:
            self._send([(host, self._gossiper.digest())])

    def _renew(self, now_ms: float, known_incarnation: int) -> None:
        """Take a higher incarnation after peers recorded that this one ended.

        Open links are closed, because their hello carried the old incarnation.
        """
        wall_ms = self._clock.wall_ms()
        incarnation = new_incarnation(wall_ms, self._random, above=known_incarnation)
        record = self._view.renew(now_ms, incarnation)
        self._log("incarnation_renewed", host=record.host, incarnation=incarnation)
        self._on_renewed(incarnation)
        for link in self._links.stream_links():
            link.close()
        self._send(self._gossiper.announce(now_ms, [record]))

    def _detect_pause(self, now_ms: float) -> None:
        pause = self._pauses.tick(now_ms, self._clock.wall_ms())
        if pause is None:
            return
        self._log("pause_noticed", length_ms=round(pause.length_ms))
        self._on_pause(pause.length_ms)
        self._confirmed = trio.Event()
        self._send(self._gossiper.request_full_views(now_ms))

    def _confirm(self) -> None:
        self._pauses.confirm()
        self._confirmed.set()

    def _send(self, outbox: Outbox) -> None:
        for host, gossip in outbox:
            channel = self._links.to_host(host)
            if channel is not None:
                channel.send(gossip)
            elif self._is_running and self._may_probe(host):
                self._links.send_soon(host, gossip)

    def _may_probe(self, host: str) -> bool:
        return self._failures.may_probe(self._clock.now_ms(), host)

    async def _contact_seeds(self) -> None:
        """Open a link to each seed, repeatedly until the view agrees with a peer's."""
        while not self._gossiper.is_joined:
            async with trio.open_nursery() as nursery:
                for seed in self._seeds:
                    nursery.start_soon(self._links.open_address, seed)
            self._seeds_contacted.set()
            await trio.sleep(SEED_INTERVAL_MS / MS_PER_S)

    def _has_peers(self) -> bool:
        return bool(self._view.contacts() or self._view.hosts())

    def _publish_changes(self) -> None:
        if self._view.version == self._published_version:
            return
        self._published_version = self._view.version
        now_ms = self._clock.now_ms()
        for record in self._view.records():
            if record.state == LIVE:
                zone = record.availability_zone
                self._reader.member_up(now_ms, record.host, zone)
            else:
                self._reader.member_down(now_ms, record.host)
        self._on_members(self._view.services())
