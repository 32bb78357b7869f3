"""Overload control layer for service call graphs."""

from .internal.caller.answer import Answer
from .internal.caller.caller import Caller
from .internal.verdict import Reason, Refusal, Verdict

__version__ = "0.1.0"
__all__ = ["Answer", "Caller", "Reason", "Refusal", "Verdict", "__version__"]
