from __future__ import annotations

import gevent
import msgspec
import pytest

from ....standins.metadata_store import wait_until
from ...clock import now_seconds
from ..store_state import SETTLED_ERA_KEY
from .conftest import DECLARATIONS, Fleet

DEEP = b"[" * 200_000
DEEP_OBJECT = b'{"service":' * 50_000
ENTRY = {
    "service": "s",
    "address": "127.0.0.1:9",
    "zone": "x",
    "capacity": 2,
    "state": "ready",
    "db-role": "replica",
    "sequence": 1,
    "born": 1,
    "cold-left-ms": 0,
}
REGISTRATION = ["127.0.0.1:9", "x", False, 0, 0, 1.0]


def with_text(value: object, old: str, new: str) -> bytes:
    """Return a document with one text of it replaced by bytes that are no value."""
    return msgspec.json.encode(value).replace(old.encode(), new.encode())


ODD_DOCUMENTS = [
    b"",
    b"\xff\xfe",
    b"null",
    b"[]",
    b"9" * 5_000,
    b'"\\ud800"',
    DEEP,
    DEEP_OBJECT,
]
ODD_DATABASES = [
    *ODD_DOCUMENTS,
    with_text(ENTRY, '"capacity":2', '"capacity":' + "9" * 400),
    with_text(ENTRY, '"capacity":2', '"capacity":1000000000000'),
    with_text(ENTRY, '"capacity":2', '"capacity":-5'),
    with_text(ENTRY, '"capacity":2', '"capacity":1e999'),
    with_text(ENTRY, '"capacity":2', '"capacity":NaN'),
    with_text(ENTRY, '"born":1', '"born":' + "9" * 5_000),
    with_text(ENTRY, '"sequence":1', '"sequence":-1e999'),
    with_text(ENTRY, '"cold-left-ms":0', '"cold-left-ms":1e308'),
    with_text(ENTRY, '"cold-left-ms":0', '"cold-left-ms":1e999'),
    with_text(ENTRY, ":9", ":65536"),
    with_text(ENTRY, ":9", ":-1"),
    with_text(ENTRY, ":9", ":" + "9" * 5_000),
    with_text(ENTRY, "127.0.0.1:9", "no-address"),
    with_text(ENTRY, '"s"', '"two words"'),
    with_text(ENTRY, '"s"', '"\\r\\nQUERY - RESET"'),
]
ODD_REGISTRATIONS = [
    *ODD_DOCUMENTS,
    with_text(REGISTRATION, ":9", ":65536"),
    with_text(REGISTRATION, ":9", ":-1"),
    with_text(REGISTRATION, ":9", ":" + "9" * 5_000),
    with_text(REGISTRATION, "127.0.0.1:9", "no address"),
    with_text(REGISTRATION, "127.0.0.1:9", ""),
    with_text(REGISTRATION, "127.0.0.1", "two words"),
    with_text(REGISTRATION, "127.0.0.1", "nowhere.invalid"),
    with_text(REGISTRATION, "1.0", "1e308"),
    with_text(REGISTRATION, "1.0", "1e999"),
    with_text(REGISTRATION, "1.0", "5e-324"),
    with_text(REGISTRATION, "false,0", "false," + "9" * 400),
]
ODD_OWN_ENTRIES = [*ODD_DOCUMENTS, b"-1", b"9" * 30]
PREFIXES = {
    "servers/": ODD_DATABASES,
    "berylhinge/instances/": ODD_REGISTRATIONS,
    "berylhinge/duties/promotion/": ODD_OWN_ENTRIES,
    "berylhinge/": ODD_OWN_ENTRIES,
    "op/evacuate/": ODD_OWN_ENTRIES,
}


def put_odd_entries(fleet: Fleet, prefix: str) -> None:
    """Write one entry for each odd value."""
    for number, value in enumerate(PREFIXES[prefix]):
        fleet.store.put(f"{prefix}odd-{number}", value)


def serves(fleet: Fleet, instance: int) -> bool:
    """Return whether an instance serves writes."""
    caller = fleet.caller("strict", instance=instance)
    return caller.started == "READY I -" and caller.ask("WRITE item x")[0].startswith(
        "COMPLETE"
    )


@pytest.mark.parametrize("prefix", PREFIXES)
def test_an_odd_entry_stops_no_reader(fleet: Fleet, prefix: str) -> None:
    # One odd entry of another writer ended the machines that read the list, or they
    # stopped following it.
    put_odd_entries(fleet, prefix)
    fleet.declare({**DECLARATIONS, "version": 4})
    wait_until(
        lambda: all(pooler.view.declarations.version == 4 for pooler in fleet.instances)
    )
    gevent.sleep(0.5)
    assert all(serves(fleet, number) for number in range(2))
    started = fleet.add_instance()
    assert started.view.declarations.version == 4
    fleet.declare({**DECLARATIONS, "version": 5})
    wait_until(
        lambda: all(pooler.view.declarations.version == 5 for pooler in fleet.instances)
    )
    wait_until(lambda: serves(fleet, 2))


@pytest.mark.parametrize("value", ODD_DOCUMENTS)
def test_odd_declarations_leave_the_valid_ones_in_force(
    fleet: Fleet, value: bytes
) -> None:
    fleet.store.put("op/config", value)
    gevent.sleep(0.2)
    assert all(pooler.view.declarations.version == 3 for pooler in fleet.instances)
    assert serves(fleet, 0)
    fleet.declare({**DECLARATIONS, "version": 4})
    wait_until(
        lambda: all(pooler.view.declarations.version == 4 for pooler in fleet.instances)
    )


@pytest.mark.parametrize("key", [SETTLED_ERA_KEY, "berylhinge/duties/promotion/s"])
def test_odd_values_of_the_own_keys_stop_no_reader(fleet: Fleet, key: str) -> None:
    # A number with too many digits ended the read of the whole store at a start.
    for value in ODD_OWN_ENTRIES:
        fleet.store.put(key, value)
        gevent.sleep(0.05)
    assert serves(fleet, 0)
    for value in ODD_OWN_ENTRIES:
        fleet.store.put(key, value)
        started = fleet.instances[0].store.read_all("").unwrap()
        fleet.instances[0].registry.apply_snapshot(started, now_seconds())
    assert serves(fleet, 0)


def test_the_correction_of_an_odd_entry_is_followed(fleet: Fleet) -> None:
    for value in ODD_DATABASES:
        fleet.store.put(f"servers/{fleet.group.primary}", value)
        gevent.sleep(0.05)
        fleet.announce()
        wait_until(lambda: serves(fleet, 0) and serves(fleet, 1))
