"""Reads the platform: the bundle and the list of hosts."""

from collections.abc import Callable

import trio
from returns.result import Failure, Success

from ..bundle.readers import PlatformReader, ReadAction
from ..platform.adapter import Platform, Versioned
from ..telemetry.log import LogDecision
from .clock import MS_PER_S, Clock


class PlatformTask:
    """Follows one key of the platform, as often as this node's rank permits."""

    def __init__(
        self,
        *,
        platform: Platform,
        key: str,
        reader: PlatformReader,
        clock: Clock,
        watch_ms: Callable[[], int],
        on_value: Callable[[bytes], None],
        log: LogDecision,
    ) -> None:
        self._platform = platform
        self._key = key
        self._reader = reader
        self._clock = clock
        self._watch_ms = watch_ms
        self._on_value = on_value
        self._log = log
        self._revision = 0
        self.tried = trio.Event()

    async def run(self) -> None:
        """Read or watch until cancelled; ``tried`` is set after the first call."""
        while True:
            turn = self._reader.next_turn(self._clock.now_ms(), self._key)
            if turn.action is ReadAction.WAIT:
                await trio.sleep(turn.wait_ms / MS_PER_S)
                continue
            watching = turn.action is ReadAction.WATCH
            answered = await self._call(watching)
            now_ms = self._clock.now_ms()
            self._reader.finished(now_ms, self._key, answered=answered)
            self.tried.set()

    async def _call(self, watching: bool) -> bool:
        if not watching:
            read = await self._platform.read(self._key)
            if isinstance(read, Failure):
                return self._failed(str(read.failure()))
            self._take(read.unwrap())
            return True
        watched = await self._platform.watch(
            self._key, self._revision, self._watch_ms()
        )
        match watched:
            case Success(Versioned() as value):
                self._take(value)
            case Failure(error):
                return self._failed(str(error))
        return True

    def _failed(self, detail: str) -> bool:
        self._log("platform_failed", key=self._key, reason=detail)
        return False

    def _take(self, versioned: Versioned) -> None:
        # A platform that was restored from an old state may count from below.
        if versioned.revision != self._revision:
            self._revision = versioned.revision
            self._on_value(versioned.value)
