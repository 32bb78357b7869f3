"""What a node says about itself."""

from ..wire.frames import MemberRecord
from .record_order import LIVE


class OwnRecord:
    """This node's record, kept above what others say about its host.

    ``outranked_by`` is a record that this incarnation can't outrank, if there is one.
    """

    def __init__(self, *, record: MemberRecord) -> None:
        self.record = record
        self.outranked_by: MemberRecord | None = None

    def answer(self, heard: MemberRecord) -> MemberRecord | None:
        """Return the record that corrects ``heard``, or None when none can."""
        is_own = heard.incarnation == self.record.incarnation
        is_alike = is_own and heard.state == self.record.state
        if not is_alike and not self._ends_in_place_of(heard):
            self.outranked_by = heard
            return None
        self._follow(heard)
        return self.record

    def end(self, state: str, known: MemberRecord) -> MemberRecord:
        """Go on to ``state``; ``known`` is the highest record of this host."""
        if self.record.state != state:
            revision = self.record.revision + 1
            self.record = self.record._replace(state=state, revision=revision)
            if self._ends_in_place_of(known):
                self._follow(known)
        return self.record

    def renew(self, incarnation: int, known: MemberRecord) -> MemberRecord:
        """Go on under ``incarnation``, which has to be above that of ``known``."""
        if incarnation <= known.incarnation:
            raise ValueError(
                f"incarnation {incarnation} does not outrank {known.incarnation}; "
                f"pass at least {known.incarnation + 1}"
            )
        self.outranked_by = None
        self.record = self.record._replace(
            incarnation=incarnation, state=LIVE, revision=0
        )
        return self.record

    def _follow(self, heard: MemberRecord) -> None:
        """Make the own record the one after ``heard``."""
        self.record = self.record._replace(
            incarnation=heard.incarnation, revision=heard.revision + 1
        )

    def _ends_in_place_of(self, heard: MemberRecord) -> bool:
        """Return whether this node has to end the incarnation of ``heard``.

        After a clock was set back, an earlier process may have had a higher
        incarnation. While this one holds the address, no other can listen there, so
        nobody else can say that the earlier incarnation takes no work.
        """
        is_same_place = heard.peer_address == self.record.peer_address
        is_called_live = heard.state == LIVE
        return self.record.state != LIVE and is_called_live and is_same_place
