"""The age of idempotency keys that contain a timestamp."""

import uuid

from ..bundle.model import FencePolicy
from ..verdict import Reason, Refusal
from .refusals import may_have_run

_UUID7_TIME_SHIFT_BITS = 80
_UUID7_VERSION = 7

KEY_EXPIRED = may_have_run(
    Reason.FENCE_EXPIRED,
    "the key is past its lifetime; check whether it ran before sending a new one",
)


def expired_key_refusal(key: str, wall_ms: int, policy: FencePolicy) -> Refusal | None:
    """Return the refusal of ``key`` if its timestamp is past the key's lifetime.

    After the lifetime the targets have dropped the record of the key, so a resend
    without a fence would look like a new request. A UUID of version 7 contains its
    creation time. Other keys contain none, and their callers have to keep to the
    lifetime. The caller's clock is used only to refuse: a recent timestamp does not
    prove that the key is within its lifetime.
    """
    created_ms = _created_ms(key)
    if created_ms is None or wall_ms - created_ms <= policy.key_lifetime_ms:
        return None
    return KEY_EXPIRED


def _created_ms(key: str) -> int | None:
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    return (
        parsed.int >> _UUID7_TIME_SHIFT_BITS
        if parsed.version == _UUID7_VERSION
        else None
    )
