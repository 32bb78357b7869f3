"""Matches the responses on a reused connection to the requests sent on it."""

import re
from collections.abc import Callable, Collection
from enum import Enum, auto
from typing import NamedTuple

from .head import HEAD_END
from .message import Headers

_STATUS_LINE_START = b"HTTP/"
STATUS_LINE = re.compile(rb"HTTP/\d\.\d \d{3}[ \r\n]")


class Match(Enum):
    """What the header fields of a response say about the request it answers."""

    OWN = auto()
    OTHER = auto()
    UNKNOWN = auto()


class ResponseMatcher(NamedTuple):
    """Identifies the response to one request.

    A server echoes ``request_id`` in ``field``. ``may_lack_id`` returns whether a
    response without that field may answer the request, if nothing else can be on the
    connection.
    """

    request_id: bytes
    field: bytes
    may_lack_id: Callable[[Headers], bool]

    @property
    def is_echo_optional(self) -> bool:
        """Whether the server need not echo the id at all."""
        return self.may_lack_id(())

    def match(self, headers: Headers) -> Match:
        """Return whether a response with these ``headers`` answers the request."""
        echoed = [value for name, value in headers if name == self.field]
        if not echoed:
            return Match.UNKNOWN if self.may_lack_id(headers) else Match.OTHER
        is_own = all(value == self.request_id for value in echoed)
        return Match.OWN if is_own else Match.OTHER

    def finds_response_in(
        self, body: bytes, rest: bytes, sent_ids: Collection[bytes]
    ) -> bool:
        """Return whether a response to one of ``sent_ids`` begins inside ``body``.

        A server that stops inside a response and then sends a late one, or the same
        once more, completes the first with the bytes of the second. ``rest`` is what
        was received after the body; the id in the second may be in it.
        """
        received = body + rest if rest else body
        if _STATUS_LINE_START not in received:
            return False
        ids = frozenset(sent_ids)
        start = 0
        for head in received.split(HEAD_END):
            status_line = STATUS_LINE.search(head)
            if (
                status_line
                and start + status_line.start() < len(body)
                # A whole body may quote a status line, and the id elsewhere.
                and self._has_id(head[status_line.start() :], ids)
            ):
                return True
            start += len(head) + len(HEAD_END)
        return False

    def _has_id(self, head: bytes, ids: frozenset[bytes]) -> bool:
        for line in head.split(b"\n"):
            name, _, value = line.partition(b":")
            if name.lower() == self.field and value.strip() in ids:
                return True
        return False
