"""The ``jacinthshed`` command line."""

import cyclopts

from .node_command import node

app = cyclopts.App(name="jacinthshed", help="Overload control for call graphs.")
app.command(node)

EXIT_DONE = 0
EXIT_REFUSED = 1
EXIT_USAGE = 2


def run(arguments: list[str]) -> int:
    """Run one command and return its exit code: 0 done, 1 refused, 2 usage."""
    result = app(arguments, exit_on_error=False)
    return result if isinstance(result, int) else EXIT_DONE
