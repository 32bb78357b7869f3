"""Chooses the target of an attempt by load and availability zone."""

from collections.abc import Callable, Iterable, Set
from itertools import chain
from math import inf
from random import Random
from typing import NamedTuple

from ..bundle.model import RoutingPolicy
from ..membership.record_order import LIVE
from ..wire.frames import MemberRecord
from .pool import CandidatePair, Pool
from .target import Target

LOCAL = "local"
SPILL = "spill"
NO_HEADROOM = "no-headroom"
LAST_RESORT = "last-resort"
BY_EXPECTED_ROOM = ", by expected room"
EXPECTED_ROOM = "expected-room"

MAX_REFUSAL_AVOID_MS = 5_000.0
FULL_LOAD = 1.0
# Smaller differences in load vary from one reply to the next. Following them would move
# work between availability zones without any benefit.
SPILL_MARGIN = 0.3


class Pick(NamedTuple):
    """The chosen host, the two candidates that it was chosen from, and the reason.

    ``reason`` is ``local`` for a target with headroom in the node's own availability
    zone, ``spill`` for one in another zone, ``no-headroom`` when no candidate has
    headroom, and ``last-resort`` when every target is to be avoided at present.
    A choice by expected room adds ``BY_EXPECTED_ROOM``. ``load`` is the load that the
    choice is based on, estimated with that choice, as a share of the host's limit.
    ``load_age_ms`` is its age in milliseconds, or -1 when the host never reported one.
    """

    host: str
    candidates: tuple[str, str]
    reason: str
    load: float = 0.0
    load_age_ms: float = -1.0


class Pools(NamedTuple):
    """The targets of one service in the node's own availability zone and in others."""

    local: Pool
    spill: Pool


