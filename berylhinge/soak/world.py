"""Run the stand-ins and the real pooler processes of one soak."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import time
from itertools import chain
from pathlib import Path
from random import SystemRandom
from typing import NamedTuple, TYPE_CHECKING

import gevent
import msgspec
from gevent import socket

from ..standins.database_group import DatabaseGroup
from ..standins.declared import announce, COLD_START_SECONDS, declare
from ..standins.metadata_store import MetadataStore
from ..standins.session_database import SessionDatabase
from ..tasks.http_server import Address, server_address
from .history import Span
from .proxy import LoopbackProxy

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from ..standins.metadata_store import StoreCopy
    from .schedule import Fault

DATABASES = ("db-a", "db-b", "db-c")
ZONES = ("x", "y", "z")
ANNOUNCE_SECONDS = 0.3
# Bounds of what the instances agreed on, as a platform sets them.
EVACUATION_MS = 3000.0
COLD_EXCESS_FACTOR = 1.5
COLD_EXCESS_REQUESTS = 5.0
STOP_SECONDS = 5.0
# From an order to its effect, where commits go on meanwhile.
PROMOTE_SECONDS = 0.4
GRACE_SECONDS = 3.0
# Capacities of the instances in turn, in a fleet of unequal ones.
CORES = (1.0, 0.5, 2.15)
OWN_LISTENERS = ("readiness", "peers", "metrics")
# Below the ports that Linux gives to outgoing connections (ip_local_port_range).
PORTS = (10_000, 32_000)


def free_addresses() -> Iterator[str]:
    """Return loopback addresses that nobody uses now, each once."""
    start = SystemRandom().randrange(*PORTS)
    for port in chain(range(start, PORTS[1]), range(PORTS[0], start)):
        if is_free(port):
            yield f"127.0.0.1:{port}"


def is_free(port: int) -> bool:
    """Tell whether a loopback port can be bound now."""
    with socket.socket() as sock:
        try:
            sock.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


class Instance(NamedTuple):
    """Hold one pooler's settings file, addresses and proxies."""

    name: str
    path: Path
    callers: Address
    store: LoopbackProxy
    front: LoopbackProxy


