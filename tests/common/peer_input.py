"""Strategies of peer input: frames, arrays with arbitrary fields, and other bytes."""

import struct

import msgpack
from hypothesis import strategies as st

from jacinthshed.internal.wire.codec import (
    FRAME_TYPES,
    PROTOCOL_VERSION,
    FrameError,
    encode,
)
from jacinthshed.internal.wire.frames import Hello, MemberRecord

PEER = MemberRecord("peer", 1, "live", 0, "orders", "zone-a", "10.7.7.7:3", 0)
HELLO = encode(Hello(PROTOCOL_VERSION, PEER, 0, b""))

_plain = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(-(2**63), 2**64 - 1),
    st.floats(),
    st.text(max_size=8),
    st.binary(max_size=8),
    st.sampled_from(["live", "gone", "k", "not-run", "orders-0", "lookup", "book"]),
)
_values = st.recursive(_plain, lambda inner: st.lists(inner, max_size=4), max_leaves=8)


def _pack_frame(type_number, fields):
    payload = msgpack.packb([type_number, *fields])
    return struct.pack(">I", len(payload)) + payload


def frames_with_any_fields():
    """Return a strategy of framed arrays, few of which are valid frames."""
    type_numbers = st.integers(-1, len(FRAME_TYPES))
    return st.builds(_pack_frame, type_numbers, st.lists(_values, max_size=18))


def typed_frames():
    """Return a strategy of encoded frames whose fields have the right types."""
    return st.sampled_from(FRAME_TYPES).flatmap(st.from_type).map(_encode_or_empty)


def _encode_or_empty(frame):
    try:
        return encode(frame)
    except FrameError:  # The frame has an integer of more than 64 bits.
        return b""


def other_bytes():
    """Return a strategy of bytes that are not frames."""
    return st.one_of(
        st.binary(max_size=64),
        st.just(b"\xff\xff\xff\xff"),
        st.just(b"GET / HTTP/1.1\r\n\r\n"),
    )
