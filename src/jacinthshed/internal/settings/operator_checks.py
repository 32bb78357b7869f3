"""Validation of the operators whose signatures are trusted."""

from collections.abc import Iterator, Mapping

from returns.result import Failure

from .convert import short_repr
from .keys import parse_public_key
from .model import OperatorSettings
from .problem import Problem


def check_operators(operators: OperatorSettings) -> Iterator[Problem]:
    """Yield every problem of the trusted operators."""
    yield from _check_keys(operators.keys)
    if not 1 <= operators.threshold <= len(operators.keys):
        expected = f"from 1 to {len(operators.keys)}, the number of operators.keys"
        yield Problem("operators.threshold", expected, short_repr(operators.threshold))


def _check_keys(keys: Mapping[str, str]) -> Iterator[Problem]:
    owners: dict[bytes, str] = {}
    for name, text in keys.items():
        path = f"operators.keys.{name}"
        key = parse_public_key(text)
        if isinstance(key, Failure):
            remedy = "Use the public key that `jacinthshed bundle keygen` printed."
            yield Problem(path, key.failure(), short_repr(text), remedy)
            continue
        raw = key.unwrap().public_bytes_raw()
        # With one key under two names, one operator could sign for two.
        if raw in owners:
            yield Problem(
                path, "a key that no other operator has", f"the key of {owners[raw]}"
            )
        owners[raw] = name
