"""A whole answer, as a caller gets it."""

from typing import NamedTuple

from ..http.message import Headers
from ..verdict import Verdict


class Answer(NamedTuple):
    """What a backend server answered.

    ``verdict`` is ``RAN``, except for an error status from which it can't be told
    whether the request ran. ``request_id`` finds the request in the nodes' logs.
    """

    status: int
    headers: Headers
    body: bytes
    verdict: Verdict
    request_id: str
