"""The total order of bundles."""

from typing import NamedTuple


class BundleOrder(NamedTuple):
    """Place of a bundle in the total order.

    Tuples compare by version first and by digest second, so that two bundles which
    were signed with the same version still go the same way on every node.
    """

    version: int
    digest: bytes


NO_BUNDLE = BundleOrder(0, b"")
