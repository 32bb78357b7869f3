"""What a node is built from, apart from its settings."""

from typing import NamedTuple

from ..discovery.publication import Publication
from ..edge.edge import Edge


class Integration(NamedTuple):
    """Where policy and targets come from, and how requests are spelled."""

    publication: Publication
    edge: Edge
