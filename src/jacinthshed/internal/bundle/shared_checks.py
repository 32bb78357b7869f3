"""Helpers that the checks of several parts of the bundle share."""

import re
from collections.abc import Iterator

from ..settings.checks import NAME_EXPECTED, is_name
from ..settings.problem import Problem

__all__ = ["NAME_EXPECTED", "PATH_EXPECTED", "is_name", "is_plain_path", "check_range"]

PATH_EXPECTED = (
    "a path such as /orders/open: no slash at the end, no empty segment, "
    "no dot segment, no percent sign"
)
_SEGMENT = re.compile(r"[A-Za-z0-9._~-]+")


def is_plain_path(path: str) -> bool:
    """Return whether ``path`` is in the normalized form that routes match."""
    if not path.startswith("/"):
        return False
    segments = path[1:].split("/")
    return all(_is_plain_segment(segment) for segment in segments)


def _is_plain_segment(segment: str) -> bool:
    return segment not in (".", "..") and _SEGMENT.fullmatch(segment) is not None


def check_range(
    path: str, value: float, low: float, high: float, reason: str = ""
) -> Iterator[Problem]:
    """Yield a problem unless ``low <= value <= high``; NaN is also a problem.

    ``reason`` explains the bounds in the message.
    """
    if not low <= value <= high:
        expected = f"from {low} to {high}" + (f" ({reason})" if reason else "")
        yield Problem(path, expected, str(value))
