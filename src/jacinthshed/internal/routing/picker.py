"""Chooses the target of an attempt."""

from collections.abc import Iterable, Set
from itertools import chain
from math import inf
from random import Random
from typing import NamedTuple

from ..bundle.model import RoutingPolicy
from ..membership.record_order import LIVE
from ..wire.frames import MemberRecord
from .pool import Draw, Pool
from .target import Target

LOCAL = "local"
SPILL = "spill"
NO_HEADROOM = "no-headroom"
LAST_RESORT = "last-resort"

MAX_REFUSAL_MS = 5_000.0
FULL_LOAD = 1.0
# Loads that differ by less change from one answer to the next; following them would
# move work between zones for nothing.
SPILL_MARGIN = 0.3


class Pick(NamedTuple):
    """The chosen host, the two candidates it came from, and why.

    ``reason`` is ``local`` for a target of the own availability zone with headroom,
    ``spill`` for another zone's, ``no-headroom`` when no candidate has any, and
    ``last-resort`` when something speaks against every target. ``load`` is what is
    known of the host's load, and its age is -1 when it never told one.
    """

    host: str
    candidates: tuple[str, str]
    reason: str
    load: float = 0.0
    load_age_ms: float = -1.0


class _Pools(NamedTuple):
    """The targets of one service, in the own availability zone and in others."""

    local: Pool
    spill: Pool


class Picker:
    """The targets of all services that one node calls."""

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
        self._pools: dict[str, _Pools] = {}

    def set_policy(self, policy: RoutingPolicy) -> None:
        """Go by the bounds of ``policy`` from now on."""
        self._policy = policy
        for pool in chain(*self._pools.values()):
            pool.slow_start_ms = policy.slow_start_ms

    def set_members(
        self, now_ms: float, service: str, members: Iterable[MemberRecord]
    ) -> None:
        """Replace the targets of ``service``; what is known about those kept stays."""
        targets = [self._target(now_ms, r) for r in members if r.state == LIVE]
        old = self._pools.get(service)
        kept = {target.host for target in targets}
        for target in chain(*(pool.targets for pool in old or ())):
            if target.host not in kept:
                self._targets.pop(target.host, None)
        self._targets.update((target.host, target) for target in targets)
        zone = self._availability_zone
        local = [t for t in targets if t.availability_zone == zone]
        spill = [t for t in targets if t.availability_zone != zone]
        self._pools[service] = _Pools(self._pool(local), self._pool(spill))

    def remove(self, now_ms: float, service: str, host: str) -> None:
        """Take out one target at once, as when it says that it is leaving."""
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

        Hosts in ``exclude`` are never picked. Whatever else was noted against targets
        may be wrong: it changes the order, and leaves no service without a target.
        """
        pools = self._pools.get(service)
        if pools is None:
            return None
        local = pools.local.draw(now_ms, exclude, self._random)
        if local is not None and self._has_headroom(now_ms, local):
            return _pick(now_ms, local, LOCAL)
        spill = pools.spill.draw(now_ms, exclude, self._random)
        chosen = _better(now_ms, local, spill)
        if chosen is None:
            return self._last_resort(pools, exclude)
        if not self._has_headroom(now_ms, chosen):
            return _pick(now_ms, chosen, NO_HEADROOM)
        return _pick(now_ms, chosen, SPILL if chosen is spill else LOCAL)

    def sent(self, host: str) -> None:
        """Note that an attempt was sent to ``host``."""
        target = self._targets.get(host)
        if target is not None:
            target.in_flight += 1

    def done(self, host: str) -> None:
        """Note that an attempt at ``host`` has ended, in whatever way."""
        target = self._targets.get(host)
        if target is not None and target.in_flight:
            target.in_flight -= 1

    def record_reply(self, now_ms: float, host: str, load: float) -> None:
        """Take in the load that a reply of ``host`` carried."""
        target = self._targets.get(host)
        if target is not None:
            target.replied(now_ms, load)

    def refused(self, now_ms: float, host: str, retry_after_ms: float) -> None:
        """Note that ``host`` shed a request, and prefer others for a while."""
        target = self._targets.get(host)
        if target is not None:
            target.replied(now_ms, max(FULL_LOAD, target.load))
            target.avoid(now_ms + min(retry_after_ms, MAX_REFUSAL_MS))

    def unreachable(self, now_ms: float, host: str) -> None:
        """Note that no link to ``host`` works, and prefer others for a while."""
        target = self._targets.get(host)
        if target is not None:
            target.failed(now_ms)

    def hint(self, host: str, load: float) -> None:
        """Take a load from the platform or a health endpoint, 0 to take it back."""
        target = self._targets.get(host)
        if target is not None:
            target.hint = min(max(load, 0.0), FULL_LOAD)

    def _target(self, now_ms: float, record: MemberRecord) -> Target:
        known = self._targets.get(record.host)
        if known is not None and known.incarnation == record.incarnation:
            return known
        return Target(record=record, first_ms=now_ms)

    def _pool(self, targets: list[Target]) -> Pool:
        return Pool(targets=targets, slow_start_ms=self._policy.slow_start_ms)

    def _has_headroom(self, now_ms: float, draw: Draw) -> bool:
        return draw.best.known_load(now_ms) <= 1.0 - self._policy.headroom

    def _last_resort(self, pools: _Pools, exclude: Set[str]) -> Pick | None:
        """Return the target that was to be avoided for the shortest time."""
        targets = chain(pools.local.targets, pools.spill.targets)
        usable = [target for target in targets if target.host not in exclude]
        if not usable:
            return None
        first = min(usable, key=lambda target: target.avoid_until_ms)
        return Pick(first.host, (first.host, first.host), LAST_RESORT)


def _better(now_ms: float, local: Draw | None, spill: Draw | None) -> Draw | None:
    """Return the draw of the own zone, unless the other's load is clearly lower."""
    if local is None or spill is None:
        return local or spill
    spill_load = spill.best.known_load(now_ms)
    is_lower = spill_load + SPILL_MARGIN < local.best.known_load(now_ms)
    return spill if is_lower else local


def _pick(now_ms: float, draw: Draw, reason: str) -> Pick:
    best, other = draw
    age_ms = now_ms - best.load_ms
    return Pick(
        host=best.host,
        candidates=(best.host, other.host),
        reason=reason,
        load=round(best.known_load(now_ms), 2),
        load_age_ms=round(age_ms) if age_ms < inf else -1,
    )
