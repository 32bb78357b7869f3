"""The interface between HTTP messages and the calls and frames of the system."""

from collections.abc import Callable
from typing import NamedTuple

from returns.result import Result

from ..flow.announcements import ReadAnnouncement
from ..flow.backend_outcome import AnswerCheck
from ..flow.call_reader import Arrival, ParsedCall
from ..flow.policy import Policy
from ..flow.steps import CallEnd
from ..http.matching import ResponseMatcher
from ..http.message import Headers, Request, Response
from ..verdict import Refusal
from ..wire.frames import Reply, Submit


class HttpAdapter(NamedTuple):
    """Conversions between HTTP messages and the calls and frames inside the system.

    - ``request_id`` returns the request id that the caller set, or ``None``.
    - ``parent_id`` returns the id that the headers give for the request that makes
      this call, or ``""``. There need not be a running request with that id.
    - ``read_call`` matches a complete request to its route, or returns the refusal.
    - ``refusal_before_send`` sets the verdict that the request's headers prove on a
      refusal made before anything was sent.
    - ``refusal_response`` and ``call_response`` build the response to the request
      with that id.
    - ``backend_request`` builds the request to the backend server from a ``Submit``
      frame and the time left, in milliseconds.
    - ``matcher`` returns what identifies the response to the request of this frame.
    - ``check_answer`` returns the refusal that an answer amounts to, or ``None`` to
      forward it.
    - ``read_announcement`` returns what the backend server announces in an answer.
    - ``is_failed`` returns whether another target may give a better answer.
    """

    request_id: Callable[[Headers], str | None]
    parent_id: Callable[[Headers], str]
    read_call: Callable[[Request, Arrival, Policy], Result[ParsedCall, Refusal]]
    refusal_before_send: Callable[[Headers, Refusal], Refusal]
    refusal_response: Callable[[str, Refusal], Response]
    call_response: Callable[[str, CallEnd], Response]
    backend_request: Callable[[Submit, float], Request]
    matcher: Callable[[Submit], ResponseMatcher]
    check_answer: AnswerCheck
    read_announcement: ReadAnnouncement
    is_failed: Callable[[Reply], bool]
