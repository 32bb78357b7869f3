"""What a node is built from, apart from its settings."""

from typing import NamedTuple

from ..discovery.publication import Publication
from ..edge.http_adapter import HttpAdapter


class Integration(NamedTuple):
    """Where policy and targets come from, and how requests are spelled."""

    publication: Publication
    edge: HttpAdapter
