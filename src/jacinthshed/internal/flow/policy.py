"""What the bundle in force says, in the form that requests need."""

from typing import NamedTuple

from ..bundle.model import Bundle
from ..bundle.order import BundleOrder
from ..bundle.route_match import RouteFinder


class Policy(NamedTuple):
    """The bundle in force, its place in the order and its routes."""

    bundle: Bundle
    order: BundleOrder
    routes: RouteFinder

    def is_idempotent(self, route: str) -> bool | None:
        """Return what the bundle says of ``route``; ``None`` when it lacks it."""
        known = self.bundle.routes.get(route)
        return None if known is None else known.idempotent
