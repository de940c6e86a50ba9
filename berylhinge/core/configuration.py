"""Define the versioned configuration and the edits that produce its next version."""

from __future__ import annotations

from functools import singledispatch
from typing import NamedTuple, TYPE_CHECKING, TypeAlias, TypedDict

from returns.result import Failure, Result, Success

from ..errors import FieldError
from .declaration_diff import check_membership_changes, find_changed_groups
from .declaration_validation import validate_declaration
from .declarations import Declaration, empty_declaration, Key, Upstream

if TYPE_CHECKING:
    from typing import Literal

    from ..types import GroupId, KeyId, UpstreamId

RECORDED_CHANGES_LIMIT = 256
CONFIGURATION_STORE_KEY = "configuration"

EditResult: TypeAlias = "Result[Declaration, tuple[FieldError, ...]]"


class RecordedChange(TypedDict):
    """Record the version that a change produced."""

    id: str
    version: int


class Configuration(NamedTuple):
    """Represent one version with its declaration and the record of the last changes.

    ``membership_versions`` holds, by group, the version that last changed its members.
    """

    version: int
    changes: tuple[RecordedChange, ...]
    membership_versions: dict[GroupId, int]
    declaration: Declaration


class ReplaceDeclaration(NamedTuple):
    """Replace the whole declaration, but merge its keys with the stored ones."""

    declaration: Declaration


class GrantKey(NamedTuple):
    """Add a key."""

    record: Key


class WithdrawKey(NamedTuple):
    """Withdraw a key permanently."""

    key_id: KeyId


class SetUpstreamState(NamedTuple):
    """Mark an upstream as live or leaving."""

    upstream_id: UpstreamId
    state: Literal["live", "leaving"]


Edit: TypeAlias = ReplaceDeclaration | GrantKey | WithdrawKey | SetUpstreamState


def empty_configuration() -> Configuration:
    """Return the configuration assumed for a store that holds none."""
    return Configuration(0, (), {}, empty_declaration())


def find_change_version(configuration: Configuration, change_id: str) -> int | None:
    """Return the version that a change produced, None if it is not recorded."""
    for change in configuration.changes:
        if change["id"] == change_id:
            return change["version"]
    return None


def build_next_configuration(
    current: Configuration, edit: Edit, change_id: str, *, version_in_force: int = 0
) -> Result[Configuration, tuple[FieldError, ...]]:
    """Apply an edit; the new version exceeds the current and ``version_in_force``."""

    def validate_and_build(
        declaration: Declaration,
    ) -> Result[Configuration, tuple[FieldError, ...]]:
        errors = [
            *validate_declaration(declaration).errors,
            *check_membership_changes(current.declaration, declaration),
        ]
        if errors:
            return Failure(tuple(errors))
        version = max(current.version, version_in_force) + 1
        return Success(build_configuration(current, declaration, change_id, version))

    return apply_edit(edit, current.declaration).bind(validate_and_build)


def build_configuration(
    current: Configuration, declaration: Declaration, change_id: str, version: int
) -> Configuration:
    """Build the next configuration and record its change."""
    changes = (*current.changes, RecordedChange(id=change_id, version=version))
    versions = {
        group["id"]: current.membership_versions.get(group["id"], version)
        for group in declaration["groups"]
    }
    for group_id in find_changed_groups(current.declaration, declaration):
        if group_id in versions:
            versions[group_id] = version
    return Configuration(
        version, changes[-RECORDED_CHANGES_LIMIT:], versions, declaration
    )


@singledispatch
def apply_edit(edit: Edit, declaration: Declaration) -> EditResult:
    """Refuse an edit of an unknown type."""
    raise TypeError(f"got {type(edit).__name__}, expected an edit")


@apply_edit.register
def apply_replacement(edit: ReplaceDeclaration, declaration: Declaration) -> EditResult:
    """Replace all sections but the keys, which are merged."""
    keys: dict[KeyId, Key] = {key["id"]: key for key in declaration.get("keys", ())}
    errors = []
    for position, key in enumerate(edit.declaration.get("keys", ())):
        known = keys.setdefault(key["id"], key)
        if (known["salt"], known["hash"]) != (key["salt"], key["hash"]):
            remedy = "remove the key from the file; grant another"
            path = f"$.keys[{position}]"
            expected = "the stored salt and hash"
            errors.append(
                FieldError(path, "a different salt or hash", expected, remedy)
            )
        elif "withdrawn" in (known["state"], key["state"]):
            keys[key["id"]] = {**known, "state": "withdrawn"}
    if errors:
        return Failure(tuple(errors))
    organisations = {entry["id"] for entry in edit.declaration["organisations"]}
    declared = {key["id"] for key in edit.declaration.get("keys", ())}
    kept = [
        key
        for key in keys.values()
        if key["organisation"] in organisations or key["id"] in declared
    ]
    return Success({**edit.declaration, "keys": kept})


@apply_edit.register
def apply_grant(edit: GrantKey, declaration: Declaration) -> EditResult:
    """Add the record of the key."""
    keys = [*declaration.get("keys", ()), edit.record]
    return Success({**declaration, "keys": keys})


@apply_edit.register
def apply_withdrawal(edit: WithdrawKey, declaration: Declaration) -> EditResult:
    """Mark the key as withdrawn."""
    keys = list(declaration.get("keys", ()))
    for position, key in enumerate(keys):
        if key["id"] == edit.key_id:
            keys[position] = {**key, "state": "withdrawn"}
            return Success({**declaration, "keys": keys})
    return reject_unknown_name("keys", edit.key_id)


@apply_edit.register
def apply_upstream_state(
    edit: SetUpstreamState, declaration: Declaration
) -> EditResult:
    """Set the state of the upstream."""
    upstreams = list(declaration["upstreams"])
    for position, upstream in enumerate(upstreams):
        if upstream["id"] == edit.upstream_id:
            marked: Upstream = {**upstream, "state": edit.state}
            upstreams[position] = marked
            return Success({**declaration, "upstreams": upstreams})
    return reject_unknown_name("upstreams", edit.upstream_id)


def reject_unknown_name(section: str, name: str) -> EditResult:
    """Refuse an edit of an identifier that is not declared."""
    remedy = "see berylhingectl show"
    error = FieldError(f"$.{section}", repr(name), "a declared identifier", remedy)
    return Failure((error,))
