"""A policy document that was read and found valid."""

from collections.abc import Callable
from typing import NamedTuple

from returns.result import Result

from .document import BundleError
from .model import Bundle
from .order import BundleOrder
from .route_match import RouteFinder


class OpenedBundle(NamedTuple):
    """A valid bundle, its place in the order and its routes.

    ``data`` is the document as it was received, for passing it on.
    """

    bundle: Bundle
    order: BundleOrder
    data: bytes
    routes: RouteFinder


BundleOpener = Callable[[bytes, str], Result[OpenedBundle, BundleError]]
"""Reads a document; its second argument names the source in errors."""
