"""Plan every intended send of a scenario from its seed."""

from __future__ import annotations

import random
from typing import NamedTuple, TYPE_CHECKING

from .scenario import Kind

if TYPE_CHECKING:
    from collections.abc import Iterator

    from .scenario import Mix, Organisation, Scenario

BATCH_SECONDS = 0.25


class Send(NamedTuple):
    """Plan one operation; ``roam`` in [0, 1) picks the instance, below 0 the first."""

    index: int
    at: float
    organisation: str
    route: str
    session: int
    kind: Kind
    roam: float


def plan(scenario: Scenario) -> list[Send]:
    """Return all sends in the order of their intended times."""
    sends = []
    for entry in scenario["organisations"]:
        rng = random.Random(f"{scenario['seed']}/{entry['organisation']}")
        sends += list(plan_organisation(scenario, entry, rng))
    sends.sort(key=lambda send: (send.at, send.organisation, send.index))
    return [send._replace(index=number) for number, send in enumerate(sends)]


def plan_organisation(
    scenario: Scenario, entry: Organisation, rng: random.Random
) -> Iterator[Send]:
    """Yield the sends of one organisation."""
    kinds, weights = weigh(scenario["mix"])
    routes = scenario["fleet"]["databases"]
    skew = entry.get("first_instance_share", 0.0)
    for index, at in enumerate(arrivals(entry, scenario["seconds"], rng)):
        roam = -1.0 if rng.random() < skew else rng.random()
        yield Send(
            index,
            at,
            entry["organisation"],
            rng.choice(routes),
            rng.randrange(entry["sessions"]),
            rng.choices(kinds, weights)[0],
            roam,
        )


def weigh(mix: Mix) -> tuple[list[Kind], list[float]]:
    """Return the kinds with their weights."""
    pairs = [(kind, mix[kind.value]) for kind in Kind]  # type: ignore[literal-required]
    return [kind for kind, _ in pairs], [weight for _, weight in pairs]


def arrivals(
    entry: Organisation, seconds: float, rng: random.Random
) -> Iterator[float]:
    """Yield intended times; a Poisson process is thinned from its peak rate.

    Lewis and Shedler 1979, Simulation of nonhomogeneous Poisson processes by
    thinning.
    """
    shape = entry.get("shape", "poisson")
    peak = entry["offered_per_second"] * peak_factor(entry)
    at = 0.0
    while True:
        at += rng.expovariate(peak) if shape == "poisson" else 1 / peak
        if at >= seconds:
            return
        if rng.random() * peak > entry["offered_per_second"] * factor_at(entry, at):
            continue
        yield at - at % BATCH_SECONDS if shape == "batches" else at


def peak_factor(entry: Organisation) -> float:
    """Return the greatest factor of any surge, at least 1."""
    factors = [surge["factor"] for surge in entry.get("surges", [])]
    return max([1.0, *factors])


def factor_at(entry: Organisation, at: float) -> float:
    """Return the factor in force at a moment."""
    for surge in entry.get("surges", []):
        if surge["from_seconds"] <= at < surge["to_seconds"]:
            return surge["factor"]
    return 1.0
