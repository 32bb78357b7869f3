"""Conversion of plain values to ``msgspec`` structures, with all problems reported.

``msgspec.convert`` stops at the first problem and can't name the key of a mapping in
its path. This conversion goes field by field, so that the operator gets all problems
at once, each with its full YAML path.
"""

import typing
from collections.abc import Callable, Mapping
from typing import Any, TypeVar

import msgspec
from msgspec.structs import FieldInfo, fields
from returns.result import Failure

from .address import Address, parse_address
from .problem import Problem, join_path

T = TypeVar("T")

_MAX_REPR_CHARS = 60


def convert(
    value: object, type_: type[T], problems: list[Problem], path: str = ""
) -> T | None:
    """Return ``value`` converted to ``type_``.

    If it can't be converted, the problems are appended to ``problems`` and the result
    is ``None``, or a part of the value that must not be used. ``path`` is the YAML path
    of ``value``.
    """
    converter = _converter(type_)
    return typing.cast(T | None, converter(value, type_, problems, path))


def _converter(type_: Any) -> "_Converter":
    if isinstance(type_, type) and issubclass(type_, msgspec.Struct):
        return _convert_struct
    if type_ is Address:
        return _convert_address
    if typing.get_origin(type_) is dict:
        return _convert_dict
    if typing.get_origin(type_) is tuple:
        return _convert_list
    if type(None) in typing.get_args(type_):
        return _convert_optional
    return _convert_plain


def _convert_struct(
    value: object, type_: type[Any], problems: list[Problem], path: str
) -> object | None:
    if not isinstance(value, Mapping):
        problems.append(Problem(path, "a mapping", short_repr(value)))
        return None
    known = {field.encode_name: field for field in fields(type_)}
    before = len(problems)
    _report_unknown(value, known, problems, path)
    converted = {
        field.name: _convert_field(value, field, problems, path)
        for field in known.values()
        if field.encode_name in value or field.required
    }
    return type_(**converted) if len(problems) == before else None


def _report_unknown(
    value: Mapping[str, object],
    known: Mapping[str, FieldInfo],
    problems: list[Problem],
    path: str,
) -> None:
    for key in value:
        if key not in known:
            expected = f"one of {', '.join(sorted(known))}"
            remedy = "Correct or remove the key."
            problems.append(
                Problem(join_path(path, key), expected, "an unknown key", remedy)
            )


def _convert_field(
    value: Mapping[str, object],
    field: FieldInfo,
    problems: list[Problem],
    path: str,
) -> object | None:
    field_path = join_path(path, field.encode_name)
    if field.encode_name not in value:
        expected = describe_type(field.type)
        problems.append(Problem(field_path, expected, "nothing", "Add the key."))
        return None
    return convert(value[field.encode_name], field.type, problems, field_path)


def _convert_dict(
    value: object, type_: Any, problems: list[Problem], path: str
) -> dict[str, Any] | None:
    if not isinstance(value, Mapping):
        problems.append(Problem(path, "a mapping of names", short_repr(value)))
        return None
    _, item_type = typing.get_args(type_)
    return {
        key: convert(item, item_type, problems, join_path(path, key))
        for key, item in value.items()
    }


def _convert_list(
    value: object, type_: Any, problems: list[Problem], path: str
) -> tuple[Any, ...] | None:
    if not isinstance(value, list):
        problems.append(Problem(path, "a list", short_repr(value)))
        return None
    item_type = typing.get_args(type_)[0]
    return tuple(
        convert(item, item_type, problems, f"{path}[{index}]")
        for index, item in enumerate(value)
    )


def _convert_optional(
    value: object, type_: Any, problems: list[Problem], path: str
) -> object | None:
    if value is None:
        return None
    (item_type,) = (a for a in typing.get_args(type_) if a is not type(None))
    return convert(value, item_type, problems, path)


def _convert_address(
    value: object, type_: Any, problems: list[Problem], path: str
) -> Address | None:
    if not isinstance(value, str):
        problems.append(Problem(path, "IP:PORT", short_repr(value)))
        return None
    address = parse_address(value)
    if isinstance(address, Failure):
        problems.append(Problem(path, address.failure(), short_repr(value)))
        return None
    return address.unwrap()


def _convert_plain(
    value: object, type_: Any, problems: list[Problem], path: str
) -> object | None:
    try:
        return msgspec.convert(value, type_, strict=True)
    except msgspec.ValidationError:
        problems.append(Problem(path, describe_type(type_), short_repr(value)))
        return None


_Converter = Callable[[object, Any, list[Problem], str], object | None]


def short_repr(value: object) -> str:
    """Return the ``repr`` of ``value``, shortened for an error message."""
    if value is None:
        return "nothing"
    text = repr(value)
    return text if len(text) <= _MAX_REPR_CHARS else text[:_MAX_REPR_CHARS] + "..."


_TYPE_DESCRIPTIONS: dict[Any, str] = {
    int: "a whole number",
    float: "a number",
    bool: "true or false",
    str: "text",
    Address: "IP:PORT",
}


def describe_type(type_: Any) -> str:
    """Return a description of ``type_`` for an error message."""
    if type_ in _TYPE_DESCRIPTIONS:
        return _TYPE_DESCRIPTIONS[type_]
    if typing.get_origin(type_) is typing.Literal:
        return "one of " + ", ".join(map(str, typing.get_args(type_)))
    if typing.get_origin(type_) is tuple:
        return "a list"
    return "a mapping"
