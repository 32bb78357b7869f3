"""What the checks of several parts of the bundle have in common."""

import re
from collections.abc import Iterator

from ..settings.checks import NAME_EXPECTED, is_name
from ..settings.problem import Problem

__all__ = ["NAME_EXPECTED", "PATH_EXPECTED", "is_name", "is_plain_path", "outside"]

PATH_EXPECTED = (
    "a path such as /orders/open: no slash at the end, no empty segment, "
    "no dot segment, no percent sign"
)
_SEGMENT = re.compile(r"[A-Za-z0-9._~-]+")


def is_plain_path(path: str) -> bool:
    """Return whether ``path`` is written in the one form that routes match."""
    if not path.startswith("/"):
        return False
    segments = path[1:].split("/")
    return all(_is_plain_segment(segment) for segment in segments)


def _is_plain_segment(segment: str) -> bool:
    return segment not in (".", "..") and _SEGMENT.fullmatch(segment) is not None


def outside(
    path: str, value: float, low: float, high: float, why: str = ""
) -> Iterator[Problem]:
    """Yield a problem unless ``low <= value <= high``; not-a-number is one too."""
    if not low <= value <= high:
        expected = f"from {low} to {high}" + (f" ({why})" if why else "")
        yield Problem(path, expected, str(value))
