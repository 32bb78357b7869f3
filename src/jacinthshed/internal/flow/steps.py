"""What a call's flow asks of the tasks around it, and what it hears back.

A flow is a generator: it yields a step and is sent the event that ends the step.
"""

from typing import NamedTuple

from ..verdict import Refusal
from ..wire.frames import Reply, Revoke, Revoked, Submit


class Ready(NamedTuple):
    """Have a link to ``host``; ends with ``LinkReady`` or ``Broken``."""

    host: str


class Exchange(NamedTuple):
    """Submit to ``host``; ends with ``Replied``, ``Broken`` or ``TimedOut``.

    An unfenced attempt that is given up is taken back at its target.
    """

    host: str
    submit: Submit


class AskAll(NamedTuple):
    """Send each host its ``Revoke``; ends with ``AllAsked``."""

    asks: tuple[tuple[str, Revoke], ...]


class Announce(NamedTuple):
    """Tell the caller its fence ahead of the answer; ends with ``Done``."""

    fence: str


class Pause(NamedTuple):
    """Wait; ends with ``Done``."""

    wait_ms: float


Step = Ready | Exchange | AskAll | Announce | Pause


class LinkReady(NamedTuple):
    """A link to that incarnation of the host's node is open."""

    incarnation: int


class Replied(NamedTuple):
    """The target replied."""

    reply: Reply


class Broken(NamedTuple):
    """The link failed; ``sent`` tells whether the frame may have left."""

    sent: bool


class TimedOut(NamedTuple):
    """The call's deadline passed first."""


class AllAsked(NamedTuple):
    """What each asked host answered; ``None`` for a host that could not be asked."""

    answers: tuple[tuple[str, Revoked | None], ...]


class Done(NamedTuple):
    """The step was carried out."""


Event = LinkReady | Replied | Broken | TimedOut | AllAsked | Done


class CallEnd(NamedTuple):
    """How a call ended: with an answer in ``reply``, or with a refusal."""

    reply: Reply | None
    refusal: Refusal | None
    fence: str = ""
