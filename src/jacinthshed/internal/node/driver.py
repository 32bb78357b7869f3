"""Executes the steps of a call's flow."""

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
    Stopped,
    TimedOut,
    Wait,
)
from ..flow.unfenced import CallFlow
from ..timing.timer_scheduler import current_timer_scheduler
from ..wire.frames import Cancel, Reply, Revoke, Revoked, Submit
from .call_stop import CallStop
from .clock import MS_PER_S
from .interim_sender import InterimSender
from .link import Channel, ExchangeResult, abandon_exchange
from .links import LinkTable
from .observer import ExchangeObserver
from .one_shot import OneShot

REPLY_GRACE_MS = 50.0
REVOKE_TIMEOUT_MS = 500.0

KEEPALIVE_INTERVAL_MS = 150.0


async def drive(
    flow: CallFlow,
    call: Call,
    *,
    links: LinkTable,
    sender: InterimSender,
    observer: ExchangeObserver,
    stop: CallStop,
) -> CallEnd:
    """Run ``flow`` to its end and return the result.

    The wait for a reply ends ``REPLY_GRACE_MS`` after the deadline, because a target's
    refusal at the deadline is more specific than a timeout here. When ``stop`` ends
    sending, no further step is carried out.
    """
    deadline_s = (call.deadline_at_ms + REPLY_GRACE_MS) / MS_PER_S
    event: Event | None = None
    while True:
        try:
            step = next(flow) if event is None else flow.send(event)
        except StopIteration as ended:
            return ended.value
        if isinstance(step, Exchange):
            event = await _exchange(step, links, sender, observer, deadline_s, stop)
            continue
        if stop.sending_ended:
            event = Stopped(sent=False)
            continue
        with (
            trio.CancelScope(deadline=deadline_s) as scope,
            stop.before_sending(scope.cancel),
        ):
            event = await _perform(step, links, sender)
        if scope.cancelled_caught:
            event = Stopped(sent=False) if stop.sending_ended else TimedOut()


async def _perform(step: Step, links: LinkTable, sender: InterimSender) -> Event:
    if isinstance(step, OpenLink):
        return await _open_link(step, links)
    if isinstance(step, AnnounceFence):
        await sender.send_fence(step.fence)
        return StepDone()
    if isinstance(step, Wait):
        await trio.sleep(step.wait_ms / MS_PER_S)
        return StepDone()
    assert isinstance(step, RevokeAll)
    return await _revoke_all(step, links)


async def _open_link(step: OpenLink, links: LinkTable) -> Event:
    channel = await links.open(step.host)
    if channel is None or channel.peer is None:
        return LinkFailed(sent=False)
    return LinkOpened(channel.peer.record.incarnation)


async def _exchange(
    step: Exchange,
    links: LinkTable,
    sender: InterimSender,
    observer: ExchangeObserver,
    deadline_s: float,
    stop: CallStop,
) -> Event:
    channel = links.to_host(step.host)
    if channel is None and not stop.sending_ended:
        with (
            trio.CancelScope(deadline=deadline_s) as scope,
            stop.before_sending(scope.cancel),
        ):
            channel = await links.open(step.host)
        if scope.cancelled_caught and not stop.sending_ended:
            return TimedOut()
    if stop.sending_ended:
        return Stopped(sent=False)
    if channel is None:
        return LinkFailed(sent=False)
    frame: ExchangeResult | TimedOut | Stopped = None
    observer.on_sent(step.host)
    try:
        frame = await _submit_and_wait(
            deadline_s, channel, step, sender.send_keepalive, stop
        )
    except trio.Cancelled:
        _cancel_unfenced(channel, step.submit)
        raise
    finally:
        observer.on_ended(step.host, frame if isinstance(frame, Reply) else None)
    if isinstance(frame, TimedOut | Stopped):
        _cancel_unfenced(channel, step.submit)
        return frame
    return Replied(frame) if isinstance(frame, Reply) else LinkFailed(sent=True)


def _cancel_unfenced(channel: Channel, submit: Submit) -> None:
    if not submit.fence:
        channel.send(Cancel(submit.request_id, "", ""))


async def _revoke_all(step: RevokeAll, links: LinkTable) -> Event:
    answers: dict[str, Revoked | None] = {host: None for host, _ in step.revokes}

    async def revoke_at(host: str, revoke: Revoke) -> None:
        with trio.move_on_after(REVOKE_TIMEOUT_MS / MS_PER_S):
            channel = await links.open(host)
            if channel is not None:
                frame = await _send_revoke(channel, revoke)
                answers[host] = frame if isinstance(frame, Revoked) else None

    async with trio.open_nursery() as nursery:
        for host, revoke in step.revokes:
            nursery.start_soon(revoke_at, host, revoke)
    return RevokeAnswers(tuple(answers.items()))


async def _submit_and_wait(
    deadline_s: float,
    channel: Channel,
    step: Exchange,
    send_keepalive: Callable[[], Awaitable[None]] | None,
    stop: CallStop,
) -> ExchangeResult | TimedOut | Stopped:
    """Return the reply to ``step``, ``TimedOut`` at the deadline, or ``Stopped``."""
    submit = step.submit
    exchange: OneShot[ExchangeResult] = OneShot()
    channel.exchanges[submit.request_id] = exchange
    if not step.is_repeatable:
        channel.unrepeatable.add(submit.request_id)
    scheduler = current_timer_scheduler()
    timer = scheduler.add(partial(exchange.set, None))
    timer.set(deadline_s)
    try:
        with stop.while_waiting(partial(exchange.set, None)):
            channel.send(submit)
            frame = await _wait_with_keepalives(exchange, send_keepalive)
        if frame is None and stop.waiting_ended:
            return Stopped(sent=True)
        return TimedOut() if frame is None and timer.has_fired else frame
    finally:
        scheduler.remove(timer)
        abandon_exchange(channel, submit.request_id)


async def _wait_with_keepalives(
    exchange: OneShot[ExchangeResult],
    send_keepalive: Callable[[], Awaitable[None]] | None,
) -> ExchangeResult:
    while send_keepalive is not None:
        with trio.move_on_after(KEEPALIVE_INTERVAL_MS / MS_PER_S):
            return await exchange.wait()
        await send_keepalive()
    return await exchange.wait()


async def _send_revoke(channel: Channel, revoke: Revoke) -> ExchangeResult:
    exchange: OneShot[ExchangeResult] = OneShot()
    channel.exchanges[revoke.request_id] = exchange
    try:
        channel.send(revoke)
        return await exchange.wait()
    finally:
        abandon_exchange(channel, revoke.request_id)
