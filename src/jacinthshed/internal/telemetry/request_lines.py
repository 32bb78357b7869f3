"""The lines of one request among the logs of many nodes."""

from collections.abc import Iterable
from typing import Any, NamedTuple

import msgspec

# Said by where the line stands, or on every line.
_LEFT_OUT = frozenset({"event", "time_s", "level", "request_id"})


class RequestLine(NamedTuple):
    """One line; ``source`` is the file, and what a log collector wrote before it."""

    time_s: float
    source: str
    event: str
    fields: dict[str, Any]


def lines_of(
    request_id: str, source: str, lines: Iterable[str], *, below: bool = False
) -> list[RequestLine]:
    """Return the lines about ``request_id`` in one file.

    ``below`` takes in requests whose id begins with this one and a dot. What isn't JSON
    is passed over: log collectors mix the output of many programs.
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
        if isinstance(fields, dict) and _is_about(fields, request_id, below):
            place = " ".join(filter(None, (source, prefix.strip())))
            found.append(_line(place, fields))
    return found


def told(line: RequestLine, first_s: float) -> str:
    """Return ``line`` as text, with its time since ``first_s``."""
    fields = " ".join(
        f"{name}={value}"
        for name, value in line.fields.items()
        if name not in _LEFT_OUT and value not in ("", None)
    )
    elapsed_ms = (line.time_s - first_s) * 1_000
    return f"{elapsed_ms:+9.1f} ms  {line.source}  {line.event}  {fields}"


def _is_about(fields: dict[str, Any], request_id: str, below: bool) -> bool:
    named = fields.get("request_id")
    if named == request_id:
        return True
    return below and str(named).startswith(f"{request_id}.")


def _line(source: str, fields: dict[str, Any]) -> RequestLine:
    time_s = fields.get("time_s")
    at_s = float(time_s) if isinstance(time_s, int | float) else 0.0
    return RequestLine(at_s, source, str(fields.get("event")), fields)
