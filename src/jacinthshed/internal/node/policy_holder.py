"""The policy in force on a node, and its subscribers."""

from collections.abc import Callable

from ..bundle.order import BundleOrder
from ..bundle.store import BundleStore, OfferOutcome, OfferResult
from ..flow.policy import Policy
from ..telemetry.log import LogDecision
from ..workspace.key_ring import KeyRing


class PolicyHolder:
    """Puts accepted bundles in force and notifies subscribers.

    ``current`` returns ``None`` until ``begin_serving`` is called, even if there is a
    bundle: a node that has just started may have received an outdated one first, and
    must not serve under it.
    """

    def __init__(
        self, *, store: BundleStore, now_ms: Callable[[], float], log: LogDecision
    ) -> None:
        self._store = store
        self._now_ms = now_ms
        self._log = log
        self._policy: Policy | None = None
        self._in_force_since_ms: float | None = None
        self._serving = False
        self._subscribers: list[Callable[[Policy], None]] = []

    def subscribe(self, subscriber: Callable[[Policy], None]) -> None:
        """Call ``subscriber`` with each policy that comes into force."""
        self._subscribers.append(subscriber)

    def begin_serving(self) -> None:
        """Allow requests to be served under this bundle and later ones."""
        self._serving = True

    def current(self) -> Policy | None:
        """Return the policy in force, or ``None`` if none may be used yet."""
        return self._policy if self._serving else None

    @property
    def order(self) -> BundleOrder:
        """The order (version and digest) of the bundle in force."""
        return self._store.order

    def age_ms(self, now_ms: float) -> int | None:
        """Return how long the bundle is in force on this node, or None without one."""
        since_ms = self._in_force_since_ms
        return None if since_ms is None else round(now_ms - since_ms)

    def offer(self, data: bytes, source: str) -> OfferResult:
        """Offer a signed bundle from ``source``; put it in force if it is accepted.

        Returns the outcome, with the reason if it was refused.
        """
        offer = self._store.offer(data, source)
        if offer.outcome is OfferOutcome.ACCEPTED:
            self._put_in_force()
        if offer.outcome is not OfferOutcome.SAME:
            self._log(
                "bundle_offered",
                outcome=offer.outcome,
                source=source,
                version=offer.order.version,
                reason=offer.reason,
                clash=offer.is_conflict,
            )
        return offer

    def _put_in_force(self) -> None:
        opened = self._store.current
        assert opened is not None
        for problem in opened.omitted:
            self._log(
                "bundle_part_omitted",
                version=opened.order.version,
                path=problem.path,
                expected=problem.expected,
                found=problem.found,
            )
        self._in_force_since_ms = self._now_ms()
        ring = KeyRing(workspaces=opened.bundle.workspaces)
        self._policy = Policy(opened.bundle, opened.order, opened.routes, ring)
        for subscriber in self._subscribers:
            subscriber(self._policy)
