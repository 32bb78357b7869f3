"""One request of a caller through all its copies."""

from typing import NamedTuple

from ..http.message import Header, Headers, Request
from .key_record import KeyRecord

KEY_FIELD = b"idempotency-key"
RESEND_FIELD = b"jacinthshed-resend"
INTERIM_FIELD = b"jacinthshed-interim"
FENCE_FIELD = b"jacinthshed-fence"
DEADLINE_FIELD = b"jacinthshed-deadline-ms"


class Draft(NamedTuple):
    """What the application asked for."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    idempotent: bool


class Submission:
    """A draft with its deadline, key, the entries to try and the resends left.

    ``deadline_s`` is on the monotonic clock. ``unreached`` counts entry nodes in a
    row that could not be reached; ``lost_entry`` tells that the last one broke off.
    ``is_resend`` tells that a copy has left before, which spends the retry allowance
    of the request: entry nodes give a marked copy none of their own.
    """

    def __init__(
        self,
        *,
        draft: Draft,
        record: KeyRecord,
        deadline_s: float,
        entries: list[str],
        resends: int,
    ) -> None:
        self.draft = draft
        self.record = record
        self.deadline_s = deadline_s
        self.entries = entries
        self.resends = resends
        self.unreached = 0
        self.lost_entry = False
        self.is_resend = False

    @property
    def entry(self) -> str:
        """The entry node to try now."""
        return self.entries[0]

    @property
    def may_resend(self) -> bool:
        """Whether another copy does no harm, whatever became of the last one."""
        return self.draft.idempotent or bool(self.record.fence)

    def left_ms(self, now_s: float) -> float:
        """Return the time left in milliseconds."""
        return (self.deadline_s - now_s) * 1_000

    def turn_to_next_entry(self) -> None:
        """Put the current entry node last."""
        self.entries.append(self.entries.pop(0))

    def request(self, now_s: float) -> Request:
        """Return the copy to send now."""
        draft = self.draft
        left = str(max(1, int(self.left_ms(now_s)))).encode()
        fields: list[Header] = [(b"host", self.entry.encode())]
        fields.extend(draft.headers)
        fields.append((DEADLINE_FIELD, left))
        fields.append((INTERIM_FIELD, b"1"))
        if self.is_resend:
            fields.append((RESEND_FIELD, b"1"))
        if self.record.key:
            fields.append((KEY_FIELD, self.record.key.encode()))
        if self.record.fence_to_send:
            fields.append((FENCE_FIELD, self.record.fence_to_send.encode()))
        return Request(draft.method, draft.target, tuple(fields), draft.body)
