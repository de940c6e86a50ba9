"""Hold the one versioned configuration and the edits that lead to the next."""

from __future__ import annotations

from functools import singledispatch
from typing import NamedTuple, TYPE_CHECKING, TypeAlias, TypedDict

from returns.result import Failure, Result, Success

from ..errors import FieldError
from .declarations import Declaration, empty_declaration, Key, Upstream
from .differences import changed_groups, check_memberships
from .validation import validate

if TYPE_CHECKING:
    from typing import Literal

    from ..types import GroupId, KeyId, UpstreamId

CHANGES_KEPT = 256
CONFIGURATION_KEY = "configuration"

EditResult: TypeAlias = "Result[Declaration, tuple[FieldError, ...]]"


class Change(TypedDict):
    """Record which version a change made."""

    id: str
    version: int


class Configuration(NamedTuple):
    """Hold a version, its last changes and what it declares.

    ``membership_versions`` gives the version of each group's last change of members.
    """

    version: int
    changes: tuple[Change, ...]
    membership_versions: dict[GroupId, int]
    declaration: Declaration


class ReplaceDeclaration(NamedTuple):
    """Declare everything anew, but for the keys that the store holds."""

    declaration: Declaration


class GrantKey(NamedTuple):
    """Add a key."""

    record: Key


class WithdrawKey(NamedTuple):
    """Withdraw a key for good."""

    key: KeyId


class MarkUpstream(NamedTuple):
    """Mark an upstream as live or leaving."""

    upstream: UpstreamId
    state: Literal["live", "leaving"]


Edit: TypeAlias = ReplaceDeclaration | GrantKey | WithdrawKey | MarkUpstream


def empty_configuration() -> Configuration:
    """Return the configuration of a store that holds none."""
    return Configuration(0, (), {}, empty_declaration())


def version_of_change(configuration: Configuration, change_id: str) -> int | None:
    """Return the version a change made, none if it isn't among the last ones."""
    for change in configuration.changes:
        if change["id"] == change_id:
            return change["version"]
    return None


def next_configuration(
    current: Configuration, edit: Edit, change_id: str, *, floor_version: int = 0
) -> Result[Configuration, tuple[FieldError, ...]]:
    """Apply an edit; the version exceeds the current one and the floor."""

    def follow(
        declaration: Declaration,
    ) -> Result[Configuration, tuple[FieldError, ...]]:
        errors = [
            *validate(declaration).errors,
            *check_memberships(current.declaration, declaration),
        ]
        if errors:
            return Failure(tuple(errors))
        version = max(current.version, floor_version) + 1
        return Success(follower(current, declaration, change_id, version))

    return apply_edit(edit, current.declaration).bind(follow)


def follower(
    current: Configuration, declaration: Declaration, change_id: str, version: int
) -> Configuration:
    """Return the next configuration with its change recorded."""
    changes = (*current.changes, Change(id=change_id, version=version))
    versions = {
        group["id"]: current.membership_versions.get(group["id"], version)
        for group in declaration["groups"]
    }
    for group_id in changed_groups(current.declaration, declaration):
        if group_id in versions:
            versions[group_id] = version
    return Configuration(version, changes[-CHANGES_KEPT:], versions, declaration)


@singledispatch
def apply_edit(edit: Edit, declaration: Declaration) -> EditResult:
    """Refuse an edit of an unknown type."""
    raise TypeError(f"got {type(edit).__name__}, expected an edit")


@apply_edit.register
def apply_replacement(edit: ReplaceDeclaration, declaration: Declaration) -> EditResult:
    """Replace the declared sections and merge the keys."""
    keys: dict[KeyId, Key] = {key["id"]: key for key in declaration.get("keys", ())}
    errors = []
    for place, key in enumerate(edit.declaration.get("keys", ())):
        known = keys.setdefault(key["id"], key)
        if (known["salt"], known["hash"]) != (key["salt"], key["hash"]):
            remedy = "remove the key from the file; grant another"
            path = f"$.keys[{place}]"
            expected = "the stored salt and hash"
            errors.append(FieldError(path, "others", expected, remedy))
        elif "withdrawn" in (known["state"], key["state"]):
            keys[key["id"]] = {**known, "state": "withdrawn"}
    if errors:
        return Failure(tuple(errors))
    organisations = {one["id"] for one in edit.declaration["organisations"]}
    declared = {key["id"] for key in edit.declaration.get("keys", ())}
    kept = [
        key
        for key in keys.values()
        if key["organisation"] in organisations or key["id"] in declared
    ]
    return Success({**edit.declaration, "keys": kept})


@apply_edit.register
def apply_grant(edit: GrantKey, declaration: Declaration) -> EditResult:
    """Add the key's record."""
    keys = [*declaration.get("keys", ()), edit.record]
    return Success({**declaration, "keys": keys})


@apply_edit.register
def apply_withdrawal(edit: WithdrawKey, declaration: Declaration) -> EditResult:
    """Mark the key as withdrawn."""
    keys = list(declaration.get("keys", ()))
    for place, key in enumerate(keys):
        if key["id"] == edit.key:
            keys[place] = {**key, "state": "withdrawn"}
            return Success({**declaration, "keys": keys})
    return unknown_name("keys", edit.key)


@apply_edit.register
def apply_mark(edit: MarkUpstream, declaration: Declaration) -> EditResult:
    """Set the upstream's state."""
    upstreams = list(declaration["upstreams"])
    for place, upstream in enumerate(upstreams):
        if upstream["id"] == edit.upstream:
            marked: Upstream = {**upstream, "state": edit.state}
            upstreams[place] = marked
            return Success({**declaration, "upstreams": upstreams})
    return unknown_name("upstreams", edit.upstream)


def unknown_name(section: str, name: str) -> EditResult:
    """Refuse an edit of something that isn't declared."""
    remedy = "see berylhingectl show"
    error = FieldError(f"$.{section}", repr(name), "a declared identifier", remedy)
    return Failure((error,))
