"""The decisions about a request that may crash backend servers."""

from typing import NamedTuple


class NotSuspected(NamedTuple):
    """The request is not suspected and may run."""


class RunAlone(NamedTuple):
    """The request is suspected and must not run beside another suspected request.

    At most one suspect runs at a host at a time, so that a crash shows which one
    caused it. ``busy`` is true while another one runs here: wait, or refuse the request
    with the verdict *not run*.
    """

    busy: bool


class Quarantined(NamedTuple):
    """The request is refused; the quarantine ends in ``retry_after_ms``."""

    retry_after_ms: int
