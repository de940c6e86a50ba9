"""Score the deployments in force and compare them with the last landed figures.

``make regression BENCH=... DEPLOYMENTS=... [QUICK=--quick]`` names the deployments in
force. Exits with 1 if a gate fails or the worth of a day falls by more
than the noise of a score.
"""

from __future__ import annotations

import json
import re
import subprocess
import sys
import tomllib
from pathlib import Path
from typing import NamedTuple

import click

LANDED_PATH = Path(__file__).parent / "landed_scores.json"
# A change of a day's worth below this is noise.
NOISE = 0.03
# Resident memory of one instance, and the part of the machine's that may be used.
INSTANCE_MEGABYTES = 46.0
MEMORY_FRACTION = 0.45
MAX_JOBS = 3
DAY_ROW = re.compile(r"^(?P<day>\S+)\s+\d+/\d+\s+\S+\s+(?P<worth>-?\d\.\d+)\s")


class DayScore(NamedTuple):
    """Hold the worth of one played day, and the rules that it broke."""

    day: str
    worth: float
    broken: str


class SiteScore(NamedTuple):
    """Hold what a score printed of a deployment."""

    name: str
    days: tuple[DayScore, ...]
    gate_passed: bool


class Comparison(NamedTuple):
    """Hold a day's worth beside the last landed one, None where there is none."""

    site: str
    day: str
    landed: float | None
    worth: float
    has_fallen: bool


def machine_memory_megabytes() -> float:
    """Return the machine's memory."""
    text = Path("/proc/meminfo").read_text()
    return int(text.split("MemTotal:")[1].split()[0]) / 1024


def count_machines(site: Path) -> int:
    """Return how many machines run an instance at the start of a day."""
    machines = tomllib.loads(site.read_text())["machines"]
    return sum(entry["count"] for entry in machines if entry["class"] == "front")


def choose_jobs(machines: int, memory_megabytes: float) -> int:
    """Return how many days to play at once."""
    fitting = memory_megabytes * MEMORY_FRACTION / (machines * INSTANCE_MEGABYTES)
    return max(1, min(MAX_JOBS, int(fitting)))


def parse_score(name: str, output: str) -> SiteScore:
    """Read the table that a score printed; the day drawn just now is left out."""
    days = []
    for line in output.splitlines():
        found = DAY_ROW.match(line)
        if found and not found["day"].startswith("fresh-"):
            broken = line.partition("BROKEN: ")[2].partition(" (")[0]
            days.append(DayScore(found["day"], float(found["worth"]), broken))
    return SiteScore(name, tuple(days), "GATE passed" in output)


def compare(score: SiteScore, landed: dict[str, float]) -> list[Comparison]:
    """Return each day beside its last landed worth."""
    return [
        Comparison(
            score.name,
            day.day,
            landed.get(day.day),
            day.worth,
            day.day in landed and landed[day.day] - day.worth > NOISE,
        )
        for day in score.days
    ]


def play_score(bench: Path, site: Path, *, quick: bool, jobs: int) -> str:
    """Play the score of one deployment and return what it printed."""
    command = [str(bench), "score", str(site), "--jobs", str(jobs)]
    command += ["--quick"] if quick else []
    command += ["--why", "Regression run"]
    done = subprocess.run(command, check=False, capture_output=True, text=True)
    return done.stdout + done.stderr


@click.command()
@click.argument("bench", type=click.Path(exists=True, path_type=Path))
@click.argument("sites", type=click.Path(exists=True, path_type=Path), nargs=-1)
@click.option("--quick", is_flag=True, help="Play the light days only.")
def main(bench: Path, sites: tuple[Path, ...], quick: bool) -> None:
    """Score deployments one after the other and print a table."""
    landed = json.loads(LANDED_PATH.read_text())
    memory = machine_memory_megabytes()
    failed = False
    for site in sites:
        jobs = choose_jobs(count_machines(site), memory)
        output = play_score(bench, site, quick=quick, jobs=jobs)
        score = parse_score(site.stem, output)
        for row in compare(score, landed.get(site.stem, {})):
            before = "   -  " if row.landed is None else f"{row.landed:.3f}"
            mark = "  FALLEN" if row.has_fallen else ""
            click.echo(f"{row.site:32} {row.day:10} {before} {row.worth:.3f}{mark}")
            failed |= row.has_fallen
        gate = "passed" if score.gate_passed else "FAILED"
        click.echo(f"{score.name:32} gate {gate}, {jobs} at a time")
        failed |= not score.gate_passed
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
