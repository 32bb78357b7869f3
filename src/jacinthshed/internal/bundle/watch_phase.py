"""Spreads the ends of the watches that one node keeps for several keys.

Load pattern: all open connections to the platform go silent without a reset. A node
notices it only when one of its watches isn't answered at the end of its wait. If the
watches of all keys end together, that takes a whole wait.
"""

from collections.abc import Sequence

from .read_key_state import KeyState

# Shortest wait of a watch.
MIN_WATCH_MS = 200
# Waits that end this much too early stay as they are: a call takes some time, and each
# correction costs another one.
TOLERANCE_MS = 100.0


def spread_wait_ms(
    now_ms: float, watch_ms: int, states: Sequence[KeyState], own: int
) -> int:
    """Return the wait of a watch of key ``own`` that starts now, at most ``watch_ms``.

    ``states`` are those of all keys, always in the same order. The end follows that of
    the key which a change ended last by an equal part of ``watch_ms`` for each key
    between them. All readers of a zone see the same change, so theirs are spread alike.
    """
    first = max(range(len(states)), key=lambda index: states[index].staggered_ms)
    reference = states[first]
    if first == own or not reference.is_watch:
        return watch_ms
    offset_ms = watch_ms * ((own - first) % len(states)) / len(states)
    wanted_end_ms = reference.called_ms + reference.watch_ms + offset_ms
    excess_ms = (now_ms + watch_ms - wanted_end_ms) % watch_ms
    if excess_ms > watch_ms - TOLERANCE_MS:
        return watch_ms
    return max(MIN_WATCH_MS, int(watch_ms - excess_ms))
