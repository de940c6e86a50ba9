"""Decode the documents that operators and databases write to the platform's store."""

from __future__ import annotations

from ipaddress import ip_address
from typing import NamedTuple, TypedDict

import msgspec
from returns.result import Failure, Result, Success

from ..core.pooler.catalogue import (
    Consistency,
    Database,
    Declarations,
    Quota,
    Route,
    Service,
)
from ..tasks.http_server import parse_address
from ..types import DatabaseRole, FailureDomainId, Seconds
from .line_framing import check_field

CONFIGURATION_KEY = "op/config"
DATABASES_PREFIX = "servers/"
EVACUATIONS_PREFIX = "op/evacuate/"

CONSISTENCY_BY_KIND = {
    "primary": Consistency.PRIMARY,
    "bounded_stale": Consistency.BOUNDED,
    "read_your_writes": Consistency.SESSION,
}
LEAVING_BY_STATE = {"ready": False, "draining": True}

# `host` is the database name on which callers open a session; `name` is not used.
RouteDocument = TypedDict(
    "RouteDocument",
    {
        "host": str,
        "kind": str,
        "service": str,
        "timeout-ms": float,
        "latency-goal-ms": float,
        "priority": int,
        "public": bool,
        "max-staleness-ms": float,
        "home-regions": list[str],
    },
    total=False,
)
ServiceDocument = TypedDict(
    "ServiceDocument",
    {
        "name": str,
        "max-conns": int,
        "cold-start-s": float,
        "cold-per-s": float,
        "sync-replicas": int,
    },
    total=False,
)
ColdnessDocument = TypedDict("ColdnessDocument", {"cold-left-ms": float}, total=False)
TenantDocument = TypedDict(
    "TenantDocument",
    {
        "name": str,
        "api-keys": list[str],
        "rate-per-s": float,
        "burst": float,
        "home-regions": list[str],
    },
    total=False,
)
LimitsDocument = TypedDict("LimitsDocument", {"tx-idle-ms": float}, total=False)


class ConfigurationDocument(TypedDict, total=False):
    """Describe the operators' whole configuration."""

    version: int
    routes: list[RouteDocument]
    services: list[ServiceDocument]
    tenants: list[TenantDocument]
    limits: LimitsDocument


# `capacity` is the number of slots, `version` that of the software (not used).
DatabaseDocument = TypedDict(
    "DatabaseDocument",
    {
        "service": str,
        "address": str,
        "zone": str,
        "capacity": int,
        "state": str,
        "db-role": str,
        "born": int,
        "sequence": int,
    },
    total=False,
)


class AnnouncementOrder(NamedTuple):
    """Order the announcements of one database: by its start, then by their number."""

    born_ms: int
    sequence: int


FIRST_ANNOUNCEMENT = AnnouncementOrder(0, 0)

# What decoding raises for a value of any other form; too deep nesting raises the last.
MALFORMED_VALUE_ERRORS = (msgspec.MsgspecError, KeyError, ValueError, RecursionError)
# Defaults where the configuration gives no timeout, latency goal or idle limit.
DEFAULT_TIMEOUT_MS = 1000.0
DEFAULT_LATENCY_GOAL_MS = 500.0
DEFAULT_IDLE_TRANSACTION_MS = 3000.0


def decode_declarations(value: bytes) -> Result[Declarations, str]:
    """Decode the operators' configuration, or return what is wrong with it."""
    try:
        document = msgspec.json.decode(value, type=ConfigurationDocument)
        return Success(
            Declarations(
                version=document["version"],
                routes={
                    entry["host"]: decode_route(entry)
                    for entry in document.get("routes", [])
                },
                services={
                    entry["name"]: Service(
                        entry["name"],
                        entry.get("max-conns", 1),
                        entry.get("cold-per-s", 0.0),
                        entry.get("cold-start-s", 0.0),
                        entry.get("sync-replicas", 0),
                    )
                    for entry in document.get("services", [])
                },
                keys={
                    key: entry["name"]
                    for entry in document.get("tenants", [])
                    for key in entry.get("api-keys", [])
                },
                quotas={
                    entry["name"]: Quota(entry["rate-per-s"], entry.get("burst", 1.0))
                    for entry in document.get("tenants", [])
                    if "rate-per-s" in entry
                },
                idle_transaction_seconds=document.get("limits", {}).get(
                    "tx-idle-ms", DEFAULT_IDLE_TRANSACTION_MS
                )
                / 1000,
                homes={
                    entry["name"]: frozenset(entry["home-regions"])
                    for entry in document.get("tenants", [])
                    if entry.get("home-regions")
                },
            )
        )
    except MALFORMED_VALUE_ERRORS as error:
        return Failure(f"{type(error).__name__}: {error}")


def decode_route(entry: RouteDocument) -> Route:
    """Return a route; raise KeyError for an unknown kind or a missing field."""
    return Route(
        name=entry["host"],
        service=entry["service"],
        consistency=CONSISTENCY_BY_KIND[entry["kind"]],
        timeout_seconds=entry.get("timeout-ms", DEFAULT_TIMEOUT_MS) / 1000,
        latency_goal_seconds=entry.get("latency-goal-ms", DEFAULT_LATENCY_GOAL_MS)
        / 1000,
        max_staleness_seconds=entry.get("max-staleness-ms", 0.0) / 1000,
        priority=entry.get("priority", 0),
        public=entry.get("public", False),
        homes=frozenset(entry.get("home-regions", [])),
    )


def decode_database(identifier: str, value: bytes) -> Result[Database, str]:
    """Decode a database's announcement, or return why it is not usable."""
    try:
        entry = msgspec.json.decode(value, type=DatabaseDocument)
        for name in (identifier, entry["service"]):
            check_field(name)
        ip_address(parse_address(entry["address"]).host)
        return Success(
            Database(
                id=identifier,
                service=entry["service"],
                address=entry["address"],
                failure_domain=entry["zone"],
                slots=max(1, entry["capacity"]),
                role=DatabaseRole(entry["db-role"]),
                leaving=LEAVING_BY_STATE[entry["state"]],
                born_ms=entry.get("born", 0),
            )
        )
    except MALFORMED_VALUE_ERRORS as error:
        return Failure(f"{type(error).__name__}: {error}")


def decode_announcement_order(value: bytes) -> AnnouncementOrder:
    """Return the order of a database's announcement, the first if it names none."""
    try:
        entry = msgspec.json.decode(value, type=DatabaseDocument)
    except MALFORMED_VALUE_ERRORS:
        return FIRST_ANNOUNCEMENT
    return AnnouncementOrder(entry.get("born", 0), entry.get("sequence", 0))


def decode_evacuation(key: str) -> Result[FailureDomainId, str]:
    """Return the failure domain that a key asks to evacuate, whatever its value."""
    domain = key.removeprefix(EVACUATIONS_PREFIX)
    if not domain:
        return Failure("got no failure domain after the prefix, expected its name")
    return Success(domain)


def decode_cold_left(value: bytes) -> Seconds:
    """Return for how long a database is still slow after its start, 0 if it is warm."""
    try:
        entry = msgspec.json.decode(value, type=ColdnessDocument)
    except MALFORMED_VALUE_ERRORS:
        return 0.0
    return max(0.0, entry.get("cold-left-ms", 0.0) / 1000)
