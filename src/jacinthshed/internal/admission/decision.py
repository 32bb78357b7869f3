"""The decisions of admission control about one attempt."""

from typing import NamedTuple

from ..verdict import Reason


class Start(NamedTuple):
    """The attempt got a slot and is to be dispatched now."""

    ticket: int


class Refuse(NamedTuple):
    """The attempt is refused and never starts at this target.

    ``retry_after_ms`` is the wait in milliseconds before a resend makes sense, or 0
    when a resend makes no sense.
    """

    ticket: int
    reason: Reason
    retry_after_ms: int


Decision = Start | Refuse
