from __future__ import annotations

import ast
from pathlib import Path

import pytest

from ..core.pooler.diagnosis import (
    CAUSES,
    DECLARATIONS_MESSAGE_TYPE,
    FINAL_MESSAGE_TYPES,
)
from ..log_line_types import find_line_type, LINE_TYPES
from ..log_lines import InstanceLogLine

PACKAGE = Path(__file__).resolve().parents[1]
TASKS = PACKAGE / "tasks" / "pooler"
OPERATIONS = PACKAGE.parent / "docs" / "OPERATIONS.md"
# Fields that the log calls of ended requests pass as one mapping.
REQUEST_ENDED_FIELDS = {
    "request_id",
    "route",
    "organisation",
    "database",
    "holder",
    "after",
    "attempts",
    "milliseconds",
    "version",
    "confirmed_age",
}


def find_log_calls() -> list[tuple[str, str, set[str]]]:
    found = []
    for path in [*sorted(TASKS.glob("*.py")), PACKAGE / "cli" / "pooler.py"]:
        for node in ast.walk(ast.parse(path.read_text())):
            if not isinstance(node, ast.Call):
                continue
            if isinstance(node.func, ast.Attribute) and node.func.attr == "info":
                text = node.args[0]
                assert isinstance(text, ast.Constant)
                names = {key.arg for key in node.keywords if key.arg}
                if any(key.arg is None for key in node.keywords):
                    names |= REQUEST_ENDED_FIELDS
                found.append((path.stem, str(text.value), names))
    return found


@pytest.mark.parametrize(("module", "text", "fields"), find_log_calls())
def test_every_log_call_has_a_line_type(
    module: str, text: str, fields: set[str]
) -> None:
    fitting = [
        kind for name, kind in LINE_TYPES.items() if name.partition(": ")[2] == text
    ]
    assert len(fitting) == 1, f"{module}: {text}"
    own = set(fitting[0].__annotations__) - set(InstanceLogLine.__annotations__)
    assert fields == own


def test_every_message_type_is_documented() -> None:
    text = OPERATIONS.read_text()
    missing = [kind for kind in LINE_TYPES if f"`{kind}`" not in text]
    assert missing == []


def test_explanations_use_known_message_types() -> None:
    named = {kind for cause in CAUSES.values() for kind in cause.evidence}
    assert {
        *named,
        *FINAL_MESSAGE_TYPES,
        DECLARATIONS_MESSAGE_TYPE,
    } <= LINE_TYPES.keys()


@pytest.mark.parametrize(
    ("message_type", "known"),
    [
        ("router: A request failed unexpectedly.", True),
        ("peers: A peer is silent.", True),
        ("peers: A peer sings.", False),
        ("", False),
    ],
)
def test_line_type_is_found_by_message_type(message_type: str, known: bool) -> None:
    assert (find_line_type(message_type) is not None) is known
