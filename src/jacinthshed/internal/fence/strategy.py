"""How a request is fenced, derived from the headers that its caller sent."""

from typing import NamedTuple

from returns.result import Success

from ..verdict import Reason, Refusal, Verdict
from .fence import Fence, decode_fence
from .refusals import MALFORMED

MAX_KEY_CHARS = 255
FIRST_USE_FENCE = "new"

_KEY_REQUIRED = Refusal(
    Verdict.NOT_RUN, Reason.KEY_REQUIRED, 0, "send an Idempotency-Key header"
)
_KEY_MALFORMED = Refusal(
    Verdict.NOT_RUN,
    Reason.MALFORMED,
    0,
    f"send a key of 1 to {MAX_KEY_CHARS} visible ASCII characters",
)


class Unfenced(NamedTuple):
    """The route is idempotent: any target may run it, any number of times."""


class CallerFence(NamedTuple):
    """Only the target that ``fence`` names may run the key.

    The entry node never replaces this fence: the caller may send it to another entry
    node at the same time, and two replacements would both run.
    """

    key: str
    fence: Fence
    token: str


class FirstUse(NamedTuple):
    """The caller states that the key is new: mint a fence and run it."""

    key: str


class GenerateKey(NamedTuple):
    """The caller sent no key and needs none: generate one, then act as on first use."""


class RevokeFirst(NamedTuple):
    """The key came without a fence: find out whether it ran before, and revoke.

    The caller may have sent it before under a fence that it no longer has.
    """

    key: str


class Refused(NamedTuple):
    """The request is refused and not sent to any target."""

    refusal: Refusal


FenceStrategy = Unfenced | CallerFence | FirstUse | GenerateKey | RevokeFirst | Refused


def choose_strategy(
    *, idempotent: bool, require_key: bool, key: str, fence: str
) -> FenceStrategy:
    """Return how a request has to be fenced.

    ``key`` and ``fence`` are the values of the request's headers, empty when absent.
    Both are ignored on an idempotent route.
    """
    if idempotent:
        return Unfenced()
    if not key:
        return _without_key(require_key, fence)
    if not _is_valid_key(key):
        return Refused(_KEY_MALFORMED)
    if not fence:
        return RevokeFirst(key)
    if fence == FIRST_USE_FENCE:
        return FirstUse(key)
    match decode_fence(fence):
        case Success(caller_fence):
            return CallerFence(key, caller_fence, fence)
        case _:
            return Refused(MALFORMED)


def may_replace_fence(*, minted_here: bool, announced: bool, verdict: Verdict) -> bool:
    """Return whether the entry node may mint another fence for the same request.

    Only the sole holder of a fence may replace it. If the fence has been sent to the
    caller (``announced``), a resend of it would reach the tombstone and be answered
    *not run* while the replacement runs.
    """
    return minted_here and not announced and verdict is Verdict.NOT_RUN


def _without_key(require_key: bool, fence: str) -> FenceStrategy:
    if fence and fence != FIRST_USE_FENCE:
        return Refused(_KEY_REQUIRED._replace(verdict=Verdict.MAY_HAVE_RUN))
    return Refused(_KEY_REQUIRED) if require_key else GenerateKey()


def _is_valid_key(key: str) -> bool:
    has_visible_chars = key.isascii() and key.isprintable() and " " not in key
    return has_visible_chars and len(key) <= MAX_KEY_CHARS
