"""Place databases on instances of unequal capacity, with a bound for each instance.

Weighted rendezvous hashing ranks the instances for each database. An instance holds at
most its share of the databases of its failure domain, rounded up with some slack
(bounded loads; Mirrokni, Thorup and Zadimoghaddam, 2016); a database that it has no
room for goes to the next instance in the database's ranking.
"""

from __future__ import annotations

from math import ceil
from typing import TYPE_CHECKING

from ..rendezvous import score_node

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from ...types import InstanceId, UpstreamId

# Bandwidth that a core can fill with statements and rows of about 1 kB, each received
# and sent on once; a slower link limits what the instance can hold.
MBPS_PER_CORE = 20.0
# An instance may hold this factor of its share. A larger one moves fewer databases when
# instances change; a smaller one is more even.
LOAD_FACTOR = 1.25


def instance_weight(processor_cores: float, bandwidth_mbps: float) -> float:
    """Return an instance's capacity, in cores."""
    return min(processor_cores, bandwidth_mbps / MBPS_PER_CORE)


def are_equal(weights: Mapping[InstanceId, float]) -> bool:
    """Tell whether all instances have the same capacity."""
    return len(set(weights.values())) <= 1


def placement_key(database: UpstreamId) -> str:
    """Return the key by which instances are ranked for a database."""
    return f"holder/{database}"


def place_databases(
    rankings: Mapping[UpstreamId, Sequence[InstanceId]],
    weights: Mapping[InstanceId, float],
) -> dict[UpstreamId, InstanceId]:
    """Return the holder of each database of one failure domain.

    ``rankings`` has for each database the usable instances of its failure domain, and
    ``weights`` the capacity of each. Each database is offered to its instances in turn;
    an instance keeps those that score highest for it (deferred acceptance; Gale and
    Shapley, 1962), so the result does not depend on the order of the offers, and a
    change of one instance or database moves few others.
    """
    limits = _load_limits(len(rankings), weights)
    next_rank = dict.fromkeys(rankings, 0)
    held: dict[InstanceId, list[tuple[float, UpstreamId]]] = {
        name: [] for name in weights
    }
    unplaced = [name for name, ranked in rankings.items() if ranked]
    while unplaced:
        database = unplaced.pop()
        rank = next_rank[database]
        if rank >= len(rankings[database]):
            continue
        next_rank[database] = rank + 1
        instance = rankings[database][rank]
        score = score_node(instance, placement_key(database), weight=weights[instance])
        kept = sorted([*held[instance], (score, database)], reverse=True)
        unplaced += [name for _, name in kept[limits[instance] :]]
        held[instance] = kept[: limits[instance]]
    return {
        database: instance for instance, kept in held.items() for _, database in kept
    }


def _load_limits(
    databases: int, weights: Mapping[InstanceId, float]
) -> dict[InstanceId, int]:
    """Return how many databases each instance may hold; together enough for all."""
    total = sum(weights.values())
    return {
        name: ceil(LOAD_FACTOR * databases * weight / total)
        for name, weight in weights.items()
    }
