"""Ballots: a total order over revocations.

Two entry nodes may revoke the same key concurrently, and their requests may reach two
targets in opposite order. If a target stored only a *revoked* flag, both entry nodes
would collect a complete set of answers and each would mint a fence that is valid at
some target. With ballots, every target promises the highest ballot it has received, so
at most the revocation with the highest ballot yields a fence that runs.
"""

_WALL_DIGITS = 15
_INCARNATION_DIGITS = 20
_SEQUENCE_DIGITS = 10


class BallotGenerator:
    """Generates the ballots of one incarnation of a node."""

    def __init__(self, *, host: str, incarnation: int) -> None:
        self._host = host
        self._incarnation = incarnation
        self._sequence = 0

    def generate(self, wall_ms: int, *, above: str = "") -> str:
        """Return a unique ballot that is higher than ``above``.

        The wall clock only makes it likely that a later revocation wins. The order is
        total even if clocks are wrong, because the rest of the ballot is unique.
        """
        self._sequence += 1
        time_ms = max(wall_ms, ballot_wall_ms(above) + 1)
        # The numeric fields come first and have a fixed width, so that the string order
        # of two ballots is the order of these fields.
        return (
            f"{time_ms:0{_WALL_DIGITS}d}"
            f".{self._incarnation:0{_INCARNATION_DIGITS}d}"
            f".{self._sequence:0{_SEQUENCE_DIGITS}d}"
            f".{self._host}"
        )


def ballot_wall_ms(ballot: str) -> int:
    """Return the wall-clock time in ``ballot`` in milliseconds, or -1 without one."""
    digits = ballot[:_WALL_DIGITS]
    return int(digits) if digits.isdecimal() else -1
