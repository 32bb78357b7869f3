"""Graceful shutdown of a listener's connections."""

from collections.abc import Iterator
from contextlib import contextmanager

import trio

# A request that reached the kernel just before the drain is still read and answered.
_GRACE_S = 0.02


class Drain:
    """Drains the connections of a listener.

    Once it has started, connections that wait for a request are closed; each other
    connection is closed after the response to its current request.
    """

    def __init__(self) -> None:
        self.started = False
        self._idle_scopes: set[trio.CancelScope] = set()
        self._open_connections = 0

    @property
    def busy(self) -> int:
        """The number of connections that are not waiting for a request.

        Each receives a request, handles one, or sends a response.
        """
        return self._open_connections - len(self._idle_scopes)

    @contextmanager
    def connection(self) -> Iterator[None]:
        """Count one open connection for the duration of the ``with`` block."""
        self._open_connections += 1
        try:
            yield
        finally:
            self._open_connections -= 1

    def start(self) -> None:
        """Close idle connections, and the others after their current request."""
        self.started = True
        deadline = trio.current_time() + _GRACE_S
        for scope in self._idle_scopes:
            scope.deadline = min(scope.deadline, deadline)

    def enter_idle(self, scope: trio.CancelScope) -> None:
        """Register ``scope``, which waits for the first byte of a request, as idle."""
        self._idle_scopes.add(scope)
        if self.started:
            scope.deadline = min(scope.deadline, trio.current_time() + _GRACE_S)

    def leave_idle(self, scope: trio.CancelScope) -> None:
        """Unregister ``scope``, which has stopped waiting."""
        self._idle_scopes.discard(scope)
