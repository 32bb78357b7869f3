"""A body whose bytes stay in the account for as long as anything refers to it."""

import weakref

from .account import Holding, MemoryAccount


class HeldBody(bytearray):
    """Bytes that are charged to ``holding`` until the last reference is gone.

    A request waits at several places, for which none has to release it. A body of known
    size is ``filled`` from its start, as growing would take more than its size.
    """

    holding: Holding
    filled: int = 0

    @property
    def is_full(self) -> bool:
        """Whether all bytes of a body of known size have come."""
        return self.filled == len(self)

    def fill(self, data: bytes) -> None:
        """Put ``data`` after what was filled before; it must fit."""
        end = self.filled + len(data)
        self[self.filled : end] = data
        self.filled = end


def held_body(
    account: MemoryAccount, holding: Holding, size_bytes: int = 0
) -> HeldBody:
    """Return a body of ``size_bytes``; ``holding`` is closed when it is freed."""
    body = HeldBody(size_bytes)
    body.holding = holding
    weakref.finalize(body, account.close, holding).atexit = False
    return body
