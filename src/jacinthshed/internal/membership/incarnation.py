"""Incarnation numbers, which order the processes of one host's node."""

from random import Random

RANDOM_BITS = 10


def new_incarnation(wall_ms: int, random: Random, *, above: int = 0) -> int:
    """Return an incarnation above ``above`` that a later start almost surely exceeds.

    A host without a disk may start twice with the same wrong clock. The random bits
    give the two processes different incarnations, so that a fence of one never runs in
    the other.
    """
    number = (wall_ms << RANDOM_BITS) | random.getrandbits(RANDOM_BITS)
    return max(number, above + 1)
