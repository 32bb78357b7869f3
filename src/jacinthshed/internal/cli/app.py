"""The ``jacinthshed`` command line."""

import cyclopts

from .bundle_commands import bundle_app
from .call_command import call
from .demo_command import demo
from .exit_codes import EXIT_DONE, EXIT_REFUSED, EXIT_USAGE
from .explain_command import explain
from .logs_commands import logs_app
from .node_command import node
from .status_command import status
from .where_command import where

__all__ = ["EXIT_DONE", "EXIT_REFUSED", "EXIT_USAGE", "app", "run"]

app = cyclopts.App(name="jacinthshed", help="Overload control for call graphs.")
app.command(node)
app.command(bundle_app)
app.command(status)
app.command(call)
app.command(explain)
app.command(where)
app.command(logs_app)
app.command(demo)


def run(arguments: list[str]) -> int:
    """Run one command and return its exit code.

    0 means success, 1 that the command was refused or failed, 2 a usage error.
    """
    try:
        result = app(
            arguments,
            exit_on_error=False,
            print_error=True,
            result_action="return_value",
        )
    except cyclopts.CycloptsError:
        return EXIT_USAGE
    return result if isinstance(result, int) else EXIT_DONE
