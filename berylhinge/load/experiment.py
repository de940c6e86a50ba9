"""Run one scenario against a fleet and return its result."""

from __future__ import annotations

from typing import NamedTuple, TYPE_CHECKING

import gevent

from ..errors import BerylhingeError
from .checker import check
from .client import Balancer
from .driver import Driver, Knobs
from .results import allowances_of, Event, summarise
from .schedule import plan
from .verify import create_tables, read_final

if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import TypeAlias

    from .fleet import FleetFile
    from .records import FinalState, Operation
    from .results import Result
    from .scenario import Fault, Scenario

    Act: TypeAlias = Callable[[Fault], str]
    CountEntries: TypeAlias = Callable[[str], dict[str, int] | None]

SETUP_SECONDS = 30.0
SETTLE_SECONDS = 1.0
READ_BACK_SECONDS = 30.0


class MissingKeyError(BerylhingeError):
    """Tell that the fleet grants no key to an organisation of the scenario."""


class Hooks(NamedTuple):
    """Hold what a run does besides sending: faults, healing, ledgers, progress."""

    act: Act
    heal: Callable[[], None]
    count_entries: CountEntries
    progress: Callable[[int], object]
    commit: str = ""
    settle_seconds: float = SETTLE_SECONDS


class Run(NamedTuple):
    """Hold a result with the records behind it."""

    result: Result
    operations: list[Operation]


def run_experiment(scenario: Scenario, fleet: FleetFile, hooks: Hooks) -> Run:
    """Set up, send, inject faults, read back and check."""
    check_keys(scenario, fleet)
    timeout = scenario["timeout_seconds"]
    balancer = Balancer(fleet["callers"], fleet["operators"], timeout_seconds=timeout)
    try:
        return run_with(balancer, scenario, fleet, hooks)
    finally:
        balancer.close()


def check_keys(scenario: Scenario, fleet: FleetFile) -> None:
    """Check that every organisation has a key; raise MissingKeyError."""
    for entry in scenario["organisations"]:
        name = entry["organisation"]
        if name not in fleet["keys"]:
            known = ", ".join(sorted(fleet["keys"]))
            raise MissingKeyError(
                f"{name}: got no key, expected one of {known}; grant one"
            )


def run_with(
    balancer: Balancer, scenario: Scenario, fleet: FleetFile, hooks: Hooks
) -> Run:
    """Run over one balancer."""
    routes = scenario["fleet"]["databases"]
    key = fleet["keys"][scenario["organisations"][0]["organisation"]]
    for route in routes:
        create_tables(balancer, route, key, within_seconds=SETUP_SECONDS)
    knobs = Knobs(
        scenario["timeout_seconds"],
        scenario["max_age_seconds"],
        scenario["fleet"]["client_seconds"],
        scenario["seed"],
    )
    driver = Driver(balancer, fleet["keys"], knobs)
    events: list[Event] = []
    orders = [
        gevent.spawn_later(fault["at_seconds"], carry_out, driver, fault, hooks, events)
        for fault in scenario["faults"]
    ]
    driver.run(plan(scenario), hooks.progress)
    gevent.joinall(orders, raise_error=True)
    hooks.heal()
    gevent.sleep(hooks.settle_seconds)
    finals = read_back(balancer, routes, key, hooks)
    violations = check(
        driver.operations,
        finals,
        allowances_of(scenario),
        max_age_seconds=scenario["max_age_seconds"],
    )
    result = summarise(
        scenario,
        driver.operations,
        violations,
        events,
        late_seconds=driver.late_seconds,
        commit=hooks.commit,
    )
    return Run(result, driver.operations)


def carry_out(driver: Driver, fault: Fault, hooks: Hooks, events: list[Event]) -> None:
    """Inject one fault and note when it had been done."""
    at = driver.now()
    note = hooks.act(fault)
    events.append(
        Event(
            at_seconds=at,
            action=fault["action"],
            target=fault.get("target", ""),
            note=note,
        )
    )


def read_back(
    balancer: Balancer, routes: list[str], key: str, hooks: Hooks
) -> dict[str, FinalState]:
    """Read every route's contents and its primary's log back."""
    return {
        route: read_final(
            balancer,
            route,
            key,
            entries=hooks.count_entries(route),
            within_seconds=READ_BACK_SECONDS,
        )
        for route in routes
    }
