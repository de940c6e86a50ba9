"""Translate the platform's line protocol for sessions.

Callers and databases use the same lines: a word and fields separated by spaces; see
``line_framing`` for what ends a line.
"""

from __future__ import annotations

from typing import NamedTuple, TYPE_CHECKING

from ..core.pooler.statements import (
    Begin,
    Commit,
    DataStatement,
    Deallocate,
    ErrorCode,
    Execute,
    Malformed,
    Prepare,
    PreparedStatement,
    Rollback,
    SetValue,
    Statement,
)
from ..types import AccessMode, DatabaseRole, LogPoint, ReceivedPoint
from .line_framing import encode_line, is_field, is_sendable, is_text

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..wire.pooling import ExecuteRequest

NO_POINT = "-"
# Digits of a 64-bit integer.
MAX_NUMBER_DIGITS = 19
# Who connects for a statement of the proxy's own if no organisation is known.
NO_ORGANISATION = "-"

CODE_BY_WORD = {
    "BUSY": ErrorCode.BUSY,
    "LAGGING": ErrorCode.LAGGING,
    "READONLY": ErrorCode.READ_ONLY,
    "WRONGNODE": ErrorCode.MISDIRECTED,
    "CONNLIMIT": ErrorCode.TOO_MANY_CONNECTIONS,
    "FAILED": ErrorCode.FAILED,
    "NOSTMT": ErrorCode.UNKNOWN_STATEMENT,
    "TIMEOUT": ErrorCode.TIMEOUT,
    "NOAUTH": ErrorCode.UNAUTHENTICATED,
    "NODB": ErrorCode.UNKNOWN_DATABASE,
    "TOOLARGE": ErrorCode.TOO_LARGE,
    "MALFORMED": ErrorCode.MALFORMED,
    "ABORTED": ErrorCode.ABORTED,
    "INDOUBT": ErrorCode.IN_DOUBT,
}
WORD_BY_CODE = {code: word for word, code in CODE_BY_WORD.items()}
# The session states in a READY line.
IDLE, IN_TRANSACTION, FAILED = "I", "T", "E"
STATE_LETTERS = {"idle": IDLE, "open": IN_TRANSACTION, "failed": FAILED}
ACCESS_BY_WORD = {"READ": AccessMode.READ, "WRITE": AccessMode.WRITE}
WORD_BY_ACCESS = {access: word for word, access in ACCESS_BY_WORD.items()}


class Start(NamedTuple):
    """Open a session on a database name with a caller's API key."""

    name: str
    key: str


class Query(NamedTuple):
    """Run one statement."""

    statement: Statement


class Terminate(NamedTuple):
    """End the session."""


def parse_caller_line(line: str) -> Start | Query | Terminate | Malformed:
    """Parse a line of a caller."""
    if not is_text(line):
        return Malformed("", "got bytes that are not UTF-8, expected text")
    word, _, rest = line.partition(" ")
    if word == "QUERY":
        request, _, text = rest.partition(" ")
        return Query(parse_statement(request, text))
    if word == "START":
        name, _, key = rest.partition(" ")
        return Start(name, key.strip(" "))
    if word == "TERMINATE":
        return Terminate()
    return Malformed("", "expected START, QUERY or TERMINATE")


def parse_statement(request: str, text: str) -> Statement:
    """Parse the text of a query."""
    if not request or request == "-":
        return Malformed(request, "a query needs an id")
    word, _, rest = text.partition(" ")
    fields = rest.split(" ") if rest else []
    if word in ACCESS_BY_WORD:
        expected = 1 if word == "READ" else 2
        if len(fields) >= expected and (expected == 2 or len(fields) == 1):
            return DataStatement(request, ACCESS_BY_WORD[word], text)
    elif word == "EXECUTE" and len(fields) >= 2:
        name, _, arguments = rest.partition(" ")
        return Execute(request, name, arguments)
    elif word == "BEGIN" and fields in ([], ["READ"]):
        return Begin(request, bool(fields))
    elif word == "COMMIT" and not fields:
        return Commit(request)
    elif word == "ROLLBACK" and not fields:
        return Rollback(request)
    elif word == "SET" and fields and fields[0]:
        return SetValue(request, fields[0], rest[len(fields[0]) + 1 :])
    elif word == "PREPARE" and len(fields) >= 3 and fields[1] in ACCESS_BY_WORD:
        form = rest.split(" ", 2)[2]
        return Prepare(
            request, fields[0], PreparedStatement(ACCESS_BY_WORD[fields[1]], form)
        )
    elif word == "DEALLOC" and len(fields) == 1 and fields[0]:
        return Deallocate(request, fields[0])
    return Malformed(request, f"got {word[:20]!r}, expected a statement's text")


def ready_line(state: str, point: LogPoint | None) -> bytes:
    """Return the line that ends an answer; ``state`` is the session's."""
    return encode_line("READY", STATE_LETTERS[state], format_point(point))


def error_line(code: ErrorCode, detail: str) -> bytes:
    """Return an error line."""
    return encode_line(
        "ERROR", WORD_BY_CODE[code], detail.replace("\r", " ").replace("\n", " ")
    )


