"""Buffers the log lines of a request until it is known whether it failed."""

from collections import OrderedDict
from collections.abc import Mapping
from typing import Any

Entry = Mapping[str, Any]

# When more requests are in flight at one node, the lines of the oldest are evicted.
MAX_REQUESTS = 2_000
MAX_LINES = 32


class RequestLineBuffer:
    """Log lines of requests in flight, by ``attempt_id`` or else ``request_id``.

    An entry with the field ``failed`` ends the attempt or request: if true, its lines
    are to be written, else they are discarded. At most ``MAX_REQUESTS`` buffers of
    ``MAX_LINES`` lines each are kept; further lines of one buffer are dropped.
    """

    def __init__(self) -> None:
        self._lines: OrderedDict[str, list[Entry]] = OrderedDict()

    def put(self, entry: Entry) -> list[Entry]:
        """Buffer ``entry``; return the entries to write if it ends a failed request."""
        key = entry.get("attempt_id") or entry["request_id"]
        failed = entry.get("failed")
        if failed is None:
            self._buffer(key, entry)
            return []
        lines = self._lines.pop(key, [])
        return [*lines, entry] if failed else []

    def _buffer(self, key: str, entry: Entry) -> None:
        lines = self._lines.get(key)
        if lines is None:
            lines = self._lines[key] = []
            if len(self._lines) > MAX_REQUESTS:
                self._lines.popitem(last=False)
        if len(lines) < MAX_LINES:
            lines.append(entry)
