"""The targets of one service in one group of availability zones."""

from collections.abc import Set
from random import Random
from typing import NamedTuple

from .target import Target

# A target that was just seen for the first time gets this share of the work.
MIN_SHARE = 0.1


class Draw(NamedTuple):
    """Two candidates, or one twice; the first is the better one."""

    best: Target
    other: Target


class Pool:
    """Targets among which two are drawn at random."""

    def __init__(self, *, targets: list[Target], slow_start_ms: float) -> None:
        self.targets = targets
        self.slow_start_ms = slow_start_ms
        self._oldest_ms = min((t.first_ms for t in targets), default=0.0)

    def draw(self, now_ms: float, exclude: Set[str], random: Random) -> Draw | None:
        """Return two random targets that nothing speaks against, the better first.

        The choice between two random ones is good even on stale loads: choosing the
        best of all would send every node's work to the same target at once.
        """
        pair = self._two(self.targets, random)
        if pair is None:
            return None
        if not all(_is_usable(target, now_ms, exclude) for target in pair):
            usable = [t for t in self.targets if _is_usable(t, now_ms, exclude)]
            pair = self._two(usable, random)
            if pair is None:
                return None
        return self._ordered(now_ms, pair, random)

    def _two(
        self, targets: list[Target], random: Random
    ) -> tuple[Target, Target] | None:
        count = len(targets)
        if count < 2:
            return (targets[0], targets[0]) if targets else None
        first = int(random.random() * count)
        second = int(random.random() * (count - 1))
        if second >= first:
            second += 1
        return targets[first], targets[second]

    def _ordered(
        self, now_ms: float, pair: tuple[Target, Target], random: Random
    ) -> Draw:
        best, other = pair
        if other.cost(now_ms) < best.cost(now_ms):
            best, other = other, best
        # A new target has no work yet, so its cost would draw all work to it.
        is_held_back = random.random() >= self._share(now_ms, best)
        if is_held_back and other.first_ms < best.first_ms:
            best, other = other, best
        return Draw(best, other)

    def _share(self, now_ms: float, target: Target) -> float:
        """Return the target's share of the work under slow start.

        It is relative to the oldest target of the pool, so that a pool of only new
        targets is not slowed down.
        """
        age_ms = now_ms - target.first_ms
        if age_ms >= self.slow_start_ms:
            return 1.0
        oldest_age_ms = min(now_ms - self._oldest_ms, self.slow_start_ms)
        if oldest_age_ms <= 0:
            return 1.0
        return max(MIN_SHARE, age_ms / oldest_age_ms)


def _is_usable(target: Target, now_ms: float, exclude: Set[str]) -> bool:
    return target.avoid_until_ms <= now_ms and target.host not in exclude
