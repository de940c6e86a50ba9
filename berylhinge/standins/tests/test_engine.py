from __future__ import annotations

import pytest

from ..engine import (
    BASE_BATCH_ENTRIES,
    BASE_LAG_ENTRIES,
    Engine,
    MAX_ROWS,
    SqlError,
)
from ..entry_log import Change, Entry, EntryLog
from ..sql import Statement, UnsupportedSqlError

TABLE = "CREATE TABLE t (id INTEGER PRIMARY KEY, v, w DEFAULT CURRENT_TIMESTAMP)"
INSERT = "INSERT INTO t (id, v, w) VALUES (?, ?, 0)"


@pytest.fixture
def engine():
    engine = Engine()
    write(engine, TABLE)
    write(engine, INSERT, 1, "a")
    yield engine
    engine.close()


def write(engine: Engine, text: str, *parameters: object):
    engine.begin()
    try:
        rows = engine.write(Statement(text, parameters))
        engine.commit()
    finally:
        engine.rollback()
    return rows


def rows_of(copy) -> list[tuple]:
    return copy.connection.execute("SELECT id, v FROM t ORDER BY id").fetchall()


@pytest.mark.parametrize(
    "text",
    [
        "INSERT INTO t (id, w) VALUES (2, random())",
        "INSERT INTO t (id, w) VALUES (2, datetime('now'))",
        "INSERT INTO t (id, w) VALUES (2, strftime('%s', ' NOW '))",
        "INSERT INTO t (id, w) VALUES (2, date('2024-01-01', 'localtime'))",
        "INSERT INTO t (id) VALUES (2)",
        "INSERT INTO t (id, w) VALUES (2, last_insert_rowid())",
        "DELETE FROM t LIMIT 1",
        "INSERT INTO t (v) SELECT v FROM t LIMIT 1",
        "PRAGMA user_version = 2",
        "ATTACH ':memory:' AS other",
        "CREATE TEMP TABLE s (x)",
        "BEGIN",
        "COMMIT",
        "SAVEPOINT statement",
        "  -- nothing",
    ],
)
def test_a_write_that_could_differ_between_replicas_is_unsupported(engine, text):
    with pytest.raises(UnsupportedSqlError):
        write(engine, text)
    assert rows_of(engine.live) == rows_of(engine.draft) == [(1, "a")]


@pytest.mark.parametrize(
    ("text", "parameters"),
    [
        ("INSERT INTO t VALUES (2, 'b', datetime('2024-01-01', '+1 day'))", ()),
        (
            "INSERT INTO t (id, v, w) SELECT id + 1, 'b', 0 FROM t ORDER BY id LIMIT 1",
            (),
        ),
        ("INSERT INTO t VALUES (?, 'b', ' now, limit 1')", (2,)),
    ],
)
def test_a_deterministic_write_reaches_both_copies(engine, text, parameters):
    write(engine, text, *parameters)
    assert rows_of(engine.live) == rows_of(engine.draft) == [(1, "a"), (2, "b")]


@pytest.mark.parametrize(
    "text",
    [
        "DELETE FROM t",
        "WITH s AS (SELECT 1) DELETE FROM t",
        "DROP TABLE t",
        "REINDEX",
        "SELECT 1 FROM t; DELETE FROM t",
        "",
    ],
)
@pytest.mark.parametrize("draft", [False, True])
def test_a_read_changes_nothing(engine, text, draft):
    read = engine.read_draft if draft else engine.read
    with pytest.raises((UnsupportedSqlError, SqlError)):
        read(Statement(text))
    assert rows_of(engine.live) == rows_of(engine.draft) == [(1, "a")]


@pytest.mark.parametrize(
    ("text", "parameters"),
    [
        (INSERT, (1, "twice")),
        ("INSERT OR FAIL INTO t VALUES (2, 'b', 0), (1, 'c', 0)", ()),
        (INSERT, (2**70, "b")),
        (INSERT, (2, ["nested"])),
        (INSERT, (2,)),
        ("INSERT INTO missing VALUES (1)", ()),
        ("INSERT", ()),
    ],
)
def test_a_failed_write_leaves_no_effect_in_its_transaction(engine, text, parameters):
    engine.begin()
    engine.write(Statement(INSERT, (5, "kept")))
    with pytest.raises(SqlError):
        engine.write(Statement(text, parameters))
    engine.commit()
    assert rows_of(engine.live) == rows_of(engine.draft) == [(1, "a"), (5, "kept")]


def test_a_conflict_may_end_the_transaction(engine):
    engine.begin()
    with pytest.raises(SqlError):
        engine.write(Statement("INSERT OR ROLLBACK INTO t VALUES (1, 'b', 0)"))
    assert not engine.is_open()


def test_reads_outside_see_only_what_is_committed(engine):
    engine.begin()
    engine.write(Statement(INSERT, (2, "b")))
    query = Statement("SELECT count(*) FROM t")
    assert engine.read(query).rows == [[1]]
    assert engine.read_draft(query).rows == [[2]]
    engine.rollback()
    assert engine.read_draft(query).rows == [[1]]


@pytest.mark.parametrize(
    "text",
    [
        "WITH RECURSIVE s (x) AS (SELECT 1 UNION ALL SELECT x + 1 FROM s)"
        " SELECT count(*) FROM s",
        f"WITH RECURSIVE s (x) AS (SELECT 1 UNION ALL SELECT x + 1 FROM s"
        f" LIMIT {MAX_ROWS + 1}) SELECT x FROM s",
        "SELECT zeroblob(100000000)",
    ],
)
def test_an_endless_read_is_stopped(engine, text):
    with pytest.raises(SqlError):
        engine.read(Statement(text))


def test_reads_may_ask_for_the_clock(engine):
    query = Statement("SELECT datetime('now') IS NOT NULL, random() IS NOT NULL")
    assert engine.read(query).rows == [[1, 1]]
    assert engine.read_draft(query).rows == [[1, 1]]


def grow(log: EntryLog, term: int, count: int) -> EntryLog:
    for _ in range(count):
        position = len(log) + 1
        change = Change("INSERT INTO t VALUES (?, ?, 0)", (position, f"{term}"))
        log = log.append(Entry(term, position, "r", (change,)))
    return log


@pytest.mark.parametrize("kept", [1, 40, BASE_LAG_ENTRIES + 2 * BASE_BATCH_ENTRIES])
def test_a_dropped_suffix_is_undone(kept):
    engine = Engine()
    table = EntryLog().append(Entry(1, 1, "r", (Change(TABLE),)))
    base = grow(table, 1, kept)
    old = base
    engine.follow(EntryLog(), base)
    for _ in range(3 * BASE_BATCH_ENTRIES + BASE_LAG_ENTRIES):
        longer = grow(old, 1, 1)
        engine.follow(old, longer)
        old = longer
    new = grow(base, 2, 3)
    engine.follow(old, new)
    expected = [(entry.position, str(entry.term)) for entry in list(new)[1:]]
    assert rows_of(engine.live) == rows_of(engine.draft) == expected
    engine.close()
