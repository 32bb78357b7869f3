"""Callbacks for the exchanges of a call with its targets."""

from collections.abc import Callable
from typing import NamedTuple

from ..wire.frames import Reply


class ExchangeObserver(NamedTuple):
    """Callbacks for each exchange of one call.

    ``on_sent`` takes the host. ``on_ended`` takes the host and the reply, or ``None``
    if the link broke or the exchange was abandoned.
    """

    on_sent: Callable[[str], None]
    on_ended: Callable[[str, Reply | None], None]
