"""Measure how long a whole new fleet refuses after it says that it is ready."""

from __future__ import annotations

from berylhinge.load.results import BUCKET_SECONDS
from berylhinge.load.scenario import with_seconds

from .probes import load_scenario, print_figure
from .runs import run_scenario

NAME = "kattevakt-calm"
SECONDS = 16.0


def main() -> None:
    result = run_scenario(with_seconds(load_scenario(NAME), SECONDS)).result
    refusals = result["series"]["refusals"]
    refusing = [number for number, count in enumerate(refusals) if count]
    print_figure("cold_start_refusals", sum(refusals), "requests")
    last = (refusing[-1] + 1) * BUCKET_SECONDS if refusing else 0.0
    print_figure("cold_start_last_refusal", last, "s after readiness")


if __name__ == "__main__":
    main()
