"""A plot of goodput by case and stack."""

from pathlib import Path

from .table import Row

BAR_WIDTH = 0.27
STACKS_SHOWN = ("jacinthshed", "fixed limits", "no layer")


def write_plot(rows: list[Row], path: Path) -> None:
    """Write an SVG file with one panel for each deployment."""
    # Imported here so that the runs don't require matplotlib.
    import matplotlib

    matplotlib.use("svg")
    from matplotlib import pyplot

    pyplot.rcParams["svg.hashsalt"] = "jacinthshed"
    deployments = list(dict.fromkeys(row.deployment for row in rows))
    figure, axes = pyplot.subplots(
        len(deployments), figsize=(10, 4 * len(deployments)), squeeze=False
    )
    for axis, deployment in zip(axes[:, 0], deployments, strict=True):
        _draw(axis, [row for row in rows if row.deployment == deployment])
        axis.set_title(deployment)
    figure.tight_layout()
    figure.savefig(path, metadata={"Date": None})


def _draw(axis, rows: list[Row]) -> None:
    cases = list(dict.fromkeys(row.case for row in rows))
    for number, stack in enumerate(STACKS_SHOWN):
        goodput = {row.case: row.summary.goodput for row in rows if row.stack == stack}
        x_positions = [index + number * BAR_WIDTH for index in range(len(cases))]
        axis.bar(
            x_positions, [goodput.get(c, 0.0) for c in cases], BAR_WIDTH, label=stack
        )
    axis.set_xticks([index + BAR_WIDTH for index in range(len(cases))], cases)
    axis.tick_params(axis="x", labelsize=8)
    axis.set_ylabel("goodput, share of the omniscient figure")
    axis.axhline(1.0, color="grey", linewidth=0.5)
    axis.legend(fontsize=8)
