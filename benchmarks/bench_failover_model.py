"""Compare ways of failing over on virtual time; all figures are of a model.

The detection of this design runs its cores; links, lags and leases are drawn.
"""

from __future__ import annotations

from random import Random
from typing import NamedTuple

from properties.group_clock import Faults, Watch

RUNS = 200
LINK_SECONDS = 0.001
WRITE_EVERY_SECONDS = 0.002
LAG_SECONDS = 0.003
FAULT_AT_SECONDS = 5.0
FAULT_SPREAD_SECONDS = 1.0
HORIZON_SECONDS = 8.0
LEASE_SECONDS = 3.0
LEASE_RENEWALS = 3
PAUSE_LIMIT_SECONDS = 4.0
STORE_SECONDS = 0.005
STORE_OUTAGE_SHARE = 0.05
STORE_OUTAGE_SECONDS = 60.0


class Write(NamedTuple):
    """Say when a write is applied and when each replica has it."""

    applied_at: float
    replicated_at: tuple[float, float]

    @property
    def on_majority_at(self) -> float:
        """Return when the first replica has it."""
        return min(self.replicated_at)


class Failover(NamedTuple):
    """Hold one run's fault, detection and writes."""

    fault_at: float
    decided_at: float
    writes: tuple[Write, ...]
    cut: bool


class Result(NamedTuple):
    """Hold one design's outcome of one run.

    ``read_gap_seconds`` is none where replicas serve reads meanwhile: the model
    says nothing about those.
    """

    write_gap_seconds: float
    lost: int
    read_gap_seconds: float | None = None


def draw_writes(rng: Random, until: float) -> tuple[Write, ...]:
    writes = []
    heads = [0.0, 0.0]
    at = 0.0
    while at < until:
        for place in (0, 1):
            lag = LINK_SECONDS + rng.expovariate(1 / LAG_SECONDS)
            heads[place] = max(heads[place], at + lag)
        writes.append(Write(at, (heads[0], heads[1])))
        at += WRITE_EVERY_SECONDS
    return tuple(writes)


def draw(seed: int, *, cut: bool) -> Failover:
    rng = Random(seed)
    fault_at = FAULT_AT_SECONDS + rng.uniform(0.0, FAULT_SPREAD_SECONDS)
    faults = Faults(loss=0.01, dead_at=None if cut else fault_at)
    faults = faults._replace(cut_at=fault_at if cut else None)
    watch = Watch(faults, seed=seed, until=HORIZON_SECONDS).run()
    writes = draw_writes(rng, HORIZON_SECONDS if cut else fault_at)
    return Failover(fault_at, watch.lost[0][0], writes, cut)


def survivors(run: Failover) -> set[float]:
    """Return the writes on the most advanced replica when replication stops."""
    logs = [
        {one.applied_at for one in run.writes if arrival(one, place) <= run.fault_at}
        for place in (0, 1)
    ]
    return max(logs, key=len)


def arrival(write: Write, place: int) -> float:
    return write.replicated_at[place]


def resumed_after(started_at: float) -> float:
    """Fence, promote and the first write's way to a majority, one round trip each."""
    return started_at + 3 * 2 * LINK_SECONDS + LAG_SECONDS


def this_design(run: Failover, rng: Random) -> Result:
    kept = survivors(run)
    acknowledged = [
        one for one in run.writes if one.on_majority_at + LINK_SECONDS <= run.fault_at
    ]
    lost = sum(one.applied_at not in kept for one in acknowledged)
    gap = resumed_after(run.decided_at) - run.fault_at
    return Result(gap, lost)


def primary_only_reads(run: Failover, rng: Random) -> Result:
    result = this_design(run, rng)
    return result._replace(read_gap_seconds=result.write_gap_seconds)


def acknowledge_at_primary(run: Failover, rng: Random) -> Result:
    kept = survivors(run)
    fenced_at = run.decided_at + LINK_SECONDS
    told = [one for one in run.writes if one.applied_at <= fenced_at]
    lost = sum(one.applied_at not in kept for one in told)
    gap = resumed_after(run.decided_at) - run.fault_at
    if run.cut:
        gap = resumed_after(run.decided_at) - fenced_at
    return Result(gap, lost)


def store_lease(run: Failover, rng: Random) -> Result:
    """Lead while a lease is believed; a pause hides its lapse from the holder."""
    kept = survivors(run)
    renewed = run.fault_at - rng.uniform(0.0, LEASE_SECONDS / LEASE_RENEWALS)
    lapsed = renewed + LEASE_SECONDS
    if rng.random() < STORE_OUTAGE_SHARE:
        lapsed += rng.uniform(0.0, STORE_OUTAGE_SECONDS)
    taken = lapsed + STORE_SECONDS
    believed = renewed + LEASE_SECONDS + rng.uniform(0.0, PAUSE_LIMIT_SECONDS)
    stop = believed if run.cut else run.fault_at
    told = [one for one in run.writes if one.applied_at <= stop]
    lost = sum(one.applied_at not in kept for one in told)
    gap = taken + 2 * 2 * LINK_SECONDS - run.fault_at
    return Result(gap, lost)


DESIGNS = {
    "this_design": this_design,
    "store_lease": store_lease,
    "acknowledge_at_primary": acknowledge_at_primary,
    "primary_only_reads": primary_only_reads,
}


def percentile(values: list[float], share: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def report(name: str, fault: str, results: list[Result]) -> None:
    gaps = [one.write_gap_seconds * 1000 for one in results]
    reads = [one.read_gap_seconds for one in results if one.read_gap_seconds]
    head = f"model_{fault}_{name}"
    print(f"{head}_write_gap_p50 {percentile(gaps, 0.5):.0f} ms")
    print(f"{head}_write_gap_p99 {percentile(gaps, 0.99):.0f} ms")
    print(f"{head}_write_gap_max {max(gaps):.0f} ms")
    if reads:
        print(f"{head}_read_gap_p50 {percentile(reads, 0.5) * 1000:.0f} ms")
    print(f"{head}_lost_acknowledged {sum(one.lost for one in results)} writes")


def main() -> None:
    for fault, cut in (("dead", False), ("cut", True)):
        runs = [draw(seed, cut=cut) for seed in range(RUNS)]
        for name, design in DESIGNS.items():
            rng = Random(name)
            report(name, fault, [design(run, rng) for run in runs])


if __name__ == "__main__":
    main()
