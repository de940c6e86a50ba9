"""Check, apply and watch the declarations of a fleet."""

from __future__ import annotations

import random
import secrets
from pathlib import Path
from typing import Any, NamedTuple, TYPE_CHECKING

import click
from returns.result import Failure, Success

from .. import __version__
from ..core.api_keys import grant_key
from ..core.configuration import (
    build_next_configuration,
    GrantKey,
    ReplaceDeclaration,
    SetUpstreamState,
    WithdrawKey,
)
from ..core.configuration_update import EditApplied
from ..core.declaration_diff import diff_declarations, find_changed_groups
from ..core.declaration_validation import validate_declaration
from ..core.declarations import convert_declaration
from ..core.document_reader import parse_json
from ..tasks.configuration_store import (
    load_configuration,
    run_edit,
    StoredConfiguration,
)
from ..tasks.http_server import Address
from ..tasks.instance_inspection import drain_instance, fetch_statuses, list_instances
from ..tasks.platform_client import PlatformClient
from .applied import check_in_force, end, withdraw_everywhere
from .check_configuration import check_configuration
from .explain import explain
from .output import (
    difference_table,
    fail,
    fault_table,
    report,
    show,
    store_report,
    Table,
)
from .params import ADDRESS
from .status import status_report

if TYPE_CHECKING:
    from ..core.configuration import Configuration, Edit
    from ..core.configuration_update import UpdateOutcome
    from ..core.declarations import Declaration
    from ..wire.platform import InstanceRecord
    from .output import Format

CHANGE_ID_BYTES = 8
IN_FORCE_SECONDS = 9.0


class Context(NamedTuple):
    """Hold the options that all commands share."""

    addresses: tuple[Address, ...]
    output: Format

    @property
    def client(self) -> PlatformClient:
        """Return a client of the platform; end as misuse without an address."""
        if not self.addresses:
            raise click.UsageError("name the platform by --platform IP:PORT")
        return PlatformClient(self.addresses)


FILE = click.Path(exists=True, dir_okay=False, path_type=Path)


@click.group()
@click.version_option(__version__, prog_name="berylhingectl")
@click.option(
    "--platform",
    "addresses",
    type=ADDRESS,
    multiple=True,
    envvar="BERYLHINGE_PLATFORM",
    help="Address of the platform's service; may be repeated.",
)
@click.option(
    "--output",
    type=click.Choice(["table", "json"]),
    default="table",
    show_default=True,
    help="Format of what is printed.",
)
@click.pass_context
def main(ctx: click.Context, addresses: tuple[Address, ...], output: Format) -> None:
    """Check, apply and watch declarations.

    Exit codes: 0 done, 1 failed or refused, 2 misuse.
    """
    ctx.obj = Context(addresses, output)


def read_file(path: Path, output: Format) -> Declaration:
    """Return a file's declaration, or print every bad field and end."""
    result = parse_json(path.read_bytes()).bind(convert_declaration)
    if isinstance(result, Failure):
        errors = result.failure()
        text = f"{path}: {len(errors)} bad fields"
        fail(report(text, tables={"errors": fault_table(errors)}), output)
    return result.unwrap()


def load(context: Context) -> Configuration:
    """Return the stored configuration, or print why it can't be read and end."""
    loaded = load_configuration(context.client)
    if isinstance(loaded, Failure):
        text = "the stored configuration can't be read"
        fail(store_report(text, loaded.failure()), context.output)
    return loaded.unwrap().configuration


def listed(context: Context) -> list[InstanceRecord]:
    """Return the platform's list of instances, or print why not and end."""
    found = list_instances(context.client)
    if isinstance(found, Failure):
        text = "the list of instances can't be read"
        fail(store_report(text, found.failure()), context.output)
    return found.unwrap()


def edit_store(
    context: Context, edit: Edit, *, expected_version: int | None = None
) -> UpdateOutcome:
    """Apply one edit above every version that is in force anywhere."""
    found = list_instances(context.client)
    views = [] if isinstance(found, Failure) else fetch_statuses(found.unwrap())
    floor = max(
        (view.status["config_version"] for view in views if view.status), default=0
    )
    return run_edit(
        context.client,
        edit,
        change_id=secrets.token_hex(CHANGE_ID_BYTES),
        rng=random.Random(secrets.randbits(64)),
        version_in_force=floor,
        expected_version=expected_version,
    )


@main.command()
@click.argument("file", type=FILE)
@click.pass_obj
def check(context: Context, file: Path) -> None:
    """Check FILE alone; a selector that selects nothing is an error here."""
    findings = validate_declaration(read_file(file, context.output))
    errors = [*findings.errors, *findings.warnings]
    if errors:
        text = f"{file}: {len(errors)} errors"
        fail(report(text, tables={"errors": fault_table(errors)}), context.output)
    show(report(f"{file}: valid"), context.output)


@main.command()
@click.argument("file", type=FILE)
@click.pass_obj
def diff(context: Context, file: Path) -> None:
    """Show what applying FILE would change."""
    edit = ReplaceDeclaration(read_file(file, context.output))
    current = load(context)
    following = build_next_configuration(current, edit, "diff")
    if isinstance(following, Failure):
        tables = {"errors": fault_table(following.failure())}
        fail(report(f"{file} can't be applied", tables=tables), context.output)
    changed = diff_declarations(current.declaration, following.unwrap().declaration)
    text = f"{len(changed)} changes to version {current.version}"
    tables = {"differences": difference_table(changed)}
    show(report(text, tables=tables, version=current.version), context.output)


