"""Stand in for one service's databases, a primary and its replicas.

Follows PROTOCOL.md. Each database has its own log: a replica receives a commit after
``receive_s`` and applies it ``apply_s`` later. A primary is found by its role only.
"""

import asyncio
import itertools
import time


class Entry:
    """Hold one commit."""

    def __init__(self, term, number, writes, request):
        self.term, self.number, self.writes, self.request = term, number, writes, request
        self.acknowledged_at = None

    @property
    def position(self):
        return f"{self.term}.{self.number}"


class Group:
    """Hold a service's databases and who leads them."""

    def __init__(self, service, store, record, *, sync_replicas=0, promote_s=0.3):
        self.service = service
        self.store = store
        self.record = record
        self.sync_replicas = sync_replicas
        self.promote_s = promote_s
        self.term = 1
        self.leader = ""
        self.members = {}
        self.runs = []
        self.arrived = {}
        self.acknowledged = []
        self.lost = []
        self.receipts = itertools.count(1)

    def add(self, name, zone, **options):
        member = Database(self, name, zone, **options)
        self.members[name] = member
        self.leader = self.leader or name
        return member

    async def start(self):
        for member in self.members.values():
            await member.listen()
        asyncio.ensure_future(self.beat())

    async def beat(self):
        """Let each running database report itself, and drop those that are silent."""
        while True:
            for member in self.members.values():
                if member.running:
                    member.report()
                elif time.monotonic() - member.reported_at > 3.6:
                    self.store.delete(f"servers/{member.name}")
            await asyncio.sleep(1.2)

    def promote_later(self, name):
        asyncio.get_running_loop().call_later(self.promote_s, self.promote, name)

    def promote(self, name):
        """Let a database lead the next term with what it has received."""
        member = self.members[name]
        if self.leader == name or not member.running:
            return
        old, self.leader = self.members[self.leader], name
        self.term += 1
        member.applied = len(member.log)
        held = {id(entry) for entry in member.log}
        for entry in self.acknowledged:
            if id(entry) not in held and entry not in self.lost:
                self.lost.append(entry)
        received = {m.name: len(m.log) for m in self.members.values()}
        applied = {m.name: m.applied for m in self.members.values()}
        self.record(
            f"{name} leads term {self.term}; received {received}, applied {applied};"
            f" acknowledged commits that its log lacks: {len(self.lost)}"
        )
        for other in self.members.values():
            if other is not member:
                other.follow(member)
        member.report()
        if old.running:
            old.report()


