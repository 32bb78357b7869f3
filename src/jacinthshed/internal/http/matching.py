"""Matches the responses on a reused connection to the requests sent on it."""

import re
from collections.abc import Callable, Collection
from enum import Enum, auto
from typing import NamedTuple

from .head import HEAD_END
from .message import Headers

_STATUS_LINE_START = b"HTTP/"
STATUS_LINE = re.compile(rb"HTTP/\d\.\d \d{3}[ \r\n]")
# As many bytes at the end of a body are searched for the start of another response.
_SEARCHED_BYTES = 16_384
_LINE_END = b"\r\n"
_STATUS_LINE_PARTS = [b"H", b"T", b"T", b"P", b"/", rb"\d", rb"\.", rb"\d", b" "]
_STATUS_LINE_PARTS += [rb"\d"] * 3
_TOKEN = rb"[!#$%&'*+.^_`|~0-9A-Za-z-]"
_FIELD = re.compile(rb"%s+:[^\r\n]*" % _TOKEN)
_CUT_FIELD = re.compile(rb"(?:%s*|%s+:[^\r\n]*)\r?" % (_TOKEN, _TOKEN))
_STATUS_LINE_IN_LINE = re.compile(b"".join(_STATUS_LINE_PARTS) + rb"(?: |\Z)")


def _cut_status_line_pattern() -> re.Pattern[bytes]:
    """Return the pattern of a status line of which one or more bytes are there."""
    pattern = b""
    for part in reversed(_STATUS_LINE_PARTS):
        pattern = b"(?:%s%s)?" % (part, pattern)
    return re.compile(rb"(?=H)%s\r?\Z" % pattern)


_CUT_STATUS_LINE = _cut_status_line_pattern()


class Match(Enum):
    """What the header fields of a response say about the request it answers."""

    OWN = auto()
    OTHER = auto()
    UNKNOWN = auto()


def may_end_inside_response(body: bytes, rest: bytes = b"") -> bool:
    """Return whether another response may begin near the end of ``body``.

    ``rest`` is what was received after the body. The head of that response is cut off
    by the end of what was received, or ends in ``rest``. A head that ends inside the
    body is recognized by the id in it.
    """
    tail = body[-_SEARCHED_BYTES:]
    if b"H" not in tail:
        return False
    received = tail + rest
    head_end = received.find(HEAD_END, max(0, len(tail) - len(HEAD_END) + 1))
    is_cut = head_end < 0
    stop = len(received) if is_cut else head_end
    # From the last line up: all lines below the status line are header fields.
    while stop >= 0:
        line_end = received.rfind(_LINE_END, 0, stop)
        start = 0 if line_end < 0 else line_end + len(_LINE_END)
        line = received[start:stop]
        if _begins_response(line, len(tail) - start, is_cut=is_cut):
            return True
        if not (_CUT_FIELD if is_cut else _FIELD).fullmatch(line):
            return False
        stop, is_cut = line_end, False
    return False


def _begins_response(line: bytes, body_bytes: int, *, is_cut: bool) -> bool:
    """Return whether a status line begins in the first ``body_bytes`` of ``line``."""
    found = _STATUS_LINE_IN_LINE.search(line)
    if found is None and is_cut:
        found = _CUT_STATUS_LINE.search(line)
    return found is not None and found.start() < body_bytes


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
