"""Public keys of operators in the text form that settings hold."""

import base64
import binascii

from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PublicKey
from returns.result import Failure, Result, Success

KEY_BYTES = 32


def parse_public_key(text: str) -> Result[Ed25519PublicKey, str]:
    """Return the Ed25519 public key in ``text``, which is base64.

    The failure is a text that says what was expected.
    """
    try:
        raw = base64.b64decode(text, validate=True)
    except (binascii.Error, ValueError):
        return Failure("an Ed25519 public key in base64")
    if len(raw) != KEY_BYTES:
        return Failure(f"an Ed25519 public key of {KEY_BYTES} bytes in base64")
    return Success(Ed25519PublicKey.from_public_bytes(raw))


def public_key_text(key: Ed25519PublicKey) -> str:
    """Return ``key`` in base64, as settings hold it."""
    return base64.b64encode(key.public_bytes_raw()).decode("ascii")
