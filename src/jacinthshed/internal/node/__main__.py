"""Command line entry point: ``python -m jacinthshed.internal.node``.

The settings file is named by the environment variable ``JACINTHSHED_CONFIG``.
"""

import os
import sys
from pathlib import Path

from returns.result import Failure

from ..settings.load import load_settings
from .daemon import run_daemon

SETTINGS_VARIABLE = "JACINTHSHED_CONFIG"
EXIT_USAGE = 2


def main() -> int:
    """Run a node until its graceful shutdown ends; return the exit code."""
    path = os.environ.get(SETTINGS_VARIABLE)
    if path is None:
        print(
            f"set {SETTINGS_VARIABLE} to the path of the settings file",
            file=sys.stderr,
        )
        return EXIT_USAGE
    loaded = load_settings(Path(path))
    if isinstance(loaded, Failure):
        print(loaded.failure(), file=sys.stderr)
        return EXIT_USAGE
    return run_daemon(loaded.unwrap(), Path(path))


if __name__ == "__main__":
    sys.exit(main())
