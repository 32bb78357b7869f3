"""Strict parsing of YAML with limits on its size.

Settings and bundles need only plain mappings, lists and scalars. Features by which a
small file can use much time or memory (anchors, aliases, tags, deep nesting) or hide a
mistake (duplicate keys, keys that are not text) are refused.
"""

from collections.abc import Hashable
from typing import Any

import yaml
from returns.result import Failure, Result, Success

from .problem import Problem

MAX_DEPTH = 16
MAX_VALUES = 50_000

_Loader: Any = getattr(yaml, "CSafeLoader", yaml.SafeLoader)
_COLLECTION_STARTS = (yaml.MappingStartEvent, yaml.SequenceStartEvent)
_COLLECTION_ENDS = (yaml.MappingEndEvent, yaml.SequenceEndEvent)


class _Refused(Exception):
    """Raised inside the parser to report a problem to ``read_document``."""

    def __init__(self, problem: Problem) -> None:
        super().__init__(str(problem))
        self.problem = problem


def read_document(
    data: bytes, *, max_bytes: int, max_values: int = MAX_VALUES
) -> Result[object, Problem]:
    """Return the plain value in ``data``, a single YAML document in UTF-8.

    ``max_values`` limits the number of scalars and collections, and thereby the time
    that an untrusted document can use. The failure is the first problem found.
    """
    if len(data) > max_bytes:
        return Failure(Problem("", f"at most {max_bytes} bytes", f"{len(data)} bytes"))
    try:
        text = data.decode("utf-8")
        _check_events(text, max_values)
        return Success(yaml.load(text, Loader=_PlainLoader))
    except _Refused as refused:
        return Failure(refused.problem)
    except UnicodeDecodeError as error:
        return Failure(Problem("", "text in UTF-8", str(error)))
    except yaml.YAMLError as error:
        found = " ".join(str(error).split())
        return Failure(Problem("", "a YAML document", found))
    except (ValueError, OverflowError) as error:
        return Failure(Problem("", "plain YAML values", str(error)))


def _check_events(text: str, max_values: int) -> None:
    # Checks the stream of events before any value is built, so that the limits also
    # apply to the work of refusing a malicious document.
    depth = 0
    for count, event in enumerate(yaml.parse(text, Loader=_Loader)):
        if isinstance(event, _COLLECTION_STARTS):
            depth += 1
        elif isinstance(event, _COLLECTION_ENDS):
            depth -= 1
        if depth > MAX_DEPTH:
            raise _refusal(event, f"at most {MAX_DEPTH} levels", "deeper nesting")
        if count > max_values:
            raise _refusal(event, f"at most {max_values} values", "more")
        _check_plain(event)


def _check_plain(event: Any) -> None:
    if isinstance(event, yaml.AliasEvent):
        raise _refusal(event, "plain values", "an alias (*name)")
    if getattr(event, "anchor", None):
        raise _refusal(event, "plain values", "an anchor (&name)")
    if getattr(event, "tag", None):
        raise _refusal(event, "plain values", f"the tag {event.tag}")


def _refusal(event: Any, expected: str, found: str) -> _Refused:
    line = event.start_mark.line + 1
    return _Refused(
        Problem(f"line {line}", expected, found, "Write the value out in full.")
    )


class _PlainLoader(_Loader):
    """Builds mappings and refuses keys that are duplicate or not text."""

    def construct_mapping(
        self, node: yaml.MappingNode, deep: bool = False
    ) -> dict[Hashable, Any]:
        seen: set[str] = set()
        for key_node, _ in node.value:
            _check_key(key_node, seen)
        return super().construct_mapping(node, deep=deep)


_PlainLoader.add_constructor(
    "tag:yaml.org,2002:map",
    lambda loader, node: loader.construct_mapping(node, deep=True),
)


def _check_key(node: Any, seen: set[str]) -> None:
    line = node.start_mark.line + 1
    if node.tag != "tag:yaml.org,2002:str":
        found = getattr(node, "value", "a collection")
        raise _Refused(
            Problem(f"line {line}", "a text key", f"{found}", "Put it in quotes.")
        )
    if node.value in seen:
        remedy = "Remove one of them."
        raise _Refused(
            Problem(f"line {line}", "each key once", f"{node.value} again", remedy)
        )
    seen.add(node.value)
