"""The age of keys that carry their own time."""

import uuid

from ..bundle.model import FencePolicy
from ..verdict import Reason, Refusal
from .refusals import may_have_run

_TIME_SHIFT = 80
_TIMED_VERSION = 7

TOO_OLD = may_have_run(
    Reason.FENCE_EXPIRED, "the key is past its lifetime; ask what became of it"
)


def expired_key_refusal(key: str, wall_ms: int, policy: FencePolicy) -> Refusal | None:
    """Return the refusal of a key that is past its lifetime, if it shows its age.

    Past the lifetime the targets no longer know what ran, so a resend without a fence
    would look new. A UUID of version 7 shows when it was made; other keys show nothing,
    and their callers have to keep to the lifetime. The caller's clock is trusted only
    for refusing: a key that looks young proves nothing.
    """
    made_ms = _made_ms(key)
    if made_ms is None or wall_ms - made_ms <= policy.key_lifetime_ms:
        return None
    return TOO_OLD


def _made_ms(key: str) -> int | None:
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    return parsed.int >> _TIME_SHIFT if parsed.version == _TIMED_VERSION else None
