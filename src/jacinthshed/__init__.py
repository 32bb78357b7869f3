"""Overload control layer for service call graphs."""

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from .internal.caller.answer import Answer
    from .internal.caller.caller import Caller
    from .internal.verdict import Reason, Refusal, Verdict

__version__ = "0.3.0"
__all__ = ["Answer", "Caller", "Reason", "Refusal", "Verdict", "__version__"]

_HOMES = {
    "Answer": "caller.answer",
    "Caller": "caller.caller",
    "Reason": "verdict",
    "Refusal": "verdict",
    "Verdict": "verdict",
}


def __getattr__(name: str) -> Any:
    # A node needs nothing of the caller's library, and is to start quickly.
    if name not in _HOMES:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    from importlib import import_module

    return getattr(import_module(f".internal.{_HOMES[name]}", __name__), name)
