"""Provide the berylhinge-load program."""

from __future__ import annotations

import sys
from pathlib import Path

import click
import msgspec

from .. import __version__
from ..errors import BerylhingeError, DocumentError
from ..load.compare import compare_results, scalars
from ..load.documents import decode_document
from ..load.experiment import Hooks, run_experiment
from ..load.faults import FaultPorts
from ..load.fleet import FleetFile
from ..load.report import render_report
from ..load.results import Result
from ..load.scenario import decode_scenario, with_seconds
from ..load.schedule import plan
from ..load.steady import run_steady, SteadyOptions

SCENARIOS = Path(__file__).resolve().parents[1] / "load" / "scenarios"
MISUSE = 2
existing = click.Path(exists=True, dir_okay=False, path_type=Path)


@click.group()
@click.version_option(__version__, prog_name="berylhinge-load")
def main() -> None:
    """Generate load, run experiments and report them."""


def misuse(error: DocumentError) -> None:
    """Print each wrong field and end with exit code 2."""
    for field in error.fields:
        click.echo(f"load: {field}", err=True)
    sys.exit(MISUSE)


def find_scenario(name: str) -> Path:
    """Return a scenario's path, by path or by the name of a shipped one."""
    path = Path(name)
    if path.exists():
        return path
    shipped = SCENARIOS / f"{name.removesuffix('.json')}.json"
    if shipped.exists():
        return shipped
    known = ", ".join(sorted(one.stem for one in SCENARIOS.glob("*.json")))
    raise click.BadParameter(f"got {name}, expected a file or one of: {known}")


@main.command()
@click.argument("scenario", type=str)
@click.option("--fleet", "fleet_path", type=existing, required=True)
@click.option("--out", type=click.Path(dir_okay=False, path_type=Path))
@click.option("--seconds", type=click.FloatRange(min=1), help="Stretch the run.")
@click.option("--seed", type=int, help="Replace the scenario's seed.")
@click.option("--commit", default="", help="Note the commit under test.")
def run(
    scenario: str,
    fleet_path: Path,
    out: Path | None,
    seconds: float | None,
    seed: int | None,
    commit: str,
) -> None:
    """Run SCENARIO (a file or a shipped name) against the fleet of a FLEET file."""
    try:
        experiment = decode_scenario(find_scenario(scenario).read_bytes())
        fleet = decode_document(FleetFile, fleet_path.read_bytes())
    except DocumentError as error:
        misuse(error)
    if seconds is not None:
        experiment = with_seconds(experiment, seconds)
    if seed is not None:
        experiment["seed"] = seed
    ports = FaultPorts(fleet)
    length = len(plan(experiment))
    with click.progressbar(length=length, label=experiment["name"]) as bar:
        hooks = Hooks(ports.act, ports.heal, ports.count_entries, bar.update, commit)
        try:
            result = run_experiment(experiment, fleet, hooks).result
        except BerylhingeError as error:
            raise click.ClickException(str(error)) from error
    if out is not None:
        out.write_bytes(msgspec.json.format(msgspec.json.encode(result), indent=1))
    print_result(result)
    sys.exit(1 if sum(result["broken_promises"].values()) else 0)


def print_result(result: Result) -> None:
    """Print the measures, one on a line."""
    click.echo(f"replica_read_share {result['replica_read_share']:.4f} share")
    gap = result["failover_gap_ms"]
    if gap is not None:
        click.echo(f"failover_gap {gap:.0f} ms")
    click.echo(
        f"worst_organisation {result['worst_success_share']:.5f} share"
        f" {result['worst_organisation']}"
    )
    click.echo(f"wrongful_refusals {result['wrongful_refusals']} of {result['due']}")
    for promise, count in result["broken_promises"].items():
        click.echo(f"broken_promise/{promise} {count} operations")
    for reason, count in sorted(result["refusals"].items()):
        click.echo(f"refused/{reason} {count} operations")


@main.command()
@click.argument("result", type=existing)
@click.option("--out", type=click.Path(dir_okay=False, path_type=Path))
def report(result: Path, out: Path | None) -> None:
    """Render RESULT as one self-contained HTML page."""
    target = out or result.with_suffix(".html")
    try:
        page = render_report(decode_document(Result, result.read_bytes()))
    except DocumentError as error:
        misuse(error)
    except BerylhingeError as error:
        raise click.ClickException(str(error)) from error
    target.write_text(page, encoding="utf-8")
    click.echo(str(target))


@main.command()
@click.argument("old", type=existing)
@click.argument("new", type=existing)
def compare(old: Path, new: Path) -> None:
    """Compare two results and say which differences are noise."""
    try:
        before = decode_document(Result, old.read_bytes())
        after = decode_document(Result, new.read_bytes())
    except DocumentError as error:
        misuse(error)
    click.echo("measure old new low95 high95 verdict")
    for line in compare_results(before, after):
        one = line.comparison
        click.echo(
            f"{line.measure} {one.old:.4f} {one.new:.4f} {one.low:+.4f}"
            f" {one.high:+.4f} {line.verdict}"
        )
    after_scalars = scalars(after)
    for name, value in scalars(before).items():
        click.echo(f"{name} {value:.4f} {after_scalars[name]:.4f} - - one-run-each")


@main.command()
@click.option("--caller", "callers", multiple=True, required=True, help="Base URL.")
@click.option("--route", required=True)
@click.option("--key", required=True, envvar="BERYLHINGE_KEY")
@click.option("--count", type=click.IntRange(min=1), default=16, show_default=True)
@click.option("--seconds", type=click.FloatRange(min=0.1), default=10.0)
@click.option("--write-share", type=click.FloatRange(0, 1), default=0.1)
@click.option("--rate", type=click.FloatRange(min=0), default=0.0, help="0: no pause.")
@click.option("--timeout", type=click.FloatRange(min=0.01), default=5.0)
@click.option("--seed", type=int, default=1)
def steady(
    callers: tuple[str, ...],
    route: str,
    key: str,
    count: int,
    seconds: float,
    write_share: float,
    rate: float,
    timeout: float,
    seed: int,
) -> None:
    """Run COUNT callers against base URLs and print an HDR summary."""
    options = SteadyOptions(
        callers, route, key, count, seconds, write_share, timeout, rate, seed
    )
    try:
        summary = run_steady(options)
    except BerylhingeError as error:
        raise click.ClickException(str(error)) from error
    click.echo(msgspec.json.format(msgspec.json.encode(summary._asdict())).decode())


if __name__ == "__main__":
    main()
