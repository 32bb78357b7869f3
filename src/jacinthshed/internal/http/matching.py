"""Matches the responses on a reused connection to the requests sent on it."""

import re
from collections.abc import Callable
from enum import Enum, auto
from typing import NamedTuple

from .head import HEAD_END
from .message import Headers

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

    def begins_again_in(self, body: bytes, rest: bytes) -> bool:
        """Return whether a second response to the request begins inside ``body``.

        A server that stops inside a response and then sends it once more completes it
        with the bytes of the copy. ``rest`` is what was received after the body; the
        id in the copy may be in it.
        """
        received = body + rest if rest else body
        if self.request_id not in received:
            return False
        start = 0
        for head in received.split(HEAD_END):
            status_line = STATUS_LINE.search(head)
            if (
                status_line
                and start + status_line.start() < len(body)
                # A whole body may quote a status line, and the id elsewhere.
                and self._has_own_id(head[status_line.start() :])
            ):
                return True
            start += len(head) + len(HEAD_END)
        return False

    def _has_own_id(self, head: bytes) -> bool:
        for line in head.split(b"\n"):
            name, _, value = line.partition(b":")
            if name.lower() == self.field and value.strip() == self.request_id:
                return True
        return False
