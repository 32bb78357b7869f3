"""Weighted round robin."""


class WeightedChoice:
    """Smooth weighted round robin.

    In any run of consecutive choices, the number of times that an item is chosen
    differs from the share of its weight by less than the number of items. Random draws
    have no such bound, so their shares can be far off in a short run.
    """

    def __init__(self, *, weights: dict[str, float]) -> None:
        self._weights = {name: max(0.0, weight) for name, weight in weights.items()}
        self._total = sum(self._weights.values())
        self._credit = dict.fromkeys(self._weights, 0.0)

    def next(self) -> str:
        """Return the next item."""
        credit = self._credit
        for name, weight in self._weights.items():
            credit[name] += weight
        chosen = max(credit, key=credit.__getitem__)
        credit[chosen] -= self._total
        return chosen
