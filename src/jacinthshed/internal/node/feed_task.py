"""Follows one feed: the policy, or the list of hosts or targets."""

from collections.abc import Callable

import trio
from returns.result import Failure

from ..bundle.read_scheduler import ReadAction, ReadScheduler
from ..discovery.feed import Feed
from ..telemetry.log import LogDecision
from .clock import MS_PER_S, Clock


class FeedTask:
    """Reads one feed as often as this node's rank permits.

    ``tried`` is set after the first call, ``has_answered`` after the first good one.
    ``on_regained`` hears how long no call succeeded, before the first reading after it
    is taken in.
    """

    def __init__(
        self,
        *,
        feed: Feed,
        reader: ReadScheduler,
        clock: Clock,
        watch_ms: Callable[[], int],
        on_regained: Callable[[float], None],
        log: LogDecision,
    ) -> None:
        self._feed = feed
        self._reader = reader
        self._clock = clock
        self._watch_ms = watch_ms
        self._log = log
        self._on_regained = on_regained
        self._lost_ms: float | None = None
        self.tried = trio.Event()
        self.has_answered = False

    async def run(self) -> None:
        """Read or watch until cancelled."""
        key = self._feed.key
        while True:
            turn = self._reader.decide(self._clock.now_ms(), key)
            if turn.action is ReadAction.WAIT:
                await trio.sleep(turn.wait_ms / MS_PER_S)
                continue
            if turn.action is ReadAction.WATCH:
                result = await self._feed.watch(self._watch_ms())
            else:
                result = await self._feed.read()
            answered = not isinstance(result, Failure)
            if answered:
                self.has_answered = True
                self._regained()
                result.unwrap()()
            else:
                if self._lost_ms is None:
                    self._lost_ms = self._clock.now_ms()
                self._log("platform_failed", key=key, reason=str(result.failure()))
            self._reader.read_finished(self._clock.now_ms(), key, answered=answered)
            self.tried.set()

    def _regained(self) -> None:
        if self._lost_ms is None:
            return
        outage_ms = self._clock.now_ms() - self._lost_ms
        self._lost_ms = None
        self._log("platform_regained", key=self._feed.key, outage_ms=round(outage_ms))
        self._on_regained(outage_ms)
