"""Comparisons of a fence's times with the clocks of the host that would run it."""

from ..bundle.model import FencePolicy
from .ballot import ballot_wall_ms
from .fence import Fence
from .instant import Instant


def expiry_ms(fence: Fence, policy: FencePolicy) -> int:
    """Return the wall-clock time at which ``fence`` ends, whatever it claims."""
    key_first_used_ms = min(fence.key_first_used_ms, fence.minted_ms)
    return min(fence.expires_ms, key_first_used_ms + policy.key_lifetime_ms)


def is_early(at: Instant, fence: Fence, policy: FencePolicy) -> bool:
    """Return whether ``fence`` was minted by a clock that is beyond its bound.

    Taken in, it would outlive its record here, and as a tombstone it would raise the
    limit on mint times above those of all others.
    """
    return fence.minted_ms > at.wall_ms + policy.skew_ms


def has_expired(at: Instant, fence: Fence, policy: FencePolicy) -> bool:
    """Return whether somewhere in the fleet ``fence`` may count as expired."""
    return at.wall_ms + policy.skew_ms >= expiry_ms(fence, policy)


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
    if fence.key_first_used_ms == fence.minted_ms:
        return False
    started_wall_ms = at.wall_ms - (at.now_ms - started_ms)
    return fence.key_first_used_ms < started_wall_ms + policy.skew_ms
