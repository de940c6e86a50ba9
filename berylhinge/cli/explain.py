"""Explain one request from the log lines of all instances."""

from __future__ import annotations

import sys
from typing import Any, BinaryIO, TYPE_CHECKING

import click
import msgspec
import orjson

from ..core.pooler.diagnosis import explain as explain_request
from .output import fail, report, show, Table

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

# Fields that stand in columns of their own, or tell nothing about the request.
OMITTED = ("timestamp", "instance", "message_type", "task_uuid", "task_level")


@click.command(name="explain")
@click.argument("request_id", metavar="ID")
@click.argument("logs", type=click.File("rb"), nargs=-1)
@click.pass_obj
def explain(context: Any, request_id: str, logs: tuple[BinaryIO, ...]) -> None:
    """Show the lines of request ID, its cause and the evidence.

    LOGS are files with the JSON lines of all instances; standard input without any.
    """
    sources = logs or (sys.stdin.buffer,)
    entries = [entry for source in sources for entry in entries_in(source)]
    found = explain_request(entries, request_id)
    if found is None:
        text = f"got {len(entries)} log lines, none of request {request_id}"
        remedy = "give the logs of every instance, from the time of the request"
        fail(report(f"{text}; {remedy}"), context.output)
    tables = {"request": table_of(found.lines), "evidence": table_of(found.evidence)}
    show(report(found.cause, tables=tables, request_id=request_id), context.output)


def entries_in(source: Iterable[bytes]) -> Iterator[dict[str, Any]]:
    """Return the JSON objects of a log; other text, also before one, is skipped."""
    for line in source:
        start = line.find(b"{")
        if start < 0:
            continue
        try:
            entry = orjson.loads(line[start:])
        except orjson.JSONDecodeError:
            continue
        if isinstance(entry, dict):
            yield entry


def table_of(entries: Iterable[Any]) -> Table:
    """Return lines as rows, the rest of their fields in one column."""
    rows = [
        (
            f"{entry.get('timestamp', 0.0):.3f}",
            entry.get("instance", ""),
            entry.get("message_type", ""),
            fields_of(entry),
        )
        for entry in entries
    ]
    return Table(("time", "instance", "line", "fields"), rows)


def fields_of(entry: Any) -> str:
    """Return a line's own fields as NAME=VALUE."""
    return " ".join(
        f"{name}={msgspec.json.encode(value).decode()}"
        for name, value in entry.items()
        if name not in OMITTED
    )
