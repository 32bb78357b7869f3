"""Revisions of a source that can be restored from a copy of itself.

A restored source has lost its latest changes and gives their revisions out again. Its
*generation* counts the restores. Nodes order and exchange one integer that contains
both, so that everything read after a restore is newer than what was read before it.
"""

from typing import NamedTuple

# Nodes exchange revisions as signed 64-bit integers.
_REVISION_BITS = 40
MAX_REVISION = 2**_REVISION_BITS - 1
MAX_GENERATION = 2 ** (63 - _REVISION_BITS) - 1


class SourceRevision(NamedTuple):
    """A revision as the source counts it, and the source's generation."""

    generation: int
    revision: int


def to_ordinal(revision: SourceRevision) -> int:
    """Return ``revision`` as one integer; a later generation is always greater.

    The generation must be at most ``MAX_GENERATION``, the revision ``MAX_REVISION``.
    """
    return revision.generation << _REVISION_BITS | revision.revision


def from_ordinal(ordinal: int) -> SourceRevision:
    """Return the revision of which ``to_ordinal`` made ``ordinal``."""
    return SourceRevision(ordinal >> _REVISION_BITS, ordinal & MAX_REVISION)
