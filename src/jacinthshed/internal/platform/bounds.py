"""The figures that the platform's operators promise and ask for."""

from collections.abc import Mapping
from typing import NamedTuple

_MS_PER_S = 1_000


class Bounds(NamedTuple):
    """Figures that policy is made from; the defaults hold where one isn't given.

    A node may go on for ``grace_ms`` after it is told to end. Attempts beyond the first
    are at most ``retry_ratio`` of the requests plus ``retry_slack``, over all nodes and
    any window that the operators name.
    """

    grace_ms: int = 6_000
    retry_ratio: float = 0.2
    retry_slack: int = 48


def read_bounds(values: Mapping[str, object]) -> Bounds:
    """Return the bounds among ``values``; other names are ignored."""
    default = Bounds()

    def number(name: str, otherwise: float) -> float:
        value = values.get(name)
        return float(value) if isinstance(value, int | float) else otherwise

    def span_ms(name: str, otherwise_ms: int) -> int:
        return int(number(name, otherwise_ms / _MS_PER_S) * _MS_PER_S)

    return Bounds(
        grace_ms=span_ms("grace_s", default.grace_ms),
        retry_ratio=number("retry_budget_ratio", default.retry_ratio),
        retry_slack=int(number("budget_slack", default.retry_slack)),
    )
