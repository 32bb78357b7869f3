"""Builds the state on which one node's decisions are based."""

from collections.abc import Callable
from random import Random
from typing import NamedTuple

from ..admission.admission import Admission
from ..admission.root_throttle import RootThrottle
from ..admission.shed_level import ShedLevel
from ..admission.shed_level_table import ShedLevelTable
from ..bundle.model import (
    AdmissionPolicy,
    FencePolicy,
    MembershipPolicy,
    QuarantinePolicy,
    RetryPolicy,
    RoutingPolicy,
)
from ..bundle.store import BundleStore
from ..discovery.directory import Directory
from ..fence.ballot import BallotGenerator
from ..fence.instant import Instant
from ..fence.registry import FenceRegistry
from ..flow.arrival_check import ArrivalCheck
from ..flow.backend_outcome import AnswerCheck
from ..flow.context import ContextRegistry
from ..flow.nested_time import NestedTime
from ..flow.observed_calls import ObservedCalls
from ..flow.policy import Policy
from ..flow.target import Target
from ..flow.target_state import TargetState
from ..membership.failure import FailureTracker
from ..membership.incarnation import new_incarnation
from ..membership.pause import PauseDetector
from ..membership.record_order import LIVE
from ..membership.view import View
from ..quarantine.suspects import Suspects
from ..retry.allowance import AllowanceLedger
from ..retry.resend_limiter import ResendLimiter
from ..retry.retry_after_tracker import RetryAfterTracker
from ..routing.picker import Picker
from ..settings.model import NodeSettings
from ..wire.frames import MemberRecord, Submit
from ..workspace.freshness import Freshness
from .downstream_levels import (
    downstream_level_merger,
    downstream_routes,
    downstream_shed_check,
)

FENCE_REGISTRY_MAX_ENTRIES = 100_000
FENCE_REGISTRY_MAX_BYTES = 32 * 1024 * 1024


class NodeState(NamedTuple):
    """All state that decisions are based on; only the node's own tasks use it."""

    record: MemberRecord
    random: Random
    store: BundleStore
    admission: Admission
    fence_registry: FenceRegistry
    suspects: Suspects
    ledger: AllowanceLedger
    resend_limiter: ResendLimiter
    retry_after_tracker: RetryAfterTracker
    contexts: ContextRegistry
    nested: NestedTime
    observed_calls: ObservedCalls
    levels: ShedLevelTable
    throttle: RootThrottle
    view: View
    directory: Directory
    failures: FailureTracker
    pauses: PauseDetector
    picker: Picker
    ballots: BallotGenerator
    check: ArrivalCheck
    target: Target
    freshness: Freshness

    def renew(self, incarnation: int) -> None:
        """Continue under a higher incarnation.

        Requests that carry a fence of the previous incarnation are no longer started.
        The records of those already started are kept.
        """
        self.fence_registry.renew(incarnation)
        self.target.renew(incarnation)


def first_record(
    settings: NodeSettings, peer_address: str, wall_ms: int, random: Random
) -> MemberRecord:
    """Return the membership record of a node that has just started."""
    return MemberRecord(
        host=settings.host,
        incarnation=new_incarnation(wall_ms, random),
        state=LIVE,
        revision=0,
        service=settings.service,
        availability_zone=settings.availability_zone,
        peer_address=peer_address,
        started_ms=wall_ms,
    )


def build_state(
    *,
    record: MemberRecord,
    store: BundleStore,
    random: Random,
    clock_ms: Callable[[], float],
    policy: Callable[[], Policy | None],
    check_answer: AnswerCheck,
    log: Callable[..., None],
) -> NodeState:
    """Return the state of a node that has just started, with default policies."""
    view = View(self_record=record)
    levels = ShedLevelTable(ttl_ms=AdmissionPolicy().level_ttl_ms)
    observed_calls = ObservedCalls()
    routes_of = downstream_routes(policy, observed_calls)
    shed_below_ms = downstream_shed_check(policy, routes_of, levels, random)
    target_state = _build_target_state(record, clock_ms(), policy, shed_below_ms)
    fold_level = downstream_level_merger(routes_of, levels)
    target = _build_target(record, view, target_state, fold_level, check_answer, log)
    return NodeState(
        **target_state._asdict(),
        record=record,
        random=random,
        store=store,
        resend_limiter=ResendLimiter(policy=RetryPolicy()),
        retry_after_tracker=RetryAfterTracker(),
        observed_calls=observed_calls,
        levels=levels,
        throttle=RootThrottle(),
        view=view,
        directory=Directory(),
        failures=FailureTracker(policy=MembershipPolicy()),
        pauses=PauseDetector(pause_after_ms=MembershipPolicy().pause_after_ms),
        picker=_build_picker(record, random),
        ballots=BallotGenerator(host=record.host, incarnation=record.incarnation),
        target=target,
        freshness=Freshness(now_ms=clock_ms),
    )


def _build_target(
    record: MemberRecord,
    view: View,
    target_state: TargetState,
    fold_level: Callable[[Instant, str, ShedLevel], ShedLevel],
    check_answer: AnswerCheck,
    log: Callable[..., None],
) -> Target:
    return Target(
        host=record.host,
        incarnation=record.incarnation,
        state=target_state,
        fold_level=fold_level,
        list_age_ms=lambda at: view.changed_ago_ms(record.service, at.now_ms),
        check_answer=check_answer,
        log=log,
    )


def _build_target_state(
    record: MemberRecord,
    now_ms: float,
    policy: Callable[[], Policy | None],
    shed_below_ms: Callable[[Instant, Submit], int | None],
) -> TargetState:
    suspects = Suspects(policy=QuarantinePolicy())
    check = ArrivalCheck(policy=policy, suspects=suspects, shed_below_ms=shed_below_ms)
    return TargetState(
        admission=Admission(slots=1, queue=1, policy=AdmissionPolicy()),
        fence_registry=_build_fence_registry(record, now_ms),
        suspects=suspects,
        ledger=AllowanceLedger(),
        contexts=ContextRegistry(),
        nested=NestedTime(),
        check=check,
    )


def _build_fence_registry(record: MemberRecord, now_ms: float) -> FenceRegistry:
    return FenceRegistry(
        host=record.host,
        incarnation=record.incarnation,
        started_ms=now_ms,
        policy=FencePolicy(),
        max_entries=FENCE_REGISTRY_MAX_ENTRIES,
        max_bytes=FENCE_REGISTRY_MAX_BYTES,
    )


def _build_picker(record: MemberRecord, random: Random) -> Picker:
    return Picker(
        host=record.host,
        availability_zone=record.availability_zone,
        policy=RoutingPolicy(),
        random=random,
    )
