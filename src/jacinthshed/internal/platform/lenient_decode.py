"""Field-by-field decoding of documents that may contain unknown or malformed parts.

A part that can't be decoded is recorded as a problem and left out; it never makes the
rest of the document unreadable.
"""

from collections.abc import Callable, Mapping, Sequence
from typing import Any, TypeVar

import msgspec

from ..settings.problem import Problem

_T = TypeVar("_T")
Fields = Mapping[str, Any]


def decode_items(
    found: object, item_type: type[_T], path: str, problems: list[Problem]
) -> list[_T]:
    """Return the items of the list ``found`` that convert to ``item_type``.

    Each other item is added to ``problems`` under its index below ``path``.
    """
    if not isinstance(found, Sequence) or isinstance(found, str | bytes):
        problems.append(Problem(path, "a list", _type_name(found)))
        return []
    items = []
    for index, item in enumerate(found):
        try:
            items.append(msgspec.convert(item, item_type))
        except (msgspec.ValidationError, ValueError, OverflowError) as error:
            problems.append(Problem(f"{path}[{index}]", "a valid item", str(error)))
    return items


def number_reader(
    fields: Fields, path: str, problems: list[Problem]
) -> Callable[[str, float, float, float], float]:
    """Return the function that reads a number of ``fields`` by name.

    It takes the name, the default, the lowest and the highest value. A value of another
    type or outside these limits is added to ``problems`` and replaced by the default.
    """

    def read_number(name: str, default: float, lowest: float, highest: float) -> float:
        if name not in fields:
            return default
        value = fields[name]
        is_number = isinstance(value, int | float) and not isinstance(value, bool)
        # The comparison with NaN is false.
        if is_number and lowest <= value <= highest:
            return float(value)
        expected = f"a number from {lowest:g} to {highest:g}"
        problems.append(Problem(f"{path}.{name}", expected, repr(value)[:80]))
        return default

    return read_number


def read_text(fields: Fields, name: str) -> str:
    """Return the text ``name`` of ``fields``, or ``""`` if there is none."""
    value = fields.get(name)
    return value if isinstance(value, str) else ""


def _type_name(value: object) -> str:
    return "nothing" if value is None else type(value).__name__
