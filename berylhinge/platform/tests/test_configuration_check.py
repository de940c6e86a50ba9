from __future__ import annotations

import copy
import json
from typing import Any

import pytest

from ..configuration_check import (
    check_configuration,
    check_version,
    diff_configurations,
)
from ..documents import decode_declarations

VALID: dict[str, Any] = {
    "version": 3,
    "routes": [
        {"host": "strict", "kind": "primary", "service": "s", "timeout-ms": 1500},
        {
            "host": "aged",
            "kind": "bounded_stale",
            "service": "s",
            "max-staleness-ms": 1500,
        },
    ],
    "services": [{"name": "s", "max-conns": 16}],
    "limits": {"tx-idle-ms": 500},
    "tenants": [
        {"name": "big", "api-keys": ["secret-1"], "rate-per-s": 50, "burst": 5},
        {"name": "small", "api-keys": ["secret-2"], "rate-per-s": 1},
    ],
}
REMOVED = object()


def changed(path: str, value: object) -> dict[str, Any]:
    """Return the valid configuration with one field changed or removed."""
    document = copy.deepcopy(VALID)
    *parts, last = path.split(".")
    found: Any = document
    for part in parts:
        found = found[int(part) if part.isdigit() else part]
    if value is REMOVED:
        del found[last]
    else:
        found[last] = value
    return document


def encoded(document: object) -> bytes:
    return json.dumps(document).encode()


def test_a_valid_configuration_has_no_fault() -> None:
    assert check_configuration(encoded(VALID)).faults == ()


# Guards against: a fault that shows only when instances ignore what was sent.
@pytest.mark.parametrize(
    ("path", "value", "place"),
    [
        ("version", REMOVED, "$.version"),
        ("version", "3", "$.version"),
        ("version", 0, "$.version"),
        ("routes", {}, "$.routes"),
        ("routes", [3], "$.routes[0]"),
        ("limits", [], "$.limits"),
        ("limits.tx-idle-ms", 0, "$.limits.tx-idle-ms"),
        ("routes.0.host", REMOVED, "$.routes[0].host"),
        ("routes.0.kind", "primry", "$.routes[0].kind"),
        ("routes.0.service", ["s"], "$.routes[0].service"),
        ("routes.0.timeout-ms", -1, "$.routes[0].timeout-ms"),
        ("routes.0.timeoutms", 100, "$.routes[0].timeoutms"),
        ("routes.0.public", 1, "$.routes[0].public"),
        ("routes.0.home-regions", "north", "$.routes[0].home-regions"),
        ("routes.1.host", "strict", "$.routes[1].host"),
        ("services.0.max-conns", 0, "$.services[0].max-conns"),
        ("tenants.0.rate-per-s", True, "$.tenants[0].rate-per-s"),
        ("tenants.1.name", "big", "$.tenants[1].name"),
        ("tenants.1.api-keys", ["secret-1"], "$.tenants[1].api-keys[0]"),
    ],
)
def test_a_bad_field_is_named(path: str, value: object, place: str) -> None:
    found = check_configuration(encoded(changed(path, value)))
    assert place in [error.path for error in found.errors]
    assert all(error.got and error.expected and error.remedy for error in found.errors)


@pytest.mark.parametrize(
    ("kind", "path", "value", "place"),
    [
        ("unmatched", "routes.0.service", "t", "$.routes[0].service"),
        ("unmatched", "services.0.name", "t", "$.services[0].name"),
        ("unmatched", "tenants.0.api-keys", [], "$.tenants[0].api-keys"),
        ("unmatched", "tenants.0.api-keys", REMOVED, "$.tenants[0].api-keys"),
        (
            "contradictions",
            "routes.0.latency-goal-ms",
            1501,
            "$.routes[0].latency-goal-ms",
        ),
        # The default goal is 500 ms.
        ("contradictions", "routes.0.timeout-ms", 400, "$.routes[0].latency-goal-ms"),
        (
            "contradictions",
            "routes.1.max-staleness-ms",
            0,
            "$.routes[1].max-staleness-ms",
        ),
        (
            "contradictions",
            "routes.0.max-staleness-ms",
            9,
            "$.routes[0].max-staleness-ms",
        ),
        ("contradictions", "tenants.0.burst", 0.5, "$.tenants[0].burst"),
        ("contradictions", "tenants.0.rate-per-s", REMOVED, "$.tenants[0].rate-per-s"),
    ],
)
def test_what_can_never_be_used_or_met_is_named(
    kind: str, path: str, value: object, place: str
) -> None:
    found = check_configuration(encoded(changed(path, value)))
    assert found.errors == ()
    assert place in [fault.path for fault in getattr(found, kind)]


@pytest.mark.parametrize(
    ("tenant_homes", "places"),
    [
        ([["south"], ["south"]], ["$.routes[0].home-regions"]),
        ([["south", "north"], ["south"]], []),
        ([["south"], []], []),
    ],
)
def test_a_route_whose_homes_exclude_all_tenants_is_named(
    tenant_homes: list[list[str]], places: list[str]
) -> None:
    document = changed("routes.0.home-regions", ["north"])
    for tenant, homes in zip(document["tenants"], tenant_homes, strict=True):
        tenant["home-regions"] = homes
    found = check_configuration(encoded(document))
    assert [fault.path for fault in found.faults] == places


@pytest.mark.parametrize(
    "value", [b"", b"[]", b"3", b"{", b'{"a": 1, "a": 2}', b"\xff"]
)
def test_what_is_no_object_is_one_error(value: bytes) -> None:
    found = check_configuration(value)
    assert found.document is None
    assert [error.path for error in found.errors] == ["$"]


# Guards against: a configuration without errors that instances do not understand.
@pytest.mark.parametrize("value", ["x", -1, None, [], {}, [{}], True, 1.5, [["a"]]])
@pytest.mark.parametrize("path", ["version", "routes", "tenants.0.api-keys", "limits"])
def test_what_has_no_error_is_decoded(path: str, value: object) -> None:
    text = encoded(changed(path, value))
    if not check_configuration(text).errors:
        decode_declarations(text).unwrap()


def test_no_key_is_shown() -> None:
    document = changed("tenants.1.api-keys", ["secret-1", 7])
    found = check_configuration(encoded(document))
    differences = diff_configurations(VALID, document)
    assert found.errors
    assert "tenants.small.api-keys" in [one.path for one in differences]
    assert "secret" not in f"{found.faults} {differences}"


def test_differences_name_entries_and_an_old_version_is_an_error() -> None:
    document = changed("routes.0.timeout-ms", 900)
    assert [tuple(one) for one in diff_configurations(VALID, document)] == [
        ("routes.strict.timeout-ms", "1500", "900")
    ]
    assert diff_configurations(VALID, VALID) == ()
    assert [error.path for error in check_version(VALID, document)] == ["$.version"]
    assert check_version(VALID, {**document, "version": 4}) == []
