"""Sum up what the instances report."""

from __future__ import annotations

from typing import Any, TYPE_CHECKING

from .output import Report, report, Table

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from ..tasks.instance_inspection import InstanceReport
    from ..wire.operators import GroupStatus


def status_report(views: Sequence[InstanceReport]) -> Report:
    """Return the tables of instances, groups, upstreams and shares."""
    silent = [view for view in views if view.status is None]
    text = f"{len(views)} instances listed, {len(silent)} don't answer"
    tables = {
        "instances": instance_table(views),
        "groups": group_table(views),
        "upstreams": upstream_table(views),
        "shares": share_table(views),
    }
    return report(text, tables=tables)


def instance_table(views: Sequence[InstanceReport]) -> Table:
    """Return one row for each listed instance."""
    columns = ("instance", "place", "state", "ready", "config_version", "error")
    rows = []
    for view in views:
        status = view.status
        state = status["state"] if status else view.record["state"]
        ready = status.get("ready") if status else None
        version = status["config_version"] if status else None
        name = view.record["instance"]
        rows.append((name, view.record["place"], state, ready, version, view.error))
    return Table(columns, rows)


def group_views(
    views: Sequence[InstanceReport],
) -> Iterator[tuple[str, str, GroupStatus]]:
    """Yield group, instance and what the instance sees of the group."""
    found = [
        (name, view.record["instance"], group)
        for view in views
        if view.status
        for name, group in view.status["groups"].items()
    ]
    yield from sorted(found, key=lambda one: one[:2])


def newest_views(views: Sequence[InstanceReport]) -> dict[str, GroupStatus]:
    """Return for each group the view of the highest term."""
    newest: dict[str, GroupStatus] = {}
    for name, _, group in group_views(views):
        known = newest.get(name)
        if known is None or rank(group) > rank(known):
            newest[name] = group
    return newest


def rank(group: GroupStatus) -> tuple[int, bool, list[int]]:
    """Order views of one group by how new they are."""
    confirmed = list(group["confirmed"] or ())
    return group["term"], group["primary"] is not None, confirmed


def group_table(views: Sequence[InstanceReport]) -> Table:
    """Return one row for each group, as its newest view has it."""
    columns = ("group", "term", "primary", "confirmed", "serving")
    serving: dict[str, list[str]] = {}
    for name, instance, _ in group_views(views):
        serving.setdefault(name, []).append(instance)
    rows: list[tuple[Any, ...]] = []
    for name, group in newest_views(views).items():
        confirmed = group["confirmed"] and "/".join(map(str, group["confirmed"]))
        served_by = ",".join(serving[name])
        rows.append((name, group["term"], group["primary"], confirmed, served_by))
    return Table(columns, rows)


def upstream_table(views: Sequence[InstanceReport]) -> Table:
    """Return one row for each upstream, as the newest view has it."""
    columns = ("group", "upstream", "role", "term", "last", "lag", "reachable")
    rows: list[tuple[Any, ...]] = []
    for name, group in newest_views(views).items():
        for upstream, member in sorted(group["members"].items()):
            last = member["last"] and "/".join(map(str, member["last"]))
            seen = (member["role"], member["term"], last, lag_of(dict(member)))
            rows.append((name, upstream, *seen, member["reachable"]))
    return Table(columns, rows)


def lag_of(member: dict[str, Any]) -> str | None:
    """Return a member's lag with its unit."""
    if member.get("lag_seconds") is not None:
        return f"{member['lag_seconds']:.3f} s"
    if member.get("lag_entries") is not None:
        return f"{member['lag_entries']} entries"
    return None


def share_table(views: Sequence[InstanceReport]) -> Table:
    """Return each organisation's share by instance, and their sum."""
    sums: dict[str, list[tuple[str, float]]] = {}
    for view in views:
        if view.status:
            for organisation, share in view.status["shares"].items():
                held = (view.record["instance"], share["units"])
                sums.setdefault(organisation, []).append(held)
    rows = [
        (
            organisation,
            sum(units for _, units in held),
            ",".join(f"{name}={units:.0f}" for name, units in held),
        )
        for organisation, held in sorted(sums.items())
    ]
    return Table(("organisation", "units", "by_instance"), rows)
