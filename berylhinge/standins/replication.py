"""Send a primary's log to the other members of its group."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
import msgspec

from ..tasks.http_connection import ConnectionFailed, HttpConnection
from ..tasks.http_server import parse_address
from . import replica_log
from .member import AppendAnswer, AppendMessage

if TYPE_CHECKING:
    from ..wire.upstream import GroupMember
    from .member import Member

HEARTBEAT_SECONDS = 0.05
APPEND_TIMEOUT_SECONDS = 1.0
MAX_ENTRIES_PER_APPEND = 256


class Sender:
    """Own the connection from a primary to one replica."""

    def __init__(self, member: Member, peer: GroupMember, term: int) -> None:
        """Prepare to send from the end of the log that was promoted."""
        self.member = member
        self.peer = peer["upstream"]
        self.term = term
        self.matched = len(member.state.log) - 1
        self.lag_seconds = 0.0
        headers = {"Berylhinge-Upstream": member.state.upstream}
        address = parse_address(peer["control"])
        self.connection = HttpConnection(address, headers=headers)

    def run(self) -> None:
        """Send entries and heartbeats until the term is over."""
        try:
            while self.is_current():
                changed = self.member.changed
                if not self.send():
                    gevent.sleep(HEARTBEAT_SECONDS)
                elif not self.has_more():
                    changed.wait(self.idle_seconds())
        finally:
            self.connection.close()

    def is_current(self) -> bool:
        """Tell whether the member still leads the sender's term."""
        return self.member.leads and self.member.state.term == self.term

    def has_more(self) -> bool:
        """Tell whether entries wait that the replica may have."""
        return self.matched < self.member.visible_length(self.lag_seconds)

    def idle_seconds(self) -> float:
        """Return how long to wait for news before the next heartbeat."""
        return min(HEARTBEAT_SECONDS, self.lag_seconds / 4 or HEARTBEAT_SECONDS)

    def send(self) -> bool:
        """Send one append; return False where no answer came."""
        faults = self.member.faults
        faults.wait_pause()
        if faults.is_cut(self.peer) or not self.is_current():
            return False
        visible = self.member.visible_length(self.lag_seconds)
        limit = max(0, min(MAX_ENTRIES_PER_APPEND, visible - self.matched))
        append = replica_log.append_request(self.member.state, self.matched, limit)
        answer = self.call(AppendMessage(append, self.lag_seconds))
        faults.wait_pause()
        if answer is None or faults.is_cut(self.peer):
            return False
        self.take(answer)
        return True

    def call(self, message: AppendMessage) -> AppendAnswer | None:
        """Exchange one append; return None where no answer came."""
        try:
            reply = self.connection.call_json(
                "/v1/append", message, APPEND_TIMEOUT_SECONDS
            )
            return msgspec.json.decode(reply.body, type=AppendAnswer)
        except (ConnectionFailed, msgspec.MsgspecError):
            self.connection.close()
            return None

    def take(self, answer: AppendAnswer) -> None:
        """Note how far the replica's log matches, or that the term is over."""
        self.lag_seconds = answer.lag_seconds
        state = self.member.state
        if answer.reply.term > self.term:
            self.member.observe_term(answer.reply.term)
        elif self.is_current():
            self.matched = replica_log.next_matched(state, self.matched, answer.reply)


def start_senders(
    member: Member, term: int, members: list[GroupMember]
) -> list[gevent.Greenlet]:
    """Start a sender to every other member."""
    own = member.state.upstream
    peers = [peer for peer in members if peer["upstream"] != own]
    return [gevent.spawn(Sender(member, peer, term).run) for peer in peers]
