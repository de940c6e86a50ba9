"""Stand in for replicated databases that speak the users' line protocol."""

from __future__ import annotations

import socket
import time
from contextlib import suppress
from typing import Any

import gevent
from gevent.server import StreamServer

from .database_group import DatabaseGroup, Run
from .line_session import read_line

# What a caller may tell a database about its part in the log.
COMMANDS = ("PAUSE", "RESUME", "DEMOTE")


class SessionDatabase:
    """Serve one member of a group.

    ``deaf`` lets it receive nothing, and so does PAUSE; without ``knows_commands`` it
    refuses PAUSE, RESUME and DEMOTE as malformed. ``silent`` lets it answer nothing, and
    ``lost_answers`` has the statements whose next answer is lost. A statement takes
    ``statement_seconds``, a status ``status_seconds``; ``busy_statuses`` of them are
    refused first. What it has received is applied after ``apply_seconds``.
    """

    def __init__(self, group: DatabaseGroup, name: str, *, max_connections: int = 16):
        """Listen on a free port."""
        self.group = group
        self.id = name
        self.max_connections = max_connections
        self.received = self.applied = 0
        self.apply_seconds = 0.0
        self.status_seconds = 0.0
        self.busy_statuses = 0
        self.is_leaving = False
        self.deaf = False
        self.is_paused = False
        self.knows_commands = True
        self.sequence = 0
        self.silent = False
        self.lost_answers: set[str] = set()
        self.running = True
        self.advertised = ""
        self.zone = "x"
        self.cold_left_ms = 0
        self.statement_seconds = 0.0
        self.sockets: set[Any] = set()
        self.listen(0)
        group.members[name] = self
        group.primary = group.primary or name

    def listen(self, port: int) -> None:
        """Accept connections."""
        self.server = StreamServer(("127.0.0.1", port), self.serve)
        self.server.start()

    @property
    def address(self) -> str:
        """Return host:port."""
        return f"127.0.0.1:{self.server.server_port}"

    @property
    def leads(self) -> bool:
        """Tell whether this member leads, or goes on as if it did."""
        return self.group.primary == self.id or self.id in self.group.deposed

    def entry(self, state: str = "") -> dict[str, object]:
        """Return what the member registers, numbered in its order."""
        state = state or ("draining" if self.is_leaving else "ready")
        self.sequence += 1
        return {
            "service": self.group.service,
            "address": self.advertised or self.address,
            "zone": self.zone,
            "capacity": 2,
            "state": state,
            "db-role": "primary" if self.leads else "replica",
            "sequence": self.sequence,
            "born": 1,
            "cold-left-ms": self.cold_left_ms,
        }

    def receive(self, length: int) -> None:
        """Take in the log up to a length."""
        if self.running and not self.deaf and not self.is_paused:
            self.received = max(self.received, min(length, len(self.group.log)))
            gevent.spawn_later(self.apply_seconds, self.apply, self.received)

    def apply(self, length: int) -> None:
        """Show reads the log up to a length."""
        self.applied = max(self.applied, min(length, self.received))

    def crash(self) -> None:
        """Stop listening and reset every connection."""
        self.running = False
        self.server.stop()
        for sock in list(self.sockets):
            with suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
            sock.close()

    def restart(self) -> None:
        """Come back at the same address with the log that is left."""
        self.listen(self.server.server_port)
        self.running, self.is_paused = True, False
        self.group.replicate()

    def position(self, held: int) -> str:
        """Return TERM.NUMBER of the last of some entries."""
        return f"{self.group.log[held - 1].term if held else 1}.{held}"

    def applied_position(self) -> str:
        """Return TERM.NUMBER of what reads see."""
        return self.position(self.applied)

    def serve(self, sock: Any, _address: object) -> None:
        """Serve one connection."""
        self.sockets.add(sock)
        try:
            Connection(self, sock).serve()
        except OSError:
            return
        finally:
            self.sockets.discard(sock)
            sock.close()


