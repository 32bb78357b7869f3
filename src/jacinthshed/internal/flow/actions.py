"""Actions that a target's decisions return for the node to carry out."""

from typing import NamedTuple

from ..wire.frames import Frame, Submit


class Dispatch(NamedTuple):
    """Send the request to the backend server, for at most ``timeout_ms``."""

    ticket: int
    submit: Submit
    timeout_ms: float


class Abort(NamedTuple):
    """Cancel the exchange with the backend server: no caller waits for its answer."""

    ticket: int


class Send(NamedTuple):
    """Send ``frame`` on the link with the number ``link``."""

    link: int
    frame: Frame


TargetAction = Dispatch | Abort | Send
