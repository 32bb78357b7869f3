"""The outcome of an exchange with a server."""

from typing import NamedTuple

from .message import Response


class ExchangeFailed(NamedTuple):
    """No complete response was received.

    ``sent`` is false only when no byte of the request was passed to a connection, so
    that the request can't have run. ``unwritable`` is true when the request itself
    can't be encoded, so that another connection would not help. ``timed_out`` is true
    when the exchange exceeded its time limit.
    """

    sent: bool
    reason: str
    unwritable: bool = False
    timed_out: bool = False


Outcome = Response | ExchangeFailed
