"""The frames that nodes send to each other.

Each frame is a named tuple of msgpack types and is sent as an array in the order of
its fields. Times are sent as durations in milliseconds, because the clocks of two hosts
differ. Where a wall-clock time is sent, the receiver allows for the clock skew that the
bundle permits.
"""

from typing import NamedTuple

from .pieces import BodyDecision, BodyPiece, LargeBody
from .targets import TargetsData, TargetsList, TargetsRequest
from .usage import UsageReport, UsageShare

Header = tuple[bytes, bytes]


class Submit(NamedTuple):
    """One attempt of a request.

    ``deadline_ms`` is the time left until the deadline. ``deadline_wall_ms`` is the
    deadline on the sender's wall clock, so that a target that was suspended past it
    can detect that. ``root_hash`` orders requests of the same rank in the same way at
    every layer. ``invested`` is the number of calls of the same root that are already
    done. ``allowance`` is the part of the root's retry allowance that the sender passes
    on. ``fence`` and ``key`` are empty when no fence is needed. ``target_id``
    identifies the instance of the target that the attempt is for, or is empty when the
    sender doesn't know it.
    """

    request_id: str
    root_id: str
    root_hash: int
    rank: int
    route: str
    method: bytes
    target: bytes
    headers: tuple[Header, ...]
    body: bytes
    deadline_ms: int
    deadline_wall_ms: int
    allowance: int
    invested: int
    key: str
    fence: str
    bundle_version: int
    bundle_digest: bytes
    target_id: str = ""


def is_root_attempt(submit: Submit) -> bool:
    """Return whether ``submit`` is for a root request and not for a nested call."""
    return submit.request_id.rpartition(".")[0] == submit.root_id


class Reply(NamedTuple):
    """The result of one attempt.

    ``status`` is the HTTP status, or 0 when a node refused the request. ``checksum`` is
    the xxh3 hash of the body. ``allowance`` is the unused part of the retry allowance;
    ``calls_done`` is the number of nested calls that were answered. ``load`` is the
    work queued and running at the target as a share of its limit. ``shed_rank`` and
    ``shed_hash`` are the target's shed level: requests that sort after it would be
    refused now. ``slowdown_pct`` is how long work takes at the target now, in percent
    of the usual, or 0 if it doesn't say.
    """

    request_id: str
    status: int
    headers: tuple[Header, ...]
    body: bytes
    checksum: int
    verdict: str
    reason: str
    detail: str
    retry_after_ms: int
    allowance: int
    calls_done: int
    load: float
    shed_rank: int
    shed_hash: int
    slowdown_pct: int = 0


class Cancel(NamedTuple):
    """Requests a tombstone for ``fence``, so that the request no longer starts."""

    request_id: str
    key: str
    fence: str


class Withdraw(NamedTuple):
    """Asks for the refusal of an attempt that waits and has not been started.

    Nothing is sent for one that runs, as its reply follows.
    """

    request_id: str


class Unanswered(NamedTuple):
    """Tells that the platform doesn't answer ``host``, for ``for_ms`` from now on.

    The receiver may have to read in its place.
    """

    host: str
    for_ms: int


class Revoke(NamedTuple):
    """Asks whether the key has run here, and forbids fences with lower ballots."""

    request_id: str
    key: str
    ballot: str


class Revoked(NamedTuple):
    """Answer to ``Revoke``.

    ``outcome`` is ``found``, ``tombstone`` or ``superseded``. ``fence`` is the fence
    under which the key was found, the promised ballot when the revocation was
    superseded, or empty. ``records_complete_ms`` is for how long up to now the target's
    records of keys are complete.
    """

    request_id: str
    outcome: str
    fence: str
    records_complete_ms: int


class MemberRecord(NamedTuple):
    """The membership record of one node.

    ``state`` is ``live``, ``leaving`` or ``gone``. Records of one host are ordered
    by incarnation, then by state, then by ``revision``.
    """

    host: str
    incarnation: int
    state: str
    revision: int
    service: str
    availability_zone: str
    peer_address: str
    started_ms: int


class Hello(NamedTuple):
    """The first frame that each side of a link sends."""

    protocol: int
    record: MemberRecord
    bundle_version: int
    bundle_digest: bytes


class Gossip(NamedTuple):
    """Member records, with a digest of the sender's whole view.

    ``wants_full_view`` asks the receiver for all of its records. Each item of
    ``suspects`` is the fingerprint of a request, a host, an event and the event's age
    in milliseconds. ``platform_age_ms`` is the time since the platform last answered
    any node, as far as the sender knows, or -1 when it doesn't know.
    ``directory_revision`` is the sender's revision of the directory of targets.
    ``policy_age_ms`` is how long ago the bundle was known to be the newest, or -1.
    """

    view_digest: int
    records: tuple[MemberRecord, ...]
    wants_full_view: bool
    bundle_version: int
    bundle_digest: bytes
    suspects: tuple[tuple[int, str, str, int], ...]
    platform_age_ms: int = -1
    directory_revision: int = 0
    policy_age_ms: int = -1


class Heartbeat(NamedTuple):
    """Shows that a link is alive; ``echo`` requests a heartbeat in return."""

    sequence: int
    echo: bool


class Leaving(NamedTuple):
    """The incarnation of ``host`` takes no new work."""

    host: str
    incarnation: int


class BundleRequest(NamedTuple):
    """Requests a bundle that orders above the given version and digest."""

    above_version: int
    above_digest: bytes
    takes_compressed: bool = False


class BundleData(NamedTuple):
    """A bundle document, as a zlib stream if ``is_compressed``."""

    document: bytes
    is_compressed: bool = False


class StatusRequest(NamedTuple):
    """Requests a node's status."""

    request_id: str


class StatusData(NamedTuple):
    """A node's status as a JSON document."""

    request_id: str
    document: bytes


Frame = (
    Hello
    | Submit
    | Reply
    | Cancel
    | Revoke
    | Revoked
    | Gossip
    | Heartbeat
    | Leaving
    | BundleRequest
    | BundleData
    | StatusRequest
    | StatusData
    | TargetsRequest
    | TargetsData
    | TargetsList
    | Withdraw
    | Unanswered
    | LargeBody
    | BodyPiece
    | BodyDecision
    | UsageReport
    | UsageShare
)
