"""The open connections from callers to a node's entry."""

from collections.abc import Iterator
from contextlib import contextmanager

import trio


class CallerConnections:
    """Tracks callers' connections so that all can be closed at once.

    They are closed after a pause longer than the lifetime of a fence: a request that
    waited in one may be a copy of a key that another node has since proven *not run*.
    """

    def __init__(self) -> None:
        self._scopes: set[trio.CancelScope] = set()

    @contextmanager
    def connection(self) -> Iterator[None]:
        """Track one connection for the duration of the block."""
        with trio.CancelScope() as scope:
            self._scopes.add(scope)
            try:
                yield
            finally:
                self._scopes.discard(scope)

    def close_all(self) -> None:
        """Cancel every open connection without an answer."""
        for scope in self._scopes:
            scope.cancel()
