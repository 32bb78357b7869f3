"""Signed envelopes of bundles: Ed25519, m of n trusted operators.

The envelope is a YAML mapping of the document's text and its signatures. A signature
covers the document's bytes behind a fixed prefix, so that it can't be mistaken for a
signature of something else that was made with the same key.
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
# Anybody may send an envelope, so it has room for its signatures and no more.
MAX_ENVELOPE_VALUES = 1_000
MAX_SIGNATURES = 64
SIGNATURE_PREFIX = b"jacinthshed bundle v1\0"


class TrustedOperators(Protocol):
    """Whose signatures count, and how many distinct ones are needed."""

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
    """Return the envelope in ``data``; its signatures are not checked."""
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
    """Writes the document as a literal block, so that people can read it."""


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

    The signatures are checked before the document is parsed.
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
    """Return the function that opens envelopes which ``trusted`` operators signed."""

    def open_bundle(data: bytes, source: str) -> Result[OpenedBundle, BundleError]:
        return open_signed_bundle(data, trusted, source=source)

    return open_bundle


def _signature_problems(
    envelope: Envelope, trusted: TrustedOperators
) -> tuple[Problem, ...]:
    """Return why the signatures don't suffice, or nothing when they do."""
    if len(envelope.signatures) > MAX_SIGNATURES:
        found = f"{len(envelope.signatures)}"
        return (Problem("signatures", f"at most {MAX_SIGNATURES}", found),)
    document = envelope.document.encode("utf-8")
    rejected: list[Problem] = []
    # Counted by key and not by name: two names for one key are one signer.
    signers: set[bytes] = set()
    for index, signature in enumerate(envelope.signatures):
        checked = _check_signature(document, signature, trusted)
        if isinstance(checked, Failure):
            rejected.append(_at(index, checked.failure()))
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


def _at(index: int, problem: Problem) -> Problem:
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
        found = f"a bad key of {signature.operator} in the settings"
        return Failure(Problem("operator", parsed.failure(), found))
    key = parsed.unwrap()
    if _verifies(key, document, signature.signature):
        return Success(key.public_bytes_raw())
    expected = f"a signature by {signature.operator} over this document"
    return Failure(Problem("signature", expected, "one that does not verify"))


def _verifies(key: Ed25519PublicKey, document: bytes, text: str) -> bool:
    try:
        raw = base64.b64decode(text, validate=True)
        key.verify(raw, SIGNATURE_PREFIX + document)
    except (InvalidSignature, binascii.Error, ValueError):
        return False
    return True
