"""The connections that callers hold to a node's entry."""

from collections.abc import Iterator
from contextlib import contextmanager

import trio


class CallerConnections:
    """Closes all callers' connections at once after a sleep that outlived the fences.

    What waits in them may be a copy of a key that was proven new elsewhere since.
    """

    def __init__(self) -> None:
        self._scopes: set[trio.CancelScope] = set()

    @contextmanager
    def connection(self) -> Iterator[None]:
        """Serve one connection inside the block."""
        with trio.CancelScope() as scope:
            self._scopes.add(scope)
            try:
                yield
            finally:
                self._scopes.discard(scope)

    def close_all(self) -> None:
        """End every connection that is open now, without an answer."""
        for scope in self._scopes:
            scope.cancel()
