"""Frames that carry the directory of targets between nodes."""

from typing import NamedTuple

from ..discovery.target_entry import EntryChange


class TargetsRequest(NamedTuple):
    """Asks a peer for what it knows of the directory above a revision."""

    above_revision: int


class TargetsData(NamedTuple):
    """All changes of the directory up to ``revision`` that the asking node lacks."""

    revision: int
    changes: tuple[EntryChange, ...]
