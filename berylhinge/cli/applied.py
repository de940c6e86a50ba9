"""Tell operators what became of a change and where it is in force."""

from __future__ import annotations

from functools import singledispatch
from typing import Any, TYPE_CHECKING

from returns.result import Failure

from ..core.configuration_update import (
    DeclarationUnchanged,
    EditApplied,
    EditConflict,
    EditRefused,
    StoreUnreachable,
)
from ..tasks.instance_inspection import (
    await_version,
    fetch_statuses,
    find_instances_behind,
    list_instances,
    reported_version,
    withdraw_keys,
)
from .output import (
    difference_table,
    fail,
    fault_table,
    Report,
    report,
    show,
    store_report,
    Table,
)

if TYPE_CHECKING:
    from collections.abc import Collection, Sequence

    from ..core.configuration import Configuration
    from ..core.configuration_update import UpdateOutcome
    from ..tasks.http_server import Address
    from ..tasks.instance_inspection import InstanceReport
    from ..types import GroupId, KeyId
    from ..wire.platform import InstanceRecord
    from .ctl import Context


@singledispatch
def outcome_report(outcome: UpdateOutcome) -> Report:
    """Refuse an outcome of an unknown type."""
    raise TypeError(f"got {type(outcome).__name__}, expected an outcome")


@outcome_report.register(EditApplied)
def applied_report(outcome: EditApplied) -> Report:
    """Tell the version and what it changed."""
    tables = {"differences": difference_table(outcome.differences)}
    text = f"applied as version {outcome.version}"
    return report(text, tables=tables, result="applied", version=outcome.version)


@outcome_report.register(DeclarationUnchanged)
def unchanged_report(outcome: DeclarationUnchanged) -> Report:
    """Tell the version that already declares the same."""
    text = f"nothing to change in version {outcome.version}"
    return report(text, result="unchanged", version=outcome.version)


@outcome_report.register(EditConflict)
def conflict_report(outcome: EditConflict) -> Report:
    """Tell what another operator changed."""
    tables = {"differences": difference_table(outcome.differences)}
    text = (
        f"conflict: another change made version {outcome.version}; not applied; "
        "take its differences into the file and apply again"
    )
    return report(text, tables=tables, result="conflict", version=outcome.version)


@outcome_report.register(EditRefused)
def refused_report(outcome: EditRefused) -> Report:
    """Tell every fault."""
    tables = {"errors": fault_table(outcome.errors)}
    text = f"refused: {len(outcome.errors)} errors; not applied"
    return report(text, tables=tables, result="refused")


@outcome_report.register(StoreUnreachable)
def unreachable_report(outcome: StoreUnreachable) -> Report:
    """Tell whether the change may have been applied."""
    known = "it may have been applied" if outcome.may_be_stored else "not applied"
    text = f"no verdict of the store: {outcome.detail}; {known}"
    remedy = "see berylhingectl show before a retry"
    result = "unknown" if outcome.may_be_stored else "not-applied"
    return report(f"{text}; {remedy}", result=result)


def end(
    context: Context,
    outcome: UpdateOutcome,
    *,
    wait_seconds: float | None = None,
    tables: dict[str, Table] | None = None,
    fields: dict[str, str] | None = None,
) -> None:
    """Print an outcome, after a wait where asked; end as failed unless it holds."""
    found = outcome_report(outcome)
    found.tables.update(tables or {})
    found.fields.update(fields or {})
    if not isinstance(outcome, EditApplied | DeclarationUnchanged):
        fail(found, context.output)
    if wait_seconds is None:
        show(found, context.output)
        return
    found, everywhere = with_wait(context, found, outcome.version, wait_seconds)
    if not everywhere:
        fail(found, context.output)
    show(found, context.output)


def with_wait(
    context: Context, found: Report, version: int, wait_seconds: float
) -> tuple[Report, bool]:
    """Wait until a version is in force; add who is behind, and whether nobody is."""
    waited = await_version(context.client, version, wait_seconds)
    if isinstance(waited, Failure):
        error = waited.failure()
        text = f"{found.text}; can't tell where it is in force: {error.detail}"
        return found._replace(text=text), False
    behind = waited.unwrap()
    found.fields["in_force"] = not behind
    if not behind:
        text = f"{found.text}; in force on every listed instance"
        return found._replace(text=text), True
    found.tables["behind"] = version_table(behind)
    text = f"{found.text}; not in force on {len(behind)} instances"
    return found._replace(text=text), False


def version_table(views: Sequence[InstanceReport]) -> Table:
    """Return the version each instance reported, or why none."""
    rows = [
        (
            view.record["instance"],
            reported_version(view) if view.status else None,
            view.error,
        )
        for view in views
    ]
    return Table(("instance", "version", "error"), rows)


def check_in_force(
    context: Context, current: Configuration, groups: Collection[GroupId]
) -> None:
    """End unless a group's last change of members is in force everywhere.

    Only majorities of neighbouring versions are sure to intersect.
    """
    versions = [
        current.membership_versions[group]
        for group in groups
        if group in current.membership_versions
    ]
    if not versions:
        return
    found = list_instances(context.client)
    if isinstance(found, Failure):
        text = "can't tell whether the last change of members is in force"
        fail(store_report(text, found.failure()), context.output)
    behind = find_instances_behind(fetch_statuses(found.unwrap()), max(versions))
    if behind:
        text = (
            f"refused: the members of {', '.join(sorted(groups))} change, and version "
            f"{max(versions)} is not in force everywhere; not applied; wait for it"
        )
        tables = {"behind": version_table(behind)}
        fail(report(text, tables=tables, result="refused"), context.output)


def withdraw_everywhere(
    context: Context, key_id: KeyId, operators: Sequence[Address]
) -> Table:
    """Tell every listed instance to withdraw a key; return who took it."""
    found = list_instances(context.client)
    records: list[Any] = [] if isinstance(found, Failure) else found.unwrap()
    known = {record["operators"] for record in records}
    records += [named(address) for address in operators if str(address) not in known]
    deliveries = withdraw_keys(records, [key_id])
    rows = [(one.instance, one.error is None, one.error) for one in deliveries]
    return Table(("instance", "in_force", "error"), rows)


def named(address: Address) -> InstanceRecord:
    """Return a record of an instance known by its operators' listener alone."""
    return {
        "instance": str(address),
        "incarnation": 0,
        "place": "",
        "state": "live",
        "peer": "",
        "callers": "",
        "operators": str(address),
    }
