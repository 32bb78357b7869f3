"""Frames that carry the directory of targets between nodes."""

from typing import NamedTuple

from ..discovery.target_entry import EntryChange


class TargetsRequest(NamedTuple):
    """Requests the changes of the directory above ``above_revision``."""

    above_revision: int


class TargetsData(NamedTuple):
    """All directory changes up to ``revision`` that the requesting node lacks."""

    revision: int
    changes: tuple[EntryChange, ...]


class TargetsList(NamedTuple):
    """The complete directory as of ``revision``.

    Targets that it doesn't contain were removed. It answers a request of a node at a
    revision from which the sender doesn't have all changes.
    """

    revision: int
    entries: tuple[EntryChange, ...]
