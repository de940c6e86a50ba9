"""Run a scenario against a fleet of its own processes."""

from __future__ import annotations

from typing import Any, TYPE_CHECKING

import gevent
from gevent import subprocess

from berylhinge.load.experiment import Hooks, Run, run_experiment
from berylhinge.load.faults import FaultPorts

from .fleet import Fleet
from .processes import ROOT

if TYPE_CHECKING:
    from berylhinge.load.scenario import Scenario


def current_commit() -> str:
    """Return the commit that is checked out."""
    command = ["git", "rev-parse", "--short", "HEAD"]
    return subprocess.check_output(command, cwd=ROOT, text=True).strip()


def run_scenario(
    scenario: Scenario,
    *,
    settle_seconds: float = 0.0,
    settings: dict[str, Any] | None = None,
) -> Run:
    """Launch a fleet, let it settle, run the scenario and end the fleet.

    Instances say that they are ready before the first rate units are minted;
    ``bench_cold_start`` measures that time, which is no part of a steady state.
    """
    fleet = Fleet(scenario, settings=settings)
    try:
        ports = FaultPorts(fleet.start())
        gevent.sleep(settle_seconds)
        hooks = Hooks(
            ports.act,
            ports.heal,
            ports.count_entries,
            lambda count: None,
            current_commit(),
        )
        return run_experiment(scenario, ports.fleet, hooks)
    finally:
        fleet.stop()
