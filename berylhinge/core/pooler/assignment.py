"""Choose the instance that holds a database, counts a rate or confirms declarations.

Each instance ranks all instances by rendezvous hashing, so that no agreement is needed.
Scores are cached: in a large fleet, a change of one instance must cost little. Where
instances have unequal capacity, it weighs their scores (``placement``).
"""

from __future__ import annotations

from types import MappingProxyType
from typing import NamedTuple, TYPE_CHECKING

from ..rendezvous import RankingCache
from .database_selection import holder_order
from .placement import are_equal, place_databases, placement_key

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from ...types import (
        FailureDomainId,
        InstanceId,
        OrganisationId,
        RegionId,
        UpstreamId,
    )
    from .catalogue import Database

CONFIRMER_KEY = "confirmer"


def rate_key(organisation: OrganisationId) -> str:
    """Return the key by which the instances rank for an organisation's rate."""
    return f"rate/{organisation}"


class CachedHolders(NamedTuple):
    """Cache the order of holders of a database that lies in a failure domain."""

    failure_domain: FailureDomainId
    holders: list[InstanceId]


class InstanceAssignment:
    """Assign databases and rates to the usable instances; changed in place."""

    def __init__(
        self, regions: Mapping[FailureDomainId, RegionId] = MappingProxyType({})
    ) -> None:
        """Start without instances; ``regions`` are those of the failure domains."""
        self.regions = regions
        self.rankings = RankingCache()
        self.failure_domains: dict[InstanceId, FailureDomainId] = {}
        self.holders_cache: dict[str, CachedHolders] = {}
        self.first_ranked: dict[str, InstanceId] = {}
        self.placed: dict[UpstreamId, InstanceId] = {}

    def set_instances(
        self,
        registered: Iterable[InstanceId],
        usable: Mapping[InstanceId, FailureDomainId],
        *,
        weights: Mapping[InstanceId, float] | None = None,
        databases: Iterable[Database] = (),
    ) -> None:
        """Replace the instances; unusable registered ones keep their cached scores.

        Where the ``weights`` of the instances differ, they decide the rankings, and how
        many of the ``databases`` an instance holds is bounded.
        """
        names = {*registered, *usable}
        if weights is not None:
            weights = {name: weights.get(name, 1.0) for name in names}
            weights = None if are_equal(weights) else weights
        self.rankings.set_nodes(names, weights)
        self.failure_domains = dict(usable)
        self.holders_cache.clear()
        self.first_ranked.clear()
        self.placed = {} if weights is None else self.place(weights, databases)

    def place(
        self, weights: Mapping[InstanceId, float], databases: Iterable[Database]
    ) -> dict[UpstreamId, InstanceId]:
        """Return which instance of its failure domain holds each database."""
        by_domain: dict[FailureDomainId, list[UpstreamId]] = {}
        for database in databases:
            by_domain.setdefault(database.failure_domain, []).append(database.id)
        placed: dict[UpstreamId, InstanceId] = {}
        for domain, names in by_domain.items():
            local = {
                name: weights[name]
                for name, found in self.failure_domains.items()
                if found == domain
            }
            rankings = {
                name: [
                    instance
                    for instance in self.rankings.iterate_ranking(placement_key(name))
                    if instance in local
                ]
                for name in names
            }
            placed.update(place_databases(rankings, local))
        return placed

    def holders(self, database: Database) -> list[InstanceId]:
        """Return the usable instances in the order in which they hold a database."""
        known = self.holders_cache.get(database.id)
        if known is None or known.failure_domain != database.failure_domain:
            ranked = self.rankings.iterate_ranking(placement_key(database.id))
            found = holder_order(
                ranked, self.failure_domains, database.failure_domain, self.regions
            )
            placed = self.placed.get(database.id)
            if placed is not None:
                found = [placed, *(name for name in found if name != placed)]
            known = self.holders_cache[database.id] = CachedHolders(
                database.failure_domain, found
            )
        return known.holders

    def rate_owner(self, organisation: OrganisationId) -> InstanceId:
        """Return the instance that counts an organisation's operations."""
        return self.first_ranked_for(rate_key(organisation))

    def next_rate_owner(
        self, organisation: OrganisationId, without: InstanceId
    ) -> InstanceId | None:
        """Return the instance that would count in place of another, if there is one."""
        ranked = self.rankings.iterate_ranking(rate_key(organisation))
        usable = self.failure_domains
        return next(
            (name for name in ranked if name in usable and name != without), None
        )

    def confirmer(self) -> InstanceId:
        """Return the instance that confirms the declarations for the others."""
        return self.first_ranked_for(CONFIRMER_KEY)

    def relays(self, failure_domain: FailureDomainId) -> list[InstanceId]:
        """Return each domain's relay of store changes, the given domain's first."""
        domains = sorted(set(self.failure_domains.values()))
        domains.sort(key=lambda domain: domain != failure_domain)
        return [self.relay(domain) for domain in domains]

    def relay(self, failure_domain: FailureDomainId) -> InstanceId:
        """Return the instance that relays the store's changes in a failure domain."""
        key = f"relay/{failure_domain}"
        known = self.first_ranked.get(key)
        if known is None:
            ranked = self.rankings.iterate_ranking(key)
            known = next(
                name
                for name in ranked
                if self.failure_domains.get(name) == failure_domain
            )
            self.first_ranked[key] = known
        return known

    def first_ranked_for(self, key: str) -> InstanceId:
        """Return the usable instance that ranks first for a key."""
        known = self.first_ranked.get(key)
        if known is None:
            ranked = self.rankings.iterate_ranking(key)
            known = next(name for name in ranked if name in self.failure_domains)
            self.first_ranked[key] = known
        return known
