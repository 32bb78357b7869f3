"""The bundle in force on one node."""

from enum import StrEnum
from typing import NamedTuple

from returns.result import Failure

from .opened_bundle import BundleOpener, OpenedBundle
from .order import NO_BUNDLE, BundleOrder

MAX_CONFLICTS = 16


class OfferOutcome(StrEnum):
    """What became of an offered bundle."""

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
    """Two bundles that were signed with the same version."""

    version: int
    digest: bytes
    other_digest: bytes
    source: str


class BundleStore:
    """Keeps the highest valid bundle that was offered.

    The order of the bundle in force only goes up while the process lives. An invalid
    bundle never replaces the one in force. ``deployment``, when it isn't empty, is the
    only one whose bundles are taken.
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
        """The place of the bundle in force, or ``NO_BUNDLE``."""
        return self._current.order if self._current else NO_BUNDLE

    @property
    def version_conflicts(self) -> tuple[VersionConflict, ...]:
        """Conflicts seen so far, the newest last, bounded to ``MAX_CONFLICTS``."""
        return tuple(self._conflicts.values())

    def offer(self, data: bytes, source: str) -> OfferResult:
        """Put the document ``data`` in force if it is valid and above the current one.

        ``source`` says where it came from, for log lines and ``status``.
        """
        if self._current is not None and data == self._current.data:
            # The usual case of gossip; spares the parsing.
            return OfferResult(OfferOutcome.SAME, source, order=self.order)
        opened = self._open_bundle(data, source)
        if isinstance(opened, Failure):
            return OfferResult(OfferOutcome.REFUSED, source, str(opened.failure()))
        document = opened.unwrap()
        if self._deployment not in ("", document.bundle.deployment):
            # Decided by the settings and not by the bundle in force, so that the
            # outcome doesn't depend on which bundle a node saw first.
            reason = f"made for {document.bundle.deployment}, not {self._deployment}"
            return OfferResult(OfferOutcome.REFUSED, source, reason)
        return self._place(document, source)

    def _place(self, opened: OpenedBundle, source: str) -> OfferResult:
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
