"""``jacinthshed logs``: reading what nodes wrote."""

from pathlib import Path

import cyclopts

from ..telemetry.request_lines import RequestLine, find_request_lines, format_line
from .exit_codes import EXIT_DONE
from .output import refuse

logs_app = cyclopts.App(name="logs", help="Read the logs of nodes.")


@logs_app.command
def explain(request_id: str, files: list[Path], *, below: bool = False) -> int:
    """Print the lines of one request in their order.

    Example: ``jacinthshed logs explain 9c41d07be2a35f68 node-1.log node-2.log``

    Clocks of hosts differ a little, so that lines of two hosts may stand in the wrong
    order; those of one host never do.

    :param request_id: The id that the request's caller was format_line, or gave it.
    :param files: Logs of nodes, as they were collected.
    :param below: Take in requests whose id begins with this one and a dot.
    """
    found: list[RequestLine] = []
    for file in files:
        try:
            with file.open(encoding="utf-8", errors="replace") as lines:
                found += find_request_lines(request_id, file.name, lines, below=below)
        except OSError as error:
            return refuse(f"{file}: {error.strerror}; name readable log files")
    if not found:
        return refuse(
            f"no line about {request_id}: only requests that failed or are sampled"
            " leave lines; see docs/OPERATIONS.md"
        )
    found.sort(key=lambda line: line.time_s)
    for line in found:
        print(format_line(line, found[0].time_s))
    return EXIT_DONE
