"""Keep statements within the home regions of their route and organisation."""

from __future__ import annotations

from typing import NamedTuple, TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from ...types import (
        FailureDomainId,
        InstanceId,
        OrganisationId,
        RegionId,
        UpstreamId,
    )
    from .catalogue import Database, Declarations, Route


class Homes(NamedTuple):
    """Describe where a statement may go: only to the ``regions``, anywhere if None."""

    regions: frozenset[RegionId] | None
    domain_regions: Mapping[FailureDomainId, RegionId]

    def includes(self, failure_domain: FailureDomainId | None) -> bool:
        """Tell whether a statement may go to a failure domain.

        One whose region is not known is no home.
        """
        if self.regions is None:
            return True
        return self.domain_regions.get(failure_domain or "") in self.regions


ANYWHERE = Homes(None, {})


def homes_of(
    declarations: Declarations,
    route: Route,
    organisation: OrganisationId,
    domain_regions: Mapping[FailureDomainId, RegionId],
) -> Homes:
    """Return where a statement may go; both bind where both declare homes."""
    declared = declarations.homes.get(organisation, frozenset())
    if not route.homes and not declared:
        return ANYWHERE
    do_both_declare = route.homes and declared
    regions = route.homes & declared if do_both_declare else route.homes | declared
    return Homes(regions, domain_regions)


def home_holders(
    holders: Iterable[InstanceId],
    homes: Homes,
    failure_domains: Mapping[InstanceId, FailureDomainId],
    own_instance: InstanceId,
) -> list[InstanceId]:
    """Return the holders that a statement may be sent to, or that is here already."""
    return [
        name
        for name in holders
        if name == own_instance or homes.includes(failure_domains.get(name))
    ]


def has_no_home(
    databases: Mapping[UpstreamId, Database],
    service: str,
    leader: Database | None,
    homes: Homes,
    *,
    reads_replicas: bool,
) -> bool:
    """Tell whether no database that could run a statement lies in its homes.

    While no primary is known, one of the databases in the homes may take over.
    """
    if homes.regions is None:
        return False
    at_home = [
        database
        for database in databases.values()
        if database.service == service and homes.includes(database.failure_domain)
    ]
    if reads_replicas or leader is None:
        return not at_home
    return not homes.includes(leader.failure_domain)
