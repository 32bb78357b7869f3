"""The normal form of a request target.

Two servers may read one target differently: one decodes ``%2e%2e`` and leaves the
directory, another does not. A request must not be matched as one route here and run as
another at the backend server. So a target is brought into one normal form, and it is
refused where servers are known to differ.
"""

import re

_PLAIN = re.compile(rb"(?:/[A-Za-z0-9_~!$&'()*+,=:@-][A-Za-z0-9._~!$&'()*+,=:@-]*)+/?")
_QUERY = re.compile(rb"[!-~]*")
_ESCAPE = re.compile(rb"%..", re.DOTALL)

# What a segment may hold: visible characters and whole escapes, but not, escaped or
# plain, a slash, a backslash, a control character, or the semicolon and the number
# sign, behind which some servers cut a path off.
_VISIBLE = re.compile(
    rb"(?:[!\"$&-:<-\[\]-~]|%(?!2[3Ff]|5[Cc]|3[Bb]|7[Ff]|[01])[0-9A-Fa-f]{2})*"
)

_UNRESERVED = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~"
_DECODED = {
    escape: bytes([code])
    for code in _UNRESERVED
    for escape in (b"%%%02X" % code, b"%%%02x" % code)
}


def split_target(target: bytes) -> tuple[list[bytes], bytes] | None:
    """Return the path segments and the query of ``target``, or ``None`` to refuse.

    The query keeps its question mark. A slash at the end shows as an empty last
    segment.
    """
    path, mark, rest = target.partition(b"?")
    if b"#" in rest or not _QUERY.fullmatch(rest):
        return None
    query = mark + rest
    if _PLAIN.fullmatch(path):
        return path[1:].split(b"/"), query
    if path == b"/":
        return [], query
    segments = _normal_segments(path)
    return None if segments is None else (segments, query)


def _normal_segments(path: bytes) -> list[bytes] | None:
    if not path.startswith(b"/"):
        return None
    segments = []
    for raw in path[1:].split(b"/"):
        segment = _normal_segment(raw)
        if segment is None:
            return None
        segments.append(segment)
    if b"" in segments[:-1]:
        return None
    return segments


def _normal_segment(raw: bytes) -> bytes | None:
    """Return ``raw`` with unreserved characters decoded, or ``None`` to refuse."""
    if not _VISIBLE.fullmatch(raw):
        return None
    decoded = _ESCAPE.sub(_decode_unreserved, raw) if b"%" in raw else raw
    return None if decoded in (b".", b"..") else decoded


def _decode_unreserved(found: re.Match[bytes]) -> bytes:
    return _DECODED.get(found[0]) or found[0].upper()
