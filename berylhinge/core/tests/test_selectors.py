from __future__ import annotations

from typing import Any

import pytest

from ..selectors import check_selector, compile_selector, selector_matches

LABELS = {"tier": "gold", "place": "oslo"}


def expression(key: str, operator: str, *values: str) -> Any:
    found: dict[str, Any] = {"key": key, "operator": operator}
    if values:
        found["values"] = list(values)
    return {"match_expressions": [found]}


@pytest.mark.parametrize(
    "selector, expected",
    [
        ({}, True),
        ({"match_labels": {"tier": "gold"}}, True),
        ({"match_labels": {"tier": "gold", "place": "bergen"}}, False),
        ({"match_labels": {"absent": "gold"}}, False),
        (expression("tier", "In", "gold", "tin"), True),
        (expression("tier", "In", "tin"), False),
        (expression("absent", "In", "tin"), False),
        (expression("tier", "NotIn", "gold"), False),
        (expression("tier", "NotIn", "tin"), True),
        (expression("absent", "NotIn", "tin"), True),
        (expression("tier", "Exists"), True),
        (expression("absent", "Exists"), False),
        (expression("tier", "DoesNotExist"), False),
        (expression("absent", "DoesNotExist"), True),
        ({**expression("tier", "Exists"), "match_labels": {"tier": "tin"}}, False),
    ],
)
def test_matches(selector: Any, expected: bool) -> None:
    assert check_selector(selector, "$") == []
    assert selector_matches(compile_selector(selector), LABELS) is expected


@pytest.mark.parametrize(
    "selector, got",
    [
        (expression("tier", "In"), "none"),
        (expression("tier", "NotIn"), "none"),
        (expression("tier", "Exists", "gold"), "1 values"),
        (expression("tier", "DoesNotExist", "gold", "tin"), "2 values"),
    ],
)
def test_values_must_match_operator(selector: Any, got: str) -> None:
    (error,) = check_selector(selector, "$.groups")
    assert error.path == "$.groups.match_expressions[0].values"
    assert error.got == got
