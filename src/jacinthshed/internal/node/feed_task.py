"""Reads one feed: the policy, the list of hosts or the targets."""

from collections.abc import Callable

import trio
from returns.result import Failure

from ..bundle.read_decision import ReadAction, ReadDecision
from ..bundle.read_scheduler import ReadScheduler
from ..discovery.feed import Feed
from ..telemetry.log import LogDecision, get_logger
from ..workspace.freshness import known_at_ms
from .clock import MS_PER_S, Clock

log = get_logger(__name__)


class FeedTask:
    """Reads one feed as often as this node's rank permits.

    ``attempted`` is set after the first call, ``has_answered`` after the first
    successful one. Before a reading is applied, ``on_answer`` is called with the time
    from which a reading shows that entries which it lacks are gone. After that,
    ``take_read_again_ms`` returns when to read again, or ``None``. ``on_failure`` is
    called after each call that failed, with whether it is the first one. ``on_newest``
    gets the time at which an answer that was applied showed the newest state; with
    ``starts_outdated``, the first answer shows an older one.
    """

    def __init__(
        self,
        *,
        feed: Feed,
        reader: ReadScheduler,
        clock: Clock,
        on_answer: Callable[[float], None],
        take_read_again_ms: Callable[[], float | None],
        on_failure: Callable[[bool], None],
        on_newest: Callable[[float], None] | None = None,
        starts_outdated: bool = True,
        log: LogDecision,
    ) -> None:
        self.feed = feed
        self._reader = reader
        self._clock = clock
        self._log = log
        self._on_answer = on_answer
        self._take_read_again_ms = take_read_again_ms
        self._on_failure = on_failure
        self._on_newest = on_newest
        self._starts_outdated = starts_outdated
        self._failing_since_ms: float | None = None
        self._woken = trio.Event()
        self._watch_scope: trio.CancelScope | None = None
        self.attempted = trio.Event()
        self.has_answered = False

    async def run(self) -> None:
        """Read or watch until cancelled."""
        key = self.feed.key
        while True:
            turn = self._reader.decide(self._clock.now_ms(), key)
            if turn.action is ReadAction.WAIT:
                with trio.move_on_after(turn.wait_ms / MS_PER_S):
                    await self._woken.wait()
                self._woken = trio.Event()
                continue
            try:
                answered = await self._take_turn(turn)
            except Exception:
                # What was read must not end the process; the node keeps what it knows.
                log.exception("reading failed", key=key)
                answered = False
            if not answered:
                self._reader.read_finished(self._clock.now_ms(), key, answered=False)
            self.attempted.set()

    def wake(self) -> None:
        """Decide at once whether to read, if the task waits for its turn."""
        self._woken.set()

    def restart_watch(self) -> None:
        """Give up the connection of a watch that waits, and watch on another one."""
        if self._watch_scope is not None:
            self._watch_scope.cancel()

    async def _take_turn(self, turn: ReadDecision) -> bool:
        """Read or watch once and apply the result; return whether it succeeded."""
        called_ms = self._clock.now_ms()
        if turn.action is ReadAction.WATCH:
            with trio.CancelScope() as self._watch_scope:
                result = await self.feed.watch(turn.watch_ms)
            if self._watch_scope.cancelled_caught:
                return False
        else:
            result = await self.feed.read()
        if isinstance(result, Failure):
            now_ms = self._clock.now_ms()
            self._on_failure(self._failing_since_ms is None)
            if self._failing_since_ms is None:
                self._failing_since_ms = now_ms
            self._log(
                "platform_failed",
                key=self.feed.key,
                action=turn.action,
                reason=str(result.failure()),
                waited_ms=round(now_ms - called_ms),
            )
            return False
        may_be_outdated = self._starts_outdated and not self.has_answered
        self.has_answered = True
        self._log_recovery()
        key = self.feed.key
        now_ms = self._clock.now_ms()
        self._on_answer(self._reader.read_finished(now_ms, key, answered=True))
        result.unwrap()()
        if not may_be_outdated:
            self._report_newest(turn, called_ms, now_ms)
        read_again_ms = self._take_read_again_ms()
        if read_again_ms is not None:
            self._reader.read_again_at(read_again_ms, key)
        return True

    def _report_newest(
        self, turn: ReadDecision, called_ms: float, answered_ms: float
    ) -> None:
        if self._on_newest is None:
            return
        at_ms = known_at_ms(
            called_ms=called_ms,
            answered_ms=answered_ms,
            watch_ms=turn.watch_ms,
            is_watch=turn.action is ReadAction.WATCH,
        )
        self._on_newest(at_ms)

    def _log_recovery(self) -> None:
        if self._failing_since_ms is None:
            return
        outage_ms = self._clock.now_ms() - self._failing_since_ms
        self._failing_since_ms = None
        self._log("platform_regained", key=self.feed.key, outage_ms=round(outage_ms))
