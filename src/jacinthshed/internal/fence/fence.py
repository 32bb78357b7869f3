"""Fencing tokens: permission to run one non-idempotent request at one target."""

import base64
import binascii
from random import Random
from typing import NamedTuple

import msgpack
import msgspec
import xxhash
from returns.result import Failure, Result, Success

from .ballot import ballot_wall_ms

MAX_TOKEN_CHARS = 1_024

_CHECKSUM_BYTES = 4
_NONCE_BITS = 64


class Fence(NamedTuple):
    """Names the only target, and its incarnation, at which a request may run.

    ``minted_ms`` and ``expires_ms`` are wall-clock times of the host that minted the
    fence. ``key_first_used_ms`` is when the key was first used, as far as that host
    knows; a fence that replaces a refused one inherits it. ``ballot`` is that of the
    revocation that proved the key *not run*, or empty without one.
    """

    host: str
    incarnation: int
    minted_ms: int
    expires_ms: int
    key_first_used_ms: int
    ballot: str
    nonce: str


class FenceError(NamedTuple):
    """Why a token could not be decoded, and what the caller should do."""

    detail: str


def mint(
    *,
    host: str,
    incarnation: int,
    wall_ms: int,
    lifetime_ms: int,
    ballot: str,
    random: Random,
    key_first_used_ms: int | None = None,
) -> Fence:
    """Return a new fence for ``host``; no other record of it is stored.

    ``key_first_used_ms`` is given when the fence replaces one that was refused *not
    run*, or when the request arrived some time ago. A fence with a ballot is never
    younger than its ballot, so that an entry node that was suspended during a
    revocation can't mint a fence that outlives the promises.
    """
    first_used_candidates_ms = [wall_ms]
    if key_first_used_ms is not None:
        # The key of a replacement fence must be older than the fence even if both
        # times fall into the same millisecond: see ``checks.may_predate_process``.
        first_used_candidates_ms.append(min(key_first_used_ms, wall_ms - 1))
    if ballot:
        first_used_candidates_ms.append(ballot_wall_ms(ballot))
    return Fence(
        host=host,
        incarnation=incarnation,
        minted_ms=wall_ms,
        expires_ms=wall_ms + lifetime_ms,
        key_first_used_ms=min(first_used_candidates_ms),
        ballot=ballot,
        nonce=f"{random.getrandbits(_NONCE_BITS):016x}",
    )


def encode_fence(fence: Fence) -> str:
    """Return ``fence`` as a token of URL-safe ASCII characters."""
    payload = msgpack.packb(list(fence))
    token_bytes = payload + _checksum(payload)
    return base64.urlsafe_b64encode(token_bytes).rstrip(b"=").decode("ascii")


def decode_fence(token: str) -> Result[Fence, FenceError]:
    """Return the fence in ``token``, or a ``FenceError``.

    The checksum detects truncation and typing errors; it doesn't authenticate.
    """
    if len(token) > MAX_TOKEN_CHARS:
        return Failure(
            FenceError(
                f"a fence has at most {MAX_TOKEN_CHARS} characters; "
                "send it as it was given"
            )
        )
    try:
        token_bytes = base64.b64decode(_padded(token), altchars=b"-_", validate=True)
        payload = token_bytes[:-_CHECKSUM_BYTES]
        if _checksum(payload) != token_bytes[-_CHECKSUM_BYTES:]:
            return Failure(FenceError("the fence is damaged; send it as it was given"))
        return Success(msgspec.convert(msgpack.unpackb(payload), Fence))
    except (ValueError, TypeError, binascii.Error, msgpack.UnpackException):
        return Failure(FenceError("the token is not a fence; send it as it was given"))


def _checksum(payload: bytes) -> bytes:
    return xxhash.xxh32_digest(payload)


def _padded(token: str) -> bytes:
    return token.encode("ascii", "replace") + b"=" * (-len(token) % 4)