class Picker:
    """The targets of all services that one node calls, and the choice among them.

    All times are monotonic milliseconds of this node. Calls about an unknown host are
    ignored.
    """

    def __init__(
        self,
        *,
        host: str,
        availability_zone: str,
        policy: RoutingPolicy,
        random: Random,
    ) -> None:
        self._host = host
        self._availability_zone = availability_zone
        self._policy = policy
        self._random = random
        self._targets: dict[str, Target] = {}
        self._pools: dict[str, Pools] = {}
        # Services with a target that told its slowdown. They stay here, as the choice
        # must not change back while such a target restarts.
        self._telling_services: set[str] = set()
        # Called with each service of which the choice has changed, for its subset.
        self.on_expected_room: Callable[[str], None] = lambda service: None

    def set_policy(self, policy: RoutingPolicy) -> None:
        """Apply ``policy`` from now on."""
        self._policy = policy
        for service, pools in self._pools.items():
            for pool in pools:
                pool.slow_start_ms = policy.slow_start_ms
                pool.uses_expected_room = self.uses_expected_room(service)

    def uses_expected_room(self, service: str) -> bool:
        """Return whether targets of ``service`` are chosen by their expected room."""
        is_set = self._policy.choice == EXPECTED_ROOM
        return is_set or service in self._telling_services

    def set_members(
        self, now_ms: float, service: str, members: Iterable[MemberRecord]
    ) -> None:
        """Replace the targets of ``service`` by the members that are live.

        Load and backoff of a target are kept if its incarnation is unchanged.
        """
        targets = [
            self._known_or_new_target(now_ms, r) for r in members if r.state == LIVE
        ]
        old = self._pools.get(service)
        kept = {target.host for target in targets}
        for target in chain(*(pool.targets for pool in old or ())):
            if target.host not in kept:
                self._targets.pop(target.host, None)
        self._targets.update((target.host, target) for target in targets)
        zone = self._availability_zone
        local = [t for t in targets if t.availability_zone == zone]
        spill = [t for t in targets if t.availability_zone != zone]
        self._pools[service] = Pools(
            self._new_pool(service, local), self._new_pool(service, spill)
        )

    def remove(self, now_ms: float, service: str, host: str) -> None:
        """Remove one target at once, for example when it announces that it leaves."""
        pools = self._pools.get(service)
        if pools is None:
            return
        for pool in pools:
            pool.targets = [t for t in pool.targets if t.host != host]
        self._targets.pop(host, None)

    def pick(
        self, now_ms: float, service: str, exclude: Set[str] = frozenset()
    ) -> Pick | None:
        """Return a target for an attempt, or None when there is no usable one.

        Hosts in ``exclude`` are never picked. Refusals, failures and loads may be
        outdated: they only change the order of preference, and never leave a service
        without a target.
        """
        pools = self._pools.get(service)
        if pools is None:
            return None
        local = pools.local.draw(now_ms, exclude, self._random)
        pick = self.decide(
            now_ms, local, lambda: pools.spill.draw(now_ms, exclude, self._random)
        )
        return pick or self.last_resort(pools, exclude)

    def decide(
        self,
        now_ms: float,
        local: CandidatePair | None,
        draw_spill: Callable[[], CandidatePair | None],
    ) -> Pick | None:
        """Choose between the local availability zone and others; None without a target.

        ``draw_spill`` is called only if ``local`` has no headroom.
        """
        if local is not None and self._has_headroom(local):
            return _to_pick(now_ms, local, LOCAL)
        spill = draw_spill()
        chosen = _prefer_local(local, spill)
        if chosen is None:
            return None
        if not self._has_headroom(chosen):
            return _to_pick(now_ms, chosen, NO_HEADROOM)
        return _to_pick(now_ms, chosen, SPILL if chosen is spill else LOCAL)

    def last_resort(self, pools: Pools, exclude: Set[str]) -> Pick | None:
        """Return the target whose time of avoidance ends first, or None."""
        targets = chain(pools.local.targets, pools.spill.targets)
        usable = [target for target in targets if target.host not in exclude]
        if not usable:
            return None
        first = min(usable, key=lambda target: target.avoid_until_ms)
        return Pick(first.host, (first.host, first.host), LAST_RESORT)

    def services(self) -> tuple[str, ...]:
        """Return the names of the services that have or had targets."""
        return tuple(self._pools)

    def pools_of(self, service: str) -> Pools | None:
        """Return the targets of ``service``, or None if the service is unknown."""
        return self._pools.get(service)

    @property
    def max_load(self) -> float:
        """The highest load, as a share of the limit, at which there is headroom."""
        return 1.0 - self._policy.headroom

    def sent(self, host: str) -> None:
        """Record that an attempt was sent to ``host``."""
        target = self._targets.get(host)
        if target is not None:
            target.in_flight += 1
            target.sent_since_report += 1

    def done(self, host: str) -> None:
        """Record that an attempt at ``host`` has ended, with or without a reply."""
        target = self._targets.get(host)
        if target is not None and target.in_flight:
            target.in_flight -= 1

    def record_reply(
        self, now_ms: float, host: str, load: float, slowdown_pct: int = 0
    ) -> None:
        """Store the load that a reply of ``host`` carried, as a share of its limit.

        ``slowdown_pct`` is how long work takes there, in percent of the usual, or 0 if
        the reply doesn't say. Any other number turns on the choice by expected room for
        the service.
        """
        target = self._targets.get(host)
        if target is None:
            return
        if slowdown_pct > 0:
            target.update_slowdown(now_ms, slowdown_pct)
            if target.service not in self._telling_services:
                self._use_expected_room(target.service)
        target.update_load(now_ms, load)

    def refused(self, now_ms: float, host: str, retry_after_ms: float) -> None:
        """Record that ``host`` shed a request, and avoid it for ``retry_after_ms``.

        The time is capped at ``MAX_REFUSAL_AVOID_MS``.
        """
        target = self._targets.get(host)
        if target is not None:
            target.update_load(now_ms, max(FULL_LOAD, target.load))
            target.avoid(now_ms + min(retry_after_ms, MAX_REFUSAL_AVOID_MS))

    def unreachable(self, now_ms: float, host: str) -> None:
        """Record that no link to ``host`` works, and back off from it."""
        target = self._targets.get(host)
        if target is not None:
            target.back_off(now_ms)

    def set_load_hint(self, host: str, load: float) -> None:
        """Set a lower bound of the load, as given by the platform or a health endpoint.

        0 removes the bound.
        """
        target = self._targets.get(host)
        if target is not None:
            target.load_hint = min(max(load, 0.0), FULL_LOAD)

    def _known_or_new_target(self, now_ms: float, record: MemberRecord) -> Target:
        known = self._targets.get(record.host)
        if known is not None and known.incarnation == record.incarnation:
            return known
        return Target(record=record, first_seen_ms=now_ms)

    def _new_pool(self, service: str, targets: list[Target]) -> Pool:
        return Pool(
            targets=targets,
            slow_start_ms=self._policy.slow_start_ms,
            uses_expected_room=self.uses_expected_room(service),
        )

    def _use_expected_room(self, service: str) -> None:
        self._telling_services.add(service)
        self.on_expected_room(service)
        for pool in self._pools.get(service, ()):
            pool.uses_expected_room = True

    def _has_headroom(self, pair: CandidatePair) -> bool:
        return pair.load <= self.max_load


def _prefer_local(
    local: CandidatePair | None, spill: CandidatePair | None
) -> CandidatePair | None:
    """Return ``local``, unless the load in ``spill`` is clearly lower."""
    if local is None or spill is None:
        return local or spill
    return spill if spill.load + SPILL_MARGIN < local.load else local


def _to_pick(now_ms: float, pair: CandidatePair, reason: str) -> Pick:
    best = pair.best
    age_ms = now_ms - best.load_at_ms
    by_room = BY_EXPECTED_ROOM if pair.is_by_expected_room else ""
    return Pick(
        host=best.host,
        candidates=(best.host, pair.other.host),
        reason=reason + by_room,
        load=round(pair.load, 2),
        load_age_ms=round(age_ms) if age_ms < inf else -1,
    )
