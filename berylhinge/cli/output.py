"""Print results as JSON or as aligned tables."""

from __future__ import annotations

import sys
from typing import Any, Literal, NamedTuple, NoReturn, TYPE_CHECKING

import click
import msgspec

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ..core.declaration_diff import FieldDifference
    from ..errors import FieldError
    from ..tasks.platform_client import StoreError

EXIT_FAILED = 1
EXIT_MISUSE = 2
ABSENT = "-"
SHOWN_FIELDS = ("key", "key_id")

Format = Literal["json", "table"]


class Table(NamedTuple):
    """Hold rows under named columns."""

    columns: tuple[str, ...]
    rows: list[tuple[Any, ...]]


class Report(NamedTuple):
    """Hold a result: one line, tables by name and plain fields for JSON."""

    text: str
    tables: dict[str, Table]
    fields: dict[str, Any]


def report(
    text: str, *, tables: dict[str, Table] | None = None, **fields: Any
) -> Report:
    """Build a report."""
    return Report(text, tables or {}, fields)


def show(found: Report, output: Format) -> None:
    """Print a report in the format asked for."""
    if output == "json":
        tables = {name: as_objects(table) for name, table in found.tables.items()}
        value = {"message": found.text, **found.fields, **tables}
        click.echo(msgspec.json.format(msgspec.json.encode(value), indent=2).decode())
        return
    click.echo(found.text)
    for name, value in found.fields.items():
        if name in SHOWN_FIELDS:
            click.echo(f"{name}: {value}")
    for name, table in found.tables.items():
        if table.rows:
            click.echo(f"\n{name}")
            click.echo(aligned(table))


def fail(found: Report, output: Format) -> NoReturn:
    """Print a report and end with the exit code of a failure."""
    show(found, output)
    sys.exit(EXIT_FAILED)


def as_objects(table: Table) -> list[dict[str, Any]]:
    """Return each row as an object."""
    return [dict(zip(table.columns, row, strict=True)) for row in table.rows]


def aligned(table: Table) -> str:
    """Return the columns padded to equal width."""
    cells = [table.columns, *(tuple(map(cell, row)) for row in table.rows)]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    return "\n".join(
        "  ".join(
            text.ljust(width) for text, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in cells
    )


def cell(value: Any) -> str:
    """Return a value as the text of one cell."""
    if isinstance(value, dict | list):
        return msgspec.json.encode(value).decode()
    return ABSENT if value is None else str(value)


def fault_table(errors: Sequence[FieldError]) -> Table:
    """Return one row for each bad field."""
    return Table(("path", "got", "expected", "remedy"), [tuple(one) for one in errors])


def difference_table(differences: Sequence[FieldDifference]) -> Table:
    """Return one row for each changed field."""
    return Table(("path", "before", "after"), [tuple(one) for one in differences])


def store_report(text: str, error: StoreError) -> Report:
    """Return what a failed call to the platform means."""
    return report(
        f"{text}: {error.detail}; {error.remedy}",
        kind=str(error.kind),
        detail=error.detail,
    )
