"""Random choice among the targets of one service in a group of availability zones."""

from collections.abc import Set
from random import Random
from typing import NamedTuple

from .expected_load import estimates, room_weights, weighted_index
from .target import Target

# Share of its normal work that a target gets right after it was first seen.
MIN_SLOW_START_SHARE = 0.1


class CandidatePair(NamedTuple):
    """Two candidates, the chosen one first; a single candidate appears twice.

    ``load`` is the load of the chosen one that the choice is based on.
    ``is_by_expected_room`` tells how it was chosen.
    """

    best: Target
    other: Target
    load: float
    is_by_expected_room: bool = False


class Chances(NamedTuple):
    """Targets, their expected loads, and their weights in the random choice."""

    targets: list[Target]
    loads: list[float]
    weights: list[float]


class RankedPair(NamedTuple):
    """Two candidates by cost, and the probability that ``best`` is chosen."""

    best: Target
    other: Target
    best_share: float


class Pool:
    """A list of targets from which one is chosen at random.

    ``slow_start_ms`` is the time over which a new target's share of the work grows.
    With ``uses_expected_room``, the choice is by expected room, and otherwise the
    better one of two.
    """

    def __init__(
        self,
        *,
        targets: list[Target],
        slow_start_ms: float,
        uses_expected_room: bool = False,
    ) -> None:
        self.targets = targets
        self.slow_start_ms = slow_start_ms
        self.uses_expected_room = uses_expected_room
        self._oldest_seen_ms = min((t.first_seen_ms for t in targets), default=0.0)

    def draw(
        self, now_ms: float, exclude: Set[str], random: Random
    ) -> CandidatePair | None:
        """Return a random usable target and another candidate, or None without any.

        A target is usable if it is not in ``exclude`` and is not to be avoided at
        present. The better of two random targets is a good choice even with stale
        loads: choosing the best of all would send the work of every node to the same
        target at once. So is a random one by expected room.
        """
        if self.uses_expected_room:
            return self._draw_by_room(now_ms, exclude, random)
        pair = self._draw_two(self.targets, random)
        if pair is None:
            return None
        if not all(_is_usable(target, now_ms, exclude) for target in pair):
            pair = self._draw_two(self.usable(now_ms, exclude), random)
            if pair is None:
                return None
        return self._better_first(now_ms, pair, random)

    def usable(self, now_ms: float, exclude: Set[str]) -> list[Target]:
        """Return the targets that may be drawn at present."""
        return [t for t in self.targets if _is_usable(t, now_ms, exclude)]

    def rank(self, now_ms: float, pair: tuple[Target, Target]) -> RankedPair:
        """Return ``pair`` by cost; of two targets with the same cost, the first leads.

        A new target has no work yet, so by its cost alone it would get all the work.
        It therefore gives way to older targets with a probability that slow start sets.
        """
        best, other = pair
        if other.cost(now_ms) < best.cost(now_ms):
            best, other = other, best
        if other.first_seen_ms >= best.first_seen_ms:
            return RankedPair(best, other, 1.0)
        return RankedPair(best, other, self._slow_start_share(now_ms, best))

    def chances(self, now_ms: float, exclude: Set[str] = frozenset()) -> Chances:
        """Return the usable targets with their weights in the choice by room."""
        usable = self.usable(now_ms, exclude)
        expected = estimates(usable, now_ms)
        weights = room_weights(expected)
        for index, target in enumerate(usable):
            if now_ms - target.first_seen_ms < self.slow_start_ms:
                weights[index] *= self._slow_start_share(now_ms, target)
        return Chances(usable, expected.loads, weights)

    def _draw_by_room(
        self, now_ms: float, exclude: Set[str], random: Random
    ) -> CandidatePair | None:
        """Choose with the weights of ``chances``; the other has the next most."""
        targets, loads, weights = self.chances(now_ms, exclude)
        if not targets:
            return None
        chosen = weighted_index(weights, random.random())
        weights[chosen] = 0.0
        other = weights.index(max(weights))
        return CandidatePair(targets[chosen], targets[other], loads[chosen], True)

    def _draw_two(
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

    def _better_first(
        self, now_ms: float, pair: tuple[Target, Target], random: Random
    ) -> CandidatePair:
        best, other, best_share = self.rank(now_ms, pair)
        if random.random() >= best_share:
            best, other = other, best
        return CandidatePair(best, other, best.effective_load(now_ms))

    def _slow_start_share(self, now_ms: float, target: Target) -> float:
        """Return the share of its normal work that slow start allows the target.

        It grows from ``MIN_SLOW_START_SHARE`` to 1. It is relative to the age of the
        oldest target of the pool, so that a pool of only new targets is not slowed
        down.
        """
        age_ms = now_ms - target.first_seen_ms
        if age_ms >= self.slow_start_ms:
            return 1.0
        oldest_age_ms = min(now_ms - self._oldest_seen_ms, self.slow_start_ms)
        if oldest_age_ms <= 0:
            return 1.0
        return max(MIN_SLOW_START_SHARE, age_ms / oldest_age_ms)


def _is_usable(target: Target, now_ms: float, exclude: Set[str]) -> bool:
    return target.avoid_until_ms <= now_ms and target.host not in exclude
