"""Retry allowance that moves along the call chain and is never copied."""

from .allowance import AllowanceLedger
from .resend_bucket import ResendBucket

__all__ = ["AllowanceLedger", "ResendBucket"]
