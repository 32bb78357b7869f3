"""An in-memory network, and raw bytes of HTTP messages."""

import trio
import trio.testing

from jacinthshed.internal.http.network import Network


def memory_network():
    """Return a network whose connections never leave the process."""
    listeners = {}

    async def connect(address):
        await trio.lowlevel.checkpoint()
        if address not in listeners:
            raise ConnectionRefusedError(f"nothing listens on {address}")
        accept = listeners[address]
        ours, theirs = trio.testing.memory_stream_pair()
        accept(theirs)
        return ours

    async def listen(address, handler, *, task_status=trio.TASK_STATUS_IGNORED):
        bound = address
        if address.endswith(":0"):
            bound = f"{address[:-2]}:{50_000 + len(listeners)}"
        if bound in listeners:
            raise OSError(f"{bound} is in use")
        try:
            async with trio.open_nursery() as nursery:
                listeners[bound] = lambda s: nursery.start_soon(_serve, handler, s)
                task_status.started(bound)
                await trio.sleep_forever()
        finally:
            listeners.pop(bound, None)

    return Network(connect=connect, listen=listen)


async def _serve(handler, stream):
    try:
        await handler(stream)
    finally:
        await trio.aclose_forcefully(stream)


async def receive_all(stream):
    """Return all bytes until the other end closes."""
    received = bytearray()
    try:
        while data := await stream.receive_some():
            received += data
    except trio.BrokenResourceError:
        pass
    return bytes(received)
