"""What a target's decisions ask its tasks to do."""

from typing import NamedTuple

from ..wire.frames import Frame, Submit


class Dispatch(NamedTuple):
    """Send the request to the backend server, for at most ``timeout_ms``."""

    ticket: int
    submit: Submit
    timeout_ms: float


class Abort(NamedTuple):
    """Give the exchange up: nobody waits for its answer any more."""

    ticket: int


class Send(NamedTuple):
    """Send a frame on the link of that number."""

    link: int
    frame: Frame


TargetAction = Dispatch | Abort | Send
