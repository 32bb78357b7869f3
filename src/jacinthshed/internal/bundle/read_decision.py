"""The decision whether and how to read a key of the platform."""

from enum import StrEnum
from typing import NamedTuple


class ReadAction(StrEnum):
    """Action for one key of the platform."""

    READ = "read"
    WATCH = "watch"
    WAIT = "wait"


class ReadDecision(NamedTuple):
    """An action to take now, or a wait of ``wait_ms`` before the next decision.

    ``reason`` is a short text that explains the decision, and ``watch_ms`` the longest
    wait of a watch.
    """

    action: ReadAction
    wait_ms: float
    reason: str
    watch_ms: int = 0
