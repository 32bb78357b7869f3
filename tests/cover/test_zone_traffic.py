"""Counts of what a node sends to other nodes, by type of frame and by zone."""

from collections import Counter

import trio
import trio.testing

from jacinthshed.internal.bundle.model import MembershipPolicy
from jacinthshed.internal.flow.backend_outcome import BackendAnswer
from jacinthshed.internal.flow.replies import answer_reply
from jacinthshed.internal.node.clock import Clock, trio_now_ms
from jacinthshed.internal.node.fetch_status import fetch_status
from jacinthshed.internal.node.link import Link
from jacinthshed.internal.node.one_shot import OneShot
from jacinthshed.internal.telemetry.exposition import metrics_page
from jacinthshed.internal.telemetry.metrics import Metrics
from jacinthshed.internal.telemetry.traffic import Traffic
from jacinthshed.internal.wire.codec import (
    MAX_FRAME_BYTES,
    PROTOCOL_VERSION,
    FrameBuffer,
    encode,
)
from jacinthshed.internal.wire.frames import Gossip, Heartbeat, Hello
from jacinthshed.internal.wire.pieces import PIECE_BYTES
from tests.common.fleet import run_virtual, running_fleet
from tests.common.members import ZONES, member
from tests.common.policies import (
    THREE_DEEP_LAYOUT,
    THREE_DEEP_OPTIONS,
    three_deep_bundle,
)

BODY = b"x" * (3 * PIECE_BYTES + 7)
FRAMES = [
    Heartbeat(1, echo=False),
    Gossip(0, (member("host-3"),), False, 0, b"", ()),
    Heartbeat(2, echo=False),
    answer_reply("request-1", BackendAnswer(200, (), BODY)),
]


class WireStream:
    """A stream that counts the bytes and the frames which are sent on it."""

    def __init__(self, stream):
        self.sent_bytes = 0
        self.sent_frames = Counter()
        self._buffer = FrameBuffer()
        self._stream = stream

    async def send_all(self, data):
        self.sent_bytes += len(data)
        for frame in self._buffer.feed(data):
            self.sent_frames[type(frame).__name__] += 1
        await self._stream.send_all(data)

    async def receive_some(self, max_bytes=None):
        return await self._stream.receive_some(max_bytes)

    async def aclose(self):
        await self._stream.aclose()

    async def __aenter__(self):
        return self

    async def __aexit__(self, *args):
        await self.aclose()


def hello(host, zone):
    record = member(host, availability_zone=zone)
    return Hello(PROTOCOL_VERSION, record, 0, b"")


def send_all(frames, own_zone, peer_zone):
    """Send ``frames`` on a new link; return the counts, and the stream of the link."""
    traffic = Traffic()

    async def main():
        ours, theirs = trio.testing.memory_stream_pair()
        stream = WireStream(ours)
        links = [
            Link(
                number=number,
                stream=end,
                clock=Clock(trio_now_ms, lambda: 0),
                policy=MembershipPolicy(),
                on_frame=lambda channel, frame: None,
                traffic=counter,
            )
            for number, (end, counter) in enumerate(
                [(stream, traffic.new_link(own_zone)), (theirs, None)]
            )
        ]
        hellos = [hello("host-1", own_zone), hello("host-2", peer_zone)]
        async with trio.open_nursery() as nursery:
            opened = OneShot()
            nursery.start_soon(links[0].run, hellos[0], opened)
            nursery.start_soon(links[1].run, hellos[1], OneShot())
            await opened.wait()
            for frame in frames:
                links[0].send(frame)
            await links[0].flushed()
            nursery.cancel_scope.cancel()
        return stream

    return traffic, trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_every_byte_on_the_wire_is_counted():
    """Guards against a hello, or pieces of a large body, that no count contains."""
    traffic, stream = send_all(FRAMES, ZONES[0], ZONES[1])
    sent = list(traffic.sent())
    assert {entry.zone for entry in sent} == {"other-zone"}
    assert sum(entry.payload_bytes for entry in sent) == stream.sent_bytes
    assert {entry.frame: entry.frames for entry in sent} == {
        "hello": 1,
        "heartbeat": 2,
        "gossip": 1,
        "large_body": 1,
        "body_piece": 4,
    }
    assert stream.sent_frames.total() == sum(entry.frames for entry in sent)


def test_a_frame_to_a_peer_in_the_own_zone_is_not_counted_as_between_zones():
    """Guards against a count that takes every peer for one in another zone."""
    traffic, _ = send_all(FRAMES, ZONES[1], ZONES[1])
    assert {entry.zone for entry in traffic.sent()} == {"own-zone"}


def test_a_frame_that_cannot_be_encoded_is_not_counted():
    """Guards against bytes in the counts that were never sent."""
    too_large = Gossip(0, (), False, 0, b"x" * (MAX_FRAME_BYTES + 1), ())
    traffic, stream = send_all([too_large], ZONES[0], ZONES[1])
    assert sum(entry.payload_bytes for entry in traffic.sent()) == stream.sent_bytes


def test_nothing_is_counted_for_a_client_that_asks_for_the_status():
    """Guards against status documents in the traffic between zones."""
    traffic = Traffic()
    link = traffic.new_link(ZONES[0])
    link.count(Hello, encode(hello("host-1", ZONES[0])))
    link.peer_known("", "")
    link.count(Heartbeat, encode(FRAMES[0]))
    assert list(traffic.sent()) == []


def test_a_flush_sends_what_was_added_since_the_last_one():
    """Guards against totals that statsd adds up again at every flush."""
    metrics, sent = Metrics(), []

    class Pipeline:
        def incr(self, stat, count):
            sent.append((stat, count))

        def send(self):
            sent.append("flush")

    link = metrics.traffic.new_link(ZONES[0])
    link.peer_known("host-2", ZONES[1])
    for frame_count in (2, 0, 1):
        for _ in range(frame_count):
            link.count(Gossip, b"x" * 58)
        metrics.flush(Pipeline())
    assert sent == [
        ("sent_frames.gossip.other-zone", 2),
        ("sent_bytes.gossip.other-zone", 116),
        "flush",
        "flush",
        ("sent_frames.gossip.other-zone", 1),
        ("sent_bytes.gossip.other-zone", 58),
        "flush",
    ]


def test_the_nodes_of_a_fleet_count_what_they_send():
    """Guards against links whose counts no metrics contain."""

    async def main():
        async with running_fleet(
            THREE_DEEP_LAYOUT, three_deep_bundle(), THREE_DEEP_OPTIONS
        ) as fleet:
            for _ in range(10):
                await fleet.caller("orders-0").request("GET", "/orders/lookup")
            status = await fetch_status(
                fleet.connect, f"{fleet['orders-0'].ip}:3", timeout_ms=1_000
            )
            assert status.unwrap()["host"] == "orders-0"
            return metrics_page(fleet["orders-0"].metrics, {}).decode()

    page = run_virtual(main)
    counts = dict(
        line.rsplit(" ", 1) for line in page.splitlines() if "jacinthshed_sent" in line
    )
    for name in ("frames", "bytes"):
        for label in (
            'frame="gossip",zone="other-zone"',
            'frame="hello",zone="other-zone"',
            'frame="submit",zone="own-zone"',
        ):
            assert float(counts[f"jacinthshed_sent_{name}_total{{{label}}}"]) > 0
    assert "status_data" not in page
