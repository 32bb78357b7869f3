"""What a target's memo of fences decides about one frame."""

from typing import NamedTuple

from ..verdict import Refusal
from ..wire.frames import Reply


class Accepted(NamedTuple):
    """The request may be queued.

    The caller has to conclude the request: with ``may_dispatch`` and
    ``mark_dispatched``, or with ``refuse``.
    """


class Join(NamedTuple):
    """The key is in hand under ``request_id``; wait for the answer to that one."""

    request_id: str


class Answered(NamedTuple):
    """The key has run and this was its answer.

    The reply's ``allowance`` is 0: the unused part went back with the first copy.
    """

    reply: Reply


class Rejected(NamedTuple):
    """This fence starts nothing here; ``refusal`` says what is known of the key."""

    refusal: Refusal


class Cancelled(NamedTuple):
    """The fence is a tombstone.

    ``request_id`` names the queued request to take out of the queue, or is empty when
    none was queued.
    """

    refusal: Refusal
    request_id: str
