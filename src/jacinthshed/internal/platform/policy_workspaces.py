"""Conversion of the tenants of a configuration document, which are our workspaces."""

from ..bundle.model import Workspace
from ..settings.problem import Problem
from ..workspace.key_ring import digest_of
from .lenient_decode import Fields, number_reader, read_text

MAX_PRIORITY = 1_000_000
MAX_RATE = 1e9


def convert_workspaces(found: object, problems: list[Problem]) -> dict[str, Workspace]:
    """Return the workspaces by name, each converted by itself.

    Parts that are left out or replaced are added to ``problems``, without any key.
    """
    if found is None:
        return {}
    if not isinstance(found, list):
        problems.append(Problem("tenants", "a list", type(found).__name__))
        return {}
    workspaces: dict[str, Workspace] = {}
    for index, fields in enumerate(found):
        path = f"tenants[{index}]"
        name = read_text(fields, "name") if isinstance(fields, dict) else ""
        if not name or name in workspaces or not _is_header_text(name):
            problems.append(Problem(path, "a table with a name of its own", "none"))
            continue
        workspaces[name] = _convert(fields, path, problems)
    return workspaces


def _convert(fields: Fields, path: str, problems: list[Problem]) -> Workspace:
    number = number_reader(fields, path, problems)
    return Workspace(
        key_digests=_read_keys(fields, path, problems),
        rank=int(number("priority", 0, 0, MAX_PRIORITY)),
        rate_per_s=number("rate_per_s", 0.0, 0, MAX_RATE),
        burst=number("burst", 0.0, 0, MAX_RATE),
    )


def _read_keys(fields: Fields, path: str, problems: list[Problem]) -> tuple[str, ...]:
    keys = fields.get("api_keys", [])
    if not isinstance(keys, list):
        problems.append(Problem(f"{path}.api_keys", "a list", type(keys).__name__))
        return ()
    found = [key for key in keys if isinstance(key, str) and key]
    if len(found) < len(keys):
        problems.append(Problem(f"{path}.api_keys", "a list of texts", "other items"))
    return tuple(digest_of(key.encode()) for key in found)


def _is_header_text(text: str) -> bool:
    return text.isascii() and text.isprintable()
