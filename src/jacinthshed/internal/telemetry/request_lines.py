"""Finds the log lines of one request in the log files of many nodes."""

from collections.abc import Iterable
from typing import Any, NamedTuple

import msgspec

# Fields that the output shows elsewhere, or that are the same on every line.
_OMITTED_FIELDS = frozenset({"event", "time_s", "level", "request_id"})


class RequestLine(NamedTuple):
    """One log line.

    ``source`` is the file's name, followed by the prefix that a log collector added to
    the line, if any.
    """

    time_s: float
    source: str
    event: str
    fields: dict[str, Any]


def find_request_lines(
    request_id: str, source: str, lines: Iterable[str], *, below: bool = False
) -> list[RequestLine]:
    """Return the log lines about ``request_id`` among the ``lines`` of one file.

    ``below`` includes nested requests, whose id is ``request_id``, a dot and a suffix.
    Lines without a JSON object are skipped, as log collectors mix the output of many
    programs. ``source`` names the file.
    """
    found = []
    for text in lines:
        if request_id not in text:
            continue
        prefix, brace, document = text.partition("{")
        try:
            fields = msgspec.json.decode(brace + document)
        except msgspec.DecodeError:
            continue
        if isinstance(fields, dict) and _concerns_request(fields, request_id, below):
            place = " ".join(filter(None, (source, prefix.strip())))
            found.append(_request_line(place, fields))
    return found


def format_line(line: RequestLine, first_s: float) -> str:
    """Return ``line`` as text, with its time in milliseconds since ``first_s``."""
    fields = " ".join(
        f"{name}={value}"
        for name, value in line.fields.items()
        if name not in _OMITTED_FIELDS and value not in ("", None)
    )
    elapsed_ms = (line.time_s - first_s) * 1_000
    return f"{elapsed_ms:+9.1f} ms  {line.source}  {line.event}  {fields}"


def _concerns_request(fields: dict[str, Any], request_id: str, below: bool) -> bool:
    named = fields.get("request_id")
    if named == request_id:
        return True
    return below and str(named).startswith(f"{request_id}.")


def _request_line(source: str, fields: dict[str, Any]) -> RequestLine:
    time_s = fields.get("time_s")
    at_s = float(time_s) if isinstance(time_s, int | float) else 0.0
    return RequestLine(at_s, source, str(fields.get("event")), fields)
