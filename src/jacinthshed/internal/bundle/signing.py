"""Signed envelopes of bundles: Ed25519 signatures by m of n trusted operators.

An envelope is a YAML mapping that holds the document's text and its signatures. A
signature covers a fixed prefix and the document's bytes, so that a signature of other
data made with the same key is never valid for a bundle.
"""

import base64
import binascii
from collections.abc import Mapping
from typing import Protocol

import msgspec
import yaml
from cryptography.exceptions import InvalidSignature
from cryptography.hazmat.primitives.asymmetric.ed25519 import (
    Ed25519PrivateKey,
    Ed25519PublicKey,
)
from returns.result import Failure, Result, Success

from ..settings.convert import convert
from ..settings.document import read_document
from ..settings.keys import parse_public_key
from ..settings.problem import Problem
from .document import BundleError, bundle_order, parse_bundle
from .opened_bundle import BundleOpener, OpenedBundle
from .routes import RouteTable

MAX_ENVELOPE_BYTES = 524_288
# Anyone may send an envelope, so the limit allows for the signatures and little more.
MAX_ENVELOPE_VALUES = 1_000
MAX_SIGNATURES = 64
SIGNATURE_PREFIX = b"jacinthshed bundle v1\0"


class TrustedOperators(Protocol):
    """The operators whose signatures count, and how many of them have to sign.

    ``keys`` maps an operator's name to the Ed25519 public key in base64.
    """

    @property
    def threshold(self) -> int: ...

    @property
    def keys(self) -> Mapping[str, str]: ...


class Signature(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """One operator's signature, in base64."""

    operator: str
    signature: str


class Envelope(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A bundle document with its signatures."""

    document: str
    signatures: tuple[Signature, ...] = ()


def generate_key() -> Ed25519PrivateKey:
    """Return a new private key for an operator."""
    return Ed25519PrivateKey.generate()


def read_envelope(data: bytes, *, source: str) -> Result[Envelope, BundleError]:
    """Return the envelope in ``data`` without verifying its signatures."""
    value = read_document(
        data, max_bytes=MAX_ENVELOPE_BYTES, max_values=MAX_ENVELOPE_VALUES
    )
    if isinstance(value, Failure):
        return Failure(BundleError(source, (value.failure(),)))
    problems: list[Problem] = []
    envelope = convert(value.unwrap(), Envelope, problems)
    if envelope is None:
        return Failure(BundleError(source, tuple(problems)))
    return Success(envelope)


def sign_document(
    document: bytes, operator: str, private_key: Ed25519PrivateKey
) -> Signature:
    """Return the signature of ``operator`` over ``document``."""
    raw = private_key.sign(SIGNATURE_PREFIX + document)
    text = base64.b64encode(raw).decode("ascii")
    return Signature(operator=operator, signature=text)


def sign(envelope: Envelope, operator: str, private_key: Ed25519PrivateKey) -> Envelope:
    """Return ``envelope`` with the signature of ``operator`` added or renewed."""
    document = envelope.document.encode("utf-8")
    added = sign_document(document, operator, private_key)
    others = tuple(s for s in envelope.signatures if s.operator != operator)
    return Envelope(document=envelope.document, signatures=(*others, added))


class _EnvelopeDumper(yaml.SafeDumper):
    """Writes the document as a literal block, which is easy to read."""


def _represent_text(dumper: yaml.SafeDumper, text: str) -> yaml.ScalarNode:
    style = "|" if "\n" in text else None
    return dumper.represent_scalar("tag:yaml.org,2002:str", text, style=style)


_EnvelopeDumper.add_representer(str, _represent_text)


def envelope_bytes(envelope: Envelope) -> bytes:
    """Return ``envelope`` as YAML."""
    value = msgspec.to_builtins(envelope)
    text = yaml.dump(value, Dumper=_EnvelopeDumper, sort_keys=False, allow_unicode=True)
    return text.encode("utf-8")


def open_signed_bundle(
    data: bytes, trusted: TrustedOperators, *, source: str = "bundle"
) -> Result[OpenedBundle, BundleError]:
    """Return the bundle in the envelope ``data`` if enough operators signed it.

    The signatures are verified before the document is parsed. ``source`` names the
    envelope in the ``BundleError``.
    """
    read = read_envelope(data, source=source)
    if isinstance(read, Failure):
        return Failure(read.failure())
    envelope = read.unwrap()
    problems = _signature_problems(envelope, trusted)
    if problems:
        return Failure(BundleError(source, problems))
    document = envelope.document.encode("utf-8")
    return parse_bundle(document, source=source).map(
        lambda bundle: OpenedBundle(
            bundle, bundle_order(bundle, document), data, RouteTable(bundle)
        )
    )


def signed_bundle_opener(trusted: TrustedOperators) -> BundleOpener:
    """Return a function that verifies and parses envelopes signed by ``trusted``."""

    def open_bundle(data: bytes, source: str) -> Result[OpenedBundle, BundleError]:
        return open_signed_bundle(data, trusted, source=source)

    return open_bundle


def _signature_problems(
    envelope: Envelope, trusted: TrustedOperators
) -> tuple[Problem, ...]:
    """Return why the signatures are not sufficient, or ``()`` when they are."""
    if len(envelope.signatures) > MAX_SIGNATURES:
        found = f"{len(envelope.signatures)}"
        return (Problem("signatures", f"at most {MAX_SIGNATURES}", found),)
    document = envelope.document.encode("utf-8")
    rejected: list[Problem] = []
    # Signers are counted by key, not by name: two names with one key are one signer.
    signers: set[bytes] = set()
    for index, signature in enumerate(envelope.signatures):
        checked = _check_signature(document, signature, trusted)
        if isinstance(checked, Failure):
            rejected.append(_at_index(index, checked.failure()))
        else:
            signers.add(checked.unwrap())
    if len(signers) >= max(trusted.threshold, 1):
        return ()
    return (_too_few(len(signers), trusted), *rejected)


def _too_few(count: int, trusted: TrustedOperators) -> Problem:
    expected = f"valid signatures of {trusted.threshold} trusted operators"
    names = ", ".join(sorted(trusted.keys))
    remedy = f"Sign it with `jacinthshed bundle sign`; trusted are: {names}."
    return Problem("signatures", expected, f"{count}", remedy)


def _at_index(index: int, problem: Problem) -> Problem:
    return problem._replace(path=f"signatures[{index}].{problem.path}")


def _check_signature(
    document: bytes, signature: Signature, trusted: TrustedOperators
) -> Result[bytes, Problem]:
    """Return the raw public key that made ``signature``."""
    text = trusted.keys.get(signature.operator)
    if text is None:
        found = f"the unknown operator {signature.operator!r}"
        return Failure(Problem("operator", "a trusted operator", found))
    parsed = parse_public_key(text)
    if isinstance(parsed, Failure):
        found = f"an invalid key of {signature.operator} in the settings"
        return Failure(Problem("operator", parsed.failure(), found))
    key = parsed.unwrap()
    if _is_valid(key, document, signature.signature):
        return Success(key.public_bytes_raw())
    expected = f"a signature by {signature.operator} over this document"
    return Failure(Problem("signature", expected, "one that is not valid"))


def _is_valid(key: Ed25519PublicKey, document: bytes, text: str) -> bool:
    try:
        raw = base64.b64decode(text, validate=True)
        key.verify(raw, SIGNATURE_PREFIX + document)
    except (InvalidSignature, binascii.Error, ValueError):
        return False
    return True
