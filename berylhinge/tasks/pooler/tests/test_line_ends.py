from __future__ import annotations

from typing import Any

import pytest

from ....core.pooler.catalogue import Quota
from ....core.pooler.statements import ErrorCode
from ....types import AccessMode
from ....wire.pooling import ExecuteRequest
from .conftest import Fleet

SMUGGLED = "QUERY smuggled WRITE deposit 0"


@pytest.mark.parametrize("instance", [0, 1])
@pytest.mark.parametrize(
    "data",
    [
        f"x\n{SMUGGLED}",
        f"x\r{SMUGGLED}",
        "twice\nthen wait",
        "x\n",
        "x\r",
        "\n",
        "x\x00y",
    ],
)
def test_control_characters_in_a_field_smuggle_nothing(
    fleet: Fleet, data: str, instance: int
) -> None:
    # A line feed in a field cut a write short and ran what followed as a statement.
    caller = fleet.caller("strict", instance=instance)
    texts = [
        f"WRITE item {data}",
        "READ item",
        f"SET mark {data}",
        f"PREPARE p WRITE {data}",
        f"EXECUTE p other {data}",
    ]
    answers = [caller.ask(text) for text in texts]
    assert all("ERROR" not in answer[0] for answer in answers), answers
    assert answers[1][0] == f"ROW {data}"
    ran = [run.text for run in fleet.group.runs]
    assert ran[:2] == texts[:2]
    assert len(ran) == 3
    assert ran[2].startswith("EXECUTE ")
    assert ran[2].endswith(f" other {data}")
    assert dict(fleet.group.runs[2].values) == {"mark": data}


def test_bytes_that_are_no_text_are_refused_and_the_session_goes_on(
    fleet: Fleet,
) -> None:
    # A statement with such bytes ended the session without an answer.
    caller = fleet.caller("strict", instance=1)
    for text in (b"WRITE item \xff", b"SET mark \xff", b"PREPARE p READ \xff"):
        caller.sock.sendall(b"QUERY q1 " + text + b"\r\n")
        assert caller.read_answer()[0].startswith("ERROR MALFORMED")
    assert caller.ask("WRITE item x")[0].startswith("COMPLETE")


@pytest.mark.parametrize(
    "changes",
    [
        {"text": f"WRITE a x\r\n{SMUGGLED}"},
        {"organisation": "two words"},
        {"organisation": f"big\r\n{SMUGGLED}"},
        {"values": {"mark": f"x\r\n{SMUGGLED}"}},
        {"request": f"5c\r\n{SMUGGLED}"},
    ],
)
def test_what_is_not_one_line_is_refused_before_anything_is_sent(
    fleet: Fleet, changes: dict[str, Any]
) -> None:
    request = ExecuteRequest(
        database="i-a",
        organisation="big",
        request="5c",
        text="WRITE a x",
        access=AccessMode.WRITE,
        after=None,
        transaction=0,
        begin_mode="",
        is_commit=False,
        values={},
        prepared={},
        priority=0,
        latency_goal_seconds=1.0,
        give_up_seconds=1.0,
        idle_seconds=1.0,
    )._replace(**changes)
    done = fleet.instances[0].held_databases.run_statement("n1", request)
    assert done.result.code is ErrorCode.MALFORMED
    assert done.reason == "unsendable"
    assert not fleet.group.runs


@pytest.mark.parametrize("name", ["two words", f"a\r\n{SMUGGLED}", ""])
def test_organisations_that_fit_no_field_hide_no_database(
    fleet: Fleet, name: str
) -> None:
    instance = fleet.instances[0]
    known = instance.view.declarations
    instance.view.declarations = known._replace(
        quotas={name: Quota(1.0, 1.0), **known.quotas}
    )
    database = instance.view.databases["i-a"]
    assert instance.promotion_task.statuses.probe_database(database).reachable
