"""Graceful end of a listener's connections."""

from collections.abc import Iterator
from contextlib import contextmanager

import trio

# Bytes that reached the kernel just before the drain are still read as a request.
_LINGER_S = 0.02


class Drain:
    """Tells the connections of a listener that no further request is wanted.

    Connections that wait for a request are closed at once; the others answer the
    request in hand and then close.
    """

    def __init__(self) -> None:
        self.started = False
        self._idle: set[trio.CancelScope] = set()
        self._open = 0

    @property
    def busy_connections(self) -> int:
        """How many connections are not waiting for a request.

        They read one, serve one, or write what belongs to one.
        """
        return self._open - len(self._idle)

    @contextmanager
    def connection(self) -> Iterator[None]:
        """Count a connection for the length of the block."""
        self._open += 1
        try:
            yield
        finally:
            self._open -= 1

    def start(self) -> None:
        """Close idle connections, and each other one after its current request."""
        self.started = True
        deadline = trio.current_time() + _LINGER_S
        for scope in self._idle:
            scope.deadline = min(scope.deadline, deadline)

    def enter_idle(self, scope: trio.CancelScope) -> None:
        """Note that ``scope`` waits for the first byte of a request."""
        self._idle.add(scope)
        if self.started:
            scope.deadline = min(scope.deadline, trio.current_time() + _LINGER_S)

    def leave_idle(self, scope: trio.CancelScope) -> None:
        """Note that ``scope`` waits no more."""
        self._idle.discard(scope)
