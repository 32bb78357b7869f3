"""A policy document that was parsed and found valid."""

from collections.abc import Callable
from typing import NamedTuple

from returns.result import Result

from ..settings.problem import Problem
from .document import BundleError
from .model import Bundle
from .order import BundleOrder
from .route_match import RouteFinder


class OpenedBundle(NamedTuple):
    """A valid bundle with its order and its routes.

    ``data`` is the document as it was received, to be forwarded to other nodes.
    ``omitted`` lists the parts that could not be read and are not in ``bundle``.
    """

    bundle: Bundle
    order: BundleOrder
    data: bytes
    routes: RouteFinder
    omitted: tuple[Problem, ...] = ()


BundleOpener = Callable[[bytes, str], Result[OpenedBundle, BundleError]]
"""Parses and validates a document; the second argument names its source in errors."""
