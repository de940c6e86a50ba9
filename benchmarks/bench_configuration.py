"""Compare ways to spread a new version on a virtual clock.

Prints ``name value unit`` lines: time until it is in force everywhere, calls that
wait at the store, peer messages for one change, and calls around an outage.
"""

from __future__ import annotations

import statistics
from typing import NamedTuple

from berylhinge.core import configuration_sync
from berylhinge.core.configuration_sync import PullSucceeded
from properties.adoption_fleet import AdoptionFleet

SIZES = (7, 200, 2_000)
SEEDS = (1, 2, 3)
LOST = 0.05
SETTLE_SECONDS = 2.0
LIMIT_SECONDS = 200.0
STEP_SECONDS = 0.02
OUTAGE_SECONDS = 12.0


class Way(NamedTuple):
    """Set the constants of one way to spread versions."""

    name: str
    watchers: int
    fanout: int
    heard: bool


WAYS = (
    Way("watch_each", 10**9, 0, False),
    Way("poll_each", 1, 0, False),
    Way("few_watch_probes_tell", 3, 0, True),
    Way("few_watch_rumour_2", 3, 2, True),
    Way("few_watch_rumour_4", 3, 4, True),
    Way("few_watch_rumour_8", 3, 8, True),
)


def report(name: str, value: float, unit: str) -> None:
    """Print one figure."""
    print(f"{name} {value:.3f} {unit}", flush=True)


def spread(way: Way, size: int, seed: int) -> tuple[float, int, float]:
    """Return the time to be in force, calls that wait, and messages an instance."""
    configuration_sync.WATCHER_COUNT = way.watchers
    configuration_sync.ANNOUNCE_FANOUT = way.fanout
    fleet = AdoptionFleet(size, seed=seed, loss_fraction=LOST, version=1)
    if not way.heard:
        fleet.probe = lambda name: None  # type: ignore[method-assign]
    spread_polls(fleet)
    fleet.run(SETTLE_SECONDS)
    waiting = len(fleet.open_watches)
    before = pulls_and_news(fleet)
    fleet.store_version(2)
    while fleet.count_behind(2) and fleet.now < SETTLE_SECONDS + LIMIT_SECONDS:
        fleet.run(fleet.now + STEP_SECONDS)
    messages = (pulls_and_news(fleet) - before) / size
    return fleet.now - SETTLE_SECONDS, waiting, messages


def spread_polls(fleet: AdoptionFleet) -> None:
    """Give each instance a random moment for its next poll."""
    for name, state in fleet.states.items():
        if not state.is_watcher:
            due = fleet.rng.uniform(0.0, configuration_sync.STORE_POLL_SECONDS)
            fleet.states[name] = state._replace(next_store_read_at=due)


def pulls_and_news(fleet: AdoptionFleet) -> int:
    """Count the answered pulls and the news, without what probes tell anyway."""
    return fleet.sent[PullSucceeded.__name__] + fleet.announced


def restart_all(size: int) -> None:
    """Count the store's calls when all start anew in an outage that then ends."""
    fleet = AdoptionFleet(size, seed=8, loss_fraction=0.0, version=1)
    watchers = fleet.watchers
    original = configuration_sync.choose_watchers
    configuration_sync.choose_watchers = lambda instances: watchers
    fleet.store_up = False
    for name in fleet.names:
        fleet.restart(name)
    fleet.run(OUTAGE_SECONDS)
    fleet.store_up = True
    fleet.run(2 * OUTAGE_SECONDS)
    configuration_sync.choose_watchers = original
    report(f"restart_all_{size}_peak", max(fleet.store_calls.values()), "calls/s")
    report(f"restart_all_{size}_behind", fleet.count_behind(1), "instances")


def main() -> None:
    """Print all figures."""
    defaults = configuration_sync.WATCHER_COUNT, configuration_sync.ANNOUNCE_FANOUT
    for way in WAYS:
        for size in SIZES:
            runs = [spread(way, size, seed) for seed in SEEDS]
            prefix = f"{way.name}_{size}"
            times = [run[0] for run in runs]
            report(f"{prefix}_in_force_median", statistics.median(times), "s")
            report(f"{prefix}_in_force_max", max(times), "s")
            report(f"{prefix}_waiting", runs[0][1], "calls")
            report(f"{prefix}_messages", runs[0][2], "messages/instance")
    configuration_sync.WATCHER_COUNT, configuration_sync.ANNOUNCE_FANOUT = defaults
    restart_all(SIZES[-1])


if __name__ == "__main__":
    main()
