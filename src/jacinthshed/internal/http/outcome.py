"""How an exchange with a backend server ended."""

from typing import NamedTuple

from .message import Response


class ExchangeFailed(NamedTuple):
    """No whole response came.

    ``sent`` is false only when not one byte of the request was handed to a
    connection, so that the request can't have run.
    """

    sent: bool
    reason: str


Outcome = Response | ExchangeFailed