def completion_lines(rows: tuple[str, ...], signature: str) -> bytes:
    """Return the rows' lines and the COMPLETE line; ``-`` stands for no signature."""
    lines = [encode_line("ROW", row) for row in rows]
    return b"".join([*lines, encode_line("COMPLETE", signature or NO_POINT)])


def format_point(point: LogPoint | None) -> str:
    """Format a log position as TERM.NUMBER, ``-`` for none."""
    return NO_POINT if point is None else f"{point.term}.{point.position}"


def is_number(text: str) -> bool:
    """Tell whether a text is a whole number, and not too long to be a log's."""
    return text.isdecimal() and len(text) <= MAX_NUMBER_DIGITS


def parse_point(text: str) -> LogPoint | None:
    """Parse TERM.NUMBER; return None for anything else."""
    term, _, number = text.partition(".")
    if not (is_number(term) and is_number(number)):
        return None
    return LogPoint(int(term), int(number))


# Lines to and from databases.


class DatabaseAnswer(NamedTuple):
    """Hold a database's complete answer to one statement."""

    code: ErrorCode | None
    detail: str
    rows: tuple[str, ...]
    signature: str
    state: str
    point: LogPoint | None


class DatabaseStatus(NamedTuple):
    """Hold the role and term that a database reports, and what it has received.

    What it has applied stands in the line that ends the answer.
    """

    role: DatabaseRole
    term: int
    received: ReceivedPoint | None


def start_line(service: str, organisation: str, identifier: str) -> bytes:
    """Return the line that opens a connection to one known database."""
    return encode_line("START", service, organisation, identifier)


def query_line(request: str, text: str, after: LogPoint | None = None) -> bytes:
    """Return a statement's line; an empty id, of the proxy's own, is sent as ``-``."""
    if after is None:
        return encode_line("QUERY", request or "-", text)
    return encode_line("QUERY", request or "-", "AFTER", format_point(after), text)


def find_unsendable(request: ExecuteRequest) -> str:
    """Name what of a request cannot be sent in one line; empty if all can."""
    texts = {"text": request.text}
    texts.update(
        (f"value of {name!r}", value) for name, value in request.values.items()
    )
    texts.update(
        (f"template of {name!r}", shape.template)
        for name, shape in request.prepared.items()
    )
    fields = {"id": request.request, "organisation": request.organisation}
    fields.update((f"name {name!r}", name) for name in request.values)
    unsendable = (
        *(label for label, field in fields.items() if not is_field(field)),
        *(label for label, text in texts.items() if not is_sendable(text)),
    )
    return next(iter(unsendable), "")


def status_organisation(organisations: Iterable[str]) -> str:
    """Return an organisation to connect for when the proxy asks for a status."""
    return next(filter(is_field, organisations), NO_ORGANISATION)


def set_text(name: str, value: str) -> str:
    """Return the text that sets a session value."""
    return f"SET {name} {value}"


def prepare_text(name: str, shape: PreparedStatement) -> str:
    """Return the text that prepares a name."""
    return f"PREPARE {name} {WORD_BY_ACCESS[shape.access]} {shape.template}"


def begin_text(*, read_only: bool) -> str:
    """Return the text that begins a transaction."""
    return "BEGIN READ" if read_only else "BEGIN"


ROLLBACK_TEXT = "ROLLBACK"
RESET_TEXT = "RESET"
STATUS_TEXT = "STATUS"


def ends_answer(line: str) -> bool:
    """Tell whether a line is the last one of an answer."""
    return line.startswith("READY")


def parse_start_answer(line: str) -> DatabaseAnswer:
    """Parse a database's answer to the START line; raise ValueError."""
    if line.startswith("ERROR"):
        return parse_answer([line, "READY I -"])
    return parse_answer([line])


def parse_answer(lines: list[str]) -> DatabaseAnswer:
    """Parse an answer's lines, of which READY is the last; raise ValueError."""
    rows = []
    code, detail, signature = None, "", ""
    ended = False
    for line in lines[:-1]:
        word, _, rest = line.partition(" ")
        if ended:
            raise ValueError(f"got {word!r} after the end of the answer")
        if word == "ROW":
            rows.append(rest)
        elif word == "COMPLETE":
            signature, ended = rest, True
        elif word == "ERROR":
            name, _, detail = rest.partition(" ")
            code, ended = CODE_BY_WORD.get(name, ErrorCode.FAILED), True
        else:
            raise ValueError(f"got {word!r}, expected ROW, COMPLETE or ERROR")
    word, _, rest = lines[-1].partition(" ")
    state, _, point = rest.partition(" ")
    if word != "READY":
        raise ValueError(f"got {word!r}, expected READY")
    return DatabaseAnswer(
        code, detail, tuple(rows), signature, state, parse_point(point)
    )


def parse_status(row: str) -> DatabaseStatus | None:
    """Parse a status row: role, term, last entry received, and figures not used here."""
    fields = row.split(" ")
    if len(fields) < 3 or fields[0] not in ("primary", "replica"):
        return None
    if not is_number(fields[1]):
        return None
    point = parse_point(fields[2])
    received = None if point is None else ReceivedPoint(*point)
    return DatabaseStatus(DatabaseRole(fields[0]), int(fields[1]), received)
