"""Compare declarations and check changes of group members between two versions."""

from __future__ import annotations

from typing import Any, NamedTuple, TYPE_CHECKING

import msgspec

from ..errors import FieldError

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ..types import GroupId, UpstreamId
    from .declarations import Declaration, Upstream

DECLARATION_SECTIONS = ("organisations", "keys", "groups", "upstreams", "routes")
CONCEALED_FIELDS = ("salt", "hash")


class FieldDifference(NamedTuple):
    """Describe one changed field; a side is None if the field is absent there."""

    path: str
    before: str | None
    after: str | None


def diff_declarations(
    before: Declaration, after: Declaration
) -> tuple[FieldDifference, ...]:
    """Return every changed field, ordered by section and identifier."""
    found: list[FieldDifference] = []
    for section in DECLARATION_SECTIONS:
        old = index_entries(before, section)
        new = index_entries(after, section)
        for name in sorted(old.keys() | new.keys()):
            path = f"{section}.{name}"
            found += diff_entries(path, old.get(name, {}), new.get(name, {}))
    return tuple(found)


def index_entries(declaration: Declaration, section: str) -> dict[str, dict[str, Any]]:
    """Return a section's entries by identifier."""
    entries: Any = declaration.get(section, ())
    return {entry["id"]: entry for entry in entries}


def diff_entries(
    path: str, old: dict[str, Any], new: dict[str, Any]
) -> Iterator[FieldDifference]:
    """Yield the fields in which two entries differ."""
    for field in sorted(old.keys() | new.keys()):
        before = format_field(field, old)
        after = format_field(field, new)
        if old.get(field) != new.get(field):
            yield FieldDifference(f"{path}.{field}", before, after)


def format_field(field: str, entry: dict[str, Any]) -> str | None:
    """Return a field as JSON; salts and hashes are concealed."""
    if field not in entry:
        return None
    if field in CONCEALED_FIELDS:
        return "(concealed)"
    return msgspec.json.encode(entry[field]).decode()


def find_changed_groups(before: Declaration, after: Declaration) -> set[GroupId]:
    """Return the groups that gained, lost or replaced an upstream."""
    old = collect_members(before)
    new = collect_members(after)
    return {
        group
        for group in old.keys() | new.keys()
        if old.get(group, {}) != new.get(group, {})
    }


def collect_members(
    declaration: Declaration,
) -> dict[GroupId, dict[UpstreamId, tuple[str, str]]]:
    """Return the upstreams of each group with their addresses."""
    found: dict[GroupId, dict[UpstreamId, tuple[str, str]]] = {}
    for upstream in declaration["upstreams"]:
        found.setdefault(upstream["group"], {})[upstream["id"]] = get_addresses(
            upstream
        )
    return found


def get_addresses(upstream: Upstream) -> tuple[str, str]:
    """Return the addresses that identify the database behind an upstream."""
    return upstream["data"], upstream["control"]


def check_membership_changes(
    before: Declaration, after: Declaration
) -> list[FieldError]:
    """Return an error for each group in which more than one upstream changes.

    Majorities of two sets that differ by one member always intersect, those of
    sets that differ by more need not (Ongaro 2014, section 4.1).
    """
    old = collect_members(before)
    new = collect_members(after)
    errors = []
    for group in sorted(old.keys() & new.keys()):
        names = old[group].keys() | new[group].keys()
        changed = [
            name
            for name in sorted(names)
            if old[group].get(name) != new[group].get(name)
        ]
        if len(changed) > 1:
            path = f"$.upstreams (group {group})"
            remedy = "apply one change of the group's members after the other"
            expected = "at most one changed upstream"
            errors.append(FieldError(path, ", ".join(changed), expected, remedy))
    return errors
