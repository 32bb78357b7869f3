"""Applies the bundle in force to the state of a node."""

from collections.abc import Callable, Iterable, Sequence
from typing import NamedTuple

from ..bundle.read_scheduler import ReadScheduler
from ..fence.instant import Instant
from ..flow.actions import TargetAction
from ..flow.policy import Policy
from ..http.client import BackendPool
from ..membership.listed_members import MembersOf
from ..membership.record_order import LIVE
from ..routing.subset import CallersByZone, Subset, subset
from ..wire.frames import MemberRecord
from .clock import Clock
from .state import NodeState

DEFAULT_SUBSET_SIZE = 6


class _Balanced(NamedTuple):
    """A balanced subset, and what it was computed from."""

    members: tuple[MemberRecord, ...]
    callers: CallersByZone
    size: int
    chosen: Subset


class PolicyApplier:
    """Passes each new policy to the components that depend on it."""

    def __init__(
        self,
        *,
        state: NodeState,
        reader: ReadScheduler,
        pool: BackendPool,
        perform: Callable[[list[TargetAction]], None],
        members_of: MembersOf,
        backend_address: str,
        clock: Clock,
    ) -> None:
        self._state = state
        self._reader = reader
        self._pool = pool
        self._perform = perform
        self._members_of = members_of
        self._backend_address = backend_address
        self._clock = clock
        self._subset_size = DEFAULT_SUBSET_SIZE
        self._policy: Policy | None = None
        self._balanced: dict[str, _Balanced] = {}
        self._callers: CallersByZone = {}
        self._callers_version = -1
        state.picker.on_expected_room = self.update_members

    def apply(self, policy: Policy) -> None:
        """Apply ``policy`` to all components."""
        at = Instant(self._clock.now_ms(), self._clock.wall_ms())
        self._policy = policy
        bundle = policy.bundle
        state = self._state
        state.fence_registry.set_policy(at, bundle.fence)
        state.suspects.set_policy(bundle.quarantine)
        state.picker.set_policy(bundle.routing)
        state.failures.set_policy(bundle.membership)
        state.pauses.set_policy(bundle.membership)
        state.resend_limiter.set_policy(bundle.retry)
        state.freshness.is_wanted = bool(bundle.keys.max_age_ms)
        state.levels.set_ttl_ms(bundle.admission.level_ttl_ms)
        self._reader.policy_changed(at.now_ms, bundle.readers)
        self._subset_size = bundle.routing.subset
        services = (*state.view.services(), *state.directory.services())
        for service in dict.fromkeys(services):
            self.update_members(service)
        self._resize(at, policy)

    def update_members(self, service: str) -> None:
        """Choose the subset of the targets of ``service`` that this node calls."""
        state = self._state
        members = self._members_of(service)
        if state.picker.uses_expected_room(service):
            chosen = self._balanced_subset(service, members)
        else:
            self._balanced.pop(service, None)
            record = state.record
            chosen = subset(
                record.host, record.availability_zone, members, self._subset_size
            )
        now_ms = self._clock.now_ms()
        state.picker.set_members(now_ms, service, (*chosen.local, *chosen.spill))

    def update_targets(self, services: Sequence[str]) -> None:
        """Apply the directory's changes of ``services`` and of this node's target."""
        for service in services:
            self.update_members(service)
        listed = self._state.directory.target_at(self._backend_address)
        if listed is not None:
            self._state.check.target_listed(
                started_ms=listed.started_wall_ms, is_leaving=listed.leaving
            )
        if self._policy is not None:
            at = Instant(self._clock.now_ms(), self._clock.wall_ms())
            self._resize(at, self._policy)

    def _balanced_subset(self, service: str, members: Iterable[MemberRecord]) -> Subset:
        """Return the balanced subset; compute it only if something has changed.

        Each change of the view updates all services, and most changes concern one.
        """
        members, callers = tuple(members), self._callers_by_zone()
        size = self._subset_size
        known = self._balanced.get(service)
        if known is None or (members, callers, size) != known[:3]:
            record = self._state.record
            chosen = subset(
                record.host,
                record.availability_zone,
                members,
                size,
                is_balanced=True,
                callers=callers,
            )
            known = self._balanced[service] = _Balanced(members, callers, size, chosen)
        return known.chosen

    def _callers_by_zone(self) -> CallersByZone:
        """Return the hosts of all live nodes, as all of them may call any service."""
        view = self._state.view
        if self._callers_version != view.version:
            self._callers_version = view.version
            callers: dict[str, set[str]] = {}
            for record in view.records():
                if record.state == LIVE:
                    callers.setdefault(record.availability_zone, set()).add(record.host)
            self._callers = callers
        return self._callers

    def _resize(self, at: Instant, policy: Policy) -> None:
        sizes = policy.bundle.services.get(self._state.record.service)
        if sizes is None:
            return
        listed = self._state.directory.target_at(self._backend_address)
        self._pool.resize(sizes.connections)
        decisions = self._state.admission.resize(
            at.now_ms,
            slots=listed.slots if listed else sizes.slots,
            queue=sizes.queue,
            policy=policy.bundle.admission,
        )
        self._perform(self._state.target.apply_decisions(at, decisions))
