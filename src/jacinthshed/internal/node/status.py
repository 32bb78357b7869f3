"""The status document and the gauges of a node."""

from typing import Any

import msgspec

from .policy_holder import PolicyHolder
from .state import NodeState


def status_document(
    state: NodeState, holder: PolicyHolder, *, leaving: bool, in_flight: int
) -> bytes:
    """Return the node's status as a JSON document."""
    policy = holder.current()
    document: dict[str, Any] = {
        "host": state.record.host,
        "incarnation": state.record.incarnation,
        "service": state.record.service,
        "availability_zone": state.record.availability_zone,
        "state": "leaving" if leaving else "live",
        "serving": policy is not None,
        "bundle": {
            "version": holder.order.version,
            "digest": holder.order.digest.hex(),
            "clashes": [
                {"version": clash.version, "source": clash.source}
                for clash in state.store.version_conflicts
            ],
        },
        "members": {
            service: [member.host for member in state.view.members(service)]
            for service in state.view.services()
        },
        "admission": {
            "limit": state.admission.limit,
            "running": state.admission.in_flight,
            "waiting": state.admission.waiting,
        },
        "calls_in_flight": in_flight,
        "fences": state.fence_registry.sizes,
        "suspects": len(state.suspects),
    }
    return msgspec.json.encode(document)


def node_gauges(
    state: NodeState, holder: PolicyHolder, in_flight: int
) -> dict[str, float]:
    """Return the node's current gauges by metric name."""
    return {
        "admission.limit": state.admission.limit,
        "admission.running": state.admission.in_flight,
        "admission.waiting": state.admission.waiting,
        "calls.in_flight": in_flight,
        "members": len(state.view.hosts()) + 1,
        "bundle.version": holder.order.version,
    }
