from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import gevent
import pytest

from ....soak.world import free_addresses
from ....standins.database_group import DatabaseGroup
from ....standins.line_session import read_line
from ....standins.metadata_store import MetadataStore, wait_until
from ....standins.session_database import SessionDatabase
from ...http_server import Address, parse_address, server_address
from .. import registry
from ..instance import Pooler
from ..settings import PoolerSettings
from ..store_state import SETTLED_ERA_KEY

DECLARATIONS: dict[str, Any] = {
    "version": 3,
    "routes": [
        {"host": "strict", "kind": "primary", "service": "s", "timeout-ms": 1500},
        {
            "host": "aged",
            "kind": "bounded_stale",
            "service": "s",
            "timeout-ms": 1500,
            "max-staleness-ms": 1500,
        },
        {
            "host": "own",
            "kind": "read_your_writes",
            "service": "s",
            "timeout-ms": 1500,
            "max-staleness-ms": 2500,
        },
    ],
    "services": [{"name": "s", "max-conns": 16}],
    "limits": {"tx-idle-ms": 500},
    "tenants": [
        {"name": "big", "api-keys": ["k1"], "rate-per-s": 500, "burst": 500},
        {"name": "small", "api-keys": ["k2"], "rate-per-s": 1, "burst": 3},
    ],
}


# Outgoing connections of other tests may take any port that they are given at random.
ADDRESSES = free_addresses()


def free_address() -> Address:
    return parse_address(next(ADDRESSES))


class Caller:
    """Speak the line protocol as a caller does."""

    def __init__(self, address: Address, name: str, key: str) -> None:
        self.sock = gevent.socket.create_connection(tuple(address), timeout=5)
        self.file = self.sock.makefile("rb")
        self.number = 0
        self.sock.sendall(f"START {name} {key}\r\n".encode())
        self.started = self.read_line()

    def read_line(self) -> str:
        return str(read_line(self.file).decode().removesuffix("\r\n"))

    def send(self, text: str) -> None:
        self.number += 1
        self.sock.sendall(f"QUERY q{id(self)}n{self.number} {text}\r\n".encode())

    def read_answer(self) -> list[str]:
        lines = [self.read_line()]
        while lines[-1] and not lines[-1].startswith("READY"):
            lines.append(self.read_line())
        return lines

    def ask(self, text: str) -> list[str]:
        self.send(text)
        return self.read_answer()


class Fleet:
    """Run the store, one database group and some instances in this process."""

    def __init__(
        self,
        *,
        promotions_fenced: bool = True,
        settings: dict[str, Any] | None = None,
    ) -> None:
        self.promotions_fenced = promotions_fenced
        self.settings = settings or {}
        self.first_start = True
        self.store = MetadataStore(Address("127.0.0.1", 0))
        self.group = DatabaseGroup("s")
        self.group.stops_deposed = promotions_fenced
        for name in ("i-a", "i-b", "i-c"):
            SessionDatabase(self.group, name)
        self.store.on_promotion = self.promote
        self.declare(DECLARATIONS)
        self.announce()
        self.instances: list[Pooler] = []

    def declare(self, declarations: dict[str, object]) -> None:
        self.store.put("op/config", declarations)

    def announce(self) -> None:
        for member in self.group.members.values():
            if member.running:
                self.store.put(f"servers/{member.id}", member.entry())

    def promote(self, service: str, name: str) -> bool:
        promoted = self.group.promote(service, name)
        self.announce()
        return promoted

    def add_instance(self) -> Pooler:
        store = server_address(self.store.server)
        pooler = Pooler(
            PoolerSettings(
                instance=f"n{len(self.instances)}",
                place="x",
                callers=free_address(),
                readiness=free_address(),
                peers=free_address(),
                metrics=free_address(),
                store=store,
                promotions=store,
                first_start=self.first_start,
                grace_seconds=2.0,
                leaving_ms=7000,
                revocation_ms=5000,
                rate_window_seconds=5.0,
                rate_excess_part=0.1,
                rate_excess_operations=20,
                promotions_fenced=self.promotions_fenced,
                cold_excess_factor=1.5,
                cold_excess_requests=5.0,
                **self.settings,
            )
        )
        pooler.start()
        wait_until(pooler.view.is_confirmed)
        self.instances.append(pooler)
        return pooler

    def caller(self, name: str, key: str = "k1", instance: int = 0) -> Caller:
        return Caller(self.instances[instance].settings.callers, name, key)

    def close(self) -> None:
        for pooler in self.instances:
            pooler.stop()
        for member in self.group.members.values():
            member.crash()
        self.store.close()


@pytest.fixture(autouse=True)
def start_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """Leave out the pauses at a first start, which spread the calls of a large fleet."""
    monkeypatch.setattr(registry, "FIRST_READ_SPREAD_SECONDS", 0.0)
    monkeypatch.setattr(registry, "FIRST_WATCH_DELAY_SECONDS", 0.0)


@pytest.fixture
def fleet() -> Iterator[Fleet]:
    fleet = Fleet()
    fleet.add_instance()
    fleet.add_instance()
    wait_until(lambda: all(len(pooler.view.members) == 2 for pooler in fleet.instances))
    wait_until(lambda: SETTLED_ERA_KEY in fleet.store.items)
    yield fleet
    fleet.close()


@pytest.fixture
def unfenced_fleet() -> Iterator[Fleet]:
    """Run three instances on a platform that stops no deposed primary."""
    fleet = Fleet(promotions_fenced=False)
    for _ in range(3):
        fleet.add_instance()
    wait_until(lambda: all(len(pooler.view.members) == 3 for pooler in fleet.instances))
    yield fleet
    fleet.close()


def start_zoned_fleet(
    settings: dict[str, Any], *, promotions_fenced: bool = True
) -> Fleet:
    """Start two instances, and a database in each of three failure domains."""
    fleet = Fleet(promotions_fenced=promotions_fenced, settings=settings)
    for member, zone in zip(fleet.group.members.values(), "xyz", strict=True):
        member.zone = zone
    fleet.announce()
    fleet.add_instance()
    fleet.add_instance()
    wait_until(lambda: all(len(pooler.view.members) == 2 for pooler in fleet.instances))
    wait_until(lambda: SETTLED_ERA_KEY in fleet.store.items)
    return fleet


@pytest.fixture(params=[True, False], ids=["fenced", "unfenced"])
def evacuating_fleet(request: pytest.FixtureRequest) -> Iterator[Fleet]:
    """Run each database in a failure domain of its own, under a short bound."""
    settings = {"agreed_terms": ("places",), "evacuation_ms": 3000.0}
    fleet = start_zoned_fleet(settings, promotions_fenced=request.param)
    yield fleet
    fleet.close()


@pytest.fixture
def two_region_fleet() -> Iterator[Fleet]:
    """Run a database in the instances' region and the others in another one."""
    regions = {"x": "north", "y": "south", "z": "south"}
    fleet = start_zoned_fleet({"regions": regions})
    yield fleet
    fleet.close()
