"""Verdicts that callers received, compared with the starts at backend servers."""

from collections import defaultdict

import trio
from returns.result import Success


class VerdictRecorder:
    """Sends orders and records every verdict for each key."""

    def __init__(self, caller):
        self.results = defaultdict(list)
        self._caller = caller

    async def order(self, key, deadline_ms=8_000):
        """Send the order ``key`` and record the result; a key may be repeated."""
        result = await self._caller.request(
            "POST", "/orders/book", key=key, first_use=True, deadline_ms=deadline_ms
        )
        self.results[key].append(result)

    async def send(self, keys, interval_s=0.0, deadline_ms=8_000):
        """Send all ``keys``, one every ``interval_s``, and wait for all results."""
        async with trio.open_nursery() as nursery:
            for key in keys:
                nursery.start_soon(self.order, key, deadline_ms)
                await trio.sleep(interval_s)

    def verdicts(self, key):
        """Return the verdicts for ``key`` in the order received."""
        return [
            result.unwrap().verdict
            if isinstance(result, Success)
            else result.failure().verdict
            for result in self.results[key]
        ]

    def keys_with_last_verdict(self, verdict):
        """Return the keys whose last verdict was ``verdict``."""
        return [key for key in self.results if self.verdicts(key)[-1] == verdict]

    def check_against_starts(self, starts):
        """Check the verdicts for each key against how often the key was started."""
        for key in self.results:
            verdicts = self.verdicts(key)
            assert starts[key] <= 1, (key, starts[key], self.results[key])
            if "ran" in verdicts:
                assert starts[key] == 1, (key, self.results[key])
            if "not-run" in verdicts and "ran" not in verdicts:
                assert starts[key] == 0, (key, self.results[key])
