"""A scripted entry node that enforces the rules of fences and counts runs."""

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
    """What happens to one copy of a request."""

    ANSWERED = "runs and is answered"
    ANSWER_LOST = "runs, its fence is sent, then the connection breaks"
    ALL_LOST = "runs, then the connection breaks before anything is sent"
    NEVER_READ = "the connection breaks and the copy never runs"
    DELAYED = "the connection breaks and the copy is delayed"
    OVERTAKEN = "all delayed copies arrive before it"
    TOMBSTONE = "the target refuses it permanently"
    REFUSED_HERE = "the entry node refuses this copy only"


class ScriptedEntry:
    """Gives each copy the next outcome of ``script``, and later ones ``last``.

    ``runs`` counts the runs, ``copies`` the copies received. ``minted`` holds all
    fences that were created, ``revoked`` those under which no copy may run any more.
    """

    def __init__(self, *, script, last=CopyOutcome.ANSWERED):
        self.script = iter(script)
        self.last = last
        self.runs = 0
        self.copies = 0
        self.minted = []
        self.revoked = set()
        self.delayed = []

    def mint(self, fence_header):
        """Return the fence of a copy whose fence header is ``fence_header``."""
        if fence_header.startswith("f"):
            return fence_header
        if fence_header == "":
            # A lookup of the key revokes every fence that was minted before.
            self.revoked.update(self.minted)
        self.minted.append(f"f{len(self.minted)}")
        return self.minted[-1]

    def arrive(self, fence, *, refuse=False):
        """Process a copy as the target does; return whether the request has run."""
        if refuse and not self.runs:
            self.revoked.add(fence)
        if not self.runs and fence not in self.revoked:
            self.runs += 1
        return self.runs > 0

    def deliver_delayed(self):
        """Deliver the delayed copies."""
        while self.delayed:
            self.arrive(self.delayed.pop())

    async def handle(self, request, informational):
        """Answer one copy of the request by its outcome in the script."""
        self.copies += 1
        fence_header = (header(request.headers, b"jacinthshed-fence") or b"").decode()
        fate = next(self.script, self.last)
        if fate is CopyOutcome.REFUSED_HERE:
            return refusal_response(Refusal(Verdict.NOT_RUN, Reason.NO_BUNDLE, 1))
        if fate is CopyOutcome.NEVER_READ:
            raise trio.ClosedResourceError
        fence = self.mint(fence_header)
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
        fence_field = (b"jacinthshed-fence", fence.encode())
        await informational(Response(103, (fence_field,)))
        if fate is CopyOutcome.ANSWER_LOST:
            raise trio.ClosedResourceError
        return Response(200, (*RAN, fence_field), b"done")

    async def serve(self, stream):
        """Serve one connection."""
        await serve_connection(stream, self.handle, limits=HttpLimits(), drain=Drain())
