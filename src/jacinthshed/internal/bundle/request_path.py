"""Normalization of request targets.

Two servers may interpret one target differently: one decodes ``%2e%2e`` and leaves the
directory, another does not. A request must not be matched to one route here and run as
another at the backend server. Every target is therefore normalized, and refused where
servers are known to differ.
"""

import re

_PLAIN_PATH = re.compile(
    rb"(?:/[A-Za-z0-9_~!$&'()*+,=:@-][A-Za-z0-9._~!$&'()*+,=:@-]*)+/?"
)
_QUERY = re.compile(rb"[!-~]*")
_ESCAPE = re.compile(rb"%..", re.DOTALL)

# Allowed in a segment: visible characters and complete percent escapes. Not allowed,
# either escaped or plain: a slash, a backslash, a control character, and the semicolon
# and number sign, at which some servers truncate a path.
_ALLOWED_SEGMENT = re.compile(
    rb"(?:[!\"$&-:<-\[\]-~]|%(?!2[3Ff]|5[Cc]|3[Bb]|7[Ff]|[01])[0-9A-Fa-f]{2})*"
)

_UNRESERVED = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~"
_DECODED_ESCAPES = {
    escape: bytes([code])
    for code in _UNRESERVED
    for escape in (b"%%%02X" % code, b"%%%02x" % code)
}


def split_target(target: bytes) -> tuple[list[bytes], bytes] | None:
    """Return the path segments and the query of ``target``.

    The result is ``None`` for a target that must be refused. The query includes its
    question mark. A trailing slash gives an empty last segment.
    """
    path, mark, rest = target.partition(b"?")
    if b"#" in rest or not _QUERY.fullmatch(rest):
        return None
    query = mark + rest
    if _PLAIN_PATH.fullmatch(path):
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
    """Return ``raw`` with unreserved characters decoded, or ``None`` if not allowed."""
    if not _ALLOWED_SEGMENT.fullmatch(raw):
        return None
    decoded = _ESCAPE.sub(_decode_unreserved, raw) if b"%" in raw else raw
    return None if decoded in (b".", b"..") else decoded


def _decode_unreserved(found: re.Match[bytes]) -> bytes:
    return _DECODED_ESCAPES.get(found[0]) or found[0].upper()
