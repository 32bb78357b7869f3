"""The table at the end of the demonstration."""

from .figures import RouteFigures, RunFigures

_ROW = "{:<12}{:>10}{:>18}{:>18}"


def figures_table(plain: RunFigures, layered: RunFigures) -> str:
    """Return both runs side by side: whole answers in the surge, and recovery."""
    lines = [
        "Whole answers within the deadline, during the surge:",
        _ROW.format("route", "sent", "without", "with"),
    ]
    for before, after in zip(plain.routes, layered.routes, strict=True):
        lines.append(
            _ROW.format(before.route, before.sent, _share(before), _share(after))
        )
    lines.append("")
    lines.append("Time from the end of the surge until nine in ten are answered again:")
    lines.append(
        _ROW.format("", "", _seconds(plain.recovery_s), _seconds(layered.recovery_s))
    )
    return "\n".join(lines)


def _share(figures: RouteFigures) -> str:
    share = figures.answered / max(1, figures.sent)
    return f"{figures.answered_per_s:.1f}/s ({share:.0%})"


def _seconds(recovery_s: float | None) -> str:
    return "not in this run" if recovery_s is None else f"{recovery_s:.1f} s"
