"""What is wrong at one place of a YAML document."""

from typing import NamedTuple


class Problem(NamedTuple):
    """One fault of a document.

    ``path`` is the YAML path, such as ``routes.refund.rank``; it is empty for the
    document as a whole. ``remedy`` says what to do, where that isn't plain.
    """

    path: str
    expected: str
    found: str
    remedy: str = ""

    def __str__(self) -> str:
        place = self.path or "the document"
        text = f"{place}: expected {self.expected}, found {self.found}"
        return f"{text}. {self.remedy}" if self.remedy else text


def describe(source: str, problems: tuple[Problem, ...]) -> str:
    """Return all ``problems`` of the document ``source``, one a line."""
    return "\n".join(f"{source}: {problem}" for problem in problems)


def join_path(path: str, key: str) -> str:
    """Return the YAML path of ``key`` below ``path``."""
    return f"{path}.{key}" if path else key
