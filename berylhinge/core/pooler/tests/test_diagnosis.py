from __future__ import annotations

from typing import Any

import pytest

from ..diagnosis import CAUSES, DATABASE_ERROR_CAUSE, explain

Entry = dict[str, Any]


def line(at: float, kind: str, instance: str = "n1", **fields: Any) -> Entry:
    return {"timestamp": at, "message_type": kind, "instance": instance, **fields}


def failed(at: float, reason: str, **fields: Any) -> Entry:
    kind = "callers: A request failed."
    known = {"request_id": "q", "database": "d1", "holder": "n2", "version": 4}
    return line(at, kind, reason=reason, **{**known, **fields})


STORE_LOST = line(9.0, "registry: The store is lost.", error="refused")
STORE_LOST_ELSEWHERE = line(9.0, "registry: The store is lost.", "n9", error="refused")
VERSION = line(1.0, "registry: Declarations are in force.", version=4)
OLDER_VERSION = line(0.5, "registry: Declarations are in force.", version=3)
DATABASE_SILENT = line(9.5, "holder: A database does not answer.", "n2", database="d1")
OTHER_DATABASE_SILENT = line(
    9.5, "holder: A database does not answer.", "n2", database="d7"
)
PROMOTION = line(
    10.2, "duty: A promotion was asked for.", "n2", database="d2", replaced="d1"
)
PEER_SILENT = line(9.9, "peers: A peer is silent.", peer="n2")
PEER_SILENT_BEFORE = line(1.0, "peers: A peer is silent.", peer="n2")
ALL_LINES = [
    STORE_LOST,
    STORE_LOST_ELSEWHERE,
    VERSION,
    OLDER_VERSION,
    DATABASE_SILENT,
    OTHER_DATABASE_SILENT,
    PROMOTION,
    PEER_SILENT,
    PEER_SILENT_BEFORE,
]


@pytest.mark.parametrize(
    ("reason", "evidence"),
    [
        ("rate", [VERSION]),
        ("not-allowed", [VERSION, STORE_LOST]),
        ("answer-lost", [DATABASE_SILENT, PROMOTION]),
        ("unreachable", [DATABASE_SILENT, PROMOTION]),
        ("peer-lost", [PEER_SILENT]),
        ("queue-full", []),
    ],
)
def test_each_reason_gives_the_lines_that_bear_on_it(
    reason: str, evidence: list[Entry]
) -> None:
    final = failed(10.0, reason)
    found = explain([final, *ALL_LINES], "q")
    assert found is not None
    assert found.cause == CAUSES[reason].text
    assert list(found.evidence) == evidence
    assert found.lines == (final,)


def test_lines_of_all_instances_are_sorted_by_time() -> None:
    retry = line(9.8, "router: A statement did not run and is tried elsewhere.", "n3")
    retry |= {"request_id": "q", "reason": "peer-lost", "holder": "n2"}
    final = failed(10.0, "answer-failed")
    found = explain([final, retry, failed(3.0, "rate", request_id="other")], "q")
    assert found is not None
    assert found.lines == (retry, final)
    assert found.cause == DATABASE_ERROR_CAUSE.text


def test_a_served_request_has_no_cause() -> None:
    served = line(2.0, "callers: A request was served.", request_id="q", database="d1")
    found = explain([served], "q")
    assert found is not None
    assert found.cause == "The request was served."


def test_a_request_without_a_final_line_points_at_the_lost_instance() -> None:
    retry = line(9.8, "router: A statement did not run and is tried elsewhere.", "n3")
    retry |= {"request_id": "q", "reason": "unreachable", "database": "d1"}
    gone = line(10.5, "peers: A peer is silent.", "n1", peer="n3")
    found = explain([retry, gone], "q")
    assert found is not None
    assert "lost" in found.cause
    assert found.evidence == (gone,)


def test_an_unknown_id_has_no_explanation() -> None:
    assert explain(ALL_LINES, "nobody") is None


@pytest.mark.parametrize("stamp", [None, "text", True])
def test_lines_without_a_valid_time_are_accepted(stamp: object) -> None:
    odd = {"timestamp": stamp, "message_type": "x", "request_id": "q"}
    assert explain([odd, failed(10.0, "rate")], "q") is not None
