"""Counts of the frames and bytes that a node sends to other nodes."""

import re
from collections.abc import Iterator
from typing import NamedTuple

OWN_ZONE = "own-zone"
OTHER_ZONE = "other-zone"


class Sent(NamedTuple):
    """What was sent of one type of frame to the peers of one kind of zone."""

    frame: str
    zone: str
    frames: int
    payload_bytes: int


class _Count:
    """Frames of one type; changed in place, which costs one dictionary lookup."""

    __slots__ = ("frames", "payload_bytes")

    def __init__(self) -> None:
        self.frames = 0
        self.payload_bytes = 0


_Counts = dict[type, _Count]


class Traffic:
    """Counts of one node since its start, by type of frame and zone of the peer.

    The bytes are those of the frames with their length prefixes. Headers of packets,
    and what the network repeats, aren't known here.
    """

    def __init__(self) -> None:
        self._counts: dict[str, _Counts] = {OWN_ZONE: {}, OTHER_ZONE: {}}

    def new_link(self, own_zone: str) -> "LinkTraffic":
        """Return the counter of a new link of a node in ``own_zone``."""
        return LinkTraffic(own_zone=own_zone, counts=self._counts)

    def sent(self) -> Iterator[Sent]:
        """Yield the counts of each type of frame that was sent."""
        for zone, counts in self._counts.items():
            for frame_type, count in counts.items():
                name = _snake_case(frame_type.__name__)
                yield Sent(name, zone, count.frames, count.payload_bytes)

    def totals(self) -> dict[str, int]:
        """Return the counts by metric name."""
        totals = {}
        for frame, zone, frames, payload_bytes in self.sent():
            totals[f"sent_frames.{frame}.{zone}"] = frames
            totals[f"sent_bytes.{frame}.{zone}"] = payload_bytes
        return totals


class LinkTraffic:
    """Counts what is sent on one link.

    The zone of the peer is unknown until its hello arrives. What was sent before is
    counted then. Nothing is counted for a peer that sends no hello, or whose hello
    names no host: that is a client that asks for the status.
    """

    def __init__(self, *, own_zone: str, counts: dict[str, _Counts]) -> None:
        self._own_zone = own_zone
        self._all_counts = counts
        self._counts: _Counts = {}

    def count(self, frame_type: type, data: bytes) -> bytes:
        """Count an encoded frame, unless it is empty, and return it."""
        if not data:
            return data
        count = self._counts.get(frame_type)
        if count is None:
            count = self._counts[frame_type] = _Count()
        count.frames += 1
        count.payload_bytes += len(data)
        return data

    def peer_known(self, host: str, zone: str) -> None:
        """Count for the zone of the peer from now on, and what was sent before."""
        if not host:
            return
        before = self._counts
        is_own = zone == self._own_zone
        self._counts = self._all_counts[OWN_ZONE if is_own else OTHER_ZONE]
        for frame_type, sent in before.items():
            count = self._counts.setdefault(frame_type, _Count())
            count.frames += sent.frames
            count.payload_bytes += sent.payload_bytes


def _snake_case(name: str) -> str:
    return re.sub(r"(?<!^)(?=[A-Z])", "_", name).lower()
