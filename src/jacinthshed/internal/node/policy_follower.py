"""Makes the state of a node follow the bundle in force."""

from collections.abc import Callable, Sequence

from ..bundle.read_scheduler import ReadScheduler
from ..fence.instant import Instant
from ..flow.actions import TargetAction
from ..flow.policy import Policy
from ..http.client import BackendPool
from ..membership.listed_members import MembersOf
from ..routing.subset import subset
from .clock import Clock
from .state import NodeState

DEFAULT_SUBSET = 6


class PolicyFollower:
    """Hands each new policy to the parts that hold sizes and times of it."""

    def __init__(
        self,
        *,
        state: NodeState,
        reader: ReadScheduler,
        pool: BackendPool,
        perform: Callable[[list[TargetAction]], None],
        members_of: MembersOf,
        own_address: str,
        clock: Clock,
    ) -> None:
        self._state = state
        self._reader = reader
        self._pool = pool
        self._perform = perform
        self._members_of = members_of
        self._own_address = own_address
        self._clock = clock
        self._subset = DEFAULT_SUBSET
        self._policy: Policy | None = None

    def follow(self, policy: Policy) -> None:
        """Put ``policy`` in force."""
        at = Instant(self._clock.now_ms(), self._clock.wall_ms())
        self._policy = policy
        bundle = policy.bundle
        state = self._state
        state.fence_registry.set_policy(at, bundle.fence)
        state.suspects.set_policy(bundle.quarantine)
        state.picker.set_policy(bundle.routing)
        state.failures.set_policy(bundle.membership)
        state.pauses.set_policy(bundle.membership)
        state.resends.set_policy(bundle.retry)
        state.levels.set_ttl_ms(bundle.admission.level_ttl_ms)
        self._reader.policy_changed(at.now_ms, bundle.readers)
        self._subset = bundle.routing.subset
        services = (*state.view.services(), *state.directory.services())
        for service in dict.fromkeys(services):
            self.members_changed(service)
        self._resize(at, policy)

    def members_changed(self, service: str) -> None:
        """Choose the targets of ``service`` that this node keeps links to."""
        state = self._state
        record = state.record
        members = self._members_of(service)
        chosen = subset(record.host, record.availability_zone, members, self._subset)
        now_ms = self._clock.now_ms()
        state.picker.set_members(now_ms, service, (*chosen.local, *chosen.spill))

    def targets_changed(self, services: Sequence[str]) -> None:
        """Follow the directory, also in what it says of this node's own target."""
        for service in services:
            self.members_changed(service)
        listed = self._state.directory.target_at(self._own_address)
        if listed is not None:
            self._state.check.target_is_leaving = listed.leaving
        if self._policy is not None:
            at = Instant(self._clock.now_ms(), self._clock.wall_ms())
            self._resize(at, self._policy)

    def _resize(self, at: Instant, policy: Policy) -> None:
        sizes = policy.bundle.services.get(self._state.record.service)
        if sizes is None:
            return
        listed = self._state.directory.target_at(self._own_address)
        self._pool.resize(sizes.connections)
        decisions = self._state.admission.resize(
            at.now_ms,
            slots=listed.slots if listed else sizes.slots,
            queue=sizes.queue,
            policy=policy.bundle.admission,
        )
        self._perform(self._state.target.apply_decisions(at, decisions))
