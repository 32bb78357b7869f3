"""What callers were told, held against what backend servers have started."""

from collections import defaultdict

import trio
from returns.result import Success


class VerdictRecorder:
    """Sends orders and remembers every verdict on each key."""

    def __init__(self, caller):
        self.results = defaultdict(list)
        self._caller = caller

    async def order(self, key, deadline_ms=8_000):
        """Send the order ``key``, once more if it was sent before."""
        result = await self._caller.request(
            "POST", "/orders/book", key=key, first_use=True, deadline_ms=deadline_ms
        )
        self.results[key].append(result)

    async def send(self, keys, interval_s=0.0, deadline_ms=8_000):
        """Send all of ``keys``, one each ``interval_s``; return when all have ended."""
        async with trio.open_nursery() as nursery:
            for key in keys:
                nursery.start_soon(self.order, key, deadline_ms)
                await trio.sleep(interval_s)

    def verdicts(self, key):
        """Return the verdicts on ``key`` in order."""
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
        """Check every verdict against how often each key was started."""
        for key in self.results:
            verdicts = self.verdicts(key)
            assert starts[key] <= 1, (key, starts[key], self.results[key])
            if "ran" in verdicts:
                assert starts[key] == 1, (key, self.results[key])
            if "not-run" in verdicts and "ran" not in verdicts:
                assert starts[key] == 0, (key, self.results[key])
