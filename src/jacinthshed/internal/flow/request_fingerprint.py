"""Fingerprints of requests, the same at the entry node and at the target."""

from ..quarantine.fingerprint import fingerprint
from ..wire.frames import Submit
from .call import Call


def request_fingerprint(request: Call | Submit) -> int:
    """Return the fingerprint that identifies a request which may crash servers."""
    return fingerprint(
        route=request.route,
        method=request.method,
        target=request.target,
        body=request.body,
    )
