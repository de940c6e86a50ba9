from __future__ import annotations

from typing import Any

import msgspec
import pytest
from returns.result import Failure, Success

from ...core.pooler.catalogue import Consistency, Quota, Service
from ...types import DatabaseRole
from ..documents import (
    decode_cold_left,
    decode_database,
    decode_declarations,
    decode_evacuation,
)

CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "r-8p",
            "host": "xapu",
            "prefix": "/",
            "kind": "bounded_stale",
            "timeout-ms": 1500,
            "latency-goal-ms": 400,
            "priority": 2,
            "service": "huvo",
            "max-staleness-ms": 1500,
            "public": False,
            "home-regions": ["norge"],
        },
        {"host": "lepu", "kind": "primary", "service": "huvo"},
    ],
    "services": [{"name": "huvo", "max-conns": 16, "sync-replicas": 0}],
    "limits": {"tx-idle-ms": 3000},
    "tenants": [
        {"name": "nypu", "api-keys": ["k1", "k2"], "rate-per-s": 70, "burst": 71},
        {"name": "kova", "home-regions": ["norge", "sverige"]},
        {"name": "tolu", "home-regions": []},
    ],
    "new-field": {"ignored": True},
}
DATABASE = {
    "service": "huvo",
    "address": "10.128.0.9:8080",
    "zone": "oslo-a",
    "version": "v1",
    "capacity": 2,
    "state": "ready",
    "cold-left-ms": 0,
    "db-role": "replica",
    "sequence": 4,
    "born": 1786331977620,
}


def test_configuration() -> None:
    found = decode_declarations(msgspec.json.encode(CONFIGURATION)).unwrap()
    assert found.version == 7
    assert found.keys == {"k1": "nypu", "k2": "nypu"}
    assert found.quotas == {"nypu": Quota(70, 71)}
    assert found.routes["xapu"].homes == {"norge"}
    assert found.routes["lepu"].homes == frozenset()
    assert found.homes == {"kova": {"norge", "sverige"}}
    assert found.services == {"huvo": Service("huvo", 16)}
    route = found.routes["xapu"]
    assert route.consistency is Consistency.BOUNDED
    assert (route.timeout_seconds, route.max_staleness_seconds) == (1.5, 1.5)
    assert found.routes["lepu"].consistency is Consistency.PRIMARY


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"\xff\xfe",
        b"[]",
        b"{}",
        msgspec.json.encode({**CONFIGURATION, "version": "seven"}),
        msgspec.json.encode({**CONFIGURATION, "routes": [{"host": "x"}]}),
    ],
)
def test_an_invalid_configuration_is_a_failure(value: bytes) -> None:
    result = decode_declarations(value)
    assert isinstance(result, Failure)
    assert result.failure()


def test_database() -> None:
    found = decode_database("i-7f", msgspec.json.encode(DATABASE)).unwrap()
    assert (found.id, found.failure_domain, found.slots) == ("i-7f", "oslo-a", 2)
    assert (found.role, found.leaving) == (DatabaseRole.REPLICA, False)
    assert found.born_ms == 1786331977620


@pytest.mark.parametrize(
    "changes",
    [
        {"state": "dancing"},
        {"db-role": "boss"},
        {"capacity": "two"},
        {"address": None},
        {"service": 5},
        {"born": "today"},
    ],
)
def test_an_invalid_announcement_is_a_failure(changes: dict[str, object]) -> None:
    value = msgspec.json.encode({**DATABASE, **changes})
    assert isinstance(decode_database("i-7f", value), Failure)


def test_a_draining_database_is_leaving() -> None:
    value = msgspec.json.encode({**DATABASE, "state": "draining"})
    result = decode_database("i-7f", value)
    assert isinstance(result, Success)
    assert result.unwrap().leaving


DEEP = b'{"x":' + b"[" * 200_000


@pytest.mark.parametrize(
    "decode", [decode_declarations, lambda v: decode_database("i", v)]
)
def test_a_value_nested_too_deeply_is_reported(decode: Any) -> None:
    assert isinstance(decode(DEEP), Failure)


@pytest.mark.parametrize("address", ["nonsense", "10.0.0.1", "10.0.0.1:x", "host:80"])
def test_an_entry_without_a_usable_address_names_no_database(address: str) -> None:
    value = msgspec.json.encode({**DATABASE, "address": address})
    assert isinstance(decode_database("i", value), Failure)


@pytest.mark.parametrize(
    ("value", "expected"),
    [
        (b'{"cold-left-ms": 2500}', 2.5),
        (b'{"cold-left-ms": 0}', 0.0),
        (b'{"cold-left-ms": -5}', 0.0),
        (b"{}", 0.0),
        # A database with an odd field stays usable, as a warm one.
        (b'{"cold-left-ms": "long"}', 0.0),
        (b"\xff", 0.0),
        (DEEP, 0.0),
    ],
)
def test_how_long_a_database_is_cold(value: bytes, expected: float) -> None:
    assert decode_cold_left(value) == expected


def test_a_key_evacuates_the_domain_that_it_names() -> None:
    assert decode_evacuation("op/evacuate/oslo-a") == Success("oslo-a")


def test_a_key_without_a_domain_is_a_failure() -> None:
    assert isinstance(decode_evacuation("op/evacuate/"), Failure)
