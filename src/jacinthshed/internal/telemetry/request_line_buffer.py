"""Keeps a request's lines until it is known whether anybody will ask for them."""

from collections import OrderedDict
from collections.abc import Mapping
from typing import Any

Entry = Mapping[str, Any]

# Requests in hand at one node at a time; the oldest are let go beyond that.
MAX_REQUESTS = 2_000
MAX_LINES = 32


class RequestLineBuffer:
    """The lines of the requests in hand, by the attempt or else the request they name.

    An entry with the field ``failed`` ends them: after a failure all are handed out,
    else none.
    """

    def __init__(self) -> None:
        self._lines: OrderedDict[str, list[Entry]] = OrderedDict()

    def put(self, entry: Entry) -> list[Entry]:
        """Take ``entry``; return what has to be written now."""
        key = entry.get("attempt_id") or entry["request_id"]
        failed = entry.get("failed")
        if failed is None:
            self._hold(key, entry)
            return []
        lines = self._lines.pop(key, [])
        return [*lines, entry] if failed else []

    def _hold(self, key: str, entry: Entry) -> None:
        lines = self._lines.get(key)
        if lines is None:
            lines = self._lines[key] = []
            if len(self._lines) > MAX_REQUESTS:
                self._lines.popitem(last=False)
        if len(lines) < MAX_LINES:
            lines.append(entry)
