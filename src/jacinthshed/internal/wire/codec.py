"""Frame encoding.

Each frame is a four-byte big-endian length, followed by a msgpack array that holds the
number of the frame's type and its fields.
"""

import struct
from collections.abc import Iterator

import msgpack
import msgspec

from .frames import (
    BundleData,
    BundleRequest,
    Cancel,
    Frame,
    Gossip,
    Heartbeat,
    Hello,
    Leaving,
    Reply,
    Revoke,
    Revoked,
    StatusData,
    StatusRequest,
    Submit,
    Unanswered,
    Withdraw,
)
from .pieces import BodyDecision, BodyPiece, LargeBody
from .targets import TargetsData, TargetsList, TargetsRequest
from .usage import UsageReport, UsageShare

PROTOCOL_VERSION = 2
MAX_FRAME_BYTES = 8 * 1024 * 1024

_LENGTH = struct.Struct(">I")
FRAME_TYPES: tuple[type, ...] = (
    Hello,
    Submit,
    Reply,
    Cancel,
    Revoke,
    Revoked,
    Gossip,
    Heartbeat,
    Leaving,
    BundleRequest,
    BundleData,
    StatusRequest,
    StatusData,
    TargetsRequest,
    TargetsData,
    TargetsList,
    Withdraw,
    Unanswered,
    LargeBody,
    BodyPiece,
    BodyDecision,
    UsageReport,
    UsageShare,
)
_FRAME_TYPE_NUMBERS = {
    frame_type: number for number, frame_type in enumerate(FRAME_TYPES)
}


class FrameError(Exception):
    """A frame can't be encoded, or a peer sent bytes that can't be decoded.

    After a decoding error the link has to be closed.
    """


def encode(frame: Frame) -> bytes:
    """Return the encoded ``frame``, including its length prefix.

    Raises ``FrameError`` when the frame is larger than ``MAX_FRAME_BYTES`` or contains
    an integer of more than 64 bits.
    """
    payload = encode_payload(frame)
    if len(payload) > MAX_FRAME_BYTES:
        raise FrameError(
            f"frame of {len(payload)} bytes exceeds the limit of "
            f"{MAX_FRAME_BYTES} bytes"
        )
    return _LENGTH.pack(len(payload)) + payload


def encode_payload(frame: Frame) -> bytes:
    """Return the encoded ``frame`` without a length prefix.

    Raises ``FrameError`` when it contains an integer of more than 64 bits.
    """
    try:
        return msgpack.packb([_FRAME_TYPE_NUMBERS[type(frame)], *frame])
    except (OverflowError, ValueError) as error:
        raise FrameError(f"can't encode {type(frame).__name__}: {error}") from error


def decode(payload: bytes) -> Frame:
    """Return the frame encoded in ``payload``, which has no length prefix.

    Raises ``FrameError`` when ``payload`` is not a frame of this protocol.
    """
    try:
        type_number, *fields = msgpack.unpackb(
            payload, use_list=True, strict_map_key=True
        )
        return msgspec.convert(fields, FRAME_TYPES[type_number])
    except (ValueError, TypeError, IndexError, msgpack.UnpackException) as error:
        raise FrameError(f"malformed frame: {error}") from error


class FrameBuffer:
    """Buffers received bytes and splits them into frames."""

    def __init__(self) -> None:
        self._bytes = bytearray()

    def feed(self, data: bytes | bytearray) -> Iterator[Frame]:
        """Append ``data`` and yield each complete frame.

        Raises ``FrameError`` when a frame is larger than ``MAX_FRAME_BYTES`` or
        malformed.
        """
        self._bytes += data
        while len(self._bytes) >= _LENGTH.size:
            (length_bytes,) = _LENGTH.unpack_from(self._bytes)
            if length_bytes > MAX_FRAME_BYTES:
                raise FrameError(
                    f"peer announces a frame of {length_bytes} bytes; "
                    f"the limit is {MAX_FRAME_BYTES} bytes"
                )
            end = _LENGTH.size + length_bytes
            if len(self._bytes) < end:
                return
            payload = bytes(self._bytes[_LENGTH.size : end])
            del self._bytes[:end]
            yield decode(payload)
