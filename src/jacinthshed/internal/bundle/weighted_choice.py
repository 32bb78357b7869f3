"""Choice among weighted items, in even turns."""


class WeightedChoice:
    """Smooth weighted round robin.

    Over any stretch of choices each item's share is within one choice of its weight's,
    so that short stretches come out right as well, which random draws don't.
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