@main.command()
@click.argument("file", type=FILE)
@click.option("--wait", is_flag=True, help="Wait until it is in force everywhere.")
@click.option(
    "--timeout",
    type=click.FloatRange(min=0.0),
    default=IN_FORCE_SECONDS,
    show_default=True,
    help="Longest wait (seconds).",
)
@click.option(
    "--expect-version",
    type=click.IntRange(min=0),
    help="Apply only to this stored version.",
)
@click.pass_obj
def apply(
    context: Context,
    file: Path,
    wait: bool,
    timeout: float,
    expect_version: int | None,
) -> None:
    """Put FILE in the place of what is declared; stored keys are kept."""
    declaration = read_file(file, context.output)
    findings = validate_declaration(declaration)
    current = load(context)
    groups = find_changed_groups(current.declaration, declaration)
    check_in_force(context, current, groups)
    edit = ReplaceDeclaration(declaration)
    outcome = edit_store(context, edit, expected_version=expect_version)
    tables = {"warnings": fault_table(findings.warnings)}
    end(context, outcome, wait_seconds=timeout if wait else None, tables=tables)


@main.command(name="show")
@click.pass_obj
def show_stored(context: Context) -> None:
    """Show the stored declaration; keys without salt and hash."""
    current = load(context)
    declaration: Any = dict(current.declaration)
    declaration["keys"] = [
        {field: key[field] for field in ("id", "organisation", "state")}
        for key in declaration["keys"]
    ]
    tables = {
        section: entries_table(entries) for section, entries in declaration.items()
    }
    text = f"version {current.version}"
    show(report(text, tables=tables, version=current.version), context.output)


def entries_table(entries: list[dict[str, Any]]) -> Table:
    """Return a section's entries under all the fields that any has."""
    columns = tuple(dict.fromkeys(field for entry in entries for field in entry))
    rows = [tuple(entry.get(field) for field in columns) for entry in entries]
    return Table(columns, rows)


@main.group()
def key() -> None:
    """Grant and withdraw keys."""


@key.command()
@click.argument("organisation")
@click.pass_obj
def grant(context: Context, organisation: str) -> None:
    """Grant a key to ORGANISATION and print it; it isn't stored and not shown again."""
    granted = grant_key(organisation, secrets.token_bytes)
    outcome = edit_store(context, GrantKey(granted.record))
    fields = {"key_id": granted.record["id"]}
    if isinstance(outcome, EditApplied):
        fields["key"] = granted.text.reveal()
    end(context, outcome, fields=fields)


@key.command()
@click.argument("key_id")
@click.option("--wait", is_flag=True, help="Wait until it is in force everywhere.")
@click.option(
    "--timeout",
    type=click.FloatRange(min=0.0),
    default=IN_FORCE_SECONDS,
    show_default=True,
    help="Longest wait (seconds).",
)
@click.option(
    "--operators",
    type=ADDRESS,
    multiple=True,
    help="Operators' listener to tell when the platform doesn't list instances.",
)
@click.pass_obj
def withdraw(
    context: Context,
    key_id: str,
    wait: bool,
    timeout: float,
    operators: tuple[Address, ...],
) -> None:
    """Withdraw the key KEY_ID, at the instances first and then in the store."""
    loaded = load_configuration(context.client)
    if isinstance(loaded, Success) and not knows_key(loaded.unwrap(), key_id):
        text = f"{key_id} is no stored key; see berylhingectl show"
        fail(report(text), context.output)
    told = withdraw_everywhere(context, key_id, operators)
    outcome = edit_store(context, WithdrawKey(key_id))
    wait_seconds = timeout if wait else None
    end(context, outcome, wait_seconds=wait_seconds, tables={"told": told})


def knows_key(stored: StoredConfiguration, key_id: str) -> bool:
    """Tell whether the stored declaration has a key."""
    keys = stored.configuration.declaration.get("keys", ())
    return any(key["id"] == key_id for key in keys)


@main.command()
@click.pass_obj
def status(context: Context) -> None:
    """Show instances, groups, primaries, lag, shares and versions."""
    found = status_report(fetch_statuses(listed(context)))
    show(found, context.output)


@main.command()
@click.argument("name", metavar="INSTANCE|UPSTREAM")
@click.pass_obj
def drain(context: Context, name: str) -> None:
    """Begin the planned stop of an instance, or mark an upstream as leaving."""
    records = {record["instance"]: record for record in listed(context)}
    upstreams = {one["id"] for one in load(context).declaration["upstreams"]}
    if name in records and name in upstreams:
        raise click.UsageError(f"{name} is an instance and an upstream; rename one")
    if name in records:
        delivery = drain_instance(records[name])
        if delivery.error:
            text = f"{name} did not take the order: {delivery.error}; try again"
            fail(report(text), context.output)
        show(report(f"{name} is draining", instance=name), context.output)
        return
    if name not in upstreams:
        text = f"{name} is neither a listed instance nor a declared upstream"
        fail(report(f"{text}; see berylhingectl status"), context.output)
    end(context, edit_store(context, SetUpstreamState(name, "leaving")))


main.add_command(explain)
main.add_command(check_configuration)

if __name__ == "__main__":
    main()
