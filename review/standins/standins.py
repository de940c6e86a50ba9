"""Stand-ins for a review case: the platform's store, databases, clients, poolers.

They follow the users' pages (PROTOCOL.md, DEPLOY.md). Everything listens on loopback
addresses; only the poolers are separate processes.
"""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
SERVICE = "ledger"
ZONES = ("x", "y", "z")
PAGE_BYTES = 1_000_000
PAGE_ITEMS = 500
LINE_LIMIT = 4 << 20


# Below the ports that Linux gives to outgoing connections.
PORTS = range(10_000, 32_000)
taken_ports = set()


def free_port() -> int:
    """Return a loopback port that nobody uses now, each one once."""
    while True:
        port = random.choice(PORTS)
        if port in taken_ports:
            continue
        with socket.socket() as sock:
            try:
                sock.bind((HOST, port))
            except OSError:
                continue
        taken_ports.add(port)
        return port


class Record:
    """Write what was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.started = time.monotonic()

    def now(self):
        return time.monotonic() - self.started

    def __call__(self, *words):
        line = f"{self.now():8.3f} " + " ".join(str(word) for word in words)
        self.file.write(line + "\n")
        self.file.flush()


class Store:
    """Answer the metadata store's calls and the promotions call."""

    def __init__(self, record):
        self.record = record
        self.revision = 100
        self.items = {}
        self.history = []
        self.leases = {}
        self.next_lease = 1
        self.changed = asyncio.Event()
        # How old the copies are that answer stale reads, in turn; seconds.
        self.stale_ages = (0.0,)
        self.stale_reads = 0
        self.on_promotion = lambda service, name: True
        self.fences = {}

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        self.address = f"{HOST}:{self.server.sockets[0].getsockname()[1]}"
        asyncio.create_task(self.expire())

    def put(self, key, value, lease=0):
        """Write a key at the revision of the change under way."""
        known = self.items.get(key)
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created": known["created"] if known else self.revision,
            "lease": lease,
        }
        self.items[key] = item
        self.history.append((time.monotonic(), self.revision, key, item))

    def delete(self, key):
        if self.items.pop(key, None):
            self.history.append((time.monotonic(), self.revision, key, None))

    def change(self, puts=(), deletes=()):
        """Apply one change from the operator, a database or a lease's end."""
        self.revision += 1
        for key, value, lease in puts:
            self.put(key, value, lease)
        for key in deletes:
            self.delete(key)
        self.changed.set()
        self.changed = asyncio.Event()
        return self.revision

    def write(self, key, document):
        return self.change([(key, json.dumps(document).encode(), 0)])

    def state_at(self, moment):
        """Return the items and the revision as of a moment."""
        items, revision = {}, 100
        for at, number, key, item in self.history:
            if at > moment:
                break
            revision = number
            if item is None:
                items.pop(key, None)
            else:
                items[key] = item
        return items, revision

    async def expire(self):
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            for lease, (ttl, ends) in list(self.leases.items()):
                if ends <= now:
                    del self.leases[lease]
                    gone = [k for k, i in self.items.items() if i["lease"] == lease]
                    if gone:
                        self.change(deletes=gone)

    async def serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                lines = head.split("\r\n")
                method, target, _ = lines[0].split(" ")
                headers = dict(
                    line.lower().split(": ", 1) for line in lines[1:] if ": " in line
                )
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                status, document = await self.answer(method, target, headers, body)
                data = json.dumps(document).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Store-Era: 1\r\nContent-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, method, target, headers, body):
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        sent = json.loads(body) if body else {}
        path = parts.path
        await asyncio.sleep(0.004)
        if path == "/berylhinge/kv-key":
            item = self.items.get(query["key"])
            return (404 if item is None else 200), {
                **(item or {}),
                "store-revision": self.revision,
            }
        if path == "/berylhinge/kv-range":
            return 200, self.range(query)
        if path == "/berylhinge/kv-watch":
            return await self.watch(query)
        if path == "/berylhinge/kv-txn":
            return self.txn(sent)
        if path == "/berylhinge/kv-lease":
            lease, self.next_lease = self.next_lease, self.next_lease + 1
            ttl = sent["ttl-ms"]
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"lease": lease, "ttl-ms": ttl}
        if path.startswith("/berylhinge/kv-keep/"):
            lease = int(path.rpartition("/")[2])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"ttl-ms": ttl}
        if path.startswith("/berylhinge/kv-lease-end/"):
            self.leases.pop(int(path.rpartition("/")[2]), None)
            return 200, {}
        if path == "/promotions":
            fence = int(headers["berylhinge-fence-token"])
            service = sent["service"]
            if fence < self.fences.get(service, 0):
                return 409, {}
            self.fences[service] = fence
            self.record("platform: promotion of", sent["id"], "fence", fence)
            return (200 if self.on_promotion(service, sent["id"]) else 409), {}
        return 404, {}

    def range(self, query):
        """Return one page; pages are not a snapshot, and stale ones may be old."""
        items, revision = self.items, self.revision
        age = 0.0
        if query.get("allow-stale") == "1":
            age = self.stale_ages[self.stale_reads % len(self.stale_ages)]
            self.stale_reads += 1
            items, revision = self.state_at(time.monotonic() - age)
        found, size, more = [], 0, False
        for key in sorted(items):
            if not key.startswith(query.get("prefix", "")):
                continue
            if key <= query.get("after", ""):
                continue
            length = len(json.dumps(items[key]))
            if found and (size + length > PAGE_BYTES or len(found) >= PAGE_ITEMS):
                more = True
                break
            found.append(items[key])
            size += length
        if query.get("allow-stale") == "1":
            names = [item["key"] for item in found]
            self.record(
                f"store: stale page, {age} s old, revision {revision}, after"
                f" {query.get('after', '')!r}: {len(found)} items"
                f" {names[0] if names else ''}..{names[-1] if names else ''},"
                f" has-more {more}"
            )
        return {"items": found, "has-more": more, "store-revision": revision}

    async def watch(self, query):
        after = int(query["after"])
        until = time.monotonic() + int(query["wait-ms"]) / 1000
        while True:
            events = []
            for _, revision, key, item in reversed(self.history):
                if revision <= after:
                    break
                if key.startswith(query.get("prefix", "")):
                    gone = {"key": key, "revision": revision, "deleted": True}
                    events.append(item or gone)
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {
                    "events": events[::-1],
                    "store-revision": self.revision,
                }
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def txn(self, sent):
        for row in sent.get("precondition", []):
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                keys = [entry["key"] for entry in sent["precondition"]]
                return 412, {"items": [self.items[k] for k in keys if k in self.items]}
        for put in sent.get("puts", []):
            if put.get("lease") and put["lease"] not in self.leases:
                return 404, {}
            if put["key"].startswith(("op/", "servers/")):
                return 403, {}
        revision = self.change(
            [
                (put["key"], base64.b64decode(put["value"]), put.get("lease", 0))
                for put in sent.get("puts", [])
            ],
            sent.get("deletes", []),
        )
        return 200, {"revision": revision}


