"""Ballots: a total order over revocations.

Two entry nodes may revoke one key at the same moment and reach two targets in opposite
order. If a target merely remembered *revoked*, each of the two would hold a complete
set of answers and mint a fence that is valid somewhere. With ballots the targets
promise to the highest, so at most the highest revocation ends in a fence that runs.
"""

_WALL_DIGITS = 15
_INCARNATION_DIGITS = 20
_SEQUENCE_DIGITS = 10


class BallotGenerator:
    """Makes the ballots of one incarnation of a node."""

    def __init__(self, *, host: str, incarnation: int) -> None:
        self._host = host
        self._incarnation = incarnation
        self._sequence = 0

    def generate(self, wall_ms: int, *, above: str = "") -> str:
        """Return a ballot that no other call returns, higher than ``above``.

        The clock only makes later revocations likely to win; the order is total
        whatever the clocks say, as the rest of the ballot is unique.
        """
        self._sequence += 1
        time_ms = max(wall_ms, ballot_wall_ms(above) + 1)
        # Fields of fixed width come first, so that comparing strings compares them.
        return (
            f"{time_ms:0{_WALL_DIGITS}d}"
            f".{self._incarnation:0{_INCARNATION_DIGITS}d}"
            f".{self._sequence:0{_SEQUENCE_DIGITS}d}"
            f".{self._host}"
        )


def ballot_wall_ms(ballot: str) -> int:
    """Return the wall-clock time in ``ballot``, or -1 when there is none."""
    digits = ballot[:_WALL_DIGITS]
    return int(digits) if digits.isdecimal() else -1
