"""Parsing of a bundle document, without its signatures."""

import hashlib
from typing import NamedTuple

from returns.result import Failure, Result, Success

from ..settings.convert import convert
from ..settings.document import read_document
from ..settings.problem import Problem, format_problems
from .checks import check_bundle
from .model import Bundle
from .order import BundleOrder

MAX_DOCUMENT_BYTES = 262_144


class BundleError(NamedTuple):
    """All problems of a bundle document from ``source``."""

    source: str
    problems: tuple[Problem, ...]

    def __str__(self) -> str:
        return format_problems(self.source, self.problems)


def parse_bundle(text: bytes, *, source: str) -> Result[Bundle, BundleError]:
    """Return the validated bundle in the YAML document ``text``.

    ``source`` names the document in errors. The ``BundleError`` holds all problems of
    the document at once.
    """
    document = read_document(text, max_bytes=MAX_DOCUMENT_BYTES)
    if isinstance(document, Failure):
        return Failure(BundleError(source, (document.failure(),)))
    problems: list[Problem] = []
    bundle = convert(document.unwrap(), Bundle, problems)
    if bundle is not None:
        problems.extend(check_bundle(bundle))
    if problems or bundle is None:
        return Failure(BundleError(source, tuple(problems)))
    return Success(bundle)


def bundle_order(bundle: Bundle, document: bytes) -> BundleOrder:
    """Return the order of ``bundle``, which was parsed from ``document``."""
    return BundleOrder(bundle.version, hashlib.sha256(document).digest())
