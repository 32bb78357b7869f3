"""What a node decides about a request that may crash servers."""

from typing import NamedTuple


class NotSuspected(NamedTuple):
    """Nothing is known against the request."""


class RunAlone(NamedTuple):
    """A suspect: at most one runs at a host at a time, so that a death tells which.

    ``busy`` says that another one runs here now; wait, or refuse *not run*.
    """

    busy: bool


class Quarantined(NamedTuple):
    """Refuse it; ``retry_after_ms`` is when the quarantine ends."""

    retry_after_ms: int
