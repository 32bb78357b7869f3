"""A link whose stream is closed while the node still sends on it."""

import trio

from jacinthshed.internal.bundle.model import MembershipPolicy
from jacinthshed.internal.http.network import tcp_network
from jacinthshed.internal.node.clock import Clock, trio_now_ms
from jacinthshed.internal.node.link import Link
from jacinthshed.internal.wire.frames import Heartbeat


def test_a_frame_sent_while_the_stream_is_being_closed_does_not_end_the_node():
    # The stream of a link is closed before the link itself counts as closed.
    async def main():
        async def accept(stream):
            await trio.sleep_forever()

        network = tcp_network()
        with trio.fail_after(10):
            async with trio.open_nursery() as nursery:
                address = await nursery.start(network.listen, "127.0.0.1:0", accept)
                stream = await network.connect(address)
                link = Link(
                    number=1,
                    stream=stream,
                    clock=Clock(trio_now_ms, lambda: 0),
                    policy=MembershipPolicy(),
                    on_frame=lambda channel, frame: None,
                )
                await stream.aclose()
                link.send(Heartbeat(1, echo=True))
                assert link.closed
                nursery.cancel_scope.cancel()

    trio.run(main)
