"""The total order on bundles."""

from typing import NamedTuple


class BundleOrder(NamedTuple):
    """Position of a bundle in the total order.

    Bundles are compared by version first and by digest second, so that every node
    chooses the same one of two bundles that were signed with the same version.
    """

    version: int
    digest: bytes


# Lower than the order of every bundle.
NO_BUNDLE = BundleOrder(0, b"")
