"""The response to a request, as the caller library returns it."""

from typing import NamedTuple

from ..http.message import Headers
from ..verdict import Verdict


class Answer(NamedTuple):
    """The complete response of a backend server.

    ``verdict`` is ``RAN``, except for an error status that leaves open whether the
    request ran. ``request_id`` identifies the request in the logs of the nodes.
    """

    status: int
    headers: Headers
    body: bytes
    verdict: Verdict
    request_id: str