class World:
    """Own one store, one group of databases and some pooler processes."""

    def __init__(
        self,
        folder: Path,
        *,
        instances: int,
        organisations: int,
        agreed_terms: Sequence[str] = (),
        synchronous_replicas: int = 0,
    ) -> None:
        """Start the stand-ins; ``start`` starts the processes."""
        self.folder = folder
        self.agreed_terms = agreed_terms
        self.store = MetadataStore(Address("127.0.0.1", 0))
        self.group = DatabaseGroup("s")
        self.group.synchronous_replicas = synchronous_replicas
        self.group.promote_seconds = PROMOTE_SECONDS if synchronous_replicas else 0.0
        self.paths: dict[str, LoopbackProxy] = {}
        for name, zone in zip(DATABASES, ZONES, strict=True):
            database = SessionDatabase(self.group, name, max_connections=24)
            database.zone = zone if agreed_terms else ZONES[0]
            self.paths[name] = LoopbackProxy("127.0.0.1", database.server.server_port)
            database.advertised = self.paths[name].address
        self.store.on_promotion = self.promote
        self.addresses = free_addresses()
        self.version = 1
        self.keys = {f"k{number}": f"org-{number}" for number in range(organisations)}
        self.withdrawn: dict[str, float] = {}
        self.copies: dict[Fault, StoreCopy] = {}
        self.evacuated_at: dict[str, float] = {}
        self.evacuations: list[Span] = []
        self.cold: list[Span] = []
        self.write_declarations()
        self.instances: dict[str, Instance] = {}
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        for number in range(instances):
            cores = CORES[number % len(CORES)] if agreed_terms else CORES[0]
            self.add(f"n{number}", first=number == 0, cores=cores)
        self.announcer = gevent.spawn(self.announce_forever)

    def add(self, name: str, *, first: bool, cores: float) -> None:
        """Write an instance's settings."""
        store = LoopbackProxy("127.0.0.1", server_address(self.store.server).port)
        callers = next(self.addresses)
        host, _, port = callers.partition(":")
        settings = {
            "instance": name,
            "place": "x",
            "callers": callers,
            "store": store.address,
            "promotions": store.address,
            "first_start": first,
            "grace_seconds": GRACE_SECONDS,
            "agreed_terms": self.agreed_terms,
            "evacuation_ms": EVACUATION_MS,
            "cold_excess_factor": COLD_EXCESS_FACTOR,
            "cold_excess_requests": COLD_EXCESS_REQUESTS,
            "processor_cores": cores,
            **{key: next(self.addresses) for key in OWN_LISTENERS},
        }
        path = self.folder / f"{name}.json"
        path.write_bytes(msgspec.json.encode(settings))
        front = LoopbackProxy(host, int(port))
        address = Address(host, int(port))
        self.instances[name] = Instance(name, path, address, store, front)

    def start(self, name: str) -> None:
        """Start an instance's process unless it runs; its lines are appended."""
        process = self.processes.get(name)
        if process is not None and process.poll() is None:
            return
        command = [sys.executable, "-m", "berylhinge.cli.pooler", "--settings"]
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                [*command, str(self.instances[name].path)],
                stdout=log,
                stderr=log,
                env={**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)},
            )

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process that was started here and still runs."""
        process = self.processes.get(name)
        if process is not None and process.poll() is None:
            process.send_signal(number)

    def announce_forever(self) -> None:
        """Let each running database report itself."""
        while True:
            self.announce()
            gevent.sleep(ANNOUNCE_SECONDS)

    def announce(self) -> None:
        """Write the entries of running databases, and remove the others."""
        now = time.monotonic()
        cold = {span.database: span.ends_at for span in self.cold}
        for member in self.group.members.values():
            left = max(0.0, cold.get(member.id, 0.0) - now)
            member.cold_left_ms = int(left * 1000)
            announce(self.store, member)

    def promote(self, service: str, name: str) -> bool:
        """Carry out a promotion."""
        done = self.group.promote(service, name)
        self.announce()
        return done

    def declare(self) -> None:
        """Put the next version in force."""
        self.version += 1
        self.write_declarations()

    def write_declarations(self) -> None:
        """Write what the operator declares."""
        limits_cold = bool(self.agreed_terms)
        declare(
            self.store,
            self.version,
            self.keys,
            limits_cold=limits_cold,
            synchronous_replicas=self.group.synchronous_replicas,
        )

    def restart_database(self, name: str) -> None:
        """Let a database come back, cold where the instances know of that."""
        database = self.group.members[name]
        if self.agreed_terms:
            now = time.monotonic()
            self.cold.append(Span(name, now, now + COLD_START_SECONDS))
        database.restart()
        self.announce()

    def evacuate(self, name: str) -> None:
        """Order the evacuation of a database's failure domain."""
        self.store.put(f"op/evacuate/{self.group.members[name].zone}", {})
        self.evacuated_at.setdefault(name, time.monotonic())

    def take_back(self, name: str) -> None:
        """End the evacuation of a database's failure domain."""
        ordered_at = self.evacuated_at.pop(name, None)
        if ordered_at is not None:
            self.evacuations.append(Span(name, ordered_at, time.monotonic()))
        self.store.delete(f"op/evacuate/{self.group.members[name].zone}")

    def restore_store(self, copy: StoreCopy) -> None:
        """Go back to a copy of the store; the operator and the databases write again."""
        self.store.restore(copy)
        self.write_declarations()
        for name, member in self.group.members.items():
            if name in self.evacuated_at:
                self.store.put(f"op/evacuate/{member.zone}", {})
            else:
                self.store.delete(f"op/evacuate/{member.zone}")
        self.announce()

    def close(self) -> None:
        """End every process that was started here, and the stand-ins."""
        self.announcer.kill()
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait(STOP_SECONDS)
        for instance in self.instances.values():
            instance.store.close()
            instance.front.close()
        for path in self.paths.values():
            path.close()
        for member in self.group.members.values():
            member.crash()
        self.store.close()
