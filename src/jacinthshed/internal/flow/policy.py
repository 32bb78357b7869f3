"""The bundle in force, prepared for looking up routes."""

from typing import NamedTuple

from ..bundle.model import Bundle
from ..bundle.order import BundleOrder
from ..bundle.route_match import RouteFinder
from ..workspace.key_ring import KeyRing


class Policy(NamedTuple):
    """The bundle in force, its order among bundle versions, its routes and its keys."""

    bundle: Bundle
    order: BundleOrder
    routes: RouteFinder
    keys: KeyRing

    def is_idempotent(self, route: str) -> bool | None:
        """Return whether ``route`` is idempotent; ``None`` if the bundle lacks it."""
        found = self.bundle.routes.get(route)
        return None if found is None else found.idempotent
