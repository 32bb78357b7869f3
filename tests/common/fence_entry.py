"""A model of an entry node that handles only the fences of non-idempotent calls."""

import random

from jacinthshed.internal.fence.ballot import BallotGenerator
from jacinthshed.internal.fence.fence import decode_fence, encode_fence, mint
from jacinthshed.internal.fence.revocation import (
    Found,
    MayHaveRun,
    Pending,
    ProvenNotRun,
    Revocation,
    RevocationTarget,
    Superseded,
)
from jacinthshed.internal.fence.strategy import may_replace_fence
from jacinthshed.internal.verdict import Verdict
from jacinthshed.internal.wire.frames import Cancel, Revoked

from .fences import EPOCH_MS, POLICY, submit_frame

MAX_ATTEMPTS = 3


class EntryCall:
    """One call at an entry node; ``announced`` says that its caller has the fence."""

    def __init__(self, *, request_id, key, arrived_ms, announced):
        self.request_id = request_id
        self.key = key
        self.arrived_ms = arrived_ms
        self.announced = announced
        self.fence = None
        self.minted_here = False
        self.revocation = None
        self.attempts = 0
        self.result = None

    @property
    def attempt_id(self):
        """The request and its fence, so that a reply to an earlier fence is ignored."""
        return f"{self.request_id}/{self.fence.nonce}"


class EntryProcess:
    """One entry node; ``live`` is its view, a map from host to incarnation.

    ``departed`` maps the hosts of known departed targets to the time of the departure.
    ``view_updated_ms`` is when the view was last updated. ``pick`` selects one of
    several equivalent choices.
    """

    def __init__(self, *, name, skew_ms):
        self.name = name
        self.skew_ms = skew_ms
        self.live = {}
        self.departed = {}
        self.view_updated_ms = 0
        self.calls = {}
        self._ballots = BallotGenerator(host=name, incarnation=1)
        self._random = random.Random(name)

    def start(self, now_ms, pick, call, mode, token=""):
        """Start ``call`` and return the frames to send."""
        self.calls[call.request_id] = call
        if mode == "own":
            call.fence = decode_fence(token).unwrap()
            return self.submit(call)
        if mode == "bare":
            return self._revoke(now_ms, call, "")
        return self._mint(now_ms, pick, call, ballot="")

    def submit(self, call):
        """Return the frame that sends the request under its fence, first or again."""
        frame = submit_frame(call.attempt_id, call.key, encode_fence(call.fence))
        return [(call.fence.host, frame)]

    def cancel(self, call):
        """Return the frame that asks for a tombstone."""
        frame = Cancel(call.attempt_id, call.key, encode_fence(call.fence))
        return [(call.fence.host, frame)]

    def receive(self, now_ms, pick, sender, frame):
        """Process a target's frame and return the frames to send."""
        call = self.calls.get(frame.request_id.split("/")[0])
        if call is None or call.result is not None:
            return []
        if isinstance(frame, Revoked):
            waited_ms = now_ms - call.arrived_ms
            if call.revocation is None:
                return []
            call.revocation.on_revoked(sender, frame, waited_ms=waited_ms)
            return self.follow(now_ms, pick, call)
        return self._on_reply(now_ms, pick, call, frame)

    def follow(self, now_ms, pick, call):
        """Act on the outcome of the revocation and return the frames to send."""
        match call.revocation.outcome():
            case Pending():
                return []
            case Found(_, token):
                call.revocation = None
                call.fence = decode_fence(token).unwrap()
                return self.submit(call)
            case ProvenNotRun(ballot):
                call.revocation = None
                return self._mint(now_ms, pick, call, ballot=ballot)
            case Superseded(ballot) if call.attempts < MAX_ATTEMPTS:
                return self._revoke(now_ms, call, ballot)
            case Superseded() | MayHaveRun():
                call.revocation = None
                call.result = (Verdict.MAY_HAVE_RUN, b"")
        return []

    def mint(self, now_ms, pick, *, ballot="", key_first_used_ms=None):
        """Return a fence for a live target, or ``None`` when there is none."""
        if not self.live:
            return None
        host = sorted(self.live)[pick % len(self.live)]
        return mint(
            host=host,
            incarnation=self.live[host],
            wall_ms=EPOCH_MS + now_ms + self.skew_ms,
            lifetime_ms=POLICY.lifetime_ms,
            ballot=ballot,
            random=self._random,
            key_first_used_ms=key_first_used_ms,
        )

    def _on_reply(self, now_ms, pick, call, reply):
        if call.fence is None or reply.request_id != call.attempt_id:
            return []
        verdict = Verdict(reply.verdict)
        replaceable = may_replace_fence(
            minted_here=call.minted_here, announced=call.announced, verdict=verdict
        )
        if replaceable and call.attempts < MAX_ATTEMPTS:
            old = call.fence
            return self._mint(
                now_ms,
                pick,
                call,
                ballot=old.ballot,
                key_first_used_ms=old.key_first_used_ms,
            )
        call.result = (verdict, reply.body)
        return []

    def _mint(self, now_ms, pick, call, *, ballot, key_first_used_ms=None):
        fence = self.mint(
            now_ms, pick, ballot=ballot, key_first_used_ms=key_first_used_ms
        )
        if fence is None:
            call.result = (Verdict.MAY_HAVE_RUN, b"")
            return []
        call.attempts += 1
        call.minted_here = True
        call.fence = fence
        return self.submit(call)

    def _revoke(self, now_ms, call, above):
        call.attempts += 1
        wall_ms = EPOCH_MS + now_ms + self.skew_ms
        ballot = self._ballots.generate(wall_ms, above=above)
        call.revocation = Revocation(
            request_id=f"{call.request_id}/{ballot}",
            key=call.key,
            ballot=ballot,
            targets=self._targets(now_ms),
            key_lifetime_ms=POLICY.key_lifetime_ms,
            view_age_ms=now_ms - self.view_updated_ms,
        )
        return call.revocation.frames()

    def _targets(self, now_ms):
        since_ms = now_ms - POLICY.key_lifetime_ms - POLICY.lifetime_ms
        departed = [h for h, at_ms in self.departed.items() if at_ms >= since_ms]
        return (
            *(RevocationTarget(host, False) for host in self.live),
            *(RevocationTarget(host, True) for host in departed),
        )
