"""The section "routing" of a node's status document."""

from collections.abc import Callable, Set
from typing import TypedDict

from .picker import (
    BY_EXPECTED_ROOM,
    LAST_RESORT,
    LOCAL,
    NO_HEADROOM,
    SPILL,
    Picker,
)
from .preview import MAX_POOL_TARGETS, Candidate, Preview, preview

_REASON_TEXTS = {
    LOCAL: "the target drawn in the node's own zone has headroom",
    SPILL: "no target drawn in the node's own zone has headroom; one elsewhere has",
    NO_HEADROOM: "no target that was drawn has headroom; the node's own zone is "
    "preferred unless the load elsewhere is clearly lower",
    LAST_RESORT: "all targets are avoided; the one whose avoidance ends first is taken",
}
_BY_ROOM_TEXT = "; drawn at random in proportion to its expected room"
_NO_TARGET_TEXT = "the node knows no target of the service"
_NOT_COMPUTED_TEXT = (
    f"not computed: more than {MAX_POOL_TARGETS} targets in the node's own zone or in "
    "the others"
)


class CandidateStatus(TypedDict):
    """One target, as the node knows it now.

    ``load`` is a share of the target's limit; ``load_age_ms`` is null if the target
    never reported one. ``probability`` is null if it isn't computed.
    """

    host: str
    availability_zone: str
    is_local: bool
    load: float
    load_age_ms: int | None
    in_flight: int
    avoid_ms: int
    probability: float | None


class ServiceRouting(TypedDict):
    """Where a request for one service would be sent now.

    ``stage`` and ``host`` are the most probable ones, or null. ``stages`` gives the
    probability of each stage. ``max_load`` is the highest load with headroom.
    """

    stage: str | None
    host: str | None
    reason: str
    stages: dict[str, float]
    max_load: float
    candidates: list[CandidateStatus]


def routing_status(
    picker: Picker, now_ms: float, unusable_hosts: Callable[[str], Set[str]]
) -> dict[str, ServiceRouting]:
    """Return the routing of each service that has or had targets.

    ``unusable_hosts`` takes a service and returns the hosts that no attempt is sent to,
    whatever the picker chooses.
    """
    routing = {}
    for service in picker.services():
        found = preview(picker, now_ms, service, exclude=unusable_hosts(service))
        # Entry-only nodes are members of a service without a name.
        if service and found is not None:
            routing[service] = _service_routing(found, picker.max_load)
    return routing


def _service_routing(found: Preview, max_load: float) -> ServiceRouting:
    stages = found.reasons or {}
    stage = max(stages, key=stages.__getitem__, default=None)
    host = None
    if stage is not None:
        host = max(found.candidates, key=lambda c: c.probability or 0.0).host
    return {
        "stage": stage,
        "host": host,
        "reason": _reason_text(found, stage),
        "stages": {name: round(share, 4) for name, share in stages.items()},
        "max_load": round(max_load, 4),
        "candidates": [_candidate_status(c) for c in found.candidates],
    }


def _reason_text(found: Preview, stage: str | None) -> str:
    if found.reasons is None:
        return _NOT_COMPUTED_TEXT
    if stage is None:
        return _NO_TARGET_TEXT
    text = _REASON_TEXTS[stage.removesuffix(BY_EXPECTED_ROOM)]
    is_by_room = stage.endswith(BY_EXPECTED_ROOM)
    return text + (_BY_ROOM_TEXT if is_by_room else "")


def _candidate_status(candidate: Candidate) -> CandidateStatus:
    age_ms, probability = candidate.load_age_ms, candidate.probability
    return {
        "host": candidate.host,
        "availability_zone": candidate.availability_zone,
        "is_local": candidate.is_local,
        "load": round(candidate.load, 3),
        "load_age_ms": None if age_ms is None else round(age_ms),
        "in_flight": candidate.in_flight,
        "avoid_ms": round(candidate.avoid_ms),
        "probability": None if probability is None else round(probability, 4),
    }
