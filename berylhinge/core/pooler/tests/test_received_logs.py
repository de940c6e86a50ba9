from __future__ import annotations

import pytest

from ....types import DatabaseRole, ReceivedPoint
from ..catalogue import Database
from ..received_logs import (
    are_logs_missing,
    continue_log_wait,
    find_successors,
    is_log_wait_over,
    LogSurvey,
    MISSING_LOG_LOOK_SECONDS,
    MISSING_LOG_WAIT_SECONDS,
    MissingLogWait,
)

SHORT, LONG = ReceivedPoint(3, 10), ReceivedPoint(3, 12)


def replica(name: str, *, leaving: bool = False) -> Database:
    return Database(
        id=name,
        service="s",
        address="",
        failure_domain=f"domain-{name}",
        slots=2,
        role=DatabaseRole.REPLICA,
        leaving=leaving,
        born_ms=0,
    )


@pytest.mark.parametrize(
    ("known", "replicas", "synchronous", "expected"),
    [
        ("ab", "ab", 1, False),
        ("a", "ab", 1, True),
        ("", "ab", 1, True),
        ("a", "ab", 0, False),
        ("", "ab", 0, False),
        # Each commit is at two of three replicas, so any two show them all.
        ("ab", "abc", 2, False),
        ("a", "abc", 2, True),
        ("ab", "abc", 1, True),
        # More than there are: one log has to be known all the same.
        ("", "ab", 9, True),
        ("a", "ab", 9, False),
        ("a", "a", 1, False),
    ],
)
def test_enough_logs_are_known_to_show_every_acknowledged_commit(
    known: str, replicas: str, synchronous: int, expected: bool
) -> None:
    survey = LogSurvey(dict.fromkeys(known, SHORT), {})
    entries = [replica(name) for name in replicas]
    assert are_logs_missing(survey, entries, synchronous) is expected


def test_a_database_without_status_shows_no_log() -> None:
    # A position that was not told counted as position zero, or as what was applied.
    survey = LogSurvey({"a": SHORT}, {"b": LONG})
    assert are_logs_missing(survey, [replica("a"), replica("b")], 1)


@pytest.mark.parametrize(
    ("received", "leaving", "evacuated", "synchronous", "is_planned", "expected"),
    [
        ({"a": SHORT, "b": LONG}, "", "", 1, False, "ab"),
        ({"a": SHORT, "b": LONG}, "b", "", 1, False, "b"),
        ({"a": SHORT, "b": LONG}, "", "b", 1, False, "b"),
        ({"a": SHORT, "b": LONG}, "b", "", 1, True, ""),
        ({"a": LONG, "b": LONG}, "b", "", 1, True, "ab"),
        ({"a": LONG, "b": LONG}, "", "b", 1, False, "a"),
        ({"a": SHORT, "b": LONG}, "", "b", 0, False, "a"),
        ({}, "", "b", 1, False, "a"),
    ],
)
def test_a_database_that_leaves_leads_only_if_it_alone_holds_commits(
    received: dict[str, ReceivedPoint],
    leaving: str,
    evacuated: str,
    synchronous: int,
    is_planned: bool,
    expected: str,
) -> None:
    replicas = [replica(name, leaving=name in leaving) for name in "ab"]
    found = find_successors(
        LogSurvey(received, {}),
        replicas,
        [entry for entry in replicas if entry.id not in evacuated],
        synchronous_replicas=synchronous,
        is_planned=is_planned,
    )
    assert "".join(entry.id for entry in found) == expected
    assert all(entry.id in "ab" for entry in found)


@pytest.mark.parametrize(
    ("wait", "now", "expected"),
    [
        (None, 5.0, MissingLogWait(5.0, 5.0)),
        (MissingLogWait(1.0, 2.0), 2.5, MissingLogWait(1.0, 2.5)),
        # The primary came back, and is lost again.
        (MissingLogWait(1.0, 2.0), 2.0 + MISSING_LOG_LOOK_SECONDS, None),
    ],
)
def test_a_wait_for_logs_begins_anew_for_a_later_loss(
    wait: MissingLogWait | None, now: float, expected: MissingLogWait | None
) -> None:
    assert continue_log_wait(wait, now) == (expected or MissingLogWait(now, now))


@pytest.mark.parametrize(
    ("waited", "expected"),
    [(0.0, False), (MISSING_LOG_WAIT_SECONDS, True)],
)
def test_an_entry_that_nobody_renews_does_not_stop_its_service(
    waited: float, expected: bool
) -> None:
    assert is_log_wait_over(MissingLogWait(0.0, waited)) is expected
