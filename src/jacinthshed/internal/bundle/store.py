"""The bundle in force on one node."""

from enum import StrEnum
from typing import NamedTuple

from returns.result import Failure

from .opened_bundle import BundleOpener, OpenedBundle
from .order import NO_BUNDLE, BundleOrder

MAX_CLASHES = 16


class OfferOutcome(StrEnum):
    """What became of an offered bundle."""

    ACCEPTED = "accepted"
    IGNORED_LOWER = "ignored-lower"
    SAME = "same"
    REFUSED = "refused"


class Offer(NamedTuple):
    """The outcome of offering a bundle to a store.

    ``order`` is the offered bundle's, or ``NO_BUNDLE`` when it was refused. ``clash``
    says that its version is one that the store knows with another digest.
    """

    outcome: OfferOutcome
    source: str
    reason: str = ""
    clash: bool = False
    order: BundleOrder = NO_BUNDLE


class Clash(NamedTuple):
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
        self._clashes: dict[tuple[bytes, bytes], Clash] = {}

    @property
    def current(self) -> OpenedBundle | None:
        """The bundle in force, if any."""
        return self._current

    @property
    def order(self) -> BundleOrder:
        """The place of the bundle in force, or ``NO_BUNDLE``."""
        return self._current.order if self._current else NO_BUNDLE

    @property
    def clashes(self) -> tuple[Clash, ...]:
        """Clashes seen so far, the newest last, bounded to ``MAX_CLASHES``."""
        return tuple(self._clashes.values())

    def offer(self, data: bytes, source: str) -> Offer:
        """Put the document ``data`` in force if it is valid and above the current one.

        ``source`` says where it came from, for log lines and ``status``.
        """
        if self._current is not None and data == self._current.data:
            # The usual case of gossip; spares the parsing.
            return Offer(OfferOutcome.SAME, source, order=self.order)
        opened = self._open_bundle(data, source)
        if isinstance(opened, Failure):
            return Offer(OfferOutcome.REFUSED, source, str(opened.failure()))
        document = opened.unwrap()
        if self._deployment not in ("", document.bundle.deployment):
            # Decided by the settings and not by the bundle in force, so that the
            # outcome doesn't depend on which bundle a node saw first.
            reason = f"made for {document.bundle.deployment}, not {self._deployment}"
            return Offer(OfferOutcome.REFUSED, source, reason)
        return self._place(document, source)

    def _place(self, opened: OpenedBundle, source: str) -> Offer:
        before = self.order
        clash = opened.order.version == before.version and opened.order != before
        if clash:
            self._remember_clash(opened.order, source)
        if opened.order > before:
            self._current = opened
            return Offer(OfferOutcome.ACCEPTED, source, "", clash, opened.order)
        if opened.order == before:
            return Offer(OfferOutcome.SAME, source, order=opened.order)
        reason = f"version {before.version} is in force"
        return Offer(OfferOutcome.IGNORED_LOWER, source, reason, clash, opened.order)

    def _remember_clash(self, order: BundleOrder, source: str) -> None:
        low, high = sorted((self.order.digest, order.digest))
        clash = Clash(order.version, low, high, source)
        self._clashes.setdefault((low, high), clash)
        while len(self._clashes) > MAX_CLASHES:
            self._clashes.pop(next(iter(self._clashes)))
