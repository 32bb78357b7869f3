"""Builders of fences, and of the frames that carry them."""

import random

from jacinthshed.internal.bundle.model import FencePolicy
from jacinthshed.internal.fence.fence import encode_fence, mint
from jacinthshed.internal.fence.instant import Instant
from jacinthshed.internal.fence.registry import FenceRegistry
from jacinthshed.internal.verdict import Reason, Refusal, Verdict
from jacinthshed.internal.wire.frames import Reply, Submit

POLICY = FencePolicy(lifetime_ms=1_000, skew_ms=100, key_lifetime_ms=5_000)
RETENTION_MS = POLICY.key_lifetime_ms + POLICY.lifetime_ms
EPOCH_MS = 1_800_000_000_000
SHED = Refusal(Verdict.NOT_RUN, Reason.SHED)
HOST = "pampa-a-1"

_random = random.Random(5)


def instant(at_ms, skew_ms=0):
    """Return the instant ``at_ms`` of a test at a host whose wall clock is skewed."""
    return Instant(now_ms=float(at_ms), wall_ms=EPOCH_MS + at_ms + skew_ms)


def make_registry(
    *, host=HOST, incarnation=1, started_ms=0, max_entries=100, max_bytes=1_000
):
    """Return an empty fence registry."""
    return FenceRegistry(
        host=host,
        incarnation=incarnation,
        started_ms=float(started_ms),
        policy=POLICY,
        max_entries=max_entries,
        max_bytes=max_bytes,
    )


def make_fence(at_ms=0, *, host=HOST, incarnation=1, ballot="", key_first_used_ms=None):
    """Return a fence minted at the time ``at_ms`` of a test."""
    return mint(
        host=host,
        incarnation=incarnation,
        wall_ms=EPOCH_MS + at_ms,
        lifetime_ms=POLICY.lifetime_ms,
        ballot=ballot,
        key_first_used_ms=None
        if key_first_used_ms is None
        else EPOCH_MS + key_first_used_ms,
        random=_random,
    )


def make_token(at_ms=0, **fields):
    """Return the token of ``make_fence`` with the same arguments."""
    return encode_fence(make_fence(at_ms, **fields))


def submit_frame(request_id, key, token):
    """Return a frame that submits ``key`` under the fence ``token``."""
    return Submit(
        request_id=request_id,
        root_id=request_id,
        root_hash=0,
        rank=1,
        route="refund",
        method=b"POST",
        target=b"/refund",
        headers=(),
        body=key.encode(),
        deadline_ms=1_000,
        deadline_wall_ms=0,
        allowance=0,
        invested=0,
        key=key,
        fence=token,
        bundle_version=1,
        bundle_digest=b"",
    )


def answer(request_id, body, *, allowance=0):
    """Return the reply of a request that ran and was answered with ``body``."""
    return Reply(
        request_id=request_id,
        status=200,
        headers=(),
        body=body,
        checksum=0,
        verdict=Verdict.RAN.value,
        reason="",
        detail="",
        retry_after_ms=0,
        allowance=allowance,
        calls_done=0,
        load=0.0,
        shed_rank=0,
        shed_hash=0,
    )


def refusal_frame(request_id, refusal):
    """Return the reply that carries ``refusal``."""
    return answer(request_id, b"")._replace(
        status=0, verdict=refusal.verdict.value, reason=refusal.reason.value
    )
