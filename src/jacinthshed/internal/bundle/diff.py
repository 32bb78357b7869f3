"""The readable difference between two bundles."""

from collections.abc import Iterator, Mapping
from typing import Any, NamedTuple

import msgspec

from .change_meaning import meaning_of
from .model import Bundle

# Sections whose keys are names that operators choose. An entry that only one of the
# bundles has is one change, not one change per field.
_NAMED_SECTIONS = ("services", "routes")


class Change(NamedTuple):
    """One difference; ``old`` or ``new`` is ``None`` for a value that is missing."""

    path: str
    old: Any
    new: Any
    meaning: str

    def __str__(self) -> str:
        text = f"{self.path}: {_format_value(self.old)} -> {_format_value(self.new)}"
        return f"{text}  ({self.meaning})" if self.meaning else text


def _format_value(value: Any) -> str:
    if value is None:
        return "nothing"
    if isinstance(value, list | tuple):
        return "[" + ", ".join(map(str, value)) + "]"
    if isinstance(value, Mapping):
        return (
            "{" + ", ".join(f"{k}: {_format_value(v)}" for k, v in value.items()) + "}"
        )
    if isinstance(value, bool):
        return str(value).lower()
    return repr(value) if value == "" else str(value)


def diff_bundles(old: Bundle, new: Bundle) -> tuple[Change, ...]:
    """Return the changes from ``old`` to ``new``, including values left at defaults."""
    before = _values_by_path(old)
    after = _values_by_path(new)
    paths = dict.fromkeys((*before, *after))
    return tuple(
        _change(path, before.get(path), after.get(path))
        for path in _paths_to_compare(paths, before, after)
        if before.get(path) != after.get(path)
    )


def _change(path: str, old: Any, new: Any) -> Change:
    return Change(path, old, new, meaning_of(path, old, new))


def _values_by_path(bundle: Bundle) -> dict[str, Any]:
    """Return the values of ``bundle`` by path, and each named entry also as a whole."""
    values: dict[str, Any] = {}
    for section, value in msgspec.to_builtins(bundle).items():
        if section in _NAMED_SECTIONS:
            values.update(_named_values(section, value))
        elif isinstance(value, Mapping):
            values.update({f"{section}.{key}": item for key, item in value.items()})
        else:
            values[section] = value
    return values


def _named_values(
    section: str, entries: Mapping[str, Mapping[str, Any]]
) -> Iterator[tuple[str, Any]]:
    for name, entry in entries.items():
        yield f"{section}.{name}", entry
        for key, item in entry.items():
            yield f"{section}.{name}.{key}", item


def _paths_to_compare(
    paths: Mapping[str, None], before: Mapping[str, Any], after: Mapping[str, Any]
) -> Iterator[str]:
    """Yield the paths to compare.

    An entry that both bundles have is compared field by field, any other entry as a
    whole.
    """
    for path in paths:
        section, *rest = path.split(".")
        entry = ".".join((section, *rest[:1]))
        in_both = entry in before and entry in after
        if section not in _NAMED_SECTIONS or (path != entry) == in_both:
            yield path
