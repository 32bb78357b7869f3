"""Frames that carry a large body in pieces, between the other frames of a link.

A body in one frame would delay every frame behind it, and be copied several times.
"""

from collections.abc import Iterator
from typing import NamedTuple

# Bodies up to this size travel in the frame that they belong to.
MAX_INLINE_BODY_BYTES = 131_072
PIECE_BYTES = 131_072


class LargeBody(NamedTuple):
    """Announces a body of ``body_bytes``, which follows in pieces.

    ``frame`` is the encoded frame that it belongs to, with an empty body. ``number``
    names the body among those on the same link.
    """

    number: int
    frame: bytes
    body_bytes: int


class BodyPiece(NamedTuple):
    """The next bytes of body ``number``; none if the sender gives it up."""

    number: int
    data: bytes


class BodyDecision(NamedTuple):
    """Tells whether the receiver takes body ``number``; its pieces may then follow."""

    number: int
    is_accepted: bool


def split_body(number: int, body: bytes) -> Iterator[BodyPiece]:
    """Yield the pieces of ``body``, each copied when it is taken."""
    for start in range(0, len(body), PIECE_BYTES):
        yield BodyPiece(number, bytes(memoryview(body)[start : start + PIECE_BYTES]))
