"""Check a configuration of the platform before it is sent."""

from __future__ import annotations

from pathlib import Path
from typing import Any, TYPE_CHECKING

import click

from ..platform.configuration_check import (
    check_configuration as check_document,
    check_version,
    diff_configurations,
)
from .output import difference_table, fail, fault_table, report, show

if TYPE_CHECKING:
    from ..core.declaration_diff import FieldDifference
    from .output import Format

FILE = click.Path(exists=True, dir_okay=False, path_type=Path)


@click.command(name="check-configuration")
@click.argument("file", type=FILE)
@click.argument("in_force", type=FILE, required=False)
@click.option("--json", "as_json", is_flag=True, help="The same as --output json.")
@click.pass_obj
def check_configuration(
    context: Any, file: Path, in_force: Path | None, as_json: bool
) -> None:
    """Check FILE, a configuration of the platform, and compare it with IN_FORCE.

    Prints all faults at once: bad fields, entries that nothing can use, and limits
    that contradict each other. Exit codes: 0 no fault, 1 a fault in FILE, or IN_FORCE
    is not readable, 2 misuse.
    """
    output: Format = "json" if as_json else context.output
    found = check_document(file.read_bytes())
    errors = list(found.errors)
    differences: tuple[FieldDifference, ...] = ()
    if in_force is not None:
        before = check_document(in_force.read_bytes()).document
        if before is None:
            text = f"{in_force} is no JSON object; give the version in force"
            fail(report(text), output)
        if found.document is not None:
            errors += check_version(before, found.document)
            differences = diff_configurations(before, found.document)
    tables = {
        "errors": fault_table(errors),
        "never_used": fault_table(found.unmatched),
        "contradictions": fault_table(found.contradictions),
        "differences": difference_table(differences),
    }
    count = sum(len(tables[name].rows) for name in list(tables)[:3])
    if count:
        fail(report(f"{file}: {count} faults", tables=tables, valid=False), output)
    text = f"{file}: valid"
    if in_force is not None:
        text = f"{text}; {len(differences)} differences from {in_force}"
    show(report(text, tables=tables, valid=True), output)
