"""Ends the calls in progress at a node that stops."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager

Interrupt = Callable[[], None]


class CallStop:
    """Tells the calls in progress that the node stops, in two stages.

    First no more attempts are sent, and those that were sent may still be answered.
    Then the wait for their answers ends too.
    """

    def __init__(self) -> None:
        self.sending_ended = False
        self.waiting_ended = False
        self._before_sending: set[Interrupt] = set()
        self._while_waiting: set[Interrupt] = set()

    def end_sending(self) -> None:
        """Interrupt the steps of calls that prepare an attempt."""
        self.sending_ended = True
        for interrupt in list(self._before_sending):
            interrupt()

    def end_waiting(self) -> None:
        """Interrupt the wait for answers to attempts that were sent."""
        self.waiting_ended = True
        for interrupt in list(self._while_waiting):
            interrupt()

    @contextmanager
    def before_sending(self, interrupt: Interrupt) -> Iterator[None]:
        """Call ``interrupt`` when sending ends during the block."""
        with _added(self._before_sending, interrupt):
            yield

    @contextmanager
    def while_waiting(self, interrupt: Interrupt) -> Iterator[None]:
        """Call ``interrupt`` when waiting ends during the block."""
        with _added(self._while_waiting, interrupt):
            yield


@contextmanager
def _added(interrupts: set[Interrupt], interrupt: Interrupt) -> Iterator[None]:
    interrupts.add(interrupt)
    try:
        yield
    finally:
        interrupts.discard(interrupt)
