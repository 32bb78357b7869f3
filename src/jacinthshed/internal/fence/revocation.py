"""The entry node's check whether a key that arrived without a fence has run."""

from typing import NamedTuple

from ..wire.frames import Revoke, Revoked

UNREACHABLE_RETRY_MS = 5_000
# As a share of the lifetime of a key.
MAX_VIEW_AGE_SHARE = 0.5


class RevocationTarget(NamedTuple):
    """A target that may have run the key.

    ``departed`` is true for a target that left or failed within the lifetime of a key:
    it can no longer report what it ran.
    """

    host: str
    departed: bool


class Pending(NamedTuple):
    """Some targets have not answered yet."""


class Found(NamedTuple):
    """Submit under ``fence`` to ``host``, to join the run or get its stored answer."""

    host: str
    fence: str


class ProvenNotRun(NamedTuple):
    """No fence with a lower ballot can run any more; mint a fence with ``ballot``."""

    ballot: str


class MayHaveRun(NamedTuple):
    """It can't be proven that the key didn't run.

    ``retry_after_ms`` is 0 when a later resend could not find out more.
    """

    detail: str
    retry_after_ms: int


class Superseded(NamedTuple):
    """A target has promised ``ballot``, or has no room for another promise.

    Try again with a ballot above ``ballot``, which uses retry allowance, or answer
    *may have run*.
    """

    ballot: str


Outcome = Pending | Found | ProvenNotRun | MayHaveRun | Superseded


class Revocation:
    """One revocation of one key with one ballot.

    ``targets`` are all targets of the service that may have run the key, the key's
    home first. They must include those that left or failed within ``key_lifetime_ms``.
    ``view_age_ms`` is how long ago this node's membership view last equalled a peer's.
    """

    def __init__(
        self,
        *,
        request_id: str,
        key: str,
        ballot: str,
        targets: tuple[RevocationTarget, ...],
        key_lifetime_ms: int,
        view_age_ms: float = 0.0,
    ) -> None:
        self._frame = Revoke(request_id, key, ballot)
        self._departed = [target.host for target in targets if target.departed]
        self._asked = [target.host for target in targets if not target.departed]
        self._unanswered = set(self._asked)
        self._key_lifetime_ms = key_lifetime_ms
        self._view_is_old = view_age_ms > key_lifetime_ms * MAX_VIEW_AGE_SHARE
        self._unreachable: list[str] = []
        self._recently_started: list[str] = []
        self._superseding: str | None = None
        self._found: Found | None = None

    def frames(self) -> list[tuple[str, Revoke]]:
        """Return the frames to send, with their hosts; sending is idempotent."""
        return [(host, self._frame) for host in self._asked if host in self._unanswered]

    def on_revoked(
        self, host: str, revoked: Revoked, *, waited_ms: float = 0.0
    ) -> None:
        """Process a target's answer; an answer that isn't awaited is ignored.

        ``waited_ms`` is how long ago the request arrived here. The caller kept to the
        lifetime of the key when it sent the request, so the target's records must be
        complete for ``waited_ms`` longer than that lifetime.
        """
        if revoked.request_id != self._frame.request_id or host not in self._unanswered:
            return
        self._unanswered.discard(host)
        if revoked.outcome == "found":
            self._found = self._found or Found(host, revoked.fence)
        elif revoked.outcome == "superseded":
            self._superseding = max(self._superseding or "", revoked.fence)
        elif revoked.records_complete_ms < self._key_lifetime_ms + waited_ms:
            self._recently_started.append(host)

    def on_unreachable(self, host: str) -> None:
        """Stop waiting for a target that can't be reached."""
        if host in self._unanswered:
            self._unanswered.discard(host)
            self._unreachable.append(host)

    def outcome(self) -> Outcome:
        """Return the outcome from the answers received so far."""
        if self._found is not None:
            return self._found
        if self._unanswered:
            return Pending()
        if self._superseding is not None:
            return Superseded(self._superseding)
        return self._uncertainty() or ProvenNotRun(self._frame.ballot)

    def _uncertainty(self) -> MayHaveRun | None:
        # A retry doesn't help against a target that started recently: by the time its
        # records are complete, the key is past its lifetime. It helps only when an
        # unreachable target answers again.
        if self._departed:
            return MayHaveRun(
                f"{self._departed[0]} has left and its records are lost", 0
            )
        if self._recently_started:
            return MayHaveRun(
                f"{self._recently_started[0]} may have lost its records", 0
            )
        # A target may have joined since this node's view last equalled a peer's. The
        # other targets report a ``records_complete_ms`` of at most the time since they
        # learned of it, so they prevent a wrong proof only while it is younger than the
        # key's lifetime. An old view may lack a target that joined before that.
        if self._view_is_old:
            detail = "this node's list of targets is out of date"
            return MayHaveRun(detail, UNREACHABLE_RETRY_MS)
        if self._unreachable:
            detail = f"{self._unreachable[0]} doesn't answer"
            return MayHaveRun(detail, UNREACHABLE_RETRY_MS)
        if not self._asked:
            return MayHaveRun("no target of the service is known", UNREACHABLE_RETRY_MS)
        return None
