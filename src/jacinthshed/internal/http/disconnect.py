"""Detects that a client disconnects while its request is being handled."""

import trio

from ..timing.timer_scheduler import current_timer_scheduler
from .request_reader import RequestReader

# Requests that end sooner are not watched, as a watch costs more than such a request.
# The delay is well below half a second, after which work for a client that has
# disconnected counts as wasted.
_WATCH_DELAY_S = 0.25


class DisconnectWatch:
    """Cancels ``connection`` when its client disconnects during a slow request.

    One task per connection waits for a timer that each request resets. A quick request
    then costs two updates of the timer and no task of its own.
    """

    def __init__(self, *, reader: RequestReader, connection: trio.CancelScope) -> None:
        self._reader = reader
        self._connection = connection
        self._watch_due = trio.Event()
        self._timer = current_timer_scheduler().add(self._on_timer)
        self._is_handling = False
        self._watch_scope: trio.CancelScope | None = None
        self._watch_stopped = trio.Event()

    async def run(self) -> None:
        """Watch each slow request until cancelled."""
        while True:
            await self._watch_due.wait()
            self._watch_due = trio.Event()
            # The request may have ended at the moment the timer fired.
            if self._is_handling:
                await self._watch()

    def start(self) -> None:
        """Start the timer for a request that is now being handled."""
        self._is_handling = True
        self._timer.set(trio.current_time() + _WATCH_DELAY_S)

    async def stop(self) -> None:
        """Stop watching; return when no task reads the stream any more."""
        self._is_handling = False
        self._timer.clear()
        if self._watch_scope is not None:
            self._watch_scope.cancel()
            await self._watch_stopped.wait()

    def end(self) -> None:
        """Remove the timer; the watch can't be used afterwards."""
        current_timer_scheduler().remove(self._timer)

    def _on_timer(self) -> None:
        self._watch_due.set()

    async def _watch(self) -> None:
        self._watch_stopped = trio.Event()
        try:
            with trio.CancelScope() as self._watch_scope:
                await self._reader.wait_for_disconnect()
                self._connection.cancel()
        finally:
            self._watch_scope = None
            self._watch_stopped.set()