class Group:
    """Hold a service's databases, one of them its primary.

    A replica receives a commit after ``network_s`` and applies it ``lag_s`` later.
    """

    network_s = 0.001

    def __init__(self, store, record, *, count=3, slots=2, connections=16, sync=0):
        self.store, self.record = store, record
        self.slots, self.connections, self.sync = slots, connections, sync
        self.term = 3
        self.members = [Database(self, f"i-{n}", ZONES[n % 3]) for n in range(count)]
        self.primary = self.members[0]
        # What ran: (time, database, tenant, id, text).
        self.runs = []
        # The databases that were promoted, with their logs at that moment.
        self.promoted = []
        store.on_promotion = self.promote

    async def start(self):
        for member in self.members:
            await member.start()
            member.announce()
        for number, member in enumerate(self.members):
            asyncio.create_task(self.beat(member, 0.4 * number))

    async def beat(self, member, delay):
        """Report a database's status about every 1.2 s, each at its own moment."""
        await asyncio.sleep(delay)
        while True:
            await asyncio.sleep(1.2)
            if member.is_up:
                member.announce()

    def promote(self, _service, name):
        chosen = next((m for m in self.members if m.id == name), None)
        if chosen is None or not chosen.is_up:
            return False
        if chosen is not self.primary:
            asyncio.get_running_loop().call_later(0.3, self.lead, chosen)
        return True

    def lead(self, chosen):
        """Let a database lead the next term with what it had received."""
        if chosen is self.primary:
            return
        self.term += 1
        self.primary = chosen
        chosen.applied = len(chosen.log)
        self.promoted.append((chosen, list(chosen.log)))
        self.record("database", chosen.id, f"leads term {self.term} at {chosen.point()}")
        for member in self.members:
            if member is not chosen:
                member.log = member.log[: len(chosen.log)]
                member.applied = min(member.applied, len(member.log))
            if member.is_up:
                member.announce()

    async def committed(self, writes, number):
        """Append a commit at the primary; wait for a replica if that is declared."""
        leader = self.primary
        leader.log.append((self.term, writes, number))
        leader.applied = position = len(leader.log)
        received = [
            asyncio.create_task(self.replicate(leader, member, position))
            for member in self.members
            if member is not leader
        ]
        while self.sync and not any(job.done() and job.result() for job in received):
            await asyncio.sleep(0.001)

    async def replicate(self, leader, member, position):
        """Deliver a commit to a replica, which applies it later."""
        await asyncio.sleep(self.network_s)
        while member.is_deaf or not member.is_up:
            await asyncio.sleep(0.02)
        if leader is not self.primary or not leader.is_up:
            return False
        if len(member.log) < position:
            member.log = leader.log[:position]
        asyncio.get_running_loop().call_later(member.lag_s, member.apply, position)
        return True


