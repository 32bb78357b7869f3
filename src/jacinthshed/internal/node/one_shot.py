"""A value that one task waits for and another one sets."""

from typing import Generic, TypeVar, cast

import trio

T = TypeVar("T")


class OneShot(Generic[T]):
    """Holds the first value that is set; later values are dropped."""

    __slots__ = ("_event", "_value")

    def __init__(self) -> None:
        self._event = trio.Event()
        self._value: T | None = None

    def set(self, value: T) -> None:
        """Set the value, unless it is already set."""
        if not self._event.is_set():
            self._value = value
            self._event.set()

    async def wait(self) -> T:
        """Return the value once it is set."""
        await self._event.wait()
        return cast(T, self._value)
