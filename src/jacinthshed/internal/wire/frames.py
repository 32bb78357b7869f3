"""The messages that nodes send each other.

Every frame is a named tuple of msgpack types, so that its layout on the wire is its
field order. Times on the wire are spans in milliseconds, as clocks of two hosts
differ; wall-clock times are compared only with the skew that the bundle allows.
"""

from typing import NamedTuple

from .targets import TargetsData, TargetsRequest

Header = tuple[bytes, bytes]


class Submit(NamedTuple):
    """One attempt of a request.

    ``deadline_ms`` is the time left and ``deadline_wall_ms`` the same moment on the
    sender's wall clock, so that a target which slept through it can tell.
    ``root_hash`` orders requests of the same rank alike at every layer. ``invested``
    counts the calls of the same root that are already done. ``allowance`` is what the
    sender gives away of the root's retries. ``fence`` and ``key`` are empty where no
    fence is needed. ``target_id`` names the life of the target that is meant, where the
    sender knows it.
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
    """Return whether ``submit`` is an attempt of a root, and no call below one."""
    return submit.request_id.rpartition(".")[0] == submit.root_id


class Reply(NamedTuple):
    """The end of one attempt.

    ``status`` is 0 for a refusal by the system. ``checksum`` is the xxh3 of the body.
    ``allowance`` is what comes back unused; ``calls_done`` counts the calls that were
    answered below. ``load`` is the target's work in hand as a share of its limit.
    ``shed_rank`` and ``shed_hash`` are the target's shed level: work that orders after
    them would be refused now.
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


class Cancel(NamedTuple):
    """Asks for a tombstone: the request must not start any more."""

    request_id: str
    key: str
    fence: str


class Revoke(NamedTuple):
    """Asks whether a key ever ran here, and forbids fences of lower ballots."""

    request_id: str
    key: str
    ballot: str


class Revoked(NamedTuple):
    """Answer to ``Revoke``: ``found``, ``tombstone`` or ``superseded``.

    ``fence`` is the fence under which the key was found. ``records_complete_ms`` is for
    how long up to now the target's records of keys are complete.
    """

    request_id: str
    outcome: str
    fence: str
    records_complete_ms: int


class MemberRecord(NamedTuple):
    """What is told about one node.

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
    """First frame of each side of a link."""

    protocol: int
    record: MemberRecord
    bundle_version: int
    bundle_digest: bytes


class Gossip(NamedTuple):
    """News about members, with a digest of the sender's whole view.

    ``platform_age_ms`` is how long ago the platform last answered anybody that the
    sender heard of, or -1. ``directory_revision`` is how far the sender knows the
    directory of targets.
    """

    view_digest: int
    records: tuple[MemberRecord, ...]
    wants_full_view: bool
    bundle_version: int
    bundle_digest: bytes
    suspects: tuple[tuple[int, str, str, int], ...]
    platform_age_ms: int = -1
    directory_revision: int = 0


class Heartbeat(NamedTuple):
    """Keeps a link known to be alive; ``echo`` asks for one in return."""

    sequence: int
    echo: bool


class Leaving(NamedTuple):
    """The sender takes no new work."""

    host: str
    incarnation: int


class BundleRequest(NamedTuple):
    """Asks a peer for a bundle above the given order."""

    above_version: int
    above_digest: bytes


class BundleData(NamedTuple):
    """A signed bundle document."""

    document: bytes


class StatusRequest(NamedTuple):
    """Asks a node for its status."""

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
)
