"""Formats the figures of the demonstration as a table."""

from .figures import RouteFigures, RunFigures

_ROW = "{:<12}{:>10}{:>18}{:>18}"


def figures_table(without_layer: RunFigures, with_layer: RunFigures) -> str:
    """Return both runs side by side: answers during the surge, and recovery time."""
    lines = [
        "Whole answers within the deadline, during the surge:",
        _ROW.format("route", "sent", "without", "with"),
    ]
    for before, after in zip(without_layer.routes, with_layer.routes, strict=True):
        lines.append(
            _ROW.format(before.route, before.sent, _share(before), _share(after))
        )
    lines.append("")
    lines.append("Time from the end of the surge until nine in ten are answered again:")
    lines.append(
        _ROW.format(
            "", "", _seconds(without_layer.recovery_s), _seconds(with_layer.recovery_s)
        )
    )
    return "\n".join(lines)


def _share(figures: RouteFigures) -> str:
    share = figures.answered / max(1, figures.sent)
    return f"{figures.answered_per_s:.1f}/s ({share:.0%})"


def _seconds(recovery_s: float | None) -> str:
    return "not in this run" if recovery_s is None else f"{recovery_s:.1f} s"
