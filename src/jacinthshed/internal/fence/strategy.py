"""Which way a request takes to its run, from what its caller sent with it."""

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
    """Idempotent: any target, any number of times."""


class CallerFence(NamedTuple):
    """Only the target that ``fence`` names may run the key.

    The entry node never replaces this fence: its holder may resend it elsewhere at the
    same time, and two replacements would both run.
    """

    key: str
    fence: Fence
    token: str


class FirstUse(NamedTuple):
    """Nobody has sent this key before: mint a fence and run it."""

    key: str


class GenerateKey(NamedTuple):
    """The caller gave no key and needs none: make one, then go on as if fresh."""


class RevokeFirst(NamedTuple):
    """The key may have been sent before under a fence that its caller lost."""

    key: str


class Refused(NamedTuple):
    """Nothing is sent to any target."""

    refusal: Refusal


FenceStrategy = Unfenced | CallerFence | FirstUse | GenerateKey | RevokeFirst | Refused


def choose_strategy(
    *, idempotent: bool, require_key: bool, key: str, fence: str
) -> FenceStrategy:
    """Return the path of a request.

    ``key`` and ``fence`` are the values of its headers, empty when absent. Both mean
    nothing on an idempotent route.
    """
    if idempotent:
        return Unfenced()
    if not key:
        return _without_key(require_key, fence)
    if not _is_key(key):
        return Refused(_KEY_MALFORMED)
    if not fence:
        return RevokeFirst(key)
    if fence == FIRST_USE_FENCE:
        return FirstUse(key)
    match decode_fence(fence):
        case Success(own):
            return CallerFence(key, own, fence)
        case _:
            return Refused(MALFORMED)


def may_replace_fence(*, minted_here: bool, announced: bool, verdict: Verdict) -> bool:
    """Return whether the entry node may mint another fence for the same request.

    Only the single holder of a fence may replace it. Once the caller was told of the
    fence, a resend of it would find its tombstone and be told *not run*, while the
    replacement runs.
    """
    return minted_here and not announced and verdict is Verdict.NOT_RUN


def _without_key(require_key: bool, fence: str) -> FenceStrategy:
    if fence and fence != FIRST_USE_FENCE:
        return Refused(_KEY_REQUIRED._replace(verdict=Verdict.MAY_HAVE_RUN))
    return Refused(_KEY_REQUIRED) if require_key else GenerateKey()


def _is_key(key: str) -> bool:
    visible = key.isascii() and key.isprintable() and " " not in key
    return visible and len(key) <= MAX_KEY_CHARS
