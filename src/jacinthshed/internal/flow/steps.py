"""What a call's flow asks of the tasks around it, and what it hears back.

A flow is a generator: it yields a step and is sent the event that ends the step.
"""

from typing import NamedTuple

from ..verdict import Refusal
from ..wire.frames import Reply, Revoke, Revoked, Submit


class OpenLink(NamedTuple):
    """Have a link to ``host``; ends with ``LinkOpened`` or ``LinkFailed``."""

    host: str


class Exchange(NamedTuple):
    """Submit to ``host``; ends with ``Replied``, ``LinkFailed`` or ``TimedOut``.

    An unfenced attempt that is given up is taken back at its target.
    """

    host: str
    submit: Submit


class RevokeAll(NamedTuple):
    """Send each host its ``Revoke``; ends with ``RevokeAnswers``."""

    revokes: tuple[tuple[str, Revoke], ...]


class AnnounceFence(NamedTuple):
    """Tell the caller its fence ahead of the answer; ends with ``StepDone``."""

    fence: str


class Wait(NamedTuple):
    """Wait; ends with ``StepDone``."""

    wait_ms: float


Step = OpenLink | Exchange | RevokeAll | AnnounceFence | Wait


class LinkOpened(NamedTuple):
    """A link to that incarnation of the host's node is open."""

    incarnation: int


class Replied(NamedTuple):
    """The target replied."""

    reply: Reply


class LinkFailed(NamedTuple):
    """The link failed; ``sent`` tells whether the frame may have left."""

    sent: bool


class TimedOut(NamedTuple):
    """The call's deadline passed first."""


class RevokeAnswers(NamedTuple):
    """What each asked host answered; ``None`` for a host that could not be asked."""

    answers: tuple[tuple[str, Revoked | None], ...]


class StepDone(NamedTuple):
    """The step was carried out."""


Event = LinkOpened | Replied | LinkFailed | TimedOut | RevokeAnswers | StepDone


class CallEnd(NamedTuple):
    """How a call ended: with an answer in ``reply``, or with a refusal."""

    reply: Reply | None
    refusal: Refusal | None
    fence: str = ""
