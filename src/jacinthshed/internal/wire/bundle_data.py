"""Bundle documents in frames.

A document goes to every node after each change. Those of many routes and workspaces are
most of the bytes that nodes exchange, and compress to less than a quarter.
"""

import zlib

from .codec import MAX_FRAME_BYTES, FrameError
from .frames import BundleData

# Smaller documents gain less than the time is worth.
MIN_BYTES = 1_024
LEVEL = 6


def pack_bundle(document: bytes, *, compressed: bool) -> BundleData:
    """Return the frame that carries ``document``, ``compressed`` if it is long."""
    if not compressed or len(document) < MIN_BYTES:
        return BundleData(document)
    return BundleData(zlib.compress(document, LEVEL), True)


def unpack_bundle(data: BundleData) -> bytes:
    """Return the document in ``data``.

    Raises ``FrameError`` when it can't be decompressed, or is larger than a frame.
    """
    if not data.is_compressed:
        return data.document
    stream = zlib.decompressobj()
    try:
        document = stream.decompress(data.document, MAX_FRAME_BYTES)
    except zlib.error as error:
        raise FrameError(f"malformed compressed document: {error}") from error
    if not stream.eof:
        raise FrameError("a compressed document is incomplete or too large")
    return document