class Database:
    """Speak the wire protocol as one database."""

    def __init__(self, group, identifier, zone):
        self.group, self.id, self.zone = group, identifier, zone
        # What it has received, and how much of that it has applied.
        self.log, self.applied = [], 0
        self.lag_s, self.is_deaf, self.is_up = 0.06, False, True
        self.writers = set()
        self.sequence = 0
        self.open = 0
        self.work_s = 0.004
        self.slot = asyncio.Semaphore(group.slots)

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, 0, limit=LINE_LIMIT)
        self.address = f"{HOST}:{self.server.sockets[0].getsockname()[1]}"

    def announce(self):
        self.sequence += 1
        role = "primary" if self.group.primary is self else "replica"
        document = {
            "service": SERVICE,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "capacity": self.group.slots,
            "state": "ready",
            "cold-left-ms": 0,
            "db-role": role,
            "sequence": self.sequence,
            "born": 1_700_000_000_000,
        }
        self.group.store.write(f"servers/{self.id}", document)

    def point(self, number=None):
        """Return the position up to which the log is applied, or another one."""
        number = self.applied if number is None else number
        term = self.log[number - 1][0] if number else 1
        return f"{term}.{number}"

    def apply(self, position):
        """Apply the commits up to a position that were received."""
        self.applied = max(self.applied, min(position, len(self.log)))

    def crash(self):
        """Stop at once; three status report intervals later the entry is removed."""
        self.is_up = False
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        remove = self.group.store.change
        asyncio.get_running_loop().call_later(
            3.6, lambda: remove(deletes=[f"servers/{self.id}"])
        )

    async def serve(self, reader, writer):
        self.open += 1
        self.writers.add(writer)
        state, reading, writes = "I", False, []
        values, names = {}, {}

        def say(*lines):
            for line in lines:
                writer.write(line.encode("utf-8", "surrogateescape") + b"\r\n")

        try:
            opening = (await read_line(reader)).split(" ")
            if opening[0] != "START" or opening[1] != SERVICE:
                say("ERROR WRONGNODE " + self.id)
                return
            if len(opening) > 3 and opening[3] != self.id:
                say("ERROR WRONGNODE " + self.id)
                return
            if self.open > self.group.connections:
                say("ERROR CONNLIMIT " + self.id)
                return
            tenant = opening[2]
            await asyncio.sleep(0.012)
            say(f"READY I {self.point()}")
            while True:
                line = await read_line(reader)
                if line == "TERMINATE":
                    return
                _, number, text = line.split(" ", 2)
                if text.startswith("AFTER "):
                    _, point, text = text.split(" ", 2)
                    if tuple(map(int, point.split("."))) > tuple(
                        map(int, self.point().split("."))
                    ):
                        say("ERROR LAGGING " + self.id, f"READY {state} {self.point()}")
                        continue
                word, _, rest = text.partition(" ")
                leads = self.group.primary is self
                lines, code = ["COMPLETE -"], ""
                if word == "STATUS":
                    role = "primary" if leads else "replica"
                    term, received = self.group.term, self.point(len(self.log))
                    lag = 0 if self.applied == len(self.log) else int(self.lag_s * 1000)
                    row = f"ROW {role} {term} {received} 0 {lag} 0 {self.open}"
                    lines = [row, "COMPLETE -"]
                elif word == "SET":
                    name, _, value = rest.partition(" ")
                    values[name] = value
                elif word == "RESET":
                    values, names = {}, {}
                elif word == "PREPARE":
                    name, kind, shape = rest.split(" ", 2)
                    names[name] = (kind, shape)
                elif word == "DEALLOC":
                    names.pop(rest, None)
                elif word == "BEGIN":
                    reading = rest == "READ"
                    if not reading and not leads:
                        code = "READONLY"
                    else:
                        state, writes = "T", []
                elif word == "ROLLBACK":
                    state, writes = "I", []
                elif word in ("READ", "WRITE", "EXECUTE", "COMMIT"):
                    kind, shape = word, rest
                    if word == "EXECUTE":
                        name, _, arguments = rest.partition(" ")
                        if name not in names:
                            code = "NOSTMT"
                        else:
                            kind, shape = names[name][0], arguments
                    writing = kind == "WRITE" or (kind == "COMMIT" and writes)
                    plain = state == "T" and not reading and kind != "COMMIT"
                    if (writing or plain) and not leads:
                        code = "READONLY"
                    if not code:
                        async with self.slot:
                            await asyncio.sleep(self.work_s)
                        self.group.runs.append(
                            (time.monotonic(), self.id, tenant, number, text)
                        )
                        self.group.record("database", self.id, "ran", tenant, number,
                                          repr(text[:100]))
                        receipt = f"COMPLETE r.{self.id}.{number}"
                        lines = [receipt]
                        if kind == "READ":
                            log = self.log[: self.applied]
                            data = dict(pair for entry in log for pair in entry[1])
                            item = shape.split(" ")[0]
                            if item in data:
                                lines = [f"ROW {data[item]}", receipt]
                        elif kind == "WRITE":
                            item, _, value = shape.partition(" ")
                            writes.append((item, value))
                            if state == "I":
                                done, writes = tuple(writes), []
                                await self.group.committed(done, number)
                        else:
                            done, state, writes = tuple(writes), "I", []
                            if done:
                                await self.group.committed(done, number)
                else:
                    code = "MALFORMED"
                if code:
                    if state == "T":
                        state = "E"
                    lines = [f"ERROR {code} {self.id}"]
                say(*lines, f"READY {state} {self.point()}")
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.open -= 1
            self.writers.discard(writer)
            writer.close()


