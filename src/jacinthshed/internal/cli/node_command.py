"""``jacinthshed node``: run a node."""

import sys
from pathlib import Path

from returns.result import Failure

from ..node.daemon import run_daemon
from ..settings.load import load_settings
from .exit_codes import EXIT_REFUSED


def node(*, settings: Path) -> int:
    """Run one node beside its backend server.

    Example: ``jacinthshed node --settings node.yaml``

    :param settings: The node's settings file, read at the start and on SIGHUP.
    """
    loaded = load_settings(settings)
    if isinstance(loaded, Failure):
        print(loaded.failure(), file=sys.stderr)
        return EXIT_REFUSED
    return run_daemon(loaded.unwrap(), settings)
