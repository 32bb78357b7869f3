"""Loading and parsing of a node's settings file."""

from pathlib import Path
from typing import NamedTuple

from returns.result import Failure, Result, Success

from .checks import check_settings
from .convert import convert
from .document import read_document
from .model import NodeSettings
from .problem import Problem, format_problems

MAX_SETTINGS_BYTES = 65_536


class SettingsError(NamedTuple):
    """All problems of the settings file ``source``."""

    source: str
    problems: tuple[Problem, ...]

    def __str__(self) -> str:
        return format_problems(self.source, self.problems)


def load_settings(path: Path) -> Result[NodeSettings, SettingsError]:
    """Return the validated settings in the file ``path``."""
    try:
        with path.open("rb") as file:
            data = file.read(MAX_SETTINGS_BYTES + 1)
    except OSError as error:
        found = error.strerror or str(error)
        remedy = "Check the path given with --settings."
        problem = Problem("", "a readable settings file", found, remedy)
        return Failure(SettingsError(str(path), (problem,)))
    return parse_settings(data, source=str(path))


def parse_settings(data: bytes, *, source: str) -> Result[NodeSettings, SettingsError]:
    """Return the validated settings in the YAML document ``data``.

    ``source`` names the document in errors. The ``SettingsError`` holds all problems
    of the document at once.
    """
    document = read_document(data, max_bytes=MAX_SETTINGS_BYTES)
    if isinstance(document, Failure):
        return Failure(SettingsError(source, (document.failure(),)))
    problems: list[Problem] = []
    settings = convert(document.unwrap(), NodeSettings, problems)
    if settings is not None:
        problems.extend(check_settings(settings))
    if problems or settings is None:
        return Failure(SettingsError(source, tuple(problems)))
    return Success(settings)
