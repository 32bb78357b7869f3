"""One request of a caller and the state that its copies share."""

from typing import NamedTuple

from ..http.message import Header, Headers, Request
from .key_record import KeyRecord

KEY_FIELD = b"idempotency-key"
RESEND_FIELD = b"jacinthshed-resend"
INTERIM_FIELD = b"jacinthshed-interim"
FENCE_FIELD = b"jacinthshed-fence"
DEADLINE_FIELD = b"jacinthshed-deadline-ms"


class Draft(NamedTuple):
    """A request as the application passed it."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    idempotent: bool


class Submission:
    """A draft with its deadline, key, entry nodes and remaining resends.

    ``deadline_s`` is on trio's clock. ``consecutive_failures`` counts the exchanges in
    a row that failed; ``exchange_failed`` is true when the last one did. ``is_resend``
    is true once a copy was sent. Later copies are marked as resends. Entry nodes
    grant a marked copy no retry allowance, so a resend uses up that of the request.
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
        self.consecutive_failures = 0
        self.exchange_failed = False
        self.is_resend = False

    @property
    def entry(self) -> str:
        """The address of the entry node to try next."""
        return self.entries[0]

    @property
    def may_resend(self) -> bool:
        """Whether another copy is safe, whether or not the last one ran."""
        return self.draft.idempotent or bool(self.record.fence)

    def left_ms(self, now_s: float) -> float:
        """Return the remaining time in milliseconds."""
        return (self.deadline_s - now_s) * 1_000

    def rotate_entries(self) -> None:
        """Move the current entry node to the end of the list."""
        self.entries.append(self.entries.pop(0))

    def request(self, now_s: float) -> Request:
        """Return the next copy, with its remaining time in the deadline field."""
        draft = self.draft
        deadline_value = str(max(1, int(self.left_ms(now_s)))).encode()
        fields: list[Header] = [(b"host", self.entry.encode())]
        fields.extend(draft.headers)
        fields.append((DEADLINE_FIELD, deadline_value))
        fields.append((INTERIM_FIELD, b"1"))
        if self.is_resend:
            fields.append((RESEND_FIELD, b"1"))
        if self.record.key:
            fields.append((KEY_FIELD, self.record.key.encode()))
        if self.record.fence_to_send:
            fields.append((FENCE_FIELD, self.record.fence_to_send.encode()))
        return Request(draft.method, draft.target, tuple(fields), draft.body)
