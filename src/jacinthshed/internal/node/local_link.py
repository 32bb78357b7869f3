"""The way from a node to its own target, without a socket."""

from collections.abc import Callable

from ..wire.frames import Frame, Hello
from .link import FrameHandler, LinkEvent
from .one_shot import OneShot

LOCAL_LINK_NUMBER = 0


class LocalLink:
    """Hands each frame that is sent on it straight back to its own node."""

    def __init__(self, *, hello: Callable[[], Hello], on_frame: FrameHandler) -> None:
        self.number = LOCAL_LINK_NUMBER
        self._hello = hello
        self.exchanges: dict[str, OneShot[LinkEvent]] = {}
        self._on_frame = on_frame

    @property
    def peer(self) -> Hello | None:
        """This node as it is now; its incarnation may be renewed."""
        return self._hello()

    def send(self, frame: Frame) -> None:
        """Deliver ``frame`` at once."""
        self._on_frame(self, frame)
