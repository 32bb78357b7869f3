"""Steps that a call's flow yields, and events that it is resumed with.

A flow is a generator: it yields a step, and the node sends it the event that ends
the step.
"""

from typing import NamedTuple

from ..verdict import Refusal
from ..wire.frames import Reply, Revoke, Revoked, Submit


class OpenLink(NamedTuple):
    """Open a link to ``host``, unless one is open.

    Ends with ``LinkOpened`` or ``LinkFailed``.
    """

    host: str


class Exchange(NamedTuple):
    """Submit to ``host``; ends with ``Replied``, ``LinkFailed`` or ``TimedOut``.

    When the node stops waiting for an unfenced attempt, it cancels it at the target.
    While the link to ``host`` is silent, an exchange that is not ``is_repeatable``
    goes on waiting for its reply.
    """

    host: str
    submit: Submit
    is_repeatable: bool = True


class RevokeAll(NamedTuple):
    """Send each host its ``Revoke`` frame; ends with ``RevokeAnswers``."""

    revokes: tuple[tuple[str, Revoke], ...]


class AnnounceFence(NamedTuple):
    """Send the fence to the caller before the answer; ends with ``StepDone``."""

    fence: str


class Wait(NamedTuple):
    """Wait for ``wait_ms``; ends with ``StepDone``."""

    wait_ms: float


Step = OpenLink | Exchange | RevokeAll | AnnounceFence | Wait


class LinkOpened(NamedTuple):
    """The link is open; ``incarnation`` is that of the host's node."""

    incarnation: int


class Replied(NamedTuple):
    """The target sent ``reply``."""

    reply: Reply


class LinkFailed(NamedTuple):
    """The link failed; ``sent`` is true if the frame may have been sent."""

    sent: bool


class TimedOut(NamedTuple):
    """The call's deadline passed before the step ended."""


class Stopped(NamedTuple):
    """The node stops; ``sent`` is true if the frame may have been sent.

    Each later step of the call ends so too, without being carried out.
    """

    sent: bool


class RevokeAnswers(NamedTuple):
    """The answer of each host; ``None`` for a host that did not answer."""

    answers: tuple[tuple[str, Revoked | None], ...]


class StepDone(NamedTuple):
    """The step was carried out."""


Event = (
    LinkOpened | Replied | LinkFailed | TimedOut | Stopped | RevokeAnswers | StepDone
)


class CallEnd(NamedTuple):
    """The end of a call: either ``reply`` or ``refusal`` is set.

    ``fence`` is the encoded fence that the call ran under, or empty.
    """

    reply: Reply | None
    refusal: Refusal | None
    fence: str = ""
