"""Soak real processes with seeded faults."""

from __future__ import annotations

import sys
import tempfile
from pathlib import Path
from typing import TYPE_CHECKING

import click
import gevent

from .. import __version__
from ..platform.terms import FEATURE_TERMS
from ..soak import Fault, plan, run_faults, shrink, Soaked
from ..soak.cases import Case, read_case, write_case
from ..soak.world import DATABASES
from .output import EXIT_FAILED

if TYPE_CHECKING:
    from collections.abc import Sequence

# Broken promises that are printed of one run.
SHOWN = 5


@click.group()
@click.version_option(__version__, prog_name="berylhinge-soak")
def main() -> None:
    """Play faults against pooler processes and check what callers were promised.

    Exit codes: 0 every promise was kept, 1 one was broken, 2 misuse.
    """
    # The stand-in loses answers on purpose.
    gevent.get_hub().NOT_ERROR += (ConnectionAbortedError,)


@main.command()
@click.option("--seed", type=int, default=1, show_default=True, help="First seed.")
@click.option("--runs", type=click.IntRange(1), default=1, help="How many seeds.")
@click.option("--seconds", type=click.FloatRange(2.0), default=12.0, show_default=True)
@click.option("--instances", type=click.IntRange(2, 100), default=3, show_default=True)
@click.option(
    "--synchronous-replicas",
    type=click.IntRange(0, 2),
    default=0,
    show_default=True,
    help="Replicas that receive a commit before it is acknowledged.",
)
@click.option("--keep", type=click.Path(path_type=Path), help="Folder for failures.")
@click.option("--shrinking", is_flag=True, help="Leave out faults while a run fails.")
def run(
    seed: int,
    runs: int,
    seconds: float,
    instances: int,
    synchronous_replicas: int,
    keep: Path | None,
    shrinking: bool,
) -> None:
    """Play RUNS seeds one after the other, each a script of faults."""
    failed = 0
    for number in range(seed, seed + runs):
        # Every other seed plays a deployment that asks for all features.
        terms = FEATURE_TERMS if number % 2 else ()
        case = draw_case(number, seconds, instances, terms, synchronous_replicas)
        if play(case, keep):
            continue
        failed += 1
        if shrinking:
            case = shrunk(case)
        if keep is not None:
            write_case(case, keep / f"seed-{number}.json")
    click.echo(f"{runs} seeds, {failed} failed")
    sys.exit(EXIT_FAILED if failed else 0)


@main.command()
@click.argument("files", type=click.Path(exists=True, path_type=Path), nargs=-1)
def replay(files: tuple[Path, ...]) -> None:
    """Play kept cases again."""
    failed = [path for path in files if not play(read_case(path), None)]
    click.echo(f"{len(files)} cases, {len(failed)} failed")
    sys.exit(EXIT_FAILED if failed else 0)


def shrunk(case: Case) -> Case:
    """Return a case with as few faults as still fail."""

    def fails(faults: Sequence[Fault]) -> bool:
        return not play(case._replace(faults=tuple(faults)), None)

    return case._replace(faults=tuple(shrink(case.faults, fails)))


def draw_case(
    seed: int,
    seconds: float,
    instances: int,
    terms: tuple[str, ...],
    synchronous_replicas: int = 0,
) -> Case:
    """Return a seed's run, with the faults that the agreed terms call for."""
    planned = plan(
        seed,
        seconds=seconds,
        instances=[f"n{number}" for number in range(instances)],
        databases=DATABASES,
        has_features=bool(terms),
        is_durable=synchronous_replicas > 0,
    )
    return Case(
        seed, seconds, instances, "", tuple(planned), terms, synchronous_replicas
    )


def play(case: Case, keep: Path | None) -> bool:
    """Play a case and print what came of it; keep the logs of a failed one."""
    with tempfile.TemporaryDirectory(prefix="berylhinge-soak-") as name:
        folder = Path(name)
        try:
            found = run_faults(case, folder=folder)
        except TimeoutError as error:
            click.echo(f"seed {case.seed}: {error}")
            keep_logs(case, folder, keep)
            return False
        click.echo(summary(case, found))
        for violation in found.violations[:SHOWN]:
            click.echo(f"  {violation.promise}: {violation.detail}")
        if found.violations:
            keep_logs(case, folder, keep)
    return not found.violations


def keep_logs(case: Case, folder: Path, keep: Path | None) -> None:
    """Copy the logs of a failed run."""
    if keep is None:
        return
    keep.mkdir(parents=True, exist_ok=True)
    for log in folder.glob("*.log"):
        (keep / f"seed-{case.seed}-{log.name}").write_bytes(log.read_bytes())


def summary(case: Case, found: Soaked) -> str:
    """Return one line on a run."""
    return (
        f"seed {case.seed}: {len(case.faults)} faults, {found.operations} operations, "
        f"{found.done} done, {found.promotions} promotions, "
        f"{len(found.violations)} broken promises"
    )


if __name__ == "__main__":
    main()
