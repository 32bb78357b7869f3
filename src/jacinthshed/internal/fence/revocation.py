"""The entry node's search for a key that arrived without a fence."""

from typing import NamedTuple

from ..wire.frames import Revoke, Revoked

UNREACHABLE_RETRY_MS = 5_000
MAX_VIEW_AGE_SHARE = 0.5


class RevocationTarget(NamedTuple):
    """A target that may have run the key.

    ``departed`` is true of one that left or died within the lifetime of a key: what
    it ran can't be asked any more.
    """

    host: str
    departed: bool


class Pending(NamedTuple):
    """Targets have still to answer."""


class Found(NamedTuple):
    """Submit under ``fence`` to ``host``, to join the run or get its answer."""

    host: str
    fence: str


class ProvenNotRun(NamedTuple):
    """No fence below ``ballot`` runs any more; mint one with it."""

    ballot: str


class MayHaveRun(NamedTuple):
    """Nothing proves that the key didn't run.

    ``retry_after_ms`` is 0 when a later resend could not learn more.
    """

    detail: str
    retry_after_ms: int


class Superseded(NamedTuple):
    """A target has promised ``ballot``, or has no room for a promise.

    Try again above ``ballot``, which costs allowance, or answer *may have run*.
    """

    ballot: str


Outcome = Pending | Found | ProvenNotRun | MayHaveRun | Superseded


class Revocation:
    """One revocation of one key with one ballot.

    ``targets`` are all of the service that may have run the key, home first. The list
    must hold the targets that left or died within ``key_lifetime_ms``. ``view_age_ms``
    is how long ago this node's view of the members last agreed with a peer's.
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
        self._waiting = set(self._asked)
        self._key_lifetime_ms = key_lifetime_ms
        self._view_is_old = view_age_ms > key_lifetime_ms * MAX_VIEW_AGE_SHARE
        self._unreachable: list[str] = []
        self._young: list[str] = []
        self._superseding: str | None = None
        self._found: Found | None = None

    def frames(self) -> list[tuple[str, Revoke]]:
        """Return what to send; sending again does no harm."""
        return [(host, self._frame) for host in self._asked if host in self._waiting]

    def on_revoked(
        self, host: str, revoked: Revoked, *, waited_ms: float = 0.0
    ) -> None:
        """Take a target's answer; one that isn't waited for changes nothing.

        ``waited_ms`` is how long ago the request arrived here. Its caller kept to the
        lifetime of the key when it sent it, so records are needed from before that.
        """
        if revoked.request_id != self._frame.request_id or host not in self._waiting:
            return
        self._waiting.discard(host)
        if revoked.outcome == "found":
            self._found = self._found or Found(host, revoked.fence)
        elif revoked.outcome == "superseded":
            self._superseding = max(self._superseding or "", revoked.fence)
        elif revoked.records_complete_ms < self._key_lifetime_ms + waited_ms:
            self._young.append(host)

    def on_unreachable(self, host: str) -> None:
        """Give up on a target that hasn't answered."""
        if host in self._waiting:
            self._waiting.discard(host)
            self._unreachable.append(host)

    def outcome(self) -> Outcome:
        """Return what is known by now."""
        if self._found is not None:
            return self._found
        if self._waiting:
            return Pending()
        if self._superseding is not None:
            return Superseded(self._superseding)
        return self._doubt() or ProvenNotRun(self._frame.ballot)

    def _doubt(self) -> MayHaveRun | None:
        # Waiting for a young target to grow old proves nothing: by then the key is
        # past its own lifetime. Only a target that answers again can help.
        if self._departed:
            return MayHaveRun(f"{self._departed[0]} has left with its records", 0)
        if self._young:
            return MayHaveRun(f"{self._young[0]} may have lost its records", 0)
        # A target that joined since, and that this node hasn't heard of, spoils what
        # the others vouch for only while it is younger than the key's lifetime.
        if self._view_is_old:
            detail = "this node's list of targets is old"
            return MayHaveRun(detail, UNREACHABLE_RETRY_MS)
        if self._unreachable:
            detail = f"{self._unreachable[0]} doesn't answer"
            return MayHaveRun(detail, UNREACHABLE_RETRY_MS)
        if not self._asked:
            return MayHaveRun("no target of the service is known", UNREACHABLE_RETRY_MS)
        return None
