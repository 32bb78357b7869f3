"""Carries out the steps of a call's flow."""

from collections.abc import Awaitable, Callable
from functools import partial

import trio

from ..flow.call import Call
from ..flow.steps import (
    AnnounceFence,
    CallEnd,
    Event,
    Exchange,
    LinkFailed,
    LinkOpened,
    OpenLink,
    Replied,
    RevokeAll,
    RevokeAnswers,
    Step,
    StepDone,
    TimedOut,
    Wait,
)
from ..flow.unfenced import CallFlow
from ..timing.timer_scheduler import current_timer_scheduler
from ..wire.frames import Cancel, Reply, Revoke, Revoked, Submit
from .caller_port import CallerPort
from .clock import MS_PER_S
from .link import Channel, LinkEvent, give_up_exchange
from .links import LinkTable
from .observer import ExchangeObserver
from .one_shot import OneShot

REPLY_GRACE_MS = 50.0
ASK_TIMEOUT_MS = 500.0

ALIVE_INTERVAL_MS = 150.0


async def drive(
    flow: CallFlow,
    call: Call,
    *,
    links: LinkTable,
    port: CallerPort,
    observer: ExchangeObserver,
) -> CallEnd:
    """Run ``flow`` to its end.

    The wait for a reply goes on a little after the deadline, as a target's own
    refusal at the deadline tells more than a timeout here.
    """
    deadline_s = (call.deadline_at_ms + REPLY_GRACE_MS) / MS_PER_S
    event: Event | None = None
    while True:
        try:
            step = next(flow) if event is None else flow.send(event)
        except StopIteration as stop:
            return stop.value
        if isinstance(step, Exchange):
            event = await _exchange(step, links, port, observer, deadline_s)
            continue
        with trio.CancelScope(deadline=deadline_s) as scope:
            event = await _perform(step, links, port)
        if scope.cancelled_caught:
            event = TimedOut()


async def _perform(step: Step, links: LinkTable, port: CallerPort) -> Event:
    if isinstance(step, OpenLink):
        return await _ready(step, links)
    if isinstance(step, AnnounceFence):
        await port.announce(step.fence)
        return StepDone()
    if isinstance(step, Wait):
        await trio.sleep(step.wait_ms / MS_PER_S)
        return StepDone()
    assert isinstance(step, RevokeAll)
    return await _ask_all(step, links)


async def _ready(step: OpenLink, links: LinkTable) -> Event:
    channel = await links.open(step.host)
    if channel is None or channel.peer is None:
        return LinkFailed(sent=False)
    return LinkOpened(channel.peer.record.incarnation)


async def _exchange(
    step: Exchange,
    links: LinkTable,
    port: CallerPort,
    observer: ExchangeObserver,
    deadline_s: float,
) -> Event:
    channel = links.to(step.host)
    if channel is None:
        with trio.CancelScope(deadline=deadline_s) as scope:
            channel = await links.open(step.host)
        if scope.cancelled_caught:
            return TimedOut()
        if channel is None:
            return LinkFailed(sent=False)
    frame: LinkEvent | TimedOut = None
    observer.sent(step.host)
    try:
        frame = await _ask_within(deadline_s, channel, step.submit, port.alive)
    except trio.Cancelled:
        _take_back(channel, step.submit)
        raise
    finally:
        observer.ended(step.host, frame if isinstance(frame, Reply) else None)
    if isinstance(frame, TimedOut):
        _take_back(channel, step.submit)
        return frame
    return Replied(frame) if isinstance(frame, Reply) else LinkFailed(sent=True)


def _take_back(channel: Channel, submit: Submit) -> None:
    if not submit.fence:
        channel.send(Cancel(submit.request_id, "", ""))


async def _ask_all(step: RevokeAll, links: LinkTable) -> Event:
    answers: dict[str, Revoked | None] = {host: None for host, _ in step.revokes}

    async def ask(host: str, revoke: Revoke) -> None:
        with trio.move_on_after(ASK_TIMEOUT_MS / MS_PER_S):
            channel = await links.open(host)
            if channel is not None:
                frame = await _ask(channel, revoke)
                answers[host] = frame if isinstance(frame, Revoked) else None

    async with trio.open_nursery() as nursery:
        for host, revoke in step.revokes:
            nursery.start_soon(ask, host, revoke)
    return RevokeAnswers(tuple(answers.items()))


async def _ask_within(
    deadline_s: float,
    channel: Channel,
    submit: Submit,
    alive: Callable[[], Awaitable[None]] | None,
) -> LinkEvent | TimedOut:
    """Return what answers ``submit``, or ``TimedOut`` at the deadline."""
    exchange: OneShot[LinkEvent] = OneShot()
    channel.exchanges[submit.request_id] = exchange
    keeper = current_timer_scheduler()
    timer = keeper.add(partial(exchange.set, None))
    timer.set(deadline_s)
    try:
        channel.send(submit)
        frame = await _wait(exchange, alive)
        return TimedOut() if frame is None and timer.has_fired else frame
    finally:
        keeper.remove(timer)
        give_up_exchange(channel, submit.request_id)


async def _wait(
    exchange: OneShot[LinkEvent], alive: Callable[[], Awaitable[None]] | None
) -> LinkEvent:
    while alive is not None:
        with trio.move_on_after(ALIVE_INTERVAL_MS / MS_PER_S):
            return await exchange.wait()
        await alive()
    return await exchange.wait()


async def _ask(channel: Channel, revoke: Revoke) -> LinkEvent:
    exchange: OneShot[LinkEvent] = OneShot()
    channel.exchanges[revoke.request_id] = exchange
    try:
        channel.send(revoke)
        return await exchange.wait()
    finally:
        give_up_exchange(channel, revoke.request_id)
