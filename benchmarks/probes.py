"""Share the small fleets and worker processes that benchmarks use."""

from __future__ import annotations

import sys
from collections import Counter
from typing import NamedTuple, TYPE_CHECKING

import msgspec
from gevent import subprocess
from hdrh.histogram import HdrHistogram

from berylhinge.load.scenario import decode_scenario
from berylhinge.load.statistics import new_histogram

from .processes import ROOT
from .worker import Outcome, Task

if TYPE_CHECKING:
    from collections.abc import Sequence

    from berylhinge.load.scenario import Scenario

SCENARIOS = ROOT / "berylhinge" / "load" / "scenarios"
UNLIMITED_PER_SECOND = 1_000_000.0


class Sample(NamedTuple):
    """Hold the answers of several workers together."""

    answered: int
    failed: Counter[str]
    per_second: float
    histogram: HdrHistogram

    def percentile_ms(self, share: float) -> float:
        """Return one latency percentile in milliseconds."""
        return self.histogram.get_value_at_percentile(share) / 1e3


def load_scenario(name: str) -> Scenario:
    """Decode a shipped scenario."""
    return decode_scenario((SCENARIOS / f"{name}.json").read_bytes())


def small_scenario(*, instances: int, slots: int = 8) -> Scenario:
    """Return a scenario of one group without delays and one unlimited caller."""
    scenario = load_scenario("kattevakt-calm")
    scenario["fleet"] = scenario["fleet"] | {
        "databases": ["rota-east"],
        "instances": instances,
        "slots": slots,
        "connections": 64,
        "connect_seconds": 0.0,
        "link_seconds": 0.0,
        "client_seconds": 0.0,
        "statement_seconds": 0.0,
        "replication_seconds": 0.0,
    }
    organisation = scenario["organisations"][0] | {
        "rate_per_second": UNLIMITED_PER_SECOND,
        "burst": UNLIMITED_PER_SECOND,
    }
    scenario["organisations"] = [organisation]
    return scenario


def run_workers(tasks: Sequence[Task]) -> Sample:
    """Run each task in a process of its own at the same time."""
    children = [
        subprocess.Popen(
            [sys.executable, "-m", "benchmarks.worker", msgspec.json.encode(task)],
            cwd=ROOT,
            stdout=subprocess.PIPE,
        )
        for task in tasks
    ]
    outcomes = [
        msgspec.json.decode(child.communicate()[0], type=Outcome) for child in children
    ]
    histogram = new_histogram()
    failed: Counter[str] = Counter()
    for outcome in outcomes:
        failed.update(outcome["failed"])
        histogram.add(HdrHistogram.decode(outcome["histogram"]))
    return Sample(
        sum(outcome["answered"] for outcome in outcomes),
        failed,
        sum(outcome["answered"] / outcome["seconds"] for outcome in outcomes),
        histogram,
    )


def print_figure(name: str, value: float, unit: str) -> None:
    """Print one figure as name, value and unit."""
    text = f"{value:.0f}" if abs(value) >= 1000 else f"{value:.4g}"
    print(f"{name} {text} {unit}", flush=True)


def statement_headers(key: str, token: str | None = None) -> dict[str, str]:
    """Return the headers of a caller's request."""
    headers = {"Authorization": f"Bearer {key}", "Content-Type": "application/json"}
    return headers | ({"Berylhinge-Session": token} if token else {})
