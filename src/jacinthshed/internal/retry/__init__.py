"""Retry allowances that move along the call tree, and limits on resends."""

from .allowance import AllowanceLedger
from .resend_limiter import ResendLimiter

__all__ = ["AllowanceLedger", "ResendLimiter"]
