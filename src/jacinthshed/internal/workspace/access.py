"""Decides whether a request may use a route, and for which workspace."""

from typing import NamedTuple

from returns.result import Failure, Result, Success

from ..bundle.model import KeyPolicy, Route
from ..verdict import Reason, Refusal, Verdict
from .key_ring import KeyOwner, KeyRing

# A node hears from others within this time that its policy is still the newest.
STALE_RETRY_AFTER_MS = 300

UNKNOWN_KEY = Refusal(
    Verdict.NOT_RUN,
    Reason.UNKNOWN_KEY,
    detail="the request has no key of a workspace, or one that is not valid",
)
STALE_POLICY = Refusal(
    Verdict.NOT_RUN,
    Reason.STALE_POLICY,
    STALE_RETRY_AFTER_MS,
    "this node can't tell whether the key was withdrawn, as it reaches neither the"
    " platform nor nodes that do",
)


class Caller(NamedTuple):
    """What a request shows of its caller.

    ``is_local`` says that it comes from the backend server beside the node, which has
    no key. ``policy_age_ms`` is the time for which this node has not known that its
    policy is the newest.
    """

    key: bytes | None
    is_local: bool
    policy_age_ms: float


def check_access(
    ring: KeyRing, route: Route, caller: Caller, policy: KeyPolicy
) -> Result[KeyOwner | None, Refusal]:
    """Return the workspace of a request, ``None`` for one without, or its refusal."""
    if not ring.is_used or route.anonymous:
        return Success(None)
    if caller.key is None and caller.is_local:
        return Success(None)
    owner = ring.owner(caller.key) if caller.key is not None else None
    if policy.max_age_ms and caller.policy_age_ms > policy.max_age_ms:
        return Failure(STALE_POLICY)
    return Failure(UNKNOWN_KEY) if owner is None else Success(owner)
