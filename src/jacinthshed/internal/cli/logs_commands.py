"""``jacinthshed logs``: commands that read the logs of nodes."""

from pathlib import Path

import cyclopts

from ..telemetry.request_lines import RequestLine, find_request_lines, format_line
from .exit_codes import EXIT_DONE
from .output import refuse

logs_app = cyclopts.App(name="logs", help="Read the logs of nodes.")


@logs_app.command
def explain(request_id: str, files: list[Path], *, below: bool = False) -> int:
    """Print the log lines of one request in order of time.

    Example: ``jacinthshed logs explain 9c41d07be2a35f68 node-1.log node-2.log``

    Clocks of hosts differ slightly, so lines of different hosts may be out of order;
    lines of one host are always in order.

    :param request_id: The request's id, chosen by its caller or returned to it.
    :param files: Log files of nodes, as collected.
    :param below: Include nested requests, whose id starts with this one and a dot.
    """
    found: list[RequestLine] = []
    for file in files:
        try:
            with file.open(encoding="utf-8", errors="replace") as lines:
                found += find_request_lines(request_id, file.name, lines, below=below)
        except OSError as error:
            return refuse(f"{file}: {error.strerror}; pass readable log files")
    if not found:
        return refuse(
            f"no line about {request_id}: only failed requests and sampled ones"
            " are logged; see docs/OPERATIONS.md"
        )
    found.sort(key=lambda line: line.time_s)
    for line in found:
        print(format_line(line, found[0].time_s))
    return EXIT_DONE
