"""The fingerprint of a request, at its entry node and at its target alike."""

from ..quarantine.fingerprint import fingerprint
from ..wire.frames import Submit
from .call import Call


def request_fingerprint(request: Call | Submit) -> int:
    """Return what tells ``request`` from others when servers die of it."""
    return fingerprint(
        route=request.route,
        method=request.method,
        target=request.target,
        body=request.body,
    )
