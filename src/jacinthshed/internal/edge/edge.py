"""The spelling of requests and answers, behind a few functions."""

from collections.abc import Callable
from typing import NamedTuple

from returns.result import Result

from ..flow.backend_outcome import JudgeAnswer
from ..flow.intake import Arrival, Intake
from ..flow.policy import Policy
from ..flow.steps import CallEnd
from ..http.exchange import AcceptAnswer
from ..http.message import Headers, Request, Response
from ..verdict import Refusal
from ..wire.frames import Reply, Submit


class Edge(NamedTuple):
    """What an entry and a target's node know of the headers around them.

    ``request_id`` gives the id that a caller names, or ``None``; ``parent_id`` what
    would be the id of the request that makes this call, or ``""``. ``read_call``
    matches a whole request to its route. ``refuse_early`` corrects a refusal by what
    the request's headers prove before anything is sent. ``refused`` and ``answered``
    make the response of a request id. ``backend_request`` makes the request that the
    target gets, with the milliseconds that are left; ``accepts`` tells its answer from
    a stray one. ``judge`` tells what an answer proves, ``None`` when it is one to pass
    on; ``is_failed`` whether another target may better it.
    """

    request_id: Callable[[Headers], str | None]
    parent_id: Callable[[Headers], str]
    read_call: Callable[[Request, Arrival, Policy], Result[Intake, Refusal]]
    refuse_early: Callable[[Headers, Refusal], Refusal]
    refused: Callable[[str, Refusal], Response]
    answered: Callable[[str, CallEnd], Response]
    backend_request: Callable[[Submit, float], Request]
    accepts: Callable[[Submit], AcceptAnswer | None]
    judge: JudgeAnswer
    is_failed: Callable[[Reply], bool]
