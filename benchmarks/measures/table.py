"""The figures of all runs as CSV and as a Markdown table."""

import csv
from pathlib import Path
from typing import NamedTuple

from .summary import Summary

RANKS = (1, 2, 3, 4)
CLAIMS = (
    "not run",
    "not run, but had started",
    "may have run",
    "ran, failed below",
)


class Row(NamedTuple):
    """One run and its figures."""

    deployment: str
    case: str
    stack: str
    summary: Summary


def write_csv(rows: list[Row], path: Path) -> None:
    """Write a header and one line for each run."""
    with path.open("w", newline="") as file:
        writer = csv.writer(file, lineterminator="\n")
        writer.writerow(
            ["deployment", "case", "stack", "goodput", "wasted_share", "recovery_ms"]
            + ["attempts_per_first"]
            + [f"served_rank_{rank}" for rank in RANKS]
            + [f"ideal_rank_{rank}" for rank in RANKS]
            + list(CLAIMS)
        )
        for row in rows:
            writer.writerow(_csv_line(row))


def _csv_line(row: Row) -> list[str]:
    summary = row.summary
    figures = [summary.goodput, summary.wasted_share]
    recovery = "" if summary.recovery_ms is None else f"{summary.recovery_ms:.0f}"
    served = [summary.served_by_rank[rank] for rank in RANKS]
    ideal = [summary.ideal_by_rank[rank] for rank in RANKS]
    claims = [str(summary.claims.get(claim, 0)) for claim in CLAIMS]
    return [
        *row[:3],
        *(f"{figure:.3f}" for figure in figures),
        recovery,
        f"{summary.attempts_per_first:.3f}",
        *(f"{share:.3f}" for share in served + ideal),
        *claims,
    ]


def to_markdown(rows: list[Row]) -> str:
    """Return the Markdown table of all runs that the documentation shows."""
    lines = [
        "| deployment | case | stack | goodput | served by rank 1 / 2 / 3 / 4 "
        "| ideal by rank | wasted | recovery | attempts |",
        "|---|---|---|---|---|---|---|---|---|",
    ]
    lines += [_markdown_line(row) for row in rows]
    return "\n".join(lines) + "\n"


def _markdown_line(row: Row) -> str:
    summary = row.summary
    not_recovered = summary.recovery_ms is None
    cells = [
        *row[:3],
        f"{summary.goodput:.3f}",
        " / ".join(f"{summary.served_by_rank[rank]:.2f}" for rank in RANKS),
        " / ".join(f"{summary.ideal_by_rank[rank]:.2f}" for rank in RANKS),
        f"{summary.wasted_share:.3f}",
        "over 4 s" if not_recovered else f"{summary.recovery_ms:.0f} ms",
        f"{summary.attempts_per_first:.3f}",
    ]
    return "| " + " | ".join(cells) + " |"