async def read_line(reader):
    """Return one line, which ends with CR LF and with nothing else."""
    line = await reader.readuntil(b"\r\n")
    return line[:-2].decode("utf-8", "surrogateescape")


class Client:
    """Hold one session; each statement gets an id of its own."""

    ids = 0

    def __init__(self, record, address, label="client"):
        self.record, self.address, self.label = record, address, label

    async def start(self, name, key):
        host, _, port = self.address.partition(":")
        self.reader, self.writer = await asyncio.open_connection(
            host, int(port), limit=LINE_LIMIT
        )
        self.writer.write(f"START {name} {key}\r\n".encode())
        line = await asyncio.wait_for(read_line(self.reader), 2)
        self.record(self.label, "START", name, key, "->", line)
        return line

    async def query(self, text, timeout=8.0):
        """Return the lines of the answer; an empty list if the connection ended."""
        Client.ids += 1
        number = f"q{Client.ids:06d}"
        self.last = number
        self.record(self.label, "sends", number, repr(text[:100]))
        lines = []
        try:
            self.writer.write(
                f"QUERY {number} {text}\r\n".encode("utf-8", "surrogateescape")
            )
            while True:
                line = await asyncio.wait_for(read_line(self.reader), timeout)
                lines.append(line)
                if line.startswith("READY"):
                    break
        except (OSError, asyncio.IncompleteReadError) as error:
            self.record(self.label, number, "CUT", type(error).__name__, lines)
            self.close()
            return []
        except asyncio.TimeoutError:
            self.record(self.label, number, "NO ANSWER", lines)
            return []
        self.record(self.label, number, "->", [line[:100] for line in lines])
        return lines

    def close(self):
        """Close the connection; further calls do nothing."""
        self.writer.transport.abort()


