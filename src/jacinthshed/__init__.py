"""Overload control layer for service call graphs."""

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from .internal.caller.answer import Answer
    from .internal.caller.caller import Caller
    from .internal.verdict import Reason, Refusal, Verdict

__version__ = "0.3.0"
__all__ = ["Answer", "Caller", "Reason", "Refusal", "Verdict", "__version__"]

_MODULES = {
    "Answer": "caller.answer",
    "Caller": "caller.caller",
    "Reason": "verdict",
    "Refusal": "verdict",
    "Verdict": "verdict",
}


def __getattr__(name: str) -> Any:
    # Imported on first use, as a node doesn't need the caller library and is to start
    # quickly.
    if name not in _MODULES:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    from importlib import import_module

    return getattr(import_module(f".internal.{_MODULES[name]}", __name__), name)
