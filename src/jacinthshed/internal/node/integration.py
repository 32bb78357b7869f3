"""The exchangeable parts of a node: policy source and HTTP interface."""

from typing import NamedTuple

from ..adapters.http_adapter import HttpAdapter
from ..discovery.publication import Publication


class Integration(NamedTuple):
    """The source of policies and targets, and the HTTP form of requests."""

    publication: Publication
    adapter: HttpAdapter
