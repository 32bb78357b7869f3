"""Frames that carry the directory of targets between nodes."""

from typing import NamedTuple

from ..discovery.target_entry import EntryChange


class TargetsRequest(NamedTuple):
    """Requests the changes of the directory above ``above_revision``."""

    above_revision: int


class TargetsData(NamedTuple):
    """All directory changes up to ``revision`` that the requesting node lacks.

    For a node at a revision below ``complete_above``, they are the complete list: the
    targets that it doesn't contain were removed.
    """

    revision: int
    changes: tuple[EntryChange, ...]
    complete_above: int = 0
