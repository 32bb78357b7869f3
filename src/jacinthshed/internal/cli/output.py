"""Output functions that the commands share."""

import json
import sys
from collections.abc import Mapping
from typing import Annotated, Any

import cyclopts

from ..bundle.document import BundleError
from .exit_codes import EXIT_DONE, EXIT_REFUSED

Json = Annotated[
    bool, cyclopts.Parameter(name="--json", negative="", help="Print JSON.")
]


def print_json(value: Mapping[str, Any]) -> int:
    """Print ``value`` as JSON and return the exit code of success."""
    print(json.dumps(value, indent=2))
    return EXIT_DONE


def refuse(text: str) -> int:
    """Print ``text`` to standard error and return the exit code of a refusal."""
    print(text, file=sys.stderr)
    return EXIT_REFUSED


def refuse_bundle(error: BundleError, *, as_json: bool = False) -> int:
    """Print all problems of a bundle and return the exit code of a refusal.

    With ``as_json``, the problems also go to standard output as JSON.
    """
    if as_json:
        problems = [problem._asdict() for problem in error.problems]
        print_json({"ok": False, "file": error.source, "problems": problems})
    return refuse(str(error))
