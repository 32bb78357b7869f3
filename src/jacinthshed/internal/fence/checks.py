"""Comparisons of a fence's times with the clocks of the host that would run it."""

from ..bundle.model import FencePolicy
from .ballot import ballot_wall_ms
from .fence import Fence
from .instant import Instant


def has_expired(at: Instant, fence: Fence, policy: FencePolicy) -> bool:
    """Return whether somewhere in the fleet ``fence`` may count as expired."""
    key_ends_ms = fence.born_ms + policy.key_lifetime_ms
    expires_ms = min(fence.expires_ms, key_ends_ms)
    return at.wall_ms + policy.skew_ms >= expires_ms


def is_stale(at: Instant, ballot: str, policy: FencePolicy) -> bool:
    """Return whether a revocation is too old to be promised.

    A delayed copy could otherwise renew a promise after a higher one has lapsed.
    """
    lifetime_ms = policy.lifetime_ms + policy.skew_ms
    return ballot_wall_ms(ballot) + lifetime_ms < at.wall_ms


def predates(
    at: Instant, fence: Fence, policy: FencePolicy, *, started_ms: float
) -> bool:
    """Return whether the key may be older than a process that began at ``started_ms``.

    A replacement fence may be minted after a revocation whose promise this host lost
    in a restart. A first fence can't: it names an incarnation that its minter knew,
    and nobody had used the key before.
    """
    if fence.born_ms == fence.minted_ms:
        return False
    started_wall_ms = at.wall_ms - (at.now_ms - started_ms)
    return fence.born_ms < started_wall_ms + policy.skew_ms
