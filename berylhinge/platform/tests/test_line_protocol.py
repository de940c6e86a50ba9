from __future__ import annotations

import pytest
from hypothesis import given, strategies as st

from ...core.pooler.statements import (
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
)
from ...types import AccessMode, DatabaseRole, LogPoint
from .. import line_protocol
from ..line_framing import LineBuffer
from ..line_protocol import parse_answer, parse_caller_line, Query, Start


@pytest.mark.parametrize(
    ("line", "expected"),
    [
        ("START lepu270 u3f1", Start("lepu270", "u3f1")),
        ("START lepu270", Start("lepu270", "")),
        ("TERMINATE", line_protocol.Terminate()),
        ("QUERY 5c READ 1a4", Query(DataStatement("5c", AccessMode.READ, "READ 1a4"))),
        (
            "QUERY 5c WRITE 1a a b",
            Query(DataStatement("5c", AccessMode.WRITE, "WRITE 1a a b")),
        ),
        ("QUERY 5c BEGIN", Query(Begin("5c", False))),
        ("QUERY 5c BEGIN READ", Query(Begin("5c", True))),
        ("QUERY 5c COMMIT", Query(Commit("5c"))),
        ("QUERY 5c ROLLBACK", Query(Rollback("5c"))),
        ("QUERY 5c SET zone a b", Query(SetValue("5c", "zone", "a b"))),
        (
            "QUERY 5c PREPARE s1 WRITE q2c",
            Query(Prepare("5c", "s1", PreparedStatement(AccessMode.WRITE, "q2c"))),
        ),
        ("QUERY 5c EXECUTE s1 1a4 xk q", Query(Execute("5c", "s1", "1a4 xk q"))),
        ("QUERY 5c DEALLOC s1", Query(Deallocate("5c", "s1"))),
        # A line feed that no carriage return precedes is part of a field.
        (
            "QUERY 5c WRITE 1a x\nQUERY 5d WRITE 1b y",
            Query(
                DataStatement("5c", AccessMode.WRITE, "WRITE 1a x\nQUERY 5d WRITE 1b y")
            ),
        ),
        ("START lepu270 u3f1\n", Start("lepu270", "u3f1\n")),
    ],
)
def test_callers_lines(line: str, expected: object) -> None:
    assert parse_caller_line(line) == expected


@pytest.mark.parametrize(
    "line",
    [
        "",
        "HELLO",
        "QUERY",
        "QUERY 5c",
        "QUERY 5c READ",
        "QUERY 5c DROP 1a",
        # Callers may neither use the proxy's own id nor choose a log position.
        "QUERY - READ 1a4",
        "QUERY 5c AFTER 3.1 READ 1a4",
        "QUERY 5c STATUS",
        "QUERY 5c DEMOTE 9",
        "QUERY 5c PREPARE s1 DROP q",
        "QUERY 5c WRITE 1a \udcff",
    ],
)
def test_other_lines_are_malformed(line: str) -> None:
    found = parse_caller_line(line)
    statement = found.statement if isinstance(found, Query) else found
    assert isinstance(statement, Malformed)
    assert statement.detail


@given(st.binary(max_size=400))
def test_any_bytes_are_split_and_parsed(data: bytes) -> None:
    for line in LineBuffer().feed(data):
        parse_caller_line(line)


@pytest.mark.parametrize(
    ("answer", "code", "rows", "signature", "point"),
    [
        (
            ["ROW a b", "ROW c", "COMPLETE 7.1", "READY I 3.1209"],
            None,
            ("a b", "c"),
            "7.1",
            LogPoint(3, 1209),
        ),
        (["COMPLETE -", "READY T -"], None, (), "-", None),
        (
            ["ERROR READONLY i-7f", "READY E 3.1"],
            ErrorCode.READ_ONLY,
            (),
            "",
            LogPoint(3, 1),
        ),
        (["ERROR ODD text", "READY I 3.x"], ErrorCode.FAILED, (), "", None),
    ],
)
def test_databases_answers(answer, code, rows, signature, point) -> None:
    found = parse_answer(answer)
    assert (found.code, found.rows, found.signature) == (code, rows, signature)
    assert found.point == point


@pytest.mark.parametrize(
    "answer",
    [
        ["COMPLETE 7", "COMPLETE 8", "READY I 3.1"],
        ["COMPLETE 7", "ROW late", "READY I 3.1"],
        ["NOISE", "READY I 3.1"],
        ["COMPLETE 7"],
    ],
)
def test_doubled_or_malformed_answers_are_errors(answer: list[str]) -> None:
    with pytest.raises(ValueError):
        parse_answer(answer)


@pytest.mark.parametrize(
    ("row", "expected"),
    [
        ("replica 3 3.1209 0 12 2 17", (DatabaseRole.REPLICA, 3, LogPoint(3, 1209))),
        ("primary 4 4.1 0 0 0 1", (DatabaseRole.PRIMARY, 4, LogPoint(4, 1))),
        ("boss 4 4.1", None),
        ("primary", None),
        ("primary x 4.1", None),
        # A number with too many digits raised, and the requests for a status ended.
        pytest.param(f"primary {'9' * 5_000} 4.1", None, id="term"),
        pytest.param(
            f"primary 4 4.{'9' * 5_000}", (DatabaseRole.PRIMARY, 4, None), id="number"
        ),
    ],
)
def test_status_rows(row: str, expected: object) -> None:
    assert line_protocol.parse_status(row) == expected


@pytest.mark.parametrize("code", list(ErrorCode))
def test_errors_end_with_the_line(code: ErrorCode) -> None:
    text = line_protocol.error_line(code, "a\r\nREADY I -")
    assert text.count(b"\r\n") == 1
    assert text.startswith(f"ERROR {line_protocol.WORD_BY_CODE[code]} ".encode())
