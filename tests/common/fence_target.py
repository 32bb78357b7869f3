"""A target's process around its registry, and a backend server that records starts."""

from typing import NamedTuple

from jacinthshed.internal.fence.decisions import Answered, Cancelled, Join, Rejected
from jacinthshed.internal.verdict import Reason, Refusal, Verdict
from jacinthshed.internal.wire.frames import Cancel, Revoke, Submit

from .fences import SHED, answer, instant, make_registry, refusal_frame

DEADLINE_PASSED = Refusal(Verdict.NOT_RUN, Reason.DEADLINE)


class Start(NamedTuple):
    """A backend server's record that it started a request."""

    key: str
    token: str
    host: str
    answer: bytes


class TargetProcess:
    """One incarnation of a target; the fleet delivers frames and triggers its work.

    ``waiting`` maps each key to the receivers of its answer: pairs of entry node and
    request id.
    """

    def __init__(self, *, host, incarnation, started_ms, skew_ms, starts):
        self.host = host
        self.incarnation = incarnation
        self.started_ms = started_ms
        self.skew_ms = skew_ms
        self.list_changed_ms = started_ms
        self.registry = make_registry(
            host=host, incarnation=incarnation, started_ms=started_ms
        )
        self.queue = []
        self.running = []
        self.waiting = {}
        self._starts = starts

    def receive(self, now_ms, sender, frame):
        """Return the frames that answer ``frame``, each with its receiver."""
        at = instant(now_ms, self.skew_ms)
        if isinstance(frame, Revoke):
            age_ms = now_ms - self.list_changed_ms
            return [(sender, self.registry.revoke(at, frame, list_age_ms=age_ms))]
        if isinstance(frame, Cancel):
            decision = self.registry.cancel(at, frame.key, frame.fence)
        else:
            decision = self.registry.submit(
                at, frame.key, frame.fence, frame.request_id
            )
        return self._follow(sender, frame, decision)

    def _follow(self, sender, frame, decision):
        match decision:
            case Answered(reply):
                return [(sender, reply._replace(request_id=frame.request_id))]
            case Rejected(refusal):
                return [(sender, refusal_frame(frame.request_id, refusal))]
            case Cancelled(refusal, request_id):
                frames = [(sender, refusal_frame(frame.request_id, refusal))]
                if request_id:
                    self.queue = [s for s in self.queue if s.key != frame.key]
                    frames += self._refuse_waiting(frame.key, refusal)
                return frames
        waiters = self.waiting.setdefault(frame.key, [])
        waiters.append((sender, frame.request_id))
        if not isinstance(decision, Join):
            assert isinstance(frame, Submit)
            self.queue.append(frame)
        return []

    def dispatch(self, now_ms):
        """Dispatch the oldest request in the queue, or refuse it if it is too late."""
        submit = self.queue.pop(0)
        at = instant(now_ms, self.skew_ms)
        if not self.registry.may_dispatch(at, submit.key, submit.fence):
            return self._refuse(at, submit, DEADLINE_PASSED)
        self.registry.mark_dispatched(submit.key)
        body = f"{submit.key} at {self.host} {self.incarnation}".encode()
        start = Start(submit.key, submit.fence, self.host, body)
        self._starts.append(start)
        self.running.append(start)
        return []

    def shed(self, now_ms):
        """Refuse the oldest request in the queue."""
        return self._refuse(instant(now_ms, self.skew_ms), self.queue.pop(0), SHED)

    def finish(self, now_ms):
        """Finish the oldest running request and send its answer."""
        start = self.running.pop(0)
        reply = answer("", start.answer)
        self.registry.record_reply(instant(now_ms, self.skew_ms), start.key, reply)
        waiters = self.waiting.pop(start.key, [])
        return [(sender, reply._replace(request_id=r)) for sender, r in waiters]

    def fail(self, now_ms):
        """Fail the oldest running request at the backend server."""
        start = self.running.pop(0)
        self.registry.record_failure(instant(now_ms, self.skew_ms), start.key)
        return self._refuse_waiting(
            start.key, Refusal(Verdict.MAY_HAVE_RUN, Reason.BACKEND_FAILED)
        )

    def _refuse(self, at, submit, refusal):
        final = self.registry.refuse(at, submit.key, submit.fence, refusal)
        return self._refuse_waiting(submit.key, final)

    def _refuse_waiting(self, key, refusal):
        waiters = self.waiting.pop(key, [])
        return [(sender, refusal_frame(r, refusal)) for sender, r in waiters]
