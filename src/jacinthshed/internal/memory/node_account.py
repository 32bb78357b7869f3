"""The memory account of a node: its log lines, its gauges, and its periodic work."""

from collections.abc import Callable

import trio

from ..telemetry.log import LogDecision
from .account import Holding, Kind, MemoryAccount

# A holding stalls from one second on, and those that wait should not wait much longer.
GRANT_INTERVAL_S = 0.25


def build_account(
    *, budget_bytes: int, now_ms: Callable[[], float], log: LogDecision
) -> MemoryAccount:
    """Return an account that logs what it evicts and refuses."""

    def on_evicted(holding: Holding) -> None:
        log(
            "memory_evicted",
            kind=holding.kind,
            size_bytes=holding.size_bytes,
            stalled_ms=round(now_ms() - holding.progress_ms),
            used_bytes=account.used_bytes,
            budget_bytes=budget_bytes,
        )

    def on_refused(kind: Kind, size_bytes: int) -> None:
        log(
            "memory_refused",
            kind=kind,
            size_bytes=size_bytes,
            used_bytes=account.used_bytes,
            budget_bytes=budget_bytes,
        )

    account = MemoryAccount(
        now_ms=now_ms,
        budget_bytes=budget_bytes,
        on_evicted=on_evicted,
        on_refused=on_refused,
    )
    return account


async def grant_periodically(account: MemoryAccount) -> None:
    """Give room to those that wait as soon as others stall, until cancelled."""
    waiting = trio.Event()
    account.on_waiting = lambda: waiting.set()
    while True:
        await waiting.wait()
        while account.has_waiting:
            await trio.sleep(GRANT_INTERVAL_S)
            account.grant_waiting()
        waiting = trio.Event()


def memory_gauges(account: MemoryAccount) -> dict[str, float]:
    """Return the gauges of ``account`` by metric name."""
    used = account.used_by_kind()
    return {
        "memory.budget_bytes": account.budget_bytes,
        "memory.evictions": account.evictions,
        "memory.refusals": account.refusals,
        **{f"memory.{kind}_bytes": used[kind] for kind in Kind},
    }
