"""A link from a node to its own target, without a socket."""

from collections.abc import Callable

from ..wire.frames import Frame, Hello
from .link import ExchangeResult, FrameHandler
from .one_shot import OneShot

LOCAL_LINK_NUMBER = 0


class LocalLink:
    """Delivers each sent frame to its own node."""

    def __init__(self, *, hello: Callable[[], Hello], on_frame: FrameHandler) -> None:
        self.number = LOCAL_LINK_NUMBER
        self._hello = hello
        self.exchanges: dict[str, OneShot[ExchangeResult]] = {}
        self.unrepeatable: set[str] = set()
        self._on_frame = on_frame

    @property
    def peer(self) -> Hello | None:
        """This node's current hello; the incarnation in it may change."""
        return self._hello()

    def send(self, frame: Frame) -> None:
        """Deliver ``frame`` synchronously."""
        self._on_frame(self, frame)
