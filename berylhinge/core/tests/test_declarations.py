from __future__ import annotations

from typing import Any

import pytest

from ..declaration_validation import validate_declaration
from ..declarations import convert_declaration
from ..document_reader import parse_json
from .sample_declarations import (
    organisation_record,
    parsed_sample,
    sample_document,
    upstream_record,
)

NAN = float("nan")


def test_sample_is_valid() -> None:
    assert validate_declaration(parsed_sample()) == ((), ())


@pytest.mark.parametrize(
    "changes, path",
    [
        (
            {"organisations": [organisation_record("a") | {"burst": 0}]},
            "organisations[0].burst",
        ),
        (
            {"organisations": [organisation_record("a") | {"rate_per_second": NAN}]},
            "organisations[0].rate_per_second",
        ),
        (
            {"organisations": [organisation_record("a") | {"rate_per_second": -1}]},
            "organisations[0].rate_per_second",
        ),
        (
            {"organisations": [organisation_record("a") | {"rate_per_second": True}]},
            "organisations[0].rate_per_second",
        ),
        (
            {
                "organisations": [
                    organisation_record("a") | {"rate_per_second": 10**400}
                ]
            },
            "organisations[0].rate_per_second",
        ),
        (
            {"organisations": [organisation_record("a") | {"wieght": 2}]},
            "organisations[0].wieght",
        ),
        ({"organisations": [{"id": "a"}]}, "organisations[0].burst"),
        ({"organisations": [organisation_record("a b")]}, "organisations[0].id"),
        ({"organisations": [organisation_record("")]}, "organisations[0].id"),
        (
            {"organisations": [organisation_record("a", tier="x" * 64)]},
            "organisations[0].labels.tier",
        ),
        ({"organisations": {}}, "organisations"),
        ({"upstreams": [upstream_record(0, data="localhost:1")]}, "upstreams[0].data"),
        ({"upstreams": [upstream_record(0, data="127.0.0.1")]}, "upstreams[0].data"),
        ({"upstreams": [upstream_record(0, data="127.0.0.1:0")]}, "upstreams[0].data"),
        (
            {"upstreams": [upstream_record(0, data="127.0.0.1:70000")]},
            "upstreams[0].data",
        ),
        (
            {"upstreams": [upstream_record(0, control="127.0.0.1:٣")]},
            "upstreams[0].control",
        ),
        ({"upstreams": [upstream_record(0, slots=0)]}, "upstreams[0].slots"),
        ({"upstreams": [upstream_record(0, slots=1.5)]}, "upstreams[0].slots"),
        ({"upstreams": [upstream_record(0, state="gone")]}, "upstreams[0].state"),
        (
            {"routes": [{"id": "r", "groups": {"match_label": {}}, "open": True}]},
            "routes[0].groups.match_label",
        ),
        ({"routes": [{"id": "r", "groups": {}, "open": 1}]}, "routes[0].open"),
        (
            {"routes": [{"id": "r", "groups": {}, "max_age_seconds": -1}]},
            "routes[0].max_age_seconds",
        ),
        ({"extra": 1}, "extra"),
    ],
)
def test_invalid_field_is_reported(changes: dict[str, Any], path: str) -> None:
    errors = convert_declaration(sample_document(**changes)).failure()
    assert f"$.{path}" in {error.path for error in errors}
    assert all(error.expected and error.remedy for error in errors)


def test_all_invalid_fields_are_collected() -> None:
    document = sample_document(
        organisations=[organisation_record("a b") | {"burst": 0}],
        upstreams=[upstream_record(0, slots=0, connections=-5)],
    )
    errors = convert_declaration(document).failure()
    assert [error.path for error in errors] == [
        "$.organisations[0].id",
        "$.organisations[0].burst",
        "$.upstreams[0].connections",
        "$.upstreams[0].slots",
    ]


@pytest.mark.parametrize("text", ["", "{", '{"a": 1, "a": 2}', "[" * 100_000, b"\xff"])
def test_invalid_json_is_rejected(text: bytes | str) -> None:
    (error,) = parse_json(text).failure()
    assert error.path == "$"


def key(**changes: str) -> dict[str, str]:
    plain = {"id": "k", "organisation": "ark", "state": "granted"}
    return {**plain, "salt": "A" * 22 + "==", "hash": "A" * 43 + "=", **changes}


def route(**changes: Any) -> dict[str, Any]:
    return {"id": "r", "groups": {"match_labels": {"home": "north"}}, **changes}


NO_VALUES = {"match_expressions": [{"key": "home", "operator": "In", "values": []}]}


@pytest.mark.parametrize(
    "changes, paths",
    [
        ({"keys": [key()]}, []),
        ({"keys": [key(organisation="cat")]}, ["keys[0].organisation"]),
        ({"keys": [key(salt="AAAA")]}, ["keys[0].salt"]),
        ({"keys": [key(hash="AAAA")]}, ["keys[0].hash"]),
        ({"keys": [key(), key()]}, ["keys[1].id"]),
        (
            {"organisations": [organisation_record("a", home="north")] * 2},
            ["organisations[1].id"],
        ),
        (
            {
                "upstreams": [upstream_record(place) for place in range(5)]
                + [upstream_record(5, group="g9")]
            },
            ["upstreams[5].group"],
        ),
        (
            {
                "upstreams": [
                    upstream_record(place, data="127.0.0.1:1") for place in (0, 3)
                ]
            },
            ["upstreams[1].data"],
        ),
        ({"upstreams": [upstream_record(0)]}, ["groups[1]"]),
        ({"routes": [route()]}, ["routes[0]"]),
        ({"routes": [route(open=True, organisations={})]}, ["routes[0]"]),
        ({"routes": [route(open=True)]}, []),
        (
            {"routes": [route(open=True, match_organisation=["home"])]},
            ["routes[0].match_organisation"],
        ),
        (
            {"routes": [route(organisations=NO_VALUES)]},
            ["routes[0].organisations.match_expressions[0].values"],
        ),
        ({"routes": [route(groups={}, organisations={})]}, ["routes[0]"] * 2),
        ({"routes": [route(groups={}, open=True)]}, ["routes[0]"]),
    ],
)
def test_contradictory_fields_are_reported(
    changes: dict[str, Any], paths: list[str]
) -> None:
    findings = validate_declaration(parsed_sample(**changes))
    assert [error.path for error in findings.errors] == [f"$.{path}" for path in paths]


@pytest.mark.parametrize(
    "changes, path",
    [
        (
            {"routes": [route(groups={"match_labels": {"home": "east"}}, open=True)]},
            "$.routes[0].groups",
        ),
        (
            {"routes": [route(organisations={"match_labels": {"home": "east"}})]},
            "$.routes[0].organisations",
        ),
        (
            {"routes": [route(organisations={}, match_organisation=["home"])]},
            "$.routes[0]",
        ),
    ],
)
def test_empty_selection_is_a_warning(changes: dict[str, Any], path: str) -> None:
    findings = validate_declaration(parsed_sample(**changes))
    assert findings.errors == ()
    assert [warning.path for warning in findings.warnings] == [path]
