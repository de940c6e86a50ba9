"""Stand-ins for scripts of this review: databases, clients, and real poolers.

The databases follow PROTOCOL.md ("The wire", "Databases"): slots, positions, terms,
``AFTER``, promotions that take effect some hundred milliseconds after the call. The
platform's store is the project's own stand-in. Everything listens on loopback.
"""

from __future__ import annotations

import json
import os
import random
import signal
import subprocess
import sys
import time
import traceback
from itertools import count
from pathlib import Path

import gevent
from gevent import socket
from gevent.lock import BoundedSemaphore
from gevent.server import StreamServer

ROOT = Path(__file__).resolve().parents[2]
sys.path[:0] = [str(ROOT), str(ROOT / "target" / "deps")]

from berylhinge.standins.metadata_store import MetadataStore  # noqa: E402
from berylhinge.tasks.http_server import Address, server_address  # noqa: E402

SLOT_WORDS = ("READ", "WRITE", "EXECUTE", "COMMIT", "STATUS")
RUN_WORDS = ("READ", "WRITE", "EXECUTE", "COMMIT")
# How a case ends; run.sh turns the codes into 1, 0 and 2.
BROKEN, HELD, NOT_RUN = 10, 0, 2
PROMISES = ("BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "CONNLIMIT")


class Group:
    """Hold the log of one service; each database holds a prefix of it."""

    def __init__(
        self, service="s", *, lag=0.02, promote_seconds=0.3, slots=2, queue=16, sync=0
    ):
        self.service, self.lag, self.promote_seconds = service, lag, promote_seconds
        self.sync, self.hop_seconds = sync, 0.0009
        self.slots, self.queue = slots, queue
        self.term, self.primary = 1, ""
        self.log = []  # (term, writes, request)
        self.cut_back = []
        self.members = {}
        self.runs = []  # (time, database, connection, tenant, request, text, transaction)
        self.receipts = {}  # receipt -> request
        self.numbers = count(1)
        self.work = lambda word: 0.005
        self.start_seconds = 0.012

    def commit(self, writes, request):
        self.log.append((self.term, writes, request))
        length = len(self.log)
        leader = self.members[self.primary]
        leader.received = leader.applied = length
        self.spread(length)
        term = self.term
        while True:
            if not leader.running or self.term != term:
                raise OSError(
                    "the lead was lost before a replica had received the commit"
                )
            others = [
                member for member in self.members.values() if member is not leader
            ]
            if sum(member.received >= length for member in others) >= self.sync:
                return
            gevent.sleep(0.0005)

    def spread(self, length):
        term = self.term
        for member in self.members.values():
            if member.id != self.primary:
                gevent.spawn_later(self.hop_seconds, member.receive, length, term)

    def promote(self, service, name):
        member = self.members.get(name)
        if service != self.service or member is None or not member.running:
            return False
        gevent.spawn_later(self.promote_seconds, self.lead, name)
        return True

    def lead(self, name):
        member = self.members[name]
        if self.primary == name or not member.running:
            return
        self.term += 1
        # It leads with what it had received, and nothing more.
        self.cut_back += self.log[member.received :]
        del self.log[member.received :]
        for other in self.members.values():
            other.received = min(other.received, member.received)
            other.applied = min(other.applied, member.received)
        self.primary = name
        self.log.append((self.term, {}, ""))
        member.received = member.applied = len(self.log)
        self.spread(member.applied)


class Database:
    """Serve one database of a group."""

    def __init__(self, group, name, zone, max_connections=16):
        self.group, self.id, self.zone = group, name, zone
        self.max_connections = max_connections
        self.received, self.applied, self.sequence, self.running = 0, 0, 0, True
        self.deaf = False
        self.draining = False
        self.waiting = 0
        self.slots = BoundedSemaphore(group.slots)
        self.sockets = set()
        self.server = StreamServer(("127.0.0.1", 0), self.serve)
        self.server.start()
        group.members[name] = self
        group.primary = group.primary or name

    @property
    def leads(self):
        return self.group.primary == self.id

    def receive(self, length, term):
        if (
            self.running
            and not self.deaf
            and term == self.group.term
            and not self.leads
        ):
            self.received = max(self.received, min(length, len(self.group.log)))
            gevent.spawn_later(self.group.lag, self.apply, self.received, term)

    def apply(self, length, term):
        if self.running and term == self.group.term:
            self.applied = max(self.applied, min(length, self.received))

    def position(self, held=None):
        held = self.applied if held is None else held
        return (self.group.log[held - 1][0] if held else 1), held

    def entry(self):
        self.sequence += 1
        return {
            "service": self.group.service,
            "address": f"127.0.0.1:{self.server.server_port}",
            "zone": self.zone,
            "version": "1",
            "capacity": self.group.slots,
            "state": "draining" if self.draining else "ready",
            "db-role": "primary" if self.leads else "replica",
            "sequence": self.sequence,
            "born": 1,
            "cold-left-ms": 0,
        }

    def crash(self):
        self.running = False
        self.server.stop()
        for sock in list(self.sockets):
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def serve(self, sock, _address):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sockets.add(sock)
        try:
            Connection(self, sock).serve()
        except (OSError, ValueError):
            pass
        finally:
            self.sockets.discard(sock)
            sock.close()


class Connection:
    """Hold one connection's transaction, values and prepared names."""

    def __init__(self, database, sock):
        self.database, self.group, self.sock = database, database.group, sock
        self.number = next(self.group.numbers)
        self.state, self.plain, self.term, self.writes = "I", False, 0, {}
        self.values, self.prepared, self.transaction = {}, {}, 0

    def serve(self):
        file = self.sock.makefile("rb")
        first = file.readline().decode().rstrip("\r\n")
        if not first:
            return
        _, service, self.tenant, name = (first + " ").split(" ", 3)
        database = self.database
        if len(database.sockets) > database.max_connections:
            self.sock.sendall(b"ERROR CONNLIMIT full\r\n")
            return
        if service != self.group.service or name.strip() not in ("", database.id):
            self.sock.sendall(b"ERROR WRONGNODE other\r\n")
            return
        with database.slots:
            gevent.sleep(self.group.start_seconds)
        self.sock.sendall(self.ready())
        while line := file.readline():
            _, request, text = line.decode().removesuffix("\r\n").split(" ", 2)
            answer = self.run(request, text)
            if not database.running:
                return
            self.sock.sendall(answer + self.ready())

    def ready(self):
        term, number = self.database.position()
        return f"READY {self.state} {term}.{number}\r\n".encode()

    def error(self, code):
        self.state = "E" if self.state == "T" else self.state
        return f"ERROR {code} {self.database.id}\r\n".encode()

    def done(self, request, *rows):
        receipt = (
            f"{self.group.term}.{next(self.group.numbers):x}.{random.getrandbits(64):x}"
        )
        self.group.receipts[receipt] = request
        return "".join(
            [*(f"ROW {row}\r\n" for row in rows), f"COMPLETE {receipt}\r\n"]
        ).encode()

    def run(self, request, text):
        after = None
        if text.startswith("AFTER "):
            _, point, text = text.split(" ", 2)
            after = tuple(int(part) for part in point.split("."))
        word = text.partition(" ")[0]
        if self.state == "E" and word not in ("COMMIT", "ROLLBACK"):
            return self.error("MALFORMED")
        if word not in SLOT_WORDS:
            return self.run_text(request, text, word, after)
        if self.database.waiting >= self.group.queue:
            return self.error("BUSY")
        self.database.waiting += 1
        try:
            with self.database.slots:
                if word != "STATUS":
                    gevent.sleep(self.group.work(word))
                if not self.database.running or self.is_closed():
                    raise OSError("crashed, or the far end is gone")
                return self.run_text(request, text, word, after)
        finally:
            self.database.waiting -= 1

    def is_closed(self):
        """Tell whether the other side has closed the connection."""
        try:
            return not self.sock._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            return True

    def run_text(self, request, text, word, after):
        if after is not None and self.database.position() < after:
            return self.error("LAGGING")
        rest = text.partition(" ")[2]
        lost = self.plain and self.term != self.group.term
        if word in RUN_WORDS:
            if lost and not (word == "COMMIT" and not self.writes):
                self.roll_back()
                return self.error("READONLY")
            access, rest = self.access(word, rest)
            if access is None:
                return self.error("NOSTMT")
            if access == "WRITE" and not self.database.leads:
                return self.error("READONLY")
            key = (self.number, self.transaction) if self.state == "T" else None
            self.group.runs.append(
                (
                    time.monotonic(),
                    self.database.id,
                    self.number,
                    self.tenant,
                    request,
                    text,
                    key,
                )
            )
            return self.run_data(request, access, rest)
        if word == "BEGIN":
            if rest != "READ" and not self.database.leads:
                return self.error("READONLY")
            self.state, self.plain, self.term = "T", rest != "READ", self.group.term
            self.transaction, self.writes = self.transaction + 1, {}
        elif word == "ROLLBACK":
            self.roll_back()
        elif word == "SET":
            name, _, value = rest.partition(" ")
            self.values[name] = value
        elif word == "RESET":
            self.values, self.prepared = {}, {}
        elif word == "PREPARE":
            name, access, shape = rest.split(" ", 2)
            self.prepared[name] = (access, shape)
        elif word == "DEALLOC":
            self.prepared.pop(rest, None)
        elif word == "STATUS":
            role = "primary" if self.database.leads else "replica"
            term, number = self.database.position(self.database.received)
            row = f"ROW {role} {self.group.term} {term}.{number} {self.group.term} 0 0 1\r\n"
            return row.encode() + b"COMPLETE -\r\n"
        else:
            return self.error("MALFORMED")
        return b"COMPLETE -\r\n"

    def access(self, word, rest):
        if word != "EXECUTE":
            return word, rest
        name, _, arguments = rest.partition(" ")
        access, _ = self.prepared.get(name, (None, ""))
        return access, arguments

    def run_data(self, request, access, rest):
        if access == "READ":
            found = {}
            for _, writes, _ in self.group.log[: self.database.applied]:
                found.update(writes)
            found.update(self.writes)
            return self.done(request, *([found[rest]] if rest in found else []))
        if access == "COMMIT":
            writes, failed = self.writes, self.state == "E"
            self.roll_back()
            if failed:
                return self.error("READONLY")
            if writes:
                self.group.commit(writes, request)
            return self.done(request)
        item, _, data = rest.partition(" ")
        if self.state == "T":
            self.writes[item] = data
        else:
            self.group.commit({item: data}, request)
        return self.done(request)

    def roll_back(self):
        self.writes, self.state, self.plain = {}, "I", False


# Below the ports that Linux gives to outgoing connections.
PORTS = list(range(10_000, 32_000))
random.SystemRandom().shuffle(PORTS)


def free_port():
    """Return a loopback port that nobody uses now, each once."""
    while True:
        port = PORTS.pop()
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        return port


class World:
    """Own a store, one group of three databases and the pooler processes."""

    def __init__(
        self, folder, zones=("x", "y", "z"), group=None, store=MetadataStore, **declared
    ):
        self.folder = Path(folder)
        self.store = store(Address("127.0.0.1", 0))
        self.group = group or Group()
        for name, zone in zip(("db-a", "db-b", "db-c"), ("x", "y", "z"), strict=True):
            Database(self.group, name, zone)
        self.store.on_promotion = self.promote
        self.declared = {"timeout_ms": 1500, "rate": 1000, **declared}
        self.version, self.keys = 1, None
        self.declare()
        self.announce()
        self.processes, self.ports, self.settings = {}, {}, {}
        for number, zone in enumerate(zones):
            self.add(f"n{number}", zone)
        gevent.spawn(self.announce_forever)

    def promote(self, service, name):
        return self.group.promote(service, name)

    def declare(self):
        # The keys of each tenant; None for one key each.
        keys = self.keys or {}
        common = {
            "service": "s",
            "timeout-ms": self.declared["timeout_ms"],
            "latency-goal-ms": 400,
            "priority": 1,
            "public": False,
        }
        tenants = [
            {
                "name": f"t{number}",
                "api-keys": keys.get(f"t{number}", [f"key-{number}"]),
                "rate-per-s": self.declared["rate"],
                "burst": self.declared["rate"],
            }
            for number in range(self.declared.get("tenants", 2))
        ]
        document = {
            "version": self.version,
            "routes": [
                {
                    "name": "r1",
                    "host": "strict",
                    "kind": "primary",
                    "max-staleness-ms": 0,
                    **common,
                },
                {
                    "name": "r2",
                    "host": "aged",
                    "kind": "bounded_stale",
                    "max-staleness-ms": 1500,
                    **common,
                },
                {
                    "name": "r3",
                    "host": "own",
                    "kind": "read_your_writes",
                    "max-staleness-ms": 2500,
                    **common,
                },
            ],
            "services": [
                {"name": "s", "max-conns": 16, "sync-replicas": self.group.sync}
            ],
            "limits": {"tx-idle-ms": self.declared.get("idle_ms", 2000)},
            "tenants": tenants,
        }
        self.store.put("op/config", document)

    def announce(self):
        for member in self.group.members.values():
            key = f"servers/{member.id}"
            if not member.running:
                self.store.delete(key)
                continue
            entry, known = member.entry(), self.store.read(key)
            if not isinstance(known, dict) or known | {"sequence": 0} != entry | {
                "sequence": 0
            }:
                self.store.put(key, entry)

    def announce_forever(self):
        while True:
            gevent.sleep(0.1)
            self.announce()

    def add(self, name, zone):
        """Write the settings that deploy/settings.json gives, with the sheet's bounds."""
        ports = {
            key: f"127.0.0.1:{free_port()}"
            for key in ("callers", "readiness", "peers", "metrics")
        }
        store = str(server_address(self.store.server))
        settings = {
            "instance": name,
            "place": zone,
            **ports,
            "store": store,
            "promotions": store,
            "first_start": True,
            "grace_seconds": 6,
            "leaving_ms": 7000,
            "revocation_ms": 5000,
            "rate_window_seconds": 5,
            "rate_excess_part": 0.1,
            "rate_excess_operations": 20,
            "promotions_fenced": True,
            "regions": {"x": "r", "y": "r", "z": "r"},
            "agreed_terms": [
                "base",
                "drain",
                "config",
                "cost",
                "recover",
                "sql",
                "tenants",
                "quota",
                "platform",
            ],
            "processor_cores": 0.537,
            "bandwidth_mbps": 1000.0,
        }
        self.settings[name] = settings
        self.ports[name] = int(ports["callers"].rpartition(":")[2])
        (self.folder / f"{name}.json").write_text(json.dumps(settings))

    def start(self, name):
        env = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", ""),
            "PYTHONPATH": os.pathsep.join([str(ROOT), str(ROOT / "target" / "deps")]),
        }
        command = ["python3", "-m", "berylhinge.cli.pooler", "--settings"]
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                [*command, str(self.folder / f"{name}.json")],
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=log,
            )
        # From the second start on, the fleet does not start for the first time.
        settings = self.settings[name] | {"first_start": False}
        (self.folder / f"{name}.json").write_text(json.dumps(settings))

    def signal(self, name, number):
        process = self.processes[name]
        if process.poll() is None:
            process.send_signal(number)
        if number == signal.SIGKILL:
            process.wait(5)

    def is_ready(self, name):
        host, _, port = self.settings[name]["readiness"].rpartition(":")
        try:
            with socket.create_connection((host, int(port)), timeout=1) as sock:
                sock.sendall(
                    b"GET /berylhinge/ready HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n"
                )
                return sock.recv(64).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def wait_ready(self, names, seconds=20):
        until = time.monotonic() + seconds
        while not all(self.is_ready(name) for name in names):
            if time.monotonic() > until:
                return False
            gevent.sleep(0.05)
        return True

    def close(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait(5)


class Lost(Exception):
    """Report that a session ended without an answer."""


class Session:
    """Speak as a client does."""

    def __init__(self, port, route, key):
        self.sock = socket.create_connection(("127.0.0.1", port), timeout=2)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.file = self.sock.makefile("rb")
        self.state = "I"
        try:
            self.sock.sendall(f"START {route} {key}\r\n".encode())
            if not self.line().startswith("READY"):
                raise Lost
        except (OSError, Lost):
            self.close()
            raise
        self.sock.settimeout(5)

    def line(self):
        line = self.file.readline()
        if not line.endswith(b"\r\n"):
            raise Lost
        return line.decode().removesuffix("\r\n")

    def ask(self, request, text):
        """Return (code or "", rows, receipt); raise Lost."""
        try:
            self.sock.sendall(f"QUERY {request} {text}\r\n".encode())
            rows = []
            while True:
                word, _, rest = self.line().partition(" ")
                if word == "ROW":
                    rows.append(rest)
                    continue
                break
            self.state = self.line().split(" ")[1]
        except (OSError, IndexError) as error:
            raise Lost from error
        if word == "ERROR":
            return rest.partition(" ")[0], rows, ""
        return "", rows, rest

    def close(self):
        try:
            self.file.close()
            self.sock.close()
        except (OSError, AttributeError):
            pass


def run_case(main):
    """Return how a case ended; one that is ended early still ends its processes."""
    gevent.signal_handler(signal.SIGTERM, gevent.getcurrent().throw, KeyboardInterrupt)
    try:
        return main()
    except (Exception, KeyboardInterrupt):
        traceback.print_exc()
        return NOT_RUN