class Pooler:
    """Run one pooler with the command of the deploy file."""

    def __init__(self, folder, store, record, number, zones=ZONES, **settings):
        self.record = record
        self.name = f"front-{number}"
        ports = {
            name: f"{HOST}:{free_port()}"
            for name in ("callers", "readiness", "peers", "metrics")
        }
        self.callers, self.readiness = ports["callers"], ports["readiness"]
        self.settings = {
            "instance": self.name,
            "place": zones[number % len(zones)],
            **ports,
            "store": store.address,
            "promotions": store.address,
            "first_start": True,
            "grace_seconds": 6,
            "leaving_ms": 7000,
            "revocation_ms": 5000,
            "rate_window_seconds": 5,
            "rate_excess_part": 0.1,
            "rate_excess_operations": 20,
            "promotions_fenced": True,
            "regions": {zone: "land" for zone in zones},
            "agreed_terms": ["base", "drain", "config", "cost", "recover", "sql",
                             "tenants", "quota", "platform"],
            "processor_cores": 0.537,
            "bandwidth_mbps": 1000.0,
            **settings,
        }
        self.path = Path(folder) / f"{self.name}.json"
        self.log = open(Path(folder) / f"{self.name}.log", "ab")
        self.process = None

    def start(self):
        self.path.write_text(json.dumps(self.settings))
        # A later start is not the first one of the whole system.
        self.settings["first_start"] = False
        command = ["python3", "-m", "berylhinge.cli.pooler", "--settings"]
        self.process = subprocess.Popen(
            [*command, str(self.path)],
            cwd=ROOT,
            stdout=self.log,
            stderr=self.log,
            env={
                "PATH": os.environ["PATH"],
                "HOME": os.environ.get("HOME", "/"),
                "PYTHONPATH": str(ROOT / "target/deps"),
                "PYTHONDONTWRITEBYTECODE": "1",
            },
        )
        self.record("platform: starts", self.name, "pid", self.process.pid)

    def signal(self, number):
        self.record("platform: sends", signal.Signals(number).name, "to", self.name)
        self.process.send_signal(number)

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait(5)
        self.log.close()

    async def is_ready(self):
        host, _, port = self.readiness.partition(":")
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"GET /berylhinge/ready HTTP/1.1\r\nHost: x\r\n"
                         b"Connection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False

    async def ready(self, seconds=20.0):
        """Wait until the instance counts as ready; raise SetupFailed otherwise."""
        until = time.monotonic() + seconds
        while not await self.is_ready():
            if time.monotonic() > until:
                raise SetupFailed(f"{self.name} is not ready")
            await asyncio.sleep(0.1)
        self.record("platform:", self.name, "is ready")


class SetupFailed(Exception):
    """Tell that the case could not run."""


def configuration(
    version, keys, *, routes=(), rate=70, burst=70, idle_ms=3000, sync=0
):
    """Return a configuration; ``keys`` are the API keys of each tenant."""
    common = {"prefix": "/", "service": SERVICE, "max-attempts": 2, "public": False}
    return {
        "version": version,
        "routes": [
            {"name": "r-1", "host": "bookings", "kind": "primary", "timeout-ms": 800,
             "latency-goal-ms": 120, "priority": 1, **common},
            {"name": "r-2", "host": "sync", "kind": "read_your_writes",
             "timeout-ms": 800, "latency-goal-ms": 200, "priority": 2,
             "max-staleness-ms": 2500, **common},
            {"name": "r-3", "host": "views", "kind": "bounded_stale",
             "timeout-ms": 1500, "latency-goal-ms": 400, "priority": 2,
             "max-staleness-ms": 1500, **common},
            *routes,
        ],
        "services": [{"name": SERVICE, "health-path": "/health", "max-conns": 16,
                      "protocol": "h1", "tls": False, "sync-replicas": sync}],
        "limits": {"tx-idle-ms": idle_ms},
        "tenants": [
            {"name": name, "api-keys": list(held), "priority": 1,
             "rate-per-s": rate, "burst": burst}
            for name, held in keys.items()
        ],
    }


def run_case(case, folder):
    """Run a case; exit with 1 if the rule was broken, 0 if it held, 2 if it failed."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(Path(folder) / "record.txt")
    record("trouble:", "yes" if trouble else "no")
    poolers = []
    code = 2
    with tempfile.TemporaryDirectory() as scratch:
        try:
            broken = asyncio.run(
                asyncio.wait_for(case(record, scratch, poolers, trouble), 110)
            )
            record("verdict:", f"the rule is broken: {broken}" if broken else "held")
            code = 1 if broken else 0
        except Exception as error:
            # Whatever failed in the case itself says nothing of the rule.
            record("verdict: the case could not run:", repr(error))
        finally:
            for pooler in poolers:
                pooler.end()
    print(Path(folder, "record.txt").read_text().splitlines()[-1])
    sys.exit(code)
