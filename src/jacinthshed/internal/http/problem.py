"""Encodes refusals as ``application/problem+json`` (RFC 9457)."""

import math

import msgspec

from ..verdict import HTTP_STATUS, Reason, Refusal, Verdict
from .message import PROBLEM_JSON, Header, Response

VERDICT_FIELD = b"jacinthshed-verdict"
REQUEST_FIELD = b"jacinthshed-request"

_MS_PER_S = 1_000


def refusal_response(
    refusal: Refusal, *, request_id: str = "", status: int | None = None
) -> Response:
    """Return the response that reports ``refusal``.

    ``status`` overrides the HTTP status of the refusal's reason.
    """
    response_status = HTTP_STATUS[refusal.reason] if status is None else status
    headers: list[Header] = [
        (b"content-type", PROBLEM_JSON),
        (VERDICT_FIELD, refusal.verdict.encode()),
    ]
    if request_id:
        headers.append((REQUEST_FIELD, request_id.encode()))
    if refusal.retry_after_ms > 0:
        wait_s = math.ceil(refusal.retry_after_ms / _MS_PER_S)
        headers.append((b"retry-after", str(wait_s).encode()))
    return Response(
        response_status, tuple(headers), problem_body(refusal, response_status)
    )


def problem_body(refusal: Refusal, status: int) -> bytes:
    """Return the JSON problem document of ``refusal``."""
    document = {
        "type": "about:blank",
        "title": refusal.reason.replace("-", " "),
        "status": status,
        "detail": refusal.detail,
        "verdict": refusal.verdict,
        "reason": refusal.reason,
        "retry_after_ms": refusal.retry_after_ms,
    }
    return msgspec.json.encode(document)


def malformed_response(status: int, detail: str, verdict: Verdict) -> Response:
    """Return the response to an invalid request."""
    reason = Reason.TOO_LARGE if status in (413, 431) else Reason.MALFORMED
    refusal = Refusal(verdict, reason, detail=detail)
    return refusal_response(refusal, status=status)
