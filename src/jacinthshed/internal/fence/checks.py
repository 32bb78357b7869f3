"""Checks of a fence's times against the clocks of the host that would run it."""

from ..bundle.model import FencePolicy
from .ballot import ballot_wall_ms
from .fence import Fence
from .instant import Instant


def effective_expiry_ms(fence: Fence, policy: FencePolicy) -> int:
    """Return the wall-clock time at which ``fence`` expires.

    It is at most ``policy.key_lifetime_ms`` after the key was first used, even if the
    fence itself names a later time.
    """
    key_first_used_ms = min(fence.key_first_used_ms, fence.minted_ms)
    return min(fence.expires_ms, key_first_used_ms + policy.key_lifetime_ms)


def is_minted_in_future(at: Instant, fence: Fence, policy: FencePolicy) -> bool:
    """Return whether ``fence`` was minted by a clock ahead by more than ``skew_ms``.

    If it was accepted, it would outlive its record here. As a tombstone it would raise
    the tombstone horizon above the mint times of all other fences.
    """
    return fence.minted_ms > at.wall_ms + policy.skew_ms


def has_expired(at: Instant, fence: Fence, policy: FencePolicy) -> bool:
    """Return whether ``fence`` may have expired by the clock of any host."""
    return at.wall_ms + policy.skew_ms >= effective_expiry_ms(fence, policy)


def is_ballot_expired(at: Instant, ballot: str, policy: FencePolicy) -> bool:
    """Return whether ``ballot`` is too old to be promised.

    Otherwise a delayed copy of a revocation could renew its promise after a higher
    promise has expired.
    """
    lifetime_ms = policy.lifetime_ms + policy.skew_ms
    return ballot_wall_ms(ballot) + lifetime_ms < at.wall_ms


def may_predate_process(
    at: Instant, fence: Fence, policy: FencePolicy, *, started_ms: float
) -> bool:
    """Return whether the key may be older than a process started at ``started_ms``.

    A replacement fence may be minted after a revocation whose promise this host lost
    in a restart. This can't happen to the first fence of a key: it names an
    incarnation that its minter knew, and the key had not been used before.
    """
    if fence.key_first_used_ms == fence.minted_ms:
        return False
    started_wall_ms = at.wall_ms - (at.now_ms - started_ms)
    return fence.key_first_used_ms < started_wall_ms + policy.skew_ms
