"""Flow of an idempotent call: attempts at one target after the other."""

from collections.abc import Generator

from ..verdict import Refusal, Verdict
from ..wire.frames import Reply
from .call import Attempt, Call
from .replies import is_whole, refusal_of
from .retry_rules import NO_TARGET, is_retryable, refusal_for_break, worst_verdict
from .steps import Broken, CallEnd, Event, Exchange, Replied, Step
from .tools import CallTools

CallFlow = Generator[Step, Event, CallEnd]


def run_idempotent(call: Call, tools: CallTools) -> CallFlow:
    """Try targets until one answers or the allowance, time or targets run out."""
    tried: frozenset[str] = frozenset()
    verdict = Verdict.NOT_RUN
    number = 0
    host = tools.pick(call, tried)
    refusal = NO_TARGET
    while host is not None:
        number += 1
        attempt_id = f"{call.request_id}.{number}"
        attempt = Attempt(attempt_id, tools.split(call, attempt_id), "")
        event = yield Exchange(host, tools.frame(call, attempt))
        reply = _whole_reply(event)
        if reply is not None:
            tools.give_back(call, attempt_id, reply.allowance)
            if reply.status:
                return CallEnd(reply, None)
        refusal = refusal_of(reply) if reply is not None else refusal_for_break(event)
        verdict = worst_verdict(verdict, refusal.verdict)
        tried |= {host}
        unsent = isinstance(event, Broken) and not event.sent
        if unsent:
            tools.give_back(call, attempt_id, attempt.allowance)
        host = _next_host(call, tools, tried, refusal, unsent=unsent)
    return CallEnd(None, refusal._replace(verdict=verdict))


def _next_host(
    call: Call,
    tools: CallTools,
    tried: frozenset[str],
    refusal: Refusal,
    *,
    unsent: bool,
) -> str | None:
    """Return where to try next, paid for, or ``None``.

    When nothing left this node, trying the next target is no further attempt.
    """
    if not unsent and not (is_retryable(refusal) and tools.may_retry(call)):
        return None
    host = tools.pick(call, tried)
    if host is None or unsent:
        return host
    if not tools.spend(call):
        return None
    tools.log("retry", call=call, host=host, reason=refusal.reason)
    return host


def _whole_reply(event: Event) -> Reply | None:
    if isinstance(event, Replied) and is_whole(event.reply):
        return event.reply
    return None
