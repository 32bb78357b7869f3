"""The bundle in force on a node, and who has to follow it."""

from collections.abc import Callable

from ..bundle.order import BundleOrder
from ..bundle.store import BundleStore, OfferOutcome, OfferResult
from ..flow.policy import Policy
from ..telemetry.log import LogDecision


class PolicyHolder:
    """Puts accepted bundles in force.

    Until ``begin_serving``, ``current`` is ``None`` even when there is a bundle: a node
    that has just started may have heard an old one first, and must not serve under it.
    """

    def __init__(self, *, store: BundleStore, log: LogDecision) -> None:
        self._store = store
        self._log = log
        self._policy: Policy | None = None
        self._serving = False
        self._followers: list[Callable[[Policy], None]] = []

    def follow(self, follower: Callable[[Policy], None]) -> None:
        """Call ``follower`` with each policy that comes into force."""
        self._followers.append(follower)

    def begin_serving(self) -> None:
        """Let requests be served under the bundle in force, now or later."""
        self._serving = True

    def current(self) -> Policy | None:
        """Return the policy in force, or ``None`` while none may be used."""
        return self._policy if self._serving else None

    @property
    def order(self) -> BundleOrder:
        """The place of the bundle in force in the order of bundles."""
        return self._store.order

    def offer(self, data: bytes, source: str) -> OfferResult:
        """Take a bundle's document from ``source``."""
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
        self._policy = Policy(opened.bundle, opened.order, opened.routes)
        for follower in self._followers:
            follower(self._policy)
