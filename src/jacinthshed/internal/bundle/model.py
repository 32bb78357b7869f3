"""The policy document that operators sign.

These are ``msgspec`` structures and not named tuples because a settings check has to
refuse unknown keys and name the YAML path of what is wrong.
"""

import msgspec

MAX_RANK = 100


class _Section(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Base of every part of the bundle: immutable, no unknown keys."""


class Service(_Section, frozen=True, kw_only=True):
    """One service and the sizes of each of its targets.

    ``path_prefix`` names the service in a request path; the empty string stands for
    ``/<name>``. ``slots`` is how many requests one target runs at once,
    ``connections`` how many connections one target accepts, ``queue`` how many
    requests may wait for a slot at one target (0 stands for as many as ``slots``).
    """

    slots: int
    connections: int
    path_prefix: str = ""
    queue: int = 0


class Route(_Section, frozen=True, kw_only=True):
    """One kind of request.

    ``path`` is the prefix of the path below the service's prefix. ``rank`` orders
    requests by importance: 1 is the most important and is shed last. ``calls`` names
    the routes that a backend server may call while it runs this one. ``deadline_ms``
    is the time that a request has when its caller names none, ``limit_ms`` the longest
    that it has in any case. ``objective_ms`` is the time within which an answer is
    worth most, and ``attempts`` how many targets one request may be sent to. Of these
    three, 0 stands for no limit, no objective, and what the retry allowance permits.
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


class RetryPolicy(_Section, frozen=True, kw_only=True):
    """Retries of one root request and of one caller.

    ``allowance`` is the number of attempts beyond the first over the whole call tree.
    ``ratio`` and ``burst`` bound the resends of a caller to its fresh requests.
    """

    allowance: int = 2
    ratio: float = 0.1
    burst: int = 20


class FencePolicy(_Section, frozen=True, kw_only=True):
    """Lifetimes of fences and keys, in milliseconds.

    ``key_lifetime_ms`` is how long after its first use a caller may still resend a
    key. ``skew_ms`` is the greatest difference between two hosts' clocks. Fences
    aren't ``required`` where each request reaches one entry node only, which then is
    the only one that could send it twice.
    """

    required: bool = True
    lifetime_ms: int = 60_000
    skew_ms: int = 500
    key_lifetime_ms: int = 600_000
    require_key: bool = True


class AdmissionPolicy(_Section, frozen=True, kw_only=True):
    """Bounds of the adaptive limit at a target.

    ``latency_tolerance`` is how many times the unloaded latency a target may take
    before its limit goes down. ``level_ttl_ms`` is how long an entry node trusts the
    shed level that a target told it. ``sheds_calls`` lets shed levels turn away calls
    of requests that run already; without it they refuse roots only.
    """

    min_limit: int = 1
    latency_tolerance: float = 2.0
    level_ttl_ms: int = 1_000
    sheds_calls: bool = True


class RoutingPolicy(_Section, frozen=True, kw_only=True):
    """Choice of targets.

    ``subset`` bounds the targets of one service in one availability zone that one
    node keeps links to. ``slow_start_ms`` is the time over which a new target's share
    grows. A zone's targets are left for other zones' when less than ``headroom`` of
    their limit is free.
    """

    subset: int = 6
    slow_start_ms: int = 10_000
    headroom: float = 0.1


class MembershipPolicy(_Section, frozen=True, kw_only=True):
    """Times of gossip and of links between nodes, in milliseconds."""

    gossip_interval_ms: int = 1_000
    heartbeat_ms: int = 500
    silent_after_ms: int = 1_500
    unreachable_after_ms: int = 5_000
    pause_after_ms: int = 1_000


class DrainPolicy(_Section, frozen=True, kw_only=True):
    """Leaving, in milliseconds.

    ``limit_ms`` is the longest time that running work is waited for. Callers are served
    for ``callers_ms`` after the node began to leave, as they may know no other entry.
    """

    limit_ms: int = 60_000
    callers_ms: int = 0


class QuarantinePolicy(_Section, frozen=True, kw_only=True):
    """Requests that crash backend servers."""

    crashes: int = 2
    suspect_ttl_ms: int = 120_000
    quarantine_ttl_ms: int = 300_000
    max_entries: int = 4_096


class ReaderPolicy(_Section, frozen=True, kw_only=True):
    """Readers of the platform's configuration service.

    ``per_zone`` nodes of an availability zone hold a watch. All readers together
    stay under ``reads_per_s``, and each under ``node_reads_per_s`` whatever it believes
    about the size of the fleet. ``max_backoff_ms`` bounds the wait after failures in a
    row.
    """

    per_zone: int = 2
    reads_per_s: int = 500
    node_reads_per_s: float = 1.0
    watch_ms: int = 10_000
    quiet_after_ms: int = 15_000
    max_backoff_ms: int = 10_000


class SizeLimits(_Section, frozen=True, kw_only=True):
    """Largest messages, in bytes, and callers' times, in milliseconds.

    ``head_bytes``, ``idle_ms`` and ``read_ms`` are 0 where the node's own settings
    decide; see ``HttpSettings``.
    """

    request_bytes: int = 1_048_576
    answer_bytes: int = 4_194_304
    head_bytes: int = 0
    idle_ms: int = 0
    read_ms: int = 0


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
