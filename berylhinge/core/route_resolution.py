"""Resolve a route and an organisation to one upstream group."""

from __future__ import annotations

from typing import NamedTuple, TYPE_CHECKING

from returns.result import Failure, Result, Success

from ..errors import make_refusal, Refusal
from ..reasons import RefusalReason
from .declaration_index import get_label_values
from .selectors import selector_matches

if TYPE_CHECKING:
    from ..types import GroupId, Labels, OrganisationId, RouteId
    from .declaration_index import DeclarationIndex, IndexedRoute


class RouteTarget(NamedTuple):
    """Describe the group that serves a request and the maximum age of its reads."""

    route: RouteId
    organisation: OrganisationId | None
    group: GroupId
    max_age_seconds: float | None


def resolve_route(
    index: DeclarationIndex, route_id: RouteId, organisation_id: OrganisationId | None
) -> Result[RouteTarget, Refusal]:
    """Resolve a route to exactly one group for an organisation, or return a refusal.

    The organisation may be None on open routes only.
    """
    route = index.routes.get(route_id)
    if route is None:
        return Failure(make_refusal(RefusalReason.UNKNOWN_ROUTE, "no such route"))
    if organisation_id is None and not route.open:
        return Failure(make_refusal(RefusalReason.MISSING_KEY, "the route needs a key"))
    labels = organisation_labels(index, organisation_id)
    if not route.open and not is_organisation_allowed(route, labels):
        detail = f"organisation {organisation_id} is not selected by the route"
        return Failure(make_refusal(RefusalReason.ROUTE_FORBIDDEN, detail))
    groups = select_groups(route, labels)
    if len(groups) != 1:
        detail = f"the route selects {len(groups)} groups instead of one"
        return Failure(make_refusal(RefusalReason.NO_UPSTREAM, detail))
    target = RouteTarget(route_id, organisation_id, groups[0], route.max_age_seconds)
    return Success(target)


def organisation_labels(
    index: DeclarationIndex, organisation_id: OrganisationId | None
) -> Labels:
    """Return the labels of an organisation, empty if it is unknown or None."""
    if organisation_id is None:
        return {}
    organisation = index.organisations.get(organisation_id)
    return organisation.get("labels", {}) if organisation else {}


def is_organisation_allowed(route: IndexedRoute, labels: Labels) -> bool:
    """Tell whether an organisation with these labels may use the route."""
    return route.organisations is not None and selector_matches(
        route.organisations, labels
    )


def select_groups(route: IndexedRoute, labels: Labels) -> tuple[GroupId, ...]:
    """Return the route's groups whose matched labels equal the organisation's."""
    return route.groups_by_labels.get(
        get_label_values(labels, route.match_organisation), ()
    )
