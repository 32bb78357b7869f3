"""Overload control layer for service call graphs."""

from .internal.verdict import Reason, Refusal, Verdict

__version__ = "0.1.0"
__all__ = ["Reason", "Refusal", "Verdict", "__version__"]
