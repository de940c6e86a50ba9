from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import eliot
import msgspec
import pytest

from ....core.pooler.diagnosis import explain
from ....log_line_types import find_line_type
from ....standins.metadata_store import wait_until
from .conftest import DECLARATIONS, Fleet

Entry = dict[str, Any]


@pytest.fixture
def log_lines() -> Iterator[list[Entry]]:
    found: list[Entry] = []
    eliot.add_destinations(found.append)
    yield found
    eliot.remove_destination(found.append)


def schema_faults(log_lines: list[Entry]) -> list[str]:
    found = []
    for line in log_lines:
        kind = find_line_type(line["message_type"])
        if kind is None:
            found.append(f"unknown kind: {line}")
            continue
        unknown = line.keys() - kind.__annotations__.keys()
        if unknown:
            found.append(f"unknown fields {unknown}: {line}")
        try:
            msgspec.convert(msgspec.json.decode(msgspec.json.encode(line)), kind)
        except msgspec.ValidationError as error:
            found.append(f"{error}: {line}")
    return found


def failed_request_ids(log_lines: list[Entry], reason: str) -> list[str]:
    return [
        line["request_id"]
        for line in log_lines
        if line["message_type"].endswith("A request failed.")
        and line["reason"] == reason
    ]


def test_a_fleet_with_faults_logs_only_lines_of_known_kinds(
    log_lines: list[Entry], fleet: Fleet
) -> None:
    caller, limited = fleet.caller("strict"), fleet.caller("aged", "k2")
    fleet.caller("nowhere")
    fleet.caller("strict", "unknown")
    for number in range(6):
        caller.ask(f"WRITE item v{number}")
        limited.ask("READ item")
    fleet.group.members[fleet.group.primary].crash()
    fleet.announce()
    caller.ask("WRITE item after")
    wait_until(lambda: caller.ask("WRITE item again")[0].startswith("COMPLETE"))
    fleet.declare({**DECLARATIONS, "version": 4, "routes": []})
    wait_until(lambda: caller.ask("READ item")[0].startswith("ERROR"))
    fleet.declare({"version": "five"})
    fleet.store.put("servers/odd", {"service": 3})
    wait_until(lambda: any("names no database" in str(line) for line in log_lines))
    fleet.instances[1].shut_down()
    assert schema_faults(log_lines) == []
    kinds = {line["message_type"] for line in log_lines}
    assert {
        "callers: A request was served.",
        "callers: A request was refused.",
        "duty: A promotion was asked for.",
        "holder: A database does not answer.",
        "registry: Declarations were not understood.",
    } <= kinds


def test_a_request_over_the_rate_is_explained(
    log_lines: list[Entry], fleet: Fleet
) -> None:
    limited = fleet.caller("aged", "k2")
    for _ in range(6):
        limited.ask("READ item")
    found = explain(log_lines, failed_request_ids(log_lines, "rate")[0])
    assert found is not None
    assert found.cause == "The organisation is over its rate."
    assert [line["version"] for line in found.evidence] == [3]
    assert found.evidence[0]["quotas"]["small"] == [1, 3]


def test_a_write_under_a_crash_is_explained(
    log_lines: list[Entry], fleet: Fleet
) -> None:
    caller = fleet.caller("strict")
    caller.ask("BEGIN")
    caller.ask("WRITE item one")
    fleet.group.members[fleet.group.primary].crash()
    caller.ask("WRITE item two")
    failed = [line for line in log_lines if "request failed" in line["message_type"]]
    wait_until(lambda: any("promotion" in line["message_type"] for line in log_lines))
    found = explain(log_lines, failed[0]["request_id"])
    assert found is not None
    kinds = {line["message_type"] for line in found.evidence}
    assert "duty: A promotion was asked for." in kinds
