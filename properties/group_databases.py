"""Keep the pure databases of a group and the messages in flight."""

from __future__ import annotations

from typing import NamedTuple, TYPE_CHECKING

from berylhinge.standins import replica_log
from berylhinge.types import DatabaseRole, LogPoint

from .group_facts import Facts

if TYPE_CHECKING:
    from berylhinge.standins.entry_log import Entry
    from berylhinge.wire.upstream import UpstreamStatus

ONCE = ("write",)


class Message(NamedTuple):
    """Carry a request to a database, or a reply to an instance or primary."""

    kind: str
    instance: int
    upstream: str
    sent_at: float
    body: object


class ReadReply(NamedTuple):
    """Carry a read's answer with the data that it saw."""

    read: object
    status: UpstreamStatus
    data: tuple[Entry, ...]


class Databases:
    """Own the databases, what really happened, and the messages in flight."""

    def __init__(self, size: int, *, steps_down: bool, append_limit: int) -> None:
        """Begin with a primary of term 1 whose first entry is everywhere."""
        self.names = tuple("abcde"[:size])
        self.states = {name: replica_log.ReplicaState(name) for name in self.names}
        self.facts = Facts()
        self.bag: list[Message] = []
        self.matched: dict[tuple[str, int, str], int] = {}
        self.steps_down = steps_down
        self.append_limit = append_limit
        for name in self.names:
            self.vote(name, replica_log.Fence(1, "start"))
        self.lead("a", replica_log.Promote(1, "start"))
        for name in self.names[1:]:
            self.send_append("a", name)
        while self.bag:
            self.handle(self.bag.pop(0))

    def handle(self, message: Message) -> None:
        """Let a database take a message."""
        HANDLERS[message.kind](self, message)

    def reply(self, message: Message, body: object) -> None:
        """Answer a request."""
        kind = f"{message.kind}-reply"
        self.bag.append(message._replace(kind=kind, body=body))

    def vote(self, name: str, request: replica_log.Fence) -> replica_log.FenceReply:
        """Fence a database."""
        self.states[name], done = replica_log.fence(self.states[name], request)
        return done

    def lead(self, name: str, request: replica_log.Promote) -> replica_log.PromoteReply:
        """Promote a database and record whether it began to lead."""
        before = self.states[name]
        after, done = replica_log.promote(before, request)
        self.states[name] = after
        if len(after.log) > len(before.log):
            log = tuple(after.log)
            self.facts.note_lead(name, after.term, log)
            self.facts.note_entry(name, log)
            for other in self.names:
                self.matched[(name, after.term, other)] = len(before.log)
        return done

    def status(self, name: str) -> UpstreamStatus:
        """Return a database's status message."""
        state = self.states[name]
        return {
            "upstream": name,
            "role": "primary" if state.role is DatabaseRole.PRIMARY else "replica",
            "term": state.term,
            "log_term": state.log_term,
            "last": state.log.last,
            "primary_silence_seconds": 0.0,
            "primary": state.primary,
            "leaving": False,
            "quiesced": False,
            "connections": 0,
            "connection_limit": 16,
            "slots": 2,
        }

    def send_append(self, name: str, other: str) -> None:
        """Let a primary send what a replica lacks."""
        state = self.states[name]
        if state.role is not DatabaseRole.PRIMARY or name == other:
            return
        matched = self.matched.get((name, state.term, other), 0)
        request = replica_log.append_request(state, matched, self.append_limit)
        self.bag.append(Message("append", 0, other, 0.0, request))

    def on_append(self, message: Message) -> None:
        """Apply an append and reply to its primary."""
        request = message.body
        assert isinstance(request, replica_log.Append)
        name = message.upstream
        self.states[name], done = replica_log.append(self.states[name], request)
        body = (name, request.term, done)
        self.bag.append(Message("appended", 0, request.primary, 0.0, body))

    def on_appended(self, message: Message) -> None:
        """Move a primary's next append, or step down from a newer term."""
        name, term, done = message.body  # type: ignore[misc]
        leader = message.upstream
        state = self.states[leader]
        if done.term > state.term and self.steps_down:
            self.states[leader] = replica_log.observe_term(state, done.term)
        elif state.term == term and state.role is DatabaseRole.PRIMARY:
            old = self.matched[(leader, term, name)]
            new = replica_log.next_matched(state, old, done)
            self.matched[(leader, term, name)] = new

    def on_status(self, message: Message) -> None:
        """Report a status."""
        self.reply(message, self.status(message.upstream))

    def on_fence(self, message: Message) -> None:
        """Vote and report the status of the same step."""
        request = message.body
        assert isinstance(request, replica_log.Fence)
        done = self.vote(message.upstream, request)
        self.reply(message, (request, done.granted, self.status(message.upstream)))

    def on_promote(self, message: Message) -> None:
        """Begin to lead."""
        request = message.body
        assert isinstance(request, replica_log.Promote)
        done = self.lead(message.upstream, request)
        self.reply(message, (request, done.promoted, self.status(message.upstream)))

    def on_write(self, message: Message) -> None:
        """Log a write."""
        name = message.upstream
        write, session = message.body  # type: ignore[misc]
        self.states[name], done = replica_log.write(self.states[name], write)
        if done.written:
            self.facts.note_entry(name, tuple(self.states[name].log))
        self.reply(message, (write, session, done.written, self.status(name)))

    def on_read(self, message: Message) -> None:
        """Read everything."""
        name = message.upstream
        data = tuple(self.states[name].log)
        self.reply(message, ReadReply(message.body, self.status(name), data))

    def on_entry(self, message: Message) -> None:
        """Tell an entry's term."""
        point = message.body
        assert isinstance(point, LogPoint)
        found = self.states[message.upstream].log.term_at(point.position)
        status = self.status(message.upstream)
        self.reply(message, (point, {"entry_term": found, "status": status}))

    def restart(self, name: str) -> None:
        """Crash and restart a database, which keeps its log and vote."""
        self.states[name] = replica_log.restart(self.states[name])


HANDLERS = {
    "append": Databases.on_append,
    "appended": Databases.on_appended,
    "status": Databases.on_status,
    "fence": Databases.on_fence,
    "promote": Databases.on_promote,
    "write": Databases.on_write,
    "read": Databases.on_read,
    "entry": Databases.on_entry,
}
