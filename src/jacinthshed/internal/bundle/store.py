"""Storage of the bundle in force on one node."""

from enum import StrEnum
from typing import NamedTuple

from returns.result import Failure

from .opened_bundle import BundleOpener, OpenedBundle
from .order import NO_BUNDLE, BundleOrder

# Conflicts kept for ``status``; the oldest are dropped first.
MAX_CONFLICTS = 16


class OfferOutcome(StrEnum):
    """Whether an offered bundle was put in force, and why not."""

    ACCEPTED = "accepted"
    IGNORED_LOWER = "ignored-lower"
    SAME = "same"
    REFUSED = "refused"


class OfferResult(NamedTuple):
    """The outcome of offering a bundle to a store.

    ``order`` is the offered bundle's, or ``NO_BUNDLE`` when it was refused.
    ``is_conflict`` is true when the bundle in force has the same version but another
    digest.
    """

    outcome: OfferOutcome
    source: str
    reason: str = ""
    is_conflict: bool = False
    order: BundleOrder = NO_BUNDLE


class VersionConflict(NamedTuple):
    """Two bundles that were signed with the same version.

    ``digest`` is the lower and ``other_digest`` the higher one; ``source`` is where the
    second of the bundles came from.
    """

    version: int
    digest: bytes
    other_digest: bytes
    source: str


class BundleStore:
    """Stores the valid bundle of the highest order that was offered.

    The order of the bundle in force only increases while the process runs. An invalid
    bundle never replaces the one in force. Bundles of deployments other than
    ``deployment`` are refused unless it is empty.
    """

    def __init__(self, *, open_bundle: BundleOpener, deployment: str = "") -> None:
        self._open_bundle = open_bundle
        self._deployment = deployment
        self._current: OpenedBundle | None = None
        self._conflicts: dict[tuple[bytes, bytes], VersionConflict] = {}

    @property
    def current(self) -> OpenedBundle | None:
        """The bundle in force, if any."""
        return self._current

    @property
    def order(self) -> BundleOrder:
        """The order of the bundle in force, or ``NO_BUNDLE``."""
        return self._current.order if self._current else NO_BUNDLE

    @property
    def version_conflicts(self) -> tuple[VersionConflict, ...]:
        """Conflicts found so far, the newest last, at most ``MAX_CONFLICTS``."""
        return tuple(self._conflicts.values())

    def offer(self, data: bytes, source: str) -> OfferResult:
        """Put the document ``data`` in force if it is valid and of a higher order.

        ``source`` is where it came from, for log lines and ``status``.
        """
        if self._current is not None and data == self._current.data:
            # Usual for bundles from gossip; avoids parsing them again.
            return OfferResult(OfferOutcome.SAME, source, order=self.order)
        opened = self._open_bundle(data, source)
        if isinstance(opened, Failure):
            return OfferResult(OfferOutcome.REFUSED, source, str(opened.failure()))
        document = opened.unwrap()
        if self._deployment not in ("", document.bundle.deployment):
            # Compared with the settings and not with the bundle in force, so that the
            # outcome doesn't depend on which bundle a node received first.
            reason = (
                f"the bundle is made for {document.bundle.deployment}, but this node "
                f"accepts only bundles for {self._deployment}"
            )
            return OfferResult(OfferOutcome.REFUSED, source, reason)
        return self._accept_if_higher(document, source)

    def _accept_if_higher(self, opened: OpenedBundle, source: str) -> OfferResult:
        before = self.order
        is_conflict = opened.order.version == before.version and opened.order != before
        if is_conflict:
            self._record_conflict(opened.order, source)
        if opened.order > before:
            self._current = opened
            return OfferResult(
                OfferOutcome.ACCEPTED, source, "", is_conflict, opened.order
            )
        if opened.order == before:
            return OfferResult(OfferOutcome.SAME, source, order=opened.order)
        reason = f"version {before.version} is in force"
        return OfferResult(
            OfferOutcome.IGNORED_LOWER, source, reason, is_conflict, opened.order
        )

    def _record_conflict(self, order: BundleOrder, source: str) -> None:
        low, high = sorted((self.order.digest, order.digest))
        conflict = VersionConflict(order.version, low, high, source)
        self._conflicts.setdefault((low, high), conflict)
        while len(self._conflicts) > MAX_CONFLICTS:
            self._conflicts.pop(next(iter(self._conflicts)))
