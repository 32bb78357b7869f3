"""A scripted entry node that keeps the rules of fences, and counts runs."""

from enum import Enum

import trio

from jacinthshed import Reason, Refusal, Verdict
from jacinthshed.internal.http.drain import Drain
from jacinthshed.internal.http.limits import HttpLimits
from jacinthshed.internal.http.message import Response, header
from jacinthshed.internal.http.problem import VERDICT_FIELD, refusal_response
from jacinthshed.internal.http.server import serve_connection

RAN = ((VERDICT_FIELD, b"ran"),)


class CopyOutcome(Enum):
    """What becomes of one copy of a request."""

    ANSWERED = "runs and is answered"
    ANSWER_LOST = "runs, its fence is told, then the connection breaks"
    ALL_LOST = "runs, then the connection breaks before anything is told"
    NEVER_READ = "the connection breaks and the copy never runs"
    DELAYED = "the connection breaks and the copy is on its way for long"
    OVERTAKEN = "all copies that were on their way arrive before it"
    TOMBSTONE = "the target refuses it for good"
    REFUSED_HERE = "the entry node refuses this copy only"


class ScriptedEntry:
    """Runs copies by the fates in ``script``, then all by ``last``.

    ``runs`` counts the side effects.
    """

    def __init__(self, *, script, last=CopyOutcome.ANSWERED):
        self.script = iter(script)
        self.last = last
        self.runs = 0
        self.copies = 0
        self.minted = []
        self.dead = set()
        self.delayed = []

    def mint(self, promised):
        """Return the fence of a copy that came with ``promised``."""
        if promised.startswith("f"):
            return promised
        if promised == "":
            # A search for the key forbids every fence that was minted before.
            self.dead.update(self.minted)
        self.minted.append(f"f{len(self.minted)}")
        return self.minted[-1]

    def arrive(self, fence, *, refuse=False):
        """Take a copy as the target does; return whether the request has run."""
        if refuse and not self.runs:
            self.dead.add(fence)
        if not self.runs and fence not in self.dead:
            self.runs += 1
        return self.runs > 0

    def deliver_delayed(self):
        """Let the copies arrive that were on their way."""
        while self.delayed:
            self.arrive(self.delayed.pop())

    async def handle(self, request, informational):
        self.copies += 1
        promised = (header(request.headers, b"jacinthshed-fence") or b"").decode()
        fate = next(self.script, self.last)
        if fate is CopyOutcome.REFUSED_HERE:
            return refusal_response(Refusal(Verdict.NOT_RUN, Reason.NO_BUNDLE, 1))
        if fate is CopyOutcome.NEVER_READ:
            raise trio.ClosedResourceError
        fence = self.mint(promised)
        if fate is CopyOutcome.DELAYED:
            self.delayed.append(fence)
            raise trio.ClosedResourceError
        if fate is CopyOutcome.OVERTAKEN:
            self.deliver_delayed()
        has_run = self.arrive(fence, refuse=fate is CopyOutcome.TOMBSTONE)
        if fate is CopyOutcome.ALL_LOST:
            raise trio.ClosedResourceError
        if not has_run:
            return refusal_response(Refusal(Verdict.NOT_RUN, Reason.SHED, 1))
        told = (b"jacinthshed-fence", fence.encode())
        await informational(Response(103, (told,)))
        if fate is CopyOutcome.ANSWER_LOST:
            raise trio.ClosedResourceError
        return Response(200, (*RAN, told), b"done")

    async def serve(self, stream):
        await serve_connection(stream, self.handle, limits=HttpLimits(), drain=Drain())
