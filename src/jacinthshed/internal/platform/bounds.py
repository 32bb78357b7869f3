"""Limits that the platform's operators set for a node."""

from collections.abc import Mapping
from typing import NamedTuple

_MS_PER_S = 1_000


class Bounds(NamedTuple):
    """Operators' limits from which the policy is built, with their defaults.

    ``grace_ms`` is how long a node may keep running after a request to stop. Attempts
    beyond the first are at most ``retry_ratio`` of the requests plus ``retry_slack``,
    summed over all nodes and over any time window that the operators name. A withdrawn
    key is refused at every node after ``revoke_ms``; 0 where that isn't asked for.
    """

    grace_ms: int = 6_000
    retry_ratio: float = 0.2
    retry_slack: int = 48
    revoke_ms: int = 0


def read_bounds(values: Mapping[str, object]) -> Bounds:
    """Return the bounds in ``values``.

    Unknown names are ignored. A missing value, or one that is not a number, gives the
    default.
    """
    default = Bounds()

    def number(name: str, default_value: float) -> float:
        value = values.get(name)
        return float(value) if isinstance(value, int | float) else default_value

    def duration_ms(name: str, default_ms: int) -> int:
        return int(number(name, default_ms / _MS_PER_S) * _MS_PER_S)

    return Bounds(
        grace_ms=duration_ms("grace_s", default.grace_ms),
        retry_ratio=number("retry_budget_ratio", default.retry_ratio),
        retry_slack=int(number("budget_slack", default.retry_slack)),
        revoke_ms=duration_ms("revoke_s", 0) if values.get("revoke_strict") else 0,
    )
