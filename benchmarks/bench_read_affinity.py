"""Compare reads that keep to few databases with reads that are spread at random.

A model of one service whose databases have fewer connections than there are
organisations. All choosers act on a report of the queues that is up to 0.3 s old.
"""

from __future__ import annotations

from heapq import heappop, heappush
from random import Random
from typing import NamedTuple

from berylhinge.core.pooler.catalogue import Quota
from berylhinge.core.pooler.connection_pool import IdleConnection
from berylhinge.core.pooler.connection_uses import (
    choose_victim,
    ConnectionUses,
    record_use,
)
from berylhinge.core.pooler.read_affinity import arrange_organisations, choose_by_arc

DATABASES = 3
OPEN_SECONDS = 0.012
REPORT_SECONDS = 0.3
SECONDS = 30.0
GOAL_SECONDS = 0.2
SEEDS = (1, 2)
LOADS = (0.5, 0.7, 0.8)
# Demand for each unit of the declared rate, as the sigma of a log-normal distribution.
SIGMAS = (0.0, 0.5, 1.0)


class Setting(NamedTuple):
    """Describe the databases of a service and its organisations."""

    organisations: int
    connections: int
    slots: int
    run_seconds: float


SETTINGS = (
    Setting(74, 25, 2, 0.011),
    Setting(85, 52, 4, 0.013),
    Setting(71, 43, 6, 0.034),
)


class ModelDatabase:
    """Hold the slots and the connections of one database; changed in place."""

    def __init__(self, setting: Setting) -> None:
        """Start idle, without connections."""
        self.setting = setting
        self.free_at = [0.0] * setting.slots
        self.idle: dict[int, IdleConnection] = {}
        self.ending: list[tuple[float, int, str]] = []
        self.uses = ConnectionUses()
        self.opened = 0
        self.held = 0

    def backlog(self, now: float) -> float:
        """Return for how long the slots are taken."""
        return sum(max(0.0, at - now) for at in self.free_at) / self.setting.slots

    def run(self, organisation: str, seconds: float, now: float) -> float:
        """Run a read when a slot is free, and return when it ends."""
        record_use(self.uses, organisation, now)
        start = max(now, heappop(self.free_at))
        while self.ending and self.ending[0][0] <= start:
            at, number, owner = heappop(self.ending)
            self.idle[number] = IdleConnection(number, owner, {}, frozenset(), at)
        own = [
            entry for entry in self.idle.values() if entry.organisation == organisation
        ]
        if own:
            number = own[-1].number
            del self.idle[number]
        else:
            self.opened += 1
            number = self.opened
            seconds += OPEN_SECONDS
            if self.held >= self.setting.connections:
                del self.idle[choose_victim(self.uses, list(self.idle.values()), start)]
            else:
                self.held += 1
        heappush(self.free_at, start + seconds)
        heappush(self.ending, (start + seconds, number, organisation))
        return start + seconds


def level_shares(backlogs: list[float], arrivals: float) -> list[float]:
    """Return the shares that bring all queues to one length."""
    level = (sum(backlogs) + arrivals) / len(backlogs)
    parts = [max(0.02, level - backlog) for backlog in backlogs]
    return [part / sum(parts) for part in parts]


def run_model(
    setting: Setting, load: float, seed: int, *, sigma: float, has_arcs: bool
) -> tuple[float, list[float]]:
    """Return the share of reads that opened a connection, and the sorted latencies."""
    rng = Random(seed)
    names = [f"o{seed}-{place}" for place in range(setting.organisations)]
    quotas = {
        name: Quota(100.0 / (place + 1) ** 0.9, 1.0) for place, name in enumerate(names)
    }
    demands = [quotas[name].rate * rng.lognormvariate(0.0, sigma) for name in names]
    arcs = arrange_organisations(quotas)
    databases = [ModelDatabase(setting) for _ in range(DATABASES)]
    rate = load * DATABASES * setting.slots / setting.run_seconds
    shares, reported_at, now = [1.0 / DATABASES] * DATABASES, 0.0, 0.0
    latencies = []
    for _ in range(int(rate * SECONDS)):
        now += rng.expovariate(rate)
        if now - reported_at > REPORT_SECONDS:
            reported_at = now
            arrivals = load * DATABASES * (REPORT_SECONDS / 2 + 0.1)
            shares = level_shares([each.backlog(now) for each in databases], arrivals)
        name = rng.choices(names, demands)[0]
        if has_arcs:
            index = choose_by_arc(shares, arcs[name], rng)
        else:
            index = rng.choices(range(DATABASES), shares)[0]
        seconds = rng.gammavariate(4.0, setting.run_seconds / 4.0)
        latencies.append(databases[index].run(name, seconds, now) - now)
    latencies.sort()
    return sum(each.opened for each in databases) / len(latencies), latencies


def describe(setting: Setting, load: float, *, sigma: float, has_arcs: bool) -> str:
    """Return one cell of the table: opened, p50 and p99 in ms, late; by seed."""
    cells = []
    for seed in SEEDS:
        opened, found = run_model(setting, load, seed, sigma=sigma, has_arcs=has_arcs)
        late = sum(each > GOAL_SECONDS for each in found) / len(found)
        p50, p99 = found[len(found) // 2], found[len(found) * 99 // 100]
        cells.append(f"{opened:.0%}, {p50 * 1e3:.0f} / {p99 * 1e3:.0f}, {late:.1%}")
    return "; ".join(cells)


def main() -> None:
    """Print the table."""
    print("| setting | load | at random |", *(f"arcs, {sigma} |" for sigma in SIGMAS))
    for setting in SETTINGS:
        for load in LOADS:
            cells = [describe(setting, load, sigma=0.0, has_arcs=False)]
            cells += [
                describe(setting, load, sigma=sigma, has_arcs=True) for sigma in SIGMAS
            ]
            name = f"{setting.organisations} on {setting.connections}"
            print(f"| {name} | {load:.0%} |", " | ".join(cells), "|", flush=True)


if __name__ == "__main__":
    main()
