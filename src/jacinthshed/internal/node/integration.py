"""The exchangeable parts of a node: policy source and HTTP interface."""

from typing import NamedTuple

from ..discovery.publication import Publication
from ..edge.http_adapter import HttpAdapter


class Integration(NamedTuple):
    """The source of policies and targets, and the HTTP form of requests."""

    publication: Publication
    edge: HttpAdapter
