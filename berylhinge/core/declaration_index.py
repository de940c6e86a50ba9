"""Index a declaration for fast lookups while requests are served."""

from __future__ import annotations

from typing import NamedTuple, TYPE_CHECKING

from .selectors import compile_selector, CompiledSelector, selector_matches
from .text_formats import parse_base64

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from ..types import GroupId, KeyId, Labels, OrganisationId, RouteId, UpstreamId
    from .declarations import Declaration, Group, Key, Organisation, Route, Upstream


class IndexedKey(NamedTuple):
    """Represent a key with decoded salt and hash, and the record they came from."""

    organisation: OrganisationId
    salt: bytes
    hash: bytes
    withdrawn: bool
    record: Key | None = None


class IndexedRoute(NamedTuple):
    """Represent a route with its groups by the label values matched on."""

    route: RouteId
    open: bool
    organisations: CompiledSelector | None
    match_organisation: tuple[str, ...]
    groups_by_labels: dict[tuple[str | None, ...], tuple[GroupId, ...]]
    max_age_seconds: float | None


class DeclarationIndex(NamedTuple):
    """Hold the entries of one declaration by identifier; ``members`` is by group."""

    organisations: dict[OrganisationId, Organisation]
    keys: dict[KeyId, IndexedKey]
    groups: dict[GroupId, Group]
    upstreams: dict[UpstreamId, Upstream]
    members: dict[GroupId, tuple[Upstream, ...]]
    routes: dict[RouteId, IndexedRoute]


def build_index(
    declaration: Declaration, *, previous: DeclarationIndex | None = None
) -> DeclarationIndex:
    """Index a validated declaration; reuse unchanged keys of the previous index."""
    previous_keys = previous.keys if previous else {}
    groups = {group["id"]: group for group in declaration["groups"]}
    upstreams = {upstream["id"]: upstream for upstream in declaration["upstreams"]}
    return DeclarationIndex(
        organisations={entry["id"]: entry for entry in declaration["organisations"]},
        keys={
            key["id"]: index_key(key, previous_keys)
            for key in declaration.get("keys", ())
        },
        groups=groups,
        upstreams=upstreams,
        members=index_members(groups, upstreams.values()),
        routes={
            route["id"]: index_route(route, groups.values())
            for route in declaration["routes"]
        },
    )


def index_key(key: Key, previous_keys: Mapping[KeyId, IndexedKey]) -> IndexedKey:
    """Decode a key's salt and hash, or reuse the entry of the same record object."""
    indexed = previous_keys.get(key["id"])
    if indexed is not None and indexed.record is key:
        return indexed
    return IndexedKey(
        organisation=key["organisation"],
        salt=parse_base64(key["salt"]),
        hash=parse_base64(key["hash"]),
        withdrawn=key["state"] != "granted",
        record=key,
    )


def index_members(
    groups: Iterable[GroupId], upstreams: Iterable[Upstream]
) -> dict[GroupId, tuple[Upstream, ...]]:
    """Return the upstreams of each group, ordered by identifier."""
    members: dict[GroupId, list[Upstream]] = {group: [] for group in groups}
    for upstream in upstreams:
        members.setdefault(upstream["group"], []).append(upstream)
    return {
        group: tuple(sorted(entries, key=lambda upstream: upstream["id"]))
        for group, entries in members.items()
    }


def index_route(route: Route, groups: Iterable[Group]) -> IndexedRoute:
    """Index the groups that a route selects by the label values it matches on."""
    selector = compile_selector(route["groups"])
    allowed = route.get("organisations")
    match = tuple(route.get("match_organisation", ()))
    buckets: dict[tuple[str | None, ...], list[GroupId]] = {}
    for group in groups:
        labels = group.get("labels", {})
        if selector_matches(selector, labels) and all(key in labels for key in match):
            buckets.setdefault(get_label_values(labels, match), []).append(group["id"])
    return IndexedRoute(
        route=route["id"],
        open=route.get("open", False),
        organisations=None if allowed is None else compile_selector(allowed),
        match_organisation=match,
        groups_by_labels={values: tuple(ids) for values, ids in buckets.items()},
        max_age_seconds=route.get("max_age_seconds"),
    )


def get_label_values(labels: Labels, keys: tuple[str, ...]) -> tuple[str | None, ...]:
    """Return the values of the given label keys, None for an absent label."""
    return tuple(map(labels.get, keys))
