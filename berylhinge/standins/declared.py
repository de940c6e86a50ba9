"""Write to the metadata store what the operator and the databases write there."""

from __future__ import annotations

from typing import Any, TYPE_CHECKING

if TYPE_CHECKING:
    from .metadata_store import MetadataStore
    from .session_database import SessionDatabase

ROUTE_TIMEOUT_MS = 1_500
# A database that has just started gets so many statements a second, for so long.
COLD_PER_SECOND = 20.0
COLD_START_SECONDS = 2.0


def declare(
    store: MetadataStore,
    version: int,
    keys: dict[str, str],
    *,
    limits_cold: bool = False,
    synchronous_replicas: int = 0,
) -> None:
    """Put one route of each kind in force; ``keys`` holds an organisation for each."""
    document = declarations(version, keys)
    if limits_cold:
        cold = {"cold-per-s": COLD_PER_SECOND, "cold-start-s": COLD_START_SECONDS}
        document["services"][0] |= cold
    if synchronous_replicas:
        document["services"][0]["sync-replicas"] = synchronous_replicas
    store.put("op/config", document)


def announce(store: MetadataStore, member: SessionDatabase) -> None:
    """Write the entry of a running database if it changed, or remove it."""
    key = f"servers/{member.id}"
    if not member.running:
        store.delete(key)
        return
    stored, entry = store.read(key), member.entry()
    if not isinstance(stored, dict) or stored | {"sequence": 0} != entry | {
        "sequence": 0
    }:
        store.put(key, entry)


def declarations(version: int, keys: dict[str, str]) -> dict[str, Any]:
    """Return what the operator declares."""
    common = {"service": "s", "timeout-ms": ROUTE_TIMEOUT_MS}
    return {
        "version": version,
        "routes": [
            {"host": "strict", "kind": "primary", **common},
            {
                "host": "aged",
                "kind": "bounded_stale",
                "max-staleness-ms": 1500,
                **common,
            },
            {
                "host": "own",
                "kind": "read_your_writes",
                "max-staleness-ms": 2500,
                **common,
            },
        ],
        "services": [{"name": "s", "max-conns": 24}],
        "limits": {"tx-idle-ms": 1000},
        "tenants": [
            {"name": name, "api-keys": [key], "rate-per-s": 500, "burst": 500}
            for key, name in keys.items()
        ],
    }
