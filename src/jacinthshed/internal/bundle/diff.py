"""The difference of two bundles, for people."""

from collections.abc import Iterator, Mapping
from typing import Any, NamedTuple

import msgspec

from .change_meaning import meaning_of
from .model import Bundle

# Sections whose keys are names that operators chose: an entry that is only in one of
# the bundles is one change and not one for each of its fields.
_NAMED_SECTIONS = ("services", "routes")


class Change(NamedTuple):
    """One difference; ``None`` stands for something that is not there."""

    path: str
    old: Any
    new: Any
    meaning: str

    def __str__(self) -> str:
        text = f"{self.path}: {_shown(self.old)} -> {_shown(self.new)}"
        return f"{text}  ({self.meaning})" if self.meaning else text


def _shown(value: Any) -> str:
    if value is None:
        return "nothing"
    if isinstance(value, list | tuple):
        return "[" + ", ".join(map(str, value)) + "]"
    if isinstance(value, Mapping):
        return "{" + ", ".join(f"{k}: {_shown(v)}" for k, v in value.items()) + "}"
    if isinstance(value, bool):
        return str(value).lower()
    return repr(value) if value == "" else str(value)


def diff_bundles(old: Bundle, new: Bundle) -> tuple[Change, ...]:
    """Return what changes from ``old`` to ``new``, defaults included."""
    before = _leaves(old)
    after = _leaves(new)
    paths = dict.fromkeys((*before, *after))
    return tuple(
        _change(path, before.get(path), after.get(path))
        for path in _without_details(paths, before, after)
        if before.get(path) != after.get(path)
    )


def _change(path: str, old: Any, new: Any) -> Change:
    return Change(path, old, new, meaning_of(path, old, new))


def _leaves(bundle: Bundle) -> dict[str, Any]:
    """Return each value of ``bundle`` by path, and each named entry as a whole."""
    leaves: dict[str, Any] = {}
    for section, value in msgspec.to_builtins(bundle).items():
        if section in _NAMED_SECTIONS:
            leaves.update(_named_leaves(section, value))
        elif isinstance(value, Mapping):
            leaves.update({f"{section}.{key}": item for key, item in value.items()})
        else:
            leaves[section] = value
    return leaves


def _named_leaves(
    section: str, entries: Mapping[str, Mapping[str, Any]]
) -> Iterator[tuple[str, Any]]:
    for name, entry in entries.items():
        yield f"{section}.{name}", entry
        for key, item in entry.items():
            yield f"{section}.{name}.{key}", item


def _without_details(
    paths: Mapping[str, None], before: Mapping[str, Any], after: Mapping[str, Any]
) -> Iterator[str]:
    """Yield the paths to compare.

    An entry that both bundles have is compared field by field, another as a whole.
    """
    for path in paths:
        section, *rest = path.split(".")
        entry = ".".join((section, *rest[:1]))
        in_both = entry in before and entry in after
        if section not in _NAMED_SECTIONS or (path != entry) == in_both:
            yield path
