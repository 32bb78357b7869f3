"""How a dispatched attempt ended."""

from enum import Enum


class Outcome(Enum):
    """End of one dispatch to the backend server.

    ``REFUSED`` is the backend server's own refusal for load. ``FAILED`` covers every
    other error; its latency says nothing about load.
    """

    OK = "ok"
    REFUSED = "refused"
    FAILED = "failed"
    TIMED_OUT = "timed-out"
    CANCELLED = "cancelled"
