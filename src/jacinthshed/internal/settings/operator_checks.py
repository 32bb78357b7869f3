"""Checks of the operators whose signatures are trusted."""

from collections.abc import Iterator, Mapping

from returns.result import Failure

from .convert import shown
from .keys import parse_public_key
from .model import OperatorSettings
from .problem import Problem


def check_operators(operators: OperatorSettings) -> Iterator[Problem]:
    """Yield every problem of the trusted operators."""
    yield from _check_keys(operators.keys)
    if not 1 <= operators.threshold <= len(operators.keys):
        expected = f"1 to {len(operators.keys)}, the number of operators.keys"
        yield Problem("operators.threshold", expected, shown(operators.threshold))


def _check_keys(keys: Mapping[str, str]) -> Iterator[Problem]:
    owners: dict[bytes, str] = {}
    for name, text in keys.items():
        path = f"operators.keys.{name}"
        key = parse_public_key(text)
        if isinstance(key, Failure):
            remedy = "Take the public key that `jacinthshed bundle keygen` printed."
            yield Problem(path, key.failure(), shown(text), remedy)
            continue
        raw = key.unwrap().public_bytes_raw()
        # One key under two names would let one operator sign for two.
        if raw in owners:
            yield Problem(path, "a key of its own", f"the key of {owners[raw]}")
        owners[raw] = name