class Database:
    """Hold one database: its log, connections and slots."""

    def __init__(
        self,
        group,
        name,
        zone,
        *,
        slots=2,
        queue=16,
        connections=16,
        work_s=0.005,
        connect_s=0.012,
        receive_s=0.001,
        apply_s=0.06,
    ):
        self.group, self.name, self.zone = group, name, zone
        self.slots, self.queue, self.max_connections = slots, queue, connections
        self.work_s, self.connect_s = work_s, connect_s
        self.receive_s, self.apply_s = receive_s, apply_s
        self.deaf = False
        self.running = True
        self.log = []
        self.applied = 0
        self.rows_of = {}
        self.sequence = 0
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.reported_at = time.monotonic()
        self.connections = set()
        self.waiting = 0
        self.slot = asyncio.Semaphore(slots)
        self.server = None
        self.address = ""
        self.received = asyncio.Event()
        self.numbers = itertools.count(1)

    @property
    def leads(self):
        return self.group.leader == self.name

    async def listen(self):
        self.server = await asyncio.start_server(
            self.serve, "127.0.0.1", int(self.address.rpartition(":")[2] or 0),
            limit=1 << 21,
        )
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    def report(self):
        self.sequence += 1
        self.reported_at = time.monotonic()
        entry = {
            "service": self.group.service,
            "address": self.address,
            "zone": self.zone,
            "version": "1",
            "capacity": self.slots,
            "state": self.state,
            "cold-left-ms": 0,
            "sequence": self.sequence,
            "db-role": "primary" if self.leads else "replica",
            "born": self.born,
        }
        self.group.store.put(f"servers/{self.name}", entry)

    def crash(self):
        """End as a process does that is killed; the log is kept."""
        self.running = False
        self.server.close()
        for connection in list(self.connections):
            connection.writer.transport.abort()
        self.group.record(f"{self.name} crashed")

    # The log.

    def position(self):
        if not self.applied:
            return f"{self.log[0].term if self.log else 1}.0"
        return self.log[self.applied - 1].position

    def received_position(self):
        return self.log[-1].position if self.log else "1.0"

    def holds(self, position):
        term, number = (int(part) for part in position.split("."))
        if not self.applied:
            return number == 0
        last = self.log[self.applied - 1]
        return (last.term, last.number) >= (term, number)

    def value(self, item):
        for entry in reversed(self.log[: self.applied]):
            if item in entry.writes:
                return entry.writes[item]
        return None

    async def commit(self, writes, request):
        """Commit as primary; return once enough replicas have received it."""
        entry = Entry(self.group.term, len(self.log) + 1, writes, request)
        self.log.append(entry)
        self.applied = len(self.log)
        term = self.group.term
        for other in self.group.members.values():
            if other is not self:
                other.receive_later(self)
        while self.group.sync_replicas and self.running and self.group.term == term:
            held = [
                other
                for other in self.group.members.values()
                if other is not self and entry in other.log
            ]
            if len(held) >= self.group.sync_replicas:
                break
            await asyncio.sleep(0.001)
        return entry

    def receive_later(self, primary):
        length = len(primary.log)
        loop = asyncio.get_running_loop()
        loop.call_later(self.receive_s, self.receive, primary, length, self.group.term)

    def receive(self, primary, length, term):
        """Receive the primary's log up to a length."""
        is_current = term == self.group.term and primary.leads
        if self.deaf or not self.running or not is_current or length <= len(self.log):
            return
        self.log = primary.log[:length]
        asyncio.get_running_loop().call_later(self.apply_s, self.apply, length, term)

    def apply(self, length, term):
        if term == self.group.term:
            self.applied = max(self.applied, min(length, len(self.log)))

    def follow(self, primary):
        """Drop what the new primary lacks, and receive what it has."""
        common = 0
        for own, other in zip(self.log, primary.log):
            if own is not other:
                break
            common += 1
        self.log = self.log[:common]
        self.applied = min(self.applied, common)
        self.receive_later(primary)

    # Connections.

    async def serve(self, reader, writer):
        connection = Connection(self, reader, writer)
        self.connections.add(connection)
        try:
            await connection.serve()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(connection)
            writer.close()

    async def occupy(self, seconds):
        """Take a slot for a while; return whether one was free in time."""
        if self.waiting >= self.queue:
            return False
        self.waiting += 1
        try:
            await self.slot.acquire()
        finally:
            self.waiting -= 1
        try:
            await asyncio.sleep(seconds)
        finally:
            self.slot.release()
        return True


