"""The policy document that operators sign.

The types are ``msgspec`` structures, not named tuples, because the validation has to
refuse unknown keys and to report the YAML path of each problem.
"""

from typing import Literal

import msgspec

MAX_RANK = 100


class _Section(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Base class of all parts of the bundle: immutable, refuses unknown keys."""


class Service(_Section, frozen=True, kw_only=True):
    """One service and the capacity of each of its targets.

    ``path_prefix`` identifies the service in a request path; the empty string stands
    for ``/<name>``. ``slots`` is how many requests one target runs at once,
    ``connections`` how many connections one target accepts, and ``queue`` how many
    requests may wait for a slot at one target (0 stands for as many as ``slots``).
    """

    slots: int
    connections: int
    path_prefix: str = ""
    queue: int = 0


class Route(_Section, frozen=True, kw_only=True):
    """One kind of request.

    ``path`` is a path prefix below the service's prefix. ``rank`` orders requests by
    importance: 1 is the most important and is shed last. ``calls`` names the routes
    that a backend server may call while it runs this one. ``deadline_ms`` is the
    deadline of a request whose caller gives none, and ``limit_ms`` the longest deadline
    in any case (0 for no limit). ``objective_ms`` is the latency objective, the time
    within which an answer is worth most (0 for none). ``attempts`` is how many targets
    one request may be sent to (0 for as many as the retry allowance permits).
    Requests of an ``anonymous`` route need no key of a workspace.
    """

    service: str
    rank: int
    idempotent: bool
    deadline_ms: int
    methods: tuple[str, ...] = ("GET",)
    path: str = "/"
    calls: tuple[str, ...] = ()
    limit_ms: int = 0
    objective_ms: int = 0
    attempts: int = 0
    anonymous: bool = False


class RetryPolicy(_Section, frozen=True, kw_only=True):
    """Limits on the retries of one root request and on the resends of one caller.

    ``allowance`` is the number of attempts beyond the first over the whole call tree.
    ``ratio`` and ``burst`` limit a caller's resends in relation to its new requests.
    """

    allowance: int = 2
    ratio: float = 0.1
    burst: int = 20


class FencePolicy(_Section, frozen=True, kw_only=True):
    """Lifetimes of fences and keys, in milliseconds.

    ``key_lifetime_ms`` is how long after its first use a caller may still resend a
    key. ``skew_ms`` is the greatest difference between the clocks of two hosts. Fences
    need not be ``required`` where each request reaches only one entry node, since no
    other node could then send it a second time.
    """

    required: bool = True
    lifetime_ms: int = 60_000
    skew_ms: int = 500
    key_lifetime_ms: int = 600_000
    require_key: bool = True


class AdmissionPolicy(_Section, frozen=True, kw_only=True):
    """Bounds of the adaptive concurrency limit at a target.

    ``min_limit`` is the lowest value of the limit. ``latency_tolerance`` is the
    multiple of the unloaded latency above which the limit decreases. ``level_ttl_ms``
    is how long an entry node uses a shed level that it received from a target. With
    ``sheds_calls``, shed levels also refuse calls of requests that are already running;
    without it they refuse root requests only.
    """

    min_limit: int = 1
    latency_tolerance: float = 2.0
    level_ttl_ms: int = 1_000
    sheds_calls: bool = True


class RoutingPolicy(_Section, frozen=True, kw_only=True):
    """Choice of targets.

    ``subset`` is the largest number of targets of one service in one availability zone
    that a node keeps links to. ``slow_start_ms`` is the time over which the share of a
    new target grows. Requests go to other availability zones when less than the share
    ``headroom`` of the limit of a zone's targets is free. ``choice`` is how one of the
    targets is chosen: the less busy of two random ones, or at random in proportion to
    the room that each is expected to have.
    """

    subset: int = 6
    slow_start_ms: int = 10_000
    headroom: float = 0.1
    choice: Literal["two-random", "expected-room"] = "two-random"


class MembershipPolicy(_Section, frozen=True, kw_only=True):
    """Gossip and links between nodes; intervals and timeouts are in milliseconds.

    While a link awaits a frame, its peer gets a heartbeat every ``heartbeat_ms``; an
    idle link gets far fewer. The link counts as silent when no frame arrives for
    ``silent_after_ms``. A peer that is leaving or no longer listed is declared gone
    after it was unreachable for ``unreachable_after_ms``. When a node's process did not
    run for ``pause_after_ms``, the node counts this as a pause, after which its view of
    the members is unconfirmed until a peer has answered. With ``neighbours`` set to
    ``own-zone``, most gossip stays in the availability zone of its sender.
    """

    gossip_interval_ms: int = 1_000
    heartbeat_ms: int = 500
    silent_after_ms: int = 1_500
    unreachable_after_ms: int = 5_000
    pause_after_ms: int = 1_000
    neighbours: Literal["any", "own-zone"] = "any"


class DrainPolicy(_Section, frozen=True, kw_only=True):
    """Draining of a leaving node, in milliseconds.

    ``limit_ms`` is the longest time that a leaving node waits for running requests. It
    keeps serving callers for ``callers_ms``, since they may know no other entry node.
    After ``limit_ms``, callers get ``flush_ms`` to read the answers that are ready.
    """

    limit_ms: int = 60_000
    callers_ms: int = 0
    flush_ms: int = 300


class QuarantinePolicy(_Section, frozen=True, kw_only=True):
    """Quarantine of requests that crash backend servers.

    A request is quarantined after crashes on ``crashes`` hosts, or after one crash more
    on fewer hosts. The quarantine lasts ``quarantine_ttl_ms``, and twice as long after
    each further crash. A request that is not quarantined is a suspect until
    ``suspect_ttl_ms`` after its last change. ``max_entries`` limits each table.
    """

    crashes: int = 2
    suspect_ttl_ms: int = 120_000
    quarantine_ttl_ms: int = 300_000
    max_entries: int = 4_096


class ReaderPolicy(_Section, frozen=True, kw_only=True):
    """Readers of the platform's configuration service.

    ``per_zone`` nodes of each availability zone keep a watch of at most ``watch_ms``
    open; after a change, their waits end one after the other. All nodes together read
    at most ``reads_per_s`` times per second, and each node at most ``node_reads_per_s``
    times, even if it knows few other nodes. Further nodes read when no answer is known
    for ``quiet_after_ms``. ``max_backoff_ms`` limits the wait after consecutive
    failures.

    A node has fewer than ``per_zone`` readers in its zone where fewer are enough for
    ``fleet_readers`` in all zones together; 0 means that ``per_zone`` always applies.
    Two calls for a key that is changing start ``batch_ms`` apart on the average, so
    that one call returns several changes. A node that has just started doesn't watch
    for ``settle_ms`` after its first read, as it can't know its rank before.
    """

    per_zone: int = 2
    reads_per_s: int = 500
    node_reads_per_s: float = 1.0
    watch_ms: int = 10_000
    quiet_after_ms: int = 15_000
    max_backoff_ms: int = 10_000
    fleet_readers: int = 0
    batch_ms: int = 0
    settle_ms: int = 0


class SizeLimits(_Section, frozen=True, kw_only=True):
    """Largest messages, in bytes, and timeouts for callers, in milliseconds.

    ``head_bytes``, ``idle_ms`` and ``read_ms`` are 0 where the value in the node's own
    settings applies; see ``HttpSettings``.
    """

    request_bytes: int = 1_048_576
    answer_bytes: int = 4_194_304
    head_bytes: int = 0
    idle_ms: int = 0
    read_ms: int = 0


class Workspace(_Section, frozen=True, kw_only=True):
    """A customer whose callers are known by a key.

    ``key_digests`` are the SHA-256 digests of its keys, in hexadecimal. ``rank`` goes
    before the rank of the route; 0 is the most important. ``rate_per_s`` and ``burst``
    limit its requests at all nodes together; a rate of 0 stands for no limit.
    """

    key_digests: tuple[str, ...] = ()
    rank: int = 0
    rate_per_s: float = 0.0
    burst: float = 0.0


class KeyPolicy(_Section, frozen=True, kw_only=True):
    """Withdrawal of keys.

    A node refuses requests that need a key when it has not known for ``max_age_ms``
    that its policy is the newest, as their key may have been withdrawn; 0 is no bound.
    """

    max_age_ms: int = 0


class Bundle(_Section, frozen=True, kw_only=True):
    """One version of the whole policy."""

    deployment: str
    version: int
    availability_zones: tuple[str, ...]
    services: dict[str, Service]
    routes: dict[str, Route]
    retry: RetryPolicy = RetryPolicy()
    fence: FencePolicy = FencePolicy()
    admission: AdmissionPolicy = AdmissionPolicy()
    routing: RoutingPolicy = RoutingPolicy()
    membership: MembershipPolicy = MembershipPolicy()
    drain: DrainPolicy = DrainPolicy()
    quarantine: QuarantinePolicy = QuarantinePolicy()
    readers: ReaderPolicy = ReaderPolicy()
    sizes: SizeLimits = SizeLimits()
    workspaces: dict[str, Workspace] = {}
    keys: KeyPolicy = KeyPolicy()