class Connection:
    """Hold one connection's transaction, values and prepared names."""

    def __init__(self, database: SessionDatabase, sock: Any) -> None:
        """Start idle."""
        self.database = database
        self.sock = sock
        self.number = next(database.group.connections)
        self.organisation = ""
        self.state = "I"
        self.plain = False
        self.term = 0
        self.writes: list[tuple[str, str]] = []
        self.values: dict[str, str] = {}
        self.prepared: dict[str, tuple[str, str]] = {}

    def serve(self) -> None:
        """Answer lines until the stream ends."""
        file = self.sock.makefile("rb")
        first = read_line(file).decode().strip()
        if not first:
            return None
        _, service, rest = first.split(" ", 2)
        self.organisation, _, name = rest.partition(" ")
        database = self.database
        if len(database.sockets) > database.max_connections:
            return self.sock.sendall(b"ERROR CONNLIMIT full\r\n")
        if service != database.group.service or name not in ("", database.id):
            return self.sock.sendall(b"ERROR WRONGNODE other\r\n")
        self.sock.sendall(self.ready())
        while line := read_line(file):
            _, request, text = line.decode().removesuffix("\r\n").split(" ", 2)
            while database.silent:
                gevent.sleep(0.05)
            if database.statement_seconds:
                gevent.sleep(database.statement_seconds)
            answer = self.run(request, text) + self.ready()
            if text in database.lost_answers:
                database.lost_answers.discard(text)
                continue
            self.sock.sendall(answer)
        return None

    def ready(self) -> bytes:
        """Return the closing line."""
        return f"READY {self.state} {self.database.applied_position()}\r\n".encode()

    def error(self, code: str) -> bytes:
        """Return an error, which fails an open transaction."""
        self.state = "E" if self.state == "T" else self.state
        return f"ERROR {code} {self.database.id}\r\n".encode()

    def done(self, *rows: str) -> bytes:
        """Return rows and a signature."""
        signature = next(self.database.group.signatures)
        lines = [f"ROW {row}\r\n" for row in rows]
        return "".join([*lines, f"COMPLETE {signature}\r\n"]).encode()

    def run(self, request: str, text: str) -> bytes:
        """Run one statement."""
        if text.startswith("AFTER "):
            _, point, text = text.split(" ", 2)
            wanted = tuple(int(part) for part in point.split("."))
            held = tuple(
                int(part) for part in self.database.applied_position().split(".")
            )
            if held < wanted:
                return self.error("LAGGING")
        word, _, rest = text.partition(" ")
        if self.state == "E" and word not in ("COMMIT", "ROLLBACK"):
            return self.error("MALFORMED")
        handler = getattr(self, f"run_{word.lower()}", None)
        is_known = word not in COMMANDS or self.database.knows_commands
        if handler is None or not is_known:
            return self.error("MALFORMED")
        if word in ("READ", "WRITE", "EXECUTE", "COMMIT"):
            values = tuple(sorted(self.values.items()))
            self.database.group.runs.append(
                Run(
                    self.database.id,
                    self.number,
                    self.organisation,
                    request,
                    text,
                    values,
                    time.monotonic(),
                )
            )
        answer: bytes = handler(rest)
        return answer

    def has_lost_lead(self) -> bool:
        """Tell whether a plain transaction can no longer go on."""
        group = self.database.group
        is_current = self.database.id in group.deposed or self.term == group.term
        return self.plain and not is_current

    def run_begin(self, rest: str) -> bytes:
        """Begin."""
        if rest != "READ" and not self.database.leads:
            return self.error("READONLY")
        self.state, self.plain = "T", rest != "READ"
        self.term = self.database.group.term
        return b"COMPLETE -\r\n"

    def run_read(self, item: str) -> bytes:
        """Read an item."""
        if self.state == "T" and self.has_lost_lead():
            return self.error("READONLY")
        log = self.database.group.log[: self.database.applied]
        written = [write for entry in log for write in entry.writes]
        found = dict([*written, *self.writes])
        return self.done(found[item]) if item in found else self.done()

    def run_write(self, rest: str) -> bytes:
        """Write an item."""
        if not self.database.leads or (self.state == "T" and self.has_lost_lead()):
            return self.error("READONLY")
        item, _, data = rest.partition(" ")
        if self.state == "T":
            self.writes.append((item, data))
        else:
            self.database.group.commit_at(self.database.id, [(item, data)])
        return self.done()

    def run_commit(self, _rest: str) -> bytes:
        """Commit."""
        writes, state = self.writes, self.state
        lost = self.has_lost_lead() and bool(writes)
        self.run_rollback("")
        if state == "E" or lost:
            return self.error("READONLY")
        if writes:
            self.database.group.commit_at(self.database.id, writes)
        return self.done()

    def run_rollback(self, _rest: str) -> bytes:
        """Roll back."""
        self.writes, self.state, self.plain = [], "I", False
        return b"COMPLETE -\r\n"

    def run_set(self, rest: str) -> bytes:
        """Set a value."""
        name, _, value = rest.partition(" ")
        self.values[name] = value
        return b"COMPLETE -\r\n"

    def run_reset(self, _rest: str) -> bytes:
        """Drop values and prepared names."""
        self.values.clear()
        self.prepared.clear()
        return b"COMPLETE -\r\n"

    def run_prepare(self, rest: str) -> bytes:
        """Bind a name."""
        name, access, form = rest.split(" ", 2)
        self.prepared[name] = (access, form)
        return b"COMPLETE -\r\n"

    def run_execute(self, rest: str) -> bytes:
        """Run a prepared name."""
        name, _, arguments = rest.partition(" ")
        if name not in self.prepared:
            return self.error("NOSTMT")
        access, _ = self.prepared[name]
        return (
            self.run_read(arguments) if access == "READ" else self.run_write(arguments)
        )

    def run_pause(self, rest: str) -> bytes:
        """Receive nothing until RESUME, a promotion or a restart."""
        if int(rest) > self.database.group.term and not self.database.leads:
            self.database.is_paused = True
        return self.run_status("")

    def run_resume(self, _rest: str) -> bytes:
        """Receive again."""
        self.database.is_paused = False
        self.database.group.replicate()
        return self.run_status("")

    def run_demote(self, rest: str) -> bytes:
        """Become a replica if the term is above that of this primary."""
        self.database.group.demote(self.database.id, int(rest))
        return self.run_status("")

    def run_status(self, _rest: str) -> bytes:
        """Tell the role."""
        database = self.database
        gevent.sleep(database.status_seconds)
        if database.busy_statuses:
            database.busy_statuses -= 1
            return self.error("BUSY")
        role = "primary" if database.leads else "replica"
        term, point = database.group.term, database.position(database.received)
        return f"ROW {role} {term} {point} 0 0 0 1\r\nCOMPLETE -\r\n".encode()
