"""The record that a node publishes about itself."""

from ..wire.frames import MemberRecord
from .record_order import LIVE


class OwnRecord:
    """This node's record, kept above the records that others send about its host.

    ``outranked_by`` is a record that this incarnation can't outrank, or ``None``.
    """

    def __init__(self, *, record: MemberRecord) -> None:
        self.record = record
        self.outranked_by: MemberRecord | None = None

    def refute(self, received: MemberRecord) -> MemberRecord | None:
        """Return a record that outranks ``received``, or ``None`` if none can."""
        is_same_incarnation = received.incarnation == self.record.incarnation
        is_same_state = is_same_incarnation and received.state == self.record.state
        if not is_same_state and not self._may_end(received):
            self.outranked_by = received
            return None
        self._supersede(received)
        return self.record

    def end(self, state: str, known: MemberRecord) -> MemberRecord:
        """Change to ``state``; ``known`` is the highest known record of this host."""
        if self.record.state != state:
            revision = self.record.revision + 1
            self.record = self.record._replace(state=state, revision=revision)
            if self._may_end(known):
                self._supersede(known)
        return self.record

    def renew(self, incarnation: int, known: MemberRecord) -> MemberRecord:
        """Switch to ``incarnation``.

        Raises ``ValueError`` when it isn't above the incarnation of ``known``.
        """
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

    def _supersede(self, received: MemberRecord) -> None:
        """Make this node's record the successor of ``received``."""
        self.record = self.record._replace(
            incarnation=received.incarnation, revision=received.revision + 1
        )

    def _may_end(self, received: MemberRecord) -> bool:
        """Return whether this node has to end the incarnation of ``received``.

        If the clock was set back, an earlier process may have had a higher incarnation.
        While this process listens on the address, that process can't be running, and no
        other node can announce that its incarnation takes no work.
        """
        is_same_address = received.peer_address == self.record.peer_address
        is_live = received.state == LIVE
        return self.record.state != LIVE and is_live and is_same_address
