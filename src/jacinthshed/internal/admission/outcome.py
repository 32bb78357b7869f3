"""How a dispatched attempt ended."""

from enum import Enum


class Outcome(Enum):
    """The end of one dispatch to the backend server.

    ``REFUSED`` means that the backend server itself refused the request for load.
    ``FAILED`` covers every other error; its latency says nothing about load.
    """

    OK = "ok"
    REFUSED = "refused"
    FAILED = "failed"
    TIMED_OUT = "timed-out"
    CANCELLED = "cancelled"
