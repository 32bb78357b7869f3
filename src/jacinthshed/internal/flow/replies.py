"""Conversion between ``Reply`` frames, backend answers and refusals."""

import xxhash

from ..admission.shed_level import NOTHING_SHED
from ..verdict import Reason, Refusal, Verdict
from ..wire.frames import Reply
from .backend_outcome import BackendAnswer
from .job import Waiter

_EMPTY = Reply(
    request_id="",
    status=0,
    headers=(),
    body=b"",
    checksum=0,
    verdict=Verdict.RAN,
    reason="",
    detail="",
    retry_after_ms=0,
    allowance=0,
    calls_done=0,
    load=0.0,
    shed_rank=NOTHING_SHED.rank,
    shed_hash=NOTHING_SHED.root_hash,
)
WITHDRAWN = Refusal(
    Verdict.NOT_RUN,
    Reason.LEAVING,
    retry_after_ms=100,
    detail="the entry node stops, and the request was still waiting for a target",
)
_VERDICTS = frozenset(Verdict)
_REASONS = frozenset(Reason)


def answer_reply(request_id: str, answer: BackendAnswer) -> Reply:
    """Return the reply that carries a backend server's complete answer."""
    return _EMPTY._replace(
        request_id=request_id,
        status=answer.status,
        headers=answer.headers,
        body=answer.body,
        checksum=xxhash.xxh3_64_intdigest(answer.body),
    )


def refusal_reply(request_id: str, refusal: Refusal) -> Reply:
    """Return the reply that carries a refusal."""
    return _EMPTY._replace(
        request_id=request_id,
        verdict=refusal.verdict,
        reason=refusal.reason,
        detail=refusal.detail,
        retry_after_ms=refusal.retry_after_ms,
    )


def reply_to_waiter(reply: Reply, waiter: Waiter, unused: int) -> Reply:
    """Return ``reply`` with the request id and allowance for ``waiter``.

    ``unused`` is the rest of the allowance. It is returned only to the copy that
    started the job; a further copy gets back the allowance that it came with.
    """
    allowance = unused if waiter.own_allowance is None else waiter.own_allowance
    return reply._replace(request_id=waiter.request_id, allowance=allowance)


def is_intact(reply: Reply) -> bool:
    """Return whether the body matches the checksum; a refusal has no body."""
    return not reply.status or reply.checksum == xxhash.xxh3_64_intdigest(reply.body)


def refusal_from_reply(reply: Reply) -> Refusal:
    """Return the refusal that ``reply`` carries.

    A verdict or reason that this version does not know, as a newer node may send, is
    treated as "may have run".
    """
    is_known = reply.verdict in _VERDICTS and reply.reason in _REASONS
    if not is_known:
        detail = (
            "the target sent an unknown verdict or reason: "
            f"{reply.verdict!r}, {reply.reason!r}"
        )
        return Refusal(Verdict.MAY_HAVE_RUN, Reason.BACKEND_FAILED, 0, detail)
    return Refusal(
        verdict=Verdict(reply.verdict),
        reason=Reason(reply.reason),
        retry_after_ms=reply.retry_after_ms,
        detail=reply.detail,
    )
