"""Validation of the policies of a bundle."""

from collections.abc import Iterator
from itertools import chain

from ..settings.problem import Problem
from .model import Bundle
from .shared_checks import check_range

MAX_ALLOWANCE = 100
MAX_TIME_MS = 86_400_000
MAX_ENTRIES = 1_000_000
# A body and its headers have to fit into one frame between nodes.
MAX_BODY_BYTES = 7 * 1024 * 1024
# Below the capacity of the platform, so that its other readers keep a share.
MAX_READS_PER_S = 1_500
MAX_READERS_PER_ZONE = 100


def check_policies(bundle: Bundle) -> Iterator[Problem]:
    """Return an iterator of all problems of the policies of ``bundle``."""
    return chain(
        _check_retry(bundle),
        _check_fence(bundle),
        _check_admission(bundle),
        _check_routing(bundle),
        _check_membership(bundle),
        _check_drain(bundle),
        _check_quarantine(bundle),
        _check_readers(bundle),
        _check_sizes(bundle),
    )


def _longest_deadline_ms(bundle: Bundle, *, fenced_only: bool = False) -> int:
    deadlines = (
        route.deadline_ms
        for route in bundle.routes.values()
        if not (fenced_only and route.idempotent)
    )
    return max(deadlines, default=0)


def _check_retry(bundle: Bundle) -> Iterator[Problem]:
    retry = bundle.retry
    yield from check_range("retry.allowance", retry.allowance, 0, MAX_ALLOWANCE)
    yield from check_range("retry.ratio", retry.ratio, 0, 1)
    yield from check_range("retry.burst", retry.burst, 0, MAX_ENTRIES)


def _check_fence(bundle: Bundle) -> Iterator[Problem]:
    fence = bundle.fence
    yield from check_range("fence.skew_ms", fence.skew_ms, 0, MAX_TIME_MS)
    lowest = fence.skew_ms + max(1, _longest_deadline_ms(bundle, fenced_only=True))
    reason = "at least the skew and the longest deadline of a non-idempotent route"
    yield from check_range(
        "fence.lifetime_ms", fence.lifetime_ms, lowest, MAX_TIME_MS, reason
    )
    reason = "at least the lifetime of a fence"
    yield from check_range(
        "fence.key_lifetime_ms",
        fence.key_lifetime_ms,
        fence.lifetime_ms,
        MAX_TIME_MS,
        reason,
    )


def _check_admission(bundle: Bundle) -> Iterator[Problem]:
    admission = bundle.admission
    # Slots below 1 are reported by the checks of services and not a second time here.
    slots = (max(1, service.slots) for service in bundle.services.values())
    fewest = min(slots, default=1)
    reason = "at most the fewest slots of a service"
    yield from check_range(
        "admission.min_limit", admission.min_limit, 1, fewest, reason
    )
    tolerance = admission.latency_tolerance
    yield from check_range("admission.latency_tolerance", tolerance, 1.1, 100)
    yield from check_range(
        "admission.level_ttl_ms", admission.level_ttl_ms, 1, MAX_TIME_MS
    )


def _check_routing(bundle: Bundle) -> Iterator[Problem]:
    routing = bundle.routing
    yield from check_range("routing.subset", routing.subset, 1, 1_000)
    yield from check_range(
        "routing.slow_start_ms", routing.slow_start_ms, 0, MAX_TIME_MS
    )
    yield from check_range("routing.headroom", routing.headroom, 0, 0.9)


def _check_membership(bundle: Bundle) -> Iterator[Problem]:
    times = bundle.membership
    path = "membership"
    interval_ms = times.gossip_interval_ms
    yield from check_range(f"{path}.gossip_interval_ms", interval_ms, 1, MAX_TIME_MS)
    yield from check_range(f"{path}.heartbeat_ms", times.heartbeat_ms, 1, MAX_TIME_MS)
    yield from check_range(
        f"{path}.pause_after_ms", times.pause_after_ms, 1, MAX_TIME_MS
    )
    yield from check_range(
        f"{path}.silent_after_ms",
        times.silent_after_ms,
        2 * times.heartbeat_ms,
        MAX_TIME_MS,
        "at least two heartbeats, so that one lost heartbeat is tolerated",
    )
    yield from check_range(
        f"{path}.unreachable_after_ms",
        times.unreachable_after_ms,
        times.silent_after_ms,
        MAX_TIME_MS,
        "at least silent_after_ms",
    )


def _check_drain(bundle: Bundle) -> Iterator[Problem]:
    lowest = max(1, _longest_deadline_ms(bundle))
    reason = (
        "at least the longest deadline of a route, so that running requests can end"
    )
    yield from check_range(
        "drain.limit_ms", bundle.drain.limit_ms, lowest, MAX_TIME_MS, reason
    )


def _check_quarantine(bundle: Bundle) -> Iterator[Problem]:
    policy = bundle.quarantine
    path = "quarantine"
    yield from check_range(f"{path}.crashes", policy.crashes, 1, 100)
    yield from check_range(
        f"{path}.suspect_ttl_ms", policy.suspect_ttl_ms, 1, MAX_TIME_MS
    )
    ttl_ms = policy.quarantine_ttl_ms
    yield from check_range(f"{path}.quarantine_ttl_ms", ttl_ms, 1, MAX_TIME_MS)
    yield from check_range(f"{path}.max_entries", policy.max_entries, 1, MAX_ENTRIES)


def _check_readers(bundle: Bundle) -> Iterator[Problem]:
    policy = bundle.readers
    path = "readers"
    yield from check_range(f"{path}.per_zone", policy.per_zone, 1, MAX_READERS_PER_ZONE)
    yield from check_range(
        f"{path}.reads_per_s", policy.reads_per_s, 1, MAX_READS_PER_S
    )
    yield from check_range(f"{path}.watch_ms", policy.watch_ms, 100, 60_000)
    yield from check_range(
        f"{path}.quiet_after_ms",
        policy.quiet_after_ms,
        policy.watch_ms + 1,
        MAX_TIME_MS,
        "longer than watch_ms, as a pending watch gives no answer",
    )
    yield from check_range(
        f"{path}.fleet_readers", policy.fleet_readers, 0, MAX_READERS_PER_ZONE
    )
    yield from check_range(f"{path}.batch_ms", policy.batch_ms, 0, 60_000)
    yield from check_range(f"{path}.settle_ms", policy.settle_ms, 0, 60_000)


def _check_sizes(bundle: Bundle) -> Iterator[Problem]:
    sizes = bundle.sizes
    yield from check_range(
        "sizes.request_bytes", sizes.request_bytes, 1, MAX_BODY_BYTES
    )
    yield from check_range("sizes.answer_bytes", sizes.answer_bytes, 1, MAX_BODY_BYTES)
