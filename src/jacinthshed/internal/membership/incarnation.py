"""Numbers that order the lives of one host's node."""

from random import Random

RANDOM_BITS = 10


def new_incarnation(wall_ms: int, random: Random, *, above: int = 0) -> int:
    """Return a number above ``above`` that a later start will almost surely exceed.

    Hosts without a disk may start twice with the same wrong clock. The random bits
    keep two such lives apart, so that a fence of one never runs in the other.
    """
    number = (wall_ms << RANDOM_BITS) | random.getrandbits(RANDOM_BITS)
    return max(number, above + 1)
