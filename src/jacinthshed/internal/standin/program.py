"""Main loop shared by the stand-in programs."""

import signal
from collections.abc import Awaitable, Callable

import msgspec
import trio

Serve = Callable[[trio.TaskStatus[str]], Awaitable[None]]


async def run_until_signal(name: str, serve: Serve) -> None:
    """Run ``serve`` until SIGTERM or SIGINT.

    Prints ``{"name": ..., "address": ...}`` once the address is bound.
    """

    async def serve_in_nursery(*, task_status: trio.TaskStatus[str]) -> None:
        await serve(task_status)

    async with trio.open_nursery() as nursery:
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            address = await nursery.start(serve_in_nursery)
            line = msgspec.json.encode({"name": name, "address": address})
            print(line.decode(), flush=True)
            async for _ in signals:
                nursery.cancel_scope.cancel()
                return
