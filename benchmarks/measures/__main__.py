"""Run the simulated cases and write a CSV file, a Markdown table and a plot."""

from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import NamedTuple

import cyclopts

from .case import CASES
from .deployment import DEPLOYMENTS
from .plot import write_plot
from .stack import BASELINES, FULL, STACKS
from .summary import summarize
from .table import Row, to_markdown, write_csv
from .world import World

ABLATION_DEPLOYMENT = "pampa"
ABLATION_CASES = ("demand 2x", "demand 10x", "deepest 10x slower")


class Job(NamedTuple):
    """Names and seed of one run."""

    deployment: str
    case: str
    stack: str
    seed: int


def all_jobs(seed: int) -> list[Job]:
    """Return every run of the table.

    Stacks with one mechanism off run only ``ABLATION_CASES``, on
    ``ABLATION_DEPLOYMENT``.
    """
    jobs = []
    for deployment in DEPLOYMENTS:
        for case in CASES:
            ablation = deployment == ABLATION_DEPLOYMENT and case.name in ABLATION_CASES
            stacks = STACKS if ablation else (FULL, *BASELINES)
            jobs += [Job(deployment, case.name, s.name, seed) for s in stacks]
    return jobs


def run_job(job: Job) -> Row:
    """Run one case to its end and return its figures."""
    world = World(
        deployment=DEPLOYMENTS[job.deployment],
        case=next(case for case in CASES if case.name == job.case),
        stack=next(stack for stack in STACKS if stack.name == job.stack),
        seed=job.seed,
    )
    return Row(*job[:3], summarize(world, world.run()))


def main(
    *,
    out: Path,
    seed: int = 1,
    jobs: int = 2,
    deployment: str = "",
    case: str = "",
    stack: str = "",
) -> None:
    """Simulate the cases and write the figures of all runs.

    Parameters
    ----------
    out
        Directory for ``measures.csv``, ``measures.md`` and ``measures.svg``.
    seed
        Seed of every run.
    jobs
        Number of runs at the same time.
    deployment
        Only runs of this deployment; all if empty.
    case
        Only runs of this case, as "demand 2x"; all if empty.
    stack
        Only runs of this stack, as "jacinthshed" or "no layer"; all if empty.
    """
    out.mkdir(parents=True, exist_ok=True)
    filters = (deployment, case, stack)
    chosen = [job for job in all_jobs(seed) if _matches(job, filters)]
    with ProcessPoolExecutor(jobs) as pool:
        rows = list(pool.map(run_job, chosen))
    write_csv(rows, out / "measures.csv")
    table = to_markdown(rows)
    (out / "measures.md").write_text(table)
    write_plot(rows, out / "measures.svg")
    print(table, end="")


def _matches(job: Job, filters: tuple[str, ...]) -> bool:
    return all(
        name in ("", job_name) for name, job_name in zip(filters, job, strict=False)
    )


if __name__ == "__main__":
    cyclopts.run(main)
