"""Decisions of a target's fence registry about one frame."""

from typing import NamedTuple

from ..verdict import Refusal
from ..wire.frames import Reply


class Accepted(NamedTuple):
    """The request may be queued.

    The caller has to conclude the request: with ``may_dispatch`` and
    ``mark_dispatched``, or with ``refuse``.
    """


class Join(NamedTuple):
    """The key is queued or running as ``request_id``; wait for its answer."""

    request_id: str


class Answered(NamedTuple):
    """The key has run; ``reply`` is its stored answer.

    The reply's ``allowance`` is 0, because the unused allowance was already returned
    with the answer to the first copy.
    """

    reply: Reply


class Rejected(NamedTuple):
    """This fence can't run here; ``refusal`` says what is known about the key."""

    refusal: Refusal


class Cancelled(NamedTuple):
    """The fence is now a tombstone and will never run.

    ``request_id`` names the request to remove from the queue, or is empty when none
    was queued.
    """

    refusal: Refusal
    request_id: str
