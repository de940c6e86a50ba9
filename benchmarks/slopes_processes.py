"""Measure how real processes' idle costs grow with what they know."""

from __future__ import annotations

import os
import re
from typing import NamedTuple, TYPE_CHECKING

import gevent
from geventhttpclient import HTTPClient

from berylhinge.load.faults import exchange

from .fleet import Fleet
from .probes import load_scenario
from .series import Series

if TYPE_CHECKING:
    from berylhinge.load.scenario import Scenario

INSTANCE_SIZES = (3, 6, 9, 12)
ORGANISATION_SIZES = (8, 200, 400, 800)
GROUP_SIZES = (1, 2, 4, 6)
SETTLE_SECONDS = 4.0
WATCHED_SECONDS = 10.0
FEW_INSTANCES = 3
COUNTED = re.compile(
    r"^berylhinge_peer_(bytes|messages)_total\{[^}]*\} ([0-9.e+]+)$", re.M
)


class Idle(NamedTuple):
    """Hold the mean cost of one idle instance, and the platform's calls."""

    core_percent: float
    resident_mib: float
    peer_bytes: float
    peer_messages: float
    store_calls: float


def scenario_of(*, instances: int, groups: int, organisations: int) -> Scenario:
    """Return a fleet of a given size."""
    scenario = load_scenario("kattevakt-calm")
    first = scenario["organisations"][0]
    scenario["organisations"] = [
        first | {"organisation": f"organisation-{number}"}
        for number in range(organisations)
    ]
    scenario["fleet"] = scenario["fleet"] | {
        "instances": instances,
        "databases": [f"group-{number}" for number in range(groups)],
    }
    return scenario


def measure_idle(scenario: Scenario) -> Idle:
    """Launch a fleet, let it settle and watch it without load."""
    fleet = Fleet(scenario)
    try:
        fleet.start()
        gevent.sleep(SETTLE_SECONDS)
        before = totals(fleet)
        gevent.sleep(WATCHED_SECONDS)
        after = totals(fleet)
    finally:
        fleet.stop()
    count = len(fleet.instances)
    spent, peer_bytes, messages, calls = (
        (late - early) / WATCHED_SECONDS
        for late, early in zip(after[:4], before[:4], strict=True)
    )
    return Idle(
        100 * spent / count,
        after[4] / count / 2**20,
        peer_bytes / count,
        messages / count,
        calls,
    )


def totals(fleet: Fleet) -> tuple[float, float, float, float, float]:
    """Return processor seconds, peer bytes and messages, calls, resident bytes."""
    usages = [one.process.usage() for one in fleet.instances]
    counted = {"bytes": 0.0, "messages": 0.0}
    for instance in fleet.instances:
        for name, value in COUNTED.findall(scrape(instance.operators)):
            counted[name] += float(value)
    calls = exchange(fleet.platform["faults"], "/v1/calls")
    return (
        sum(usage.processor_seconds for usage in usages),
        counted["bytes"],
        counted["messages"],
        float(sum(count for name, count in calls.items() if name != "waiting")),
        float(sum(usage.resident_bytes for usage in usages)),
    )


def scrape(port: int) -> str:
    """Read an instance's metrics."""
    client = HTTPClient("127.0.0.1", port)
    response = client.request("GET", "/metrics")
    text = response.read().decode()
    client.close()
    return text


def series_of(driver: str, idles: dict[float, Idle]) -> list[Series]:
    """Turn the measured fleets into one series a cost."""
    named = (
        ("idle processor of an instance", "% of a core", "core_percent"),
        ("resident memory of an instance", "MiB", "resident_mib"),
        ("peer bytes in and out of an instance", "B/s", "peer_bytes"),
        ("peer messages in and out of an instance", "1/s", "peer_messages"),
        ("platform calls of the fleet", "1/s", "store_calls"),
    )
    return [
        Series(
            name,
            driver,
            unit,
            {size: getattr(one, field) for size, one in idles.items()},
        )
        for name, unit, field in named
    ]


def measure() -> list[Series]:
    """Measure against instances, groups and organisations."""
    print(
        f"machine load {os.getloadavg()[0]:.1f} of {os.cpu_count()} cores", flush=True
    )
    instances = {
        size: measure_idle(scenario_of(instances=size, groups=1, organisations=8))
        for size in INSTANCE_SIZES
    }
    groups = {
        size: measure_idle(
            scenario_of(instances=FEW_INSTANCES, groups=size, organisations=8)
        )
        for size in GROUP_SIZES
    }
    organisations = {
        size: measure_idle(
            scenario_of(instances=FEW_INSTANCES, groups=1, organisations=size)
        )
        for size in ORGANISATION_SIZES
    }
    return [
        *series_of("instances, 1 group", instances),
        *series_of("groups, 3 instances", groups),
        *series_of("organisations, 3 instances", organisations),
    ]