class Connection:
    """Hold one connection's transaction, values and prepared names."""

    def __init__(self, database, reader, writer):
        self.database, self.reader, self.writer = database, reader, writer
        self.number = next(database.numbers)
        self.tenant = ""
        self.reset()
        self.end()

    def reset(self):
        self.values, self.prepared = {}, {}

    def end(self):
        self.state, self.plain, self.term, self.writes = "I", False, 0, {}

    async def line(self):
        return (await self.reader.readuntil(b"\r\n"))[:-2].decode()

    async def send(self, *lines):
        ready = f"READY {self.state} {self.database.position()}"
        data = "".join(f"{line}\r\n" for line in (*lines, ready))
        self.writer.write(data.encode())
        await self.writer.drain()

    async def serve(self):
        database = self.database
        word, service, tenant, *rest = (await self.line()).split(" ")
        self.tenant = tenant
        if len(database.connections) > database.max_connections:
            self.writer.write(b"ERROR CONNLIMIT full\r\n")
            return
        if service != database.group.service or rest not in ([], [database.name]):
            self.writer.write(b"ERROR WRONGNODE other\r\n")
            return
        await database.occupy(database.connect_s)
        await self.send()
        while True:
            line = await self.line()
            if line == "TERMINATE":
                return
            word, request, text = line.split(" ", 2)
            database.group.arrived[request] = time.monotonic()
            answer = await self.run(request, text)
            if not database.running:
                return
            await self.send(*answer)

    def error(self, code):
        if self.state == "T":
            self.state = "E"
        return (f"ERROR {code} {self.database.name}",)

    async def run(self, request, text):
        database = self.database
        if text.startswith("AFTER "):
            _, position, text = text.split(" ", 2)
            if not database.holds(position):
                return self.error("LAGGING")
        word, _, rest = text.partition(" ")
        if self.state == "E" and word not in ("COMMIT", "ROLLBACK", "RESET"):
            return self.error("MALFORMED")
        if word in ("READ", "WRITE", "EXECUTE", "COMMIT"):
            return await self.work(request, text, word, rest)
        if word == "BEGIN":
            if rest != "READ" and not database.leads:
                return self.error("READONLY")
            self.state, self.plain = "T", rest != "READ"
            self.term, self.writes = database.group.term, {}
        elif word == "ROLLBACK":
            self.end()
        elif word == "SET":
            name, _, value = rest.partition(" ")
            self.values[name] = value
        elif word == "PREPARE":
            name, access, shape = rest.split(" ", 2)
            self.prepared[name] = (access, shape)
        elif word == "DEALLOC":
            self.prepared.pop(rest, None)
        elif word == "RESET":
            self.reset()
        elif word == "STATUS":
            return await self.status()
        else:
            return self.error("MALFORMED")
        return ("COMPLETE -",)

    async def status(self):
        database = self.database
        if not await database.occupy(0.001):
            return ("ERROR BUSY full",)
        role = "primary" if database.leads else "replica"
        lag = 0 if database.applied == len(database.log) else int(database.apply_s * 1000)
        busy = database.slots - database.slot._value
        row = (
            f"ROW {role} {database.group.term} {database.received_position()} 0 {lag}"
            f" {busy} {len(database.connections)}"
        )
        return (row, "COMPLETE -")

    def has_lost_lead(self):
        database = self.database
        return not database.leads or database.group.term != self.term

    async def work(self, request, text, word, rest):
        """Run a read, a write or a commit, in a slot."""
        database, group = self.database, self.database.group
        if not await database.occupy(database.work_s):
            return self.error("BUSY")
        access = word
        if word == "EXECUTE":
            name, _, rest = rest.partition(" ")
            if name not in self.prepared:
                return self.error("NOSTMT")
            access = self.prepared[name][0]
        in_transaction = self.state in ("T", "E")
        if word == "COMMIT":
            return await self.commit(request)
        if self.state == "T" and self.plain and self.has_lost_lead():
            return self.error("READONLY")
        if access == "WRITE" and (not database.leads or (in_transaction and not self.plain)):
            return self.error("READONLY")
        self.note(request, text)
        if access == "READ":
            value = self.writes.get(rest) or database.value(rest)
            values = database.rows_of.get(rest, () if value is None else (value,))
            rows = (f"ROW {value}" for value in values)
            return (*rows, self.receipt())
        item, _, data = rest.partition(" ")
        if in_transaction:
            self.writes[item] = data
            return (self.receipt(),)
        return await self.acknowledge({item: data}, request)

    async def commit(self, request):
        failed, writes = self.state != "T", self.writes
        lost = bool(writes) and self.plain and self.has_lost_lead()
        self.end()
        if failed:
            return self.error("MALFORMED")
        if lost:
            return self.error("READONLY")
        self.note(request, "COMMIT")
        if not writes:
            return (self.receipt(),)
        return await self.acknowledge(writes, request)

    async def acknowledge(self, writes, request):
        database = self.database
        entry = await database.commit(writes, request)
        if not database.running or not database.leads:
            raise ConnectionResetError
        entry.acknowledged_at = time.monotonic()
        database.group.acknowledged.append(entry)
        return (self.receipt(),)

    def note(self, request, text):
        group = self.database.group
        group.runs.append(
            (time.monotonic(), self.database.name, self.number, self.tenant, request, text)
        )

    def receipt(self):
        return f"COMPLETE {next(self.database.group.receipts):x}.{self.database.name}"
