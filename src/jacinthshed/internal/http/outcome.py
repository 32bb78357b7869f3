"""How an exchange with a backend server ended."""

from typing import NamedTuple

from .message import Response


class ExchangeFailed(NamedTuple):
    """No whole response came.

    ``sent`` is false only when not one byte of the request was handed to a
    connection, so that the request can't have run. ``unwritable`` tells that the
    request itself is at fault, so that no other connection would help; ``timed_out``
    that the exchange was given up for time.
    """

    sent: bool
    reason: str
    unwritable: bool = False
    timed_out: bool = False


Outcome = Response | ExchangeFailed
