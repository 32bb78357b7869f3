"""The planned stop of a node."""

from collections.abc import Callable

import trio

from ..bundle.model import DrainPolicy
from ..fence.instant import Instant
from ..telemetry.log import LogDecision
from .clock import MS_PER_S, Clock
from .components import Components
from .listeners import Listeners

LEAVE_GRACE_S = 0.5
DRAIN_POLL_S = 0.02
# A peer that reads nothing doesn't hold up the end for longer.
LINK_FLUSH_S = 0.3
REPORT_INTERVAL_S = 1.0
# Requests that have not started by then would hardly end in time. Those that have get
# this time to end.
WITHDRAW_BEFORE_END_S = 0.5


async def shut_down(
    *,
    components: Components,
    listeners: Listeners,
    drain: DrainPolicy,
    refuse_callers: Callable[[], None],
    clock: Clock,
    log: LogDecision,
) -> None:
    """Announce the leave, let peers learn of it, drain until ``drain.limit_ms``.

    ``refuse_callers`` makes the entry refuse every request from then on. At the end,
    every request that was read is answered: those that still wait anywhere are refused
    as not run, and then those that still run as "may have run". Their callers get
    ``drain.flush_ms`` to read the answers.
    """
    state, membership = components.state, components.membership
    host = state.record.host
    deadline_s = trio.current_time() + drain.limit_ms / MS_PER_S
    log("leaving", host=host)
    membership.announce(state.view.leave(clock.now_ms()))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_report, components, listeners, deadline_s, log)
        # Peers learn of the leave meanwhile; requests that they still send are served.
        await trio.sleep(max(LEAVE_GRACE_S, drain.callers_ms / MS_PER_S))
        state.check.refuse_new_work()
        refuse_callers()
        listeners.drain_entry()
        await _drained(components, listeners, deadline_s - WITHDRAW_BEFORE_END_S)
        _refuse_waiting(components, Instant(clock.now_ms(), clock.wall_ms()))
        await _drained(components, listeners, deadline_s)
        nursery.cancel_scope.cancel()
    components.gateway.stop.end_waiting()
    membership.announce(state.view.mark_gone(clock.now_ms()))
    flushed_s = trio.current_time() + drain.flush_ms / MS_PER_S
    with trio.move_on_after(LINK_FLUSH_S):
        for link in components.links.stream_links():
            await link.flushed()
    await _drained(components, listeners, flushed_s)
    log("left", host=host, **_awaited(components, listeners))


async def _drained(
    components: Components, listeners: Listeners, until_s: float
) -> None:
    """Return when no request is in progress, at ``until_s`` at the latest."""
    with trio.move_on_at(until_s):
        while _is_busy(components, listeners):
            await trio.sleep(DRAIN_POLL_S)


def _refuse_waiting(components: Components, at: Instant) -> None:
    """Refuse the requests that wait here or at other nodes; send no more attempts."""
    components.gateway.stop.end_sending()
    components.links.withdraw_waiting()
    components.dispatcher.perform(components.state.target.drain(at))


def _is_busy(components: Components, listeners: Listeners) -> bool:
    """Return whether a request is in progress or its answer not fully written."""
    return any(_awaited(components, listeners).values())


def _awaited(components: Components, listeners: Listeners) -> dict[str, int]:
    """Return the numbers of connections, calls and requests that are not finished."""
    target = components.state.target
    running = len(target.running_tickets())
    return {
        "connections": listeners.busy,
        "calls": components.gateway.in_flight,
        "running": running,
        "waiting": target.job_count - running,
    }


async def _report(
    components: Components, listeners: Listeners, deadline_s: float, log: LogDecision
) -> None:
    """Log every second what the stop waits for, until cancelled."""
    while True:
        left_ms = round((deadline_s - trio.current_time()) * MS_PER_S)
        log("draining", left_ms=left_ms, **_awaited(components, listeners))
        await trio.sleep(REPORT_INTERVAL_S)
