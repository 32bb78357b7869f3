"""The large bodies that are on their way on one link, in both directions."""

from collections import deque
from collections.abc import Callable, Iterator
from itertools import count
from typing import NamedTuple, TypeGuard

from ..memory.account import Holding, Kind, MemoryAccount
from ..memory.body import HeldBody, held_body
from ..verdict import Reason, Refusal, Verdict
from ..wire.codec import FrameError, decode, encode, encode_payload
from ..wire.frames import Frame, Reply, Submit
from ..wire.pieces import (
    MAX_INLINE_BODY_BYTES,
    BodyDecision,
    BodyPiece,
    LargeBody,
    split_body,
)
from .replies import refusal_reply

NO_ROOM_RETRY_AFTER_MS = 500
# Nothing was passed to the target yet, so it has not run.
REFUSED_REQUEST = Refusal(
    Verdict.NOT_RUN,
    Reason.SHED,
    NO_ROOM_RETRY_AFTER_MS,
    "the target's node has no room for the body",
)
LOST_ANSWER = Refusal(
    Verdict.MAY_HAVE_RUN,
    Reason.BACKEND_FAILED,
    detail="the entry node has no room for the answer",
)


LargeFrame = Submit | Reply


def is_large(frame: Frame) -> TypeGuard[LargeFrame]:
    """Return whether the body of ``frame`` travels in pieces."""
    return isinstance(frame, Submit | Reply) and len(frame.body) > MAX_INLINE_BODY_BYTES


class OutgoingBodies:
    """Bodies that are sent piece by piece, one piece of each in turn.

    The pieces of a body follow once the receiver has accepted it. ``is_wanted`` returns
    whether the exchange of a frame is still awaited.
    """

    def __init__(self, *, is_wanted: Callable[[Frame], bool]) -> None:
        self._is_wanted = is_wanted
        self._numbers = count(1)
        self._announced: dict[int, LargeFrame] = {}
        self._accepted: deque[tuple[int, LargeFrame, Iterator[BodyPiece]]] = deque()

    def __len__(self) -> int:
        return len(self._announced) + len(self._accepted)

    def announce(self, frame: LargeFrame) -> LargeBody:
        """Return the announcement of the body of ``frame``.

        Raises ``FrameError`` when the frame can't be encoded.
        """
        number = next(self._numbers)
        head = encode_payload(frame._replace(body=b""))
        self._announced[number] = frame
        return LargeBody(number, head, len(frame.body))

    def decided(self, decision: BodyDecision) -> None:
        """Send the pieces of a body from now on, or forget it."""
        number = decision.number
        frame = self._announced.pop(number, None)
        if frame is not None and decision.is_accepted:
            self._accepted.append((number, frame, split_body(number, frame.body)))

    def next_piece(self) -> bytes:
        """Return the next encoded piece, or ``b""`` if there is none."""
        while self._accepted:
            number, frame, pieces = self._accepted.popleft()
            if not self._is_wanted(frame):
                return encode(BodyPiece(number, b""))
            piece = next(pieces, None)
            if piece is not None:
                self._accepted.append((number, frame, pieces))
                return encode(piece)
        return b""


class _Incoming(NamedTuple):
    frame: LargeFrame
    body: HeldBody


class IncomingBodies:
    """Puts the pieces of bodies together, each charged to ``memory`` before it comes.

    ``decide`` is called with the number of each body and whether its pieces may come.
    """

    def __init__(
        self, *, memory: MemoryAccount, decide: Callable[[int, bool], None]
    ) -> None:
        self._memory = memory
        self._decide = decide
        self._incoming: dict[int, _Incoming] = {}
        self._is_closed = False

    def begin(self, announced: LargeBody) -> Reply | None:
        """Make room for a body, or return the refusal of the frame it belongs to.

        A request is refused when there is no room now. A reply waits for it at its
        sender. Raises ``FrameError`` when the announcement is invalid.
        """
        number, encoded, body_bytes = announced
        frame = decode(encoded)
        if not isinstance(frame, Submit | Reply) or body_bytes <= 0:
            raise FrameError("a large body follows a submit or a reply only")
        if isinstance(frame, Submit):
            holding = self._memory.open(Kind.REQUEST)
            if not self._memory.resize(holding, body_bytes):
                self._memory.close(holding)
                self._decide(number, False)
                return _refusal(frame, REFUSED_REQUEST)
        elif body_bytes > self._memory.largest_bytes:
            self._decide(number, False)
            return _refusal(frame, LOST_ANSWER)
        else:
            holding = self._memory.open(Kind.ANSWER)
        if isinstance(frame, Submit):
            self._accept(number, frame, holding, body_bytes)
            return None
        self._memory.resize_later(
            holding,
            body_bytes,
            lambda: self._accept(number, frame, holding, body_bytes),
        )
        return None

    def _accept(
        self, number: int, frame: LargeFrame, holding: Holding, body_bytes: int
    ) -> None:
        body = held_body(self._memory, holding, body_bytes)
        if not self._is_closed:
            self._incoming[number] = _Incoming(frame, body)
            self._decide(number, True)

    def close(self) -> None:
        """Drop all bodies, as the link has ended."""
        self._is_closed = True
        self._incoming.clear()

    def add(self, piece: BodyPiece) -> LargeFrame | None:
        """Append ``piece``; return the frame once its body is complete.

        Raises ``FrameError`` when a body is longer than announced.
        """
        incoming = self._incoming.get(piece.number)
        if incoming is None:
            return None
        if not piece.data:
            del self._incoming[piece.number]
            return None
        body = incoming.body
        if body.filled + len(piece.data) > len(body):
            raise FrameError(f"body {piece.number} is longer than announced")
        body.fill(piece.data)
        if not body.is_full:
            return None
        del self._incoming[piece.number]
        return incoming.frame._replace(body=body)


def _refusal(frame: LargeFrame, refusal: Refusal) -> Reply:
    reply = refusal_reply(frame.request_id, refusal)
    return reply._replace(allowance=frame.allowance)
