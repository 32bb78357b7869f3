"""The interface between HTTP messages and the calls and frames of the system."""

from collections.abc import Callable
from typing import NamedTuple

from returns.result import Result

from ..flow.backend_outcome import AnswerCheck
from ..flow.call_reader import Arrival, ParsedCall
from ..flow.policy import Policy
from ..flow.steps import CallEnd
from ..http.exchange import ResponseMatcher
from ..http.message import Headers, Request, Response
from ..verdict import Refusal
from ..wire.frames import Reply, Submit


class HttpAdapter(NamedTuple):
    """Conversions between HTTP messages and the calls and frames inside the system.

    ``request_id`` gives the id that a caller names, or ``None``; ``parent_id`` what
    would be the id of the request that makes this call, or ``""``. ``read_call``
    matches a complete request to its route. ``refusal_before_send`` sets the verdict
    that the headers prove on a refusal made before anything is sent.
    ``refusal_response`` and ``call_response`` build the response to a request id.
    ``backend_request`` builds the request that the backend server of the
    target gets, with the milliseconds that are left; ``accepts`` tells its answer from
    a stray one. ``check_answer`` gives the refusal that an answer stands for, or
    ``None`` to forward it; ``is_failed`` whether another target may do better.
    """

    request_id: Callable[[Headers], str | None]
    parent_id: Callable[[Headers], str]
    read_call: Callable[[Request, Arrival, Policy], Result[ParsedCall, Refusal]]
    refusal_before_send: Callable[[Headers, Refusal], Refusal]
    refusal_response: Callable[[str, Refusal], Response]
    call_response: Callable[[str, CallEnd], Response]
    backend_request: Callable[[Submit, float], Request]
    accepts: Callable[[Submit], ResponseMatcher | None]
    check_answer: AnswerCheck
    is_failed: Callable[[Reply], bool]
