"""What admission decides about one attempt."""

from typing import NamedTuple

from ..verdict import Reason


class Start(NamedTuple):
    """The attempt has a slot and is to be dispatched now."""

    ticket: int


class Refuse(NamedTuple):
    """The attempt never starts here.

    ``retry_after_ms`` is the wait in milliseconds before a resend makes sense.
    """

    ticket: int
    reason: Reason
    retry_after_ms: int


Decision = Start | Refuse
