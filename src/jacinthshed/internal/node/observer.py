"""What the exchanges of calls teach a node about their targets."""

from collections.abc import Callable
from typing import NamedTuple

from ..wire.frames import Reply


class ExchangeObserver(NamedTuple):
    """Hears of each exchange of one call.

    ``sent`` gets the host; ``ended`` gets it with the reply, or ``None`` when the
    exchange broke or was given up.
    """

    sent: Callable[[str], None]
    ended: Callable[[str, Reply | None], None]
