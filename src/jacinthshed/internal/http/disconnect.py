"""Notices that a client has closed while its request is handled."""

import trio

from ..timing.timer_scheduler import current_timer_scheduler
from .request_reader import RequestReader

# Requests that end sooner are not watched, as watching costs more than they do. It is
# well below the half second after which work for a client that left is a waste.
_UNWATCHED_S = 0.25


class DisconnectWatch:
    """Cancels ``connection`` when its client closes during a slow request.

    One task a connection waits for a timer that each request pushes ahead, so that a
    quick request pays for two changes of a number and not for a task of its own.
    """

    def __init__(self, *, reader: RequestReader, connection: trio.CancelScope) -> None:
        self._reader = reader
        self._connection = connection
        self._due = trio.Event()
        self._timer = current_timer_scheduler().add(self._wake)
        self._is_handling = False
        self._watching: trio.CancelScope | None = None
        self._stopped = trio.Event()

    async def run(self) -> None:
        """Watch each slow request, until cancelled."""
        while True:
            await self._due.wait()
            self._due = trio.Event()
            # A request that ended as the timer fired leaves nothing to watch.
            if self._is_handling:
                await self._watch()

    def start(self) -> None:
        """Note that a request is being handled from now on."""
        self._is_handling = True
        self._timer.set(trio.current_time() + _UNWATCHED_S)

    async def stop(self) -> None:
        """Note that the request has ended; return when the stream is free to read."""
        self._is_handling = False
        self._timer.clear()
        if self._watching is not None:
            self._watching.cancel()
            await self._stopped.wait()

    def end(self) -> None:
        """Give the timer back; no request follows."""
        current_timer_scheduler().remove(self._timer)

    def _wake(self) -> None:
        self._due.set()

    async def _watch(self) -> None:
        self._stopped = trio.Event()
        try:
            with trio.CancelScope() as self._watching:
                await self._reader.wait_for_disconnect()
                self._connection.cancel()
        finally:
            self._watching = None
            self._stopped.set()
