"""Limits the connections of one listener, to bound its use of file descriptors."""

from collections.abc import Callable

import trio

from ..verdict import Reason, Refusal, Verdict
from .network import StreamHandler
from .problem import refusal_response
from .response_writer import encode_closing_response

_RETRY_AFTER_MS = 1_000
_SEND_TIMEOUT_S = 0.1


def limit_connections(
    handler: StreamHandler,
    *,
    max_connections: int,
    make_room: Callable[[], bool] = lambda: False,
) -> StreamHandler:
    """Return ``handler`` for up to ``max_connections`` connections at once.

    For a connection above the limit, ``make_room`` ends another one that only waits.
    If it returns false, the new one is sent a refusal with the verdict
    ``may-have-run`` and closed. Nothing is read from it.
    """
    open_connections = 0

    async def handle(stream: trio.abc.Stream) -> None:
        nonlocal open_connections
        if open_connections >= max_connections and not make_room():
            await _refuse(stream)
            return
        open_connections += 1
        try:
            await handler(stream)
        finally:
            open_connections -= 1

    return handle


async def _refuse(stream: trio.abc.Stream) -> None:
    try:
        with trio.move_on_after(_SEND_TIMEOUT_S):
            await stream.send_all(_REFUSAL_BYTES)
            await stream.aclose()
    except trio.BrokenResourceError:
        return


def _encode_refusal() -> bytes:
    detail = "this listener has reached its connection limit; reuse open connections"
    # The request is not read, so it may be a resend of one that has run.
    refusal = Refusal(Verdict.MAY_HAVE_RUN, Reason.SHED, _RETRY_AFTER_MS, detail)
    return encode_closing_response(refusal_response(refusal))


_REFUSAL_BYTES = _encode_refusal()
