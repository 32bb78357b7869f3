"""Retry allowance that moves along the call chain and is never copied."""

from .allowance import AllowanceLedger
from .resend_limiter import ResendLimiter

__all__ = ["AllowanceLedger", "ResendLimiter"]
