"""Framing: a four-byte length, then a msgpack array of kind and fields."""

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
)
from .targets import TargetsData, TargetsRequest

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
)
_KIND_NUMBERS = {kind: number for number, kind in enumerate(FRAME_TYPES)}


class FrameError(Exception):
    """The peer sent bytes that are no frame; its link has to be closed."""


def encode(frame: Frame) -> bytes:
    """Return ``frame`` as bytes for the wire.

    Raises ``FrameError`` when the frame is larger than ``MAX_FRAME_BYTES`` or holds
    an integer of more than 64 bits.
    """
    try:
        payload = msgpack.packb([_KIND_NUMBERS[type(frame)], *frame])
    except (OverflowError, ValueError) as error:
        raise FrameError(f"{type(frame).__name__}: {error}") from error
    if len(payload) > MAX_FRAME_BYTES:
        raise FrameError(
            f"frame of {len(payload)} bytes exceeds the limit of {MAX_FRAME_BYTES}"
        )
    return _LENGTH.pack(len(payload)) + payload


def decode(payload: bytes) -> Frame:
    """Return the frame in ``payload``, without its length prefix.

    Raises ``FrameError`` when it is not a frame of this protocol.
    """
    try:
        kind, *fields = msgpack.unpackb(payload, use_list=True, strict_map_key=True)
        return msgspec.convert(fields, FRAME_TYPES[kind])
    except (ValueError, TypeError, IndexError, msgpack.UnpackException) as error:
        raise FrameError(f"malformed frame: {error}") from error


class FrameBuffer:
    """Collects received bytes until they hold whole frames."""

    def __init__(self) -> None:
        self._bytes = bytearray()

    def feed(self, data: bytes | bytearray) -> Iterator[Frame]:
        """Add ``data`` and yield each frame that is complete.

        Raises ``FrameError`` on an oversize or malformed frame.
        """
        self._bytes += data
        while len(self._bytes) >= _LENGTH.size:
            (length,) = _LENGTH.unpack_from(self._bytes)
            if length > MAX_FRAME_BYTES:
                raise FrameError(
                    f"peer announces a frame of {length} bytes; "
                    f"the limit is {MAX_FRAME_BYTES}"
                )
            end = _LENGTH.size + length
            if len(self._bytes) < end:
                return
            payload = bytes(self._bytes[_LENGTH.size : end])
            del self._bytes[:end]
            yield decode(payload)
