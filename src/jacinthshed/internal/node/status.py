"""The status document and the gauges of a node."""

from collections.abc import Callable, Set
from typing import Any

import msgspec

from ..discovery.source_revision import from_ordinal
from ..routing.load_spread import load_spreads
from ..routing.status import routing_status
from ..workspace.usage_exchange import UsageExchange
from .policy_holder import PolicyHolder
from .state import NodeState


def status_document(
    state: NodeState,
    holder: PolicyHolder,
    *,
    now_ms: float,
    leaving: bool,
    in_flight: int,
    unusable_hosts: Callable[[str], Set[str]],
    usage: UsageExchange,
) -> bytes:
    """Return the node's status as a JSON document.

    ``unusable_hosts`` takes a service and returns the hosts that no attempt is sent to.
    The figures of workspaces are left out where the policy has none.
    """
    policy = holder.current()
    document: dict[str, Any] = {
        "host": state.record.host,
        "incarnation": state.record.incarnation,
        "service": state.record.service,
        "availability_zone": state.record.availability_zone,
        "state": "leaving" if leaving else "live",
        "serving": policy is not None,
        "bundle": _bundle_section(state, holder, now_ms),
        "members": {
            service: [member.host for member in state.view.members(service)]
            for service in state.view.services()
        },
        "admission": _admission_section(state),
        "calls_in_flight": in_flight,
        "fences": state.fence_registry.sizes,
        "suspects": len(state.suspects),
        "routing": routing_status(state.picker, now_ms, unusable_hosts),
    }
    if policy is not None and policy.bundle.workspaces:
        document["bundle"]["policy_age_ms"] = _policy_age_ms(state)
        document["workspaces"] = usage.statuses()
    return msgspec.json.encode(document)


def _admission_section(state: NodeState) -> dict[str, Any]:
    return {
        "limit": state.admission.limit,
        "running": state.admission.in_flight,
        "waiting": state.admission.waiting,
    }


def _bundle_section(
    state: NodeState, holder: PolicyHolder, now_ms: float
) -> dict[str, Any]:
    return {
        "version": holder.order.version,
        "digest": holder.order.digest.hex(),
        "age_ms": holder.age_ms(now_ms),
        "clashes": [
            {"version": clash.version, "source": clash.source}
            for clash in state.store.version_conflicts
        ],
    }


def _policy_age_ms(state: NodeState) -> int | None:
    """Return how long ago the policy was known to be the newest, or None."""
    age_ms = state.freshness.reported_age_ms()
    return age_ms if age_ms >= 0 else None


def node_gauges(
    state: NodeState,
    holder: PolicyHolder,
    now_ms: float,
    in_flight: int,
    platform_age_ms: float | None,
) -> dict[str, float]:
    """Return the node's current gauges by metric name.

    ``platform_age_ms`` is the age of the platform's last answer to any node, if known.
    """
    spreads = load_spreads(state.picker, now_ms)
    return {
        "admission.limit": state.admission.limit,
        "admission.running": state.admission.in_flight,
        "admission.waiting": state.admission.waiting,
        "calls.in_flight": in_flight,
        "members": len(state.view.hosts()) + 1,
        "bundle.version": holder.order.version,
        "platform.answer_age_ms": -1 if platform_age_ms is None else platform_age_ms,
        "directory.revision": from_ordinal(state.directory.revision).revision,
        "directory.targets": len(state.directory.entries()),
        **{
            f"routing.load_spread.{service}": round(spread, 3)
            for service, spread in spreads.items()
        },
    }
