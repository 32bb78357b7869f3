"""A problem at one location of a YAML document."""

from typing import NamedTuple


class Problem(NamedTuple):
    """One problem of a document.

    ``path`` is the YAML path, such as ``routes.refund.rank``, and empty for the
    document as a whole. ``remedy`` says what to do where this isn't obvious.
    """

    path: str
    expected: str
    found: str
    remedy: str = ""

    def __str__(self) -> str:
        location = self.path or "the document"
        text = f"{location}: expected {self.expected}, found {self.found}"
        return f"{text}. {self.remedy}" if self.remedy else text


def format_problems(source: str, problems: tuple[Problem, ...]) -> str:
    """Return a text with all ``problems`` of the document ``source``, one per line."""
    return "\n".join(f"{source}: {problem}" for problem in problems)


def join_path(path: str, key: str) -> str:
    """Return the YAML path of ``key`` below ``path``."""
    return f"{path}.{key}" if path else key
