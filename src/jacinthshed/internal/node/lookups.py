"""Lookups that the components of a node share."""

from collections.abc import Callable, Set

from ..bundle.model import MembershipPolicy, SizeLimits
from ..fence.fence import decode_fence
from ..membership.listed_members import MembersOf, listed_members
from ..settings.model import NodeSettings
from .clock import Clock
from .policy_holder import PolicyHolder
from .state import NodeState


def backend_address(settings: NodeSettings) -> str:
    """Return the address of the node's backend server, or ``""``."""
    return str(settings.backend.address) if settings.backend else ""


def members_of(state: NodeState, *, lists_targets: bool) -> MembersOf:
    """Return a function that takes a service and returns its targets."""
    if lists_targets:
        return listed_members(state.directory, state.view)
    return state.view.members


def target_id_of(state: NodeState) -> Callable[[str, str], str]:
    """Return a function that takes a service and a host and returns the target's id.

    It returns ``""`` if the directory lists no such target.
    """

    def find(service: str, host: str) -> str:
        for entry in state.directory.targets(service):
            if entry.host == host:
                return entry.target_id
        return ""

    return find


def hosts_without_id(
    state: NodeState, *, requires_target_id: bool
) -> Callable[[str], Set[str]]:
    """Return a function that returns the targets of a service without a target's id.

    No attempt is sent to them if each request has to carry its target's id.
    """
    id_of = target_id_of(state)

    def find(service: str) -> Set[str]:
        pools = state.picker.pools_of(service)
        if not requires_target_id or pools is None:
            return frozenset()
        hosts = [target.host for pool in pools for target in pool.targets]
        return frozenset(host for host in hosts if not id_of(service, host))

    return find


def membership_policy(holder: PolicyHolder) -> MembershipPolicy:
    """Return the membership policy in force, or the default."""
    policy = holder.current()
    return policy.bundle.membership if policy else MembershipPolicy()


def size_limits(holder: PolicyHolder) -> SizeLimits:
    """Return the message size limits in force, or the defaults."""
    policy = holder.current()
    return policy.bundle.sizes if policy else SizeLimits()


def fence_left_ms(clock: Clock, token: str) -> float:
    """Return how long the fence in ``token`` is still valid, in ms; 0 if invalid."""
    fence = decode_fence(token).value_or(None)
    return max(0.0, fence.expires_ms - clock.wall_ms()) if fence else 0.0
