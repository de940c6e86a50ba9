"""Run the cores of a group against pure databases under any order of messages."""

from __future__ import annotations

import sys
from bisect import bisect_right
from typing import NamedTuple, TYPE_CHECKING

from berylhinge.core import group_view, promotion, read_floors, write_outcomes
from berylhinge.core.promotion_messages import (
    FenceAnswered,
    FenceMembers,
    PrimaryHealthy,
    PrimaryLost,
    PromoteAnswered,
    PromoteMember,
    StatusReceived,
    Tick,
)
from berylhinge.core.read_routing import check_read_answer, RetryRead, ReturnAnswer
from berylhinge.core.session_tokens import (
    advance_token,
    decode_session_token,
    encode_session_token,
    SessionToken,
)
from berylhinge.standins import replica_log
from berylhinge.types import LogPoint

from .group_databases import Databases, Message, ONCE, ReadReply

if TYPE_CHECKING:
    from random import Random

    from berylhinge.core.promotion_messages import Event
    from berylhinge.wire.upstream import UpstreamStatus

GROUP = "rota-0"
STEP_SECONDS = 0.002
LEAP_SECONDS = 0.2
STEP_DOWN_SHARE = 0.5
APPEND_LIMITS = (1, 1, 4)


class PendingRead(NamedTuple):
    """Hold a read that waits for its floor, answer or proof."""

    number: int
    session: int
    arrived_at: float
    max_age_seconds: float
    floor: LogPoint | None
    must_see: frozenset[str]


class Instance:
    """Hold one instance's cores, lost at its restart."""

    def __init__(self, number: int, incarnation: int, members: tuple[str, ...]) -> None:
        """Start with no knowledge."""
        self.number = number
        self.incarnation = incarnation
        name = f"i{number}/{incarnation}"
        self.promotion = promotion.PromotionState(GROUP, name, members, number)
        self.view = group_view.new_view(GROUP, members)
        self.rounds = read_floors.NO_ROUNDS
        self.writes: dict[LogPoint, tuple[str, int]] = {}
        self.reads: dict[int, PendingRead] = {}
        self.held: dict[int, ReadReply] = {}


class World(Databases):
    """Own the instances and sessions too."""

    def __init__(self, rng: Random, *, size: int = 3, instances: int = 2) -> None:
        """Begin with one primary and instances that know nothing."""
        steps_down = rng.random() < STEP_DOWN_SHARE
        limit = rng.choice(APPEND_LIMITS)
        super().__init__(size, steps_down=steps_down, append_limit=limit)
        self.rng = rng
        self.offsets = [0.0] * instances
        self.clock_log: list[list[tuple[float, int]]] = [[] for _ in self.offsets]
        self.instances = [Instance(n, 1, self.names) for n in range(instances)]
        self.tokens = [
            encode_session_token(SessionToken(GROUP, 0, 0)) for _ in range(2)
        ]
        self.seen: list[frozenset[str]] = [frozenset(), frozenset()]
        self.suspects = True
        self.steps = 0
        self.writes_sent = 0
        self.reads_sent = 0

    def now(self, number: int) -> float:
        """Return an instance's clock."""
        return self.steps * STEP_SECONDS + self.offsets[number]

    def post(self, kind: str, own: Instance, upstream: str, body: object) -> None:
        """Put a request into the bag."""
        sent_at = self.now(own.number)
        self.bag.append(Message(kind, own.number, upstream, sent_at, body))

    def handle(self, message: Message) -> None:
        """Let a database or an instance take a message."""
        on_reply = REPLY_HANDLERS.get(message.kind)
        if on_reply is None:
            super().handle(message)
        else:
            on_reply(self, message)

    def instance_of(self, message: Message) -> Instance:
        """Return the instance that a reply is for."""
        return self.instances[message.instance]

    def observe(self, message: Message, status: UpstreamStatus) -> None:
        """Take a status into the view and do what became possible."""
        own = self.instance_of(message)
        now = self.now(own.number)
        group_view.observe_status(
            own.view, message.upstream, status, message.sent_at, now
        )
        self.drive(own, StatusReceived(message.upstream, status))
        self.settle(own)

    def on_status_reply(self, message: Message) -> None:
        """Take in a status."""
        self.observe(message, message.body)  # type: ignore[arg-type]

    def on_fence_reply(self, message: Message) -> None:
        """Count a vote."""
        request, granted, status = message.body  # type: ignore[misc]
        own = self.instance_of(message)
        if request.promoter != own.promotion.promoter:
            return
        self.observe(message, status)
        event = FenceAnswered(message.upstream, request.term, granted, status)
        self.drive(own, event)

    def on_promote_reply(self, message: Message) -> None:
        """Learn of a new primary."""
        request, promoted, status = message.body  # type: ignore[misc]
        own = self.instance_of(message)
        if request.promoter != own.promotion.promoter:
            return
        self.observe(message, status)
        event = PromoteAnswered(message.upstream, request.term, promoted, status)
        self.drive(own, event)

    def on_write_reply(self, message: Message) -> None:
        """Hold a write until it is decided, or report that it did not run."""
        write, session, written, status = message.body  # type: ignore[misc]
        own = self.instance_of(message)
        if written is None:
            self.facts.note_not_run(write.request_id)
        elif written not in own.writes:
            own.writes[written] = (write.request_id, session)
        self.observe(message, status)

    def on_entry_reply(self, message: Message) -> None:
        """Decide a write by a newer log."""
        point, answer = message.body  # type: ignore[misc]
        own = self.instance_of(message)
        self.observe(message, answer["status"])
        if point not in own.writes:
            return
        outcome = write_outcomes.decide_by_entry(own.view, point, answer)
        self.decide(own, point, outcome, answer["status"]["log_term"])

    def on_read_reply(self, message: Message) -> None:
        """Judge a read's answer."""
        body = message.body
        assert isinstance(body, ReadReply)
        own = self.instance_of(message)
        self.observe(message, body.status)
        if body.read.number in own.reads:
            own.held[body.read.number] = body
            self.settle(own)

    def settle(self, own: Instance) -> None:
        """Decide what the view now proves."""
        for point in list(own.writes):
            self.decide(
                own, point, write_outcomes.decide_by_view(own.view, point), point.term
            )
        self.count_floors(own)
        for number, body in list(own.held.items()):
            self.judge(own, number, body)
        lead = group_view.confirmed_primary(own.view)
        if lead is not None:
            self.drive(own, PrimaryHealthy(lead.term))

    def decide(
        self,
        own: Instance,
        point: LogPoint,
        outcome: write_outcomes.WriteOutcome,
        term: int,
    ) -> None:
        """Tell the caller of a write what is proven."""
        if outcome is write_outcomes.WriteOutcome.PENDING:
            return
        request_id, session = own.writes.pop(point)
        if outcome is write_outcomes.WriteOutcome.NOT_RUN:
            self.facts.note_not_run(request_id)
            return
        self.facts.note_acknowledged(request_id, point, under=term)
        self.seen[session] |= {request_id}
        self.move_token(session, point)

    def judge(self, own: Instance, number: int, body: ReadReply) -> None:
        """Return, hold or drop a read's answer."""
        floor = body.read.floor
        assert floor is not None
        verdict = check_read_answer(own.view, floor, body.status)  # type: ignore[arg-type]
        if isinstance(verdict, ReturnAnswer):
            del own.held[number], own.reads[number]
            ids = self.facts.note_shown(
                body.data,
                verdict.point,
                body.read.must_see,
                under=body.status["log_term"],
            )
            self.seen[body.read.session] |= ids
            self.move_token(body.read.session, verdict.point)
        elif isinstance(verdict, RetryRead):
            del own.held[number]

    def move_token(self, session: int, point: LogPoint) -> None:
        """Merge a point into a session's token."""
        self.facts.note_token(point)
        token = decode_session_token(self.tokens[session], group=GROUP).unwrap()
        self.tokens[session] = encode_session_token(advance_token(token, point))

    def drive(self, own: Instance, event: Event) -> None:
        """Step the promotion and post its effects."""
        now = self.now(own.number)
        own.promotion, effects = promotion.step(own.promotion, event, now, self.rng)
        promoter = own.promotion.promoter
        for effect in effects:
            if isinstance(effect, FenceMembers):
                for name in effect.upstreams:
                    fence = replica_log.Fence(effect.term, promoter)
                    self.post("fence", own, name, fence)
            elif isinstance(effect, PromoteMember):
                order = replica_log.Promote(effect.term, promoter)
                self.post("promote", own, effect.upstream, order)

    def ask_all(self, own: Instance) -> None:
        """Ask every member for its status."""
        for name in self.names:
            self.post("status", own, name, None)

    def begin_write(self, own: Instance) -> None:
        """Send a write of a session to the primary that the view names."""
        lead = group_view.write_target(own.view)
        if lead is None:
            return
        self.writes_sent += 1
        write = replica_log.Write(lead.term, f"w{self.writes_sent}")
        session = self.rng.randrange(len(self.tokens))
        self.post("write", own, lead.upstream, (write, session))

    def retry_write(self, own: Instance) -> None:
        """Send a write again that is known not to have run."""
        lead = group_view.write_target(own.view)
        ready = sorted(self.facts.retriable)
        if lead is None or not ready:
            return
        request_id = self.rng.choice(ready)
        self.facts.retriable.remove(request_id)
        write = replica_log.Write(lead.term, f"{request_id}+")
        session = self.rng.randrange(len(self.tokens))
        self.post("write", own, lead.upstream, (write, session))

    def begin_read(self, own: Instance) -> None:
        """Begin a read by token, by a new floor, or of a bounded age."""
        self.reads_sent += 1
        session = self.rng.randrange(len(self.tokens))
        now = self.now(own.number)
        kind = self.rng.randrange(3)
        token = decode_session_token(self.tokens[session], group=GROUP).unwrap()
        floor, age, must_see = token.point, 0.0, self.seen[session]
        if kind:
            age = 0.0 if kind == 1 else 5 * STEP_SECONDS
            floor, must_see = None, self.acknowledged_before(own.number, now - age)
        read = PendingRead(self.reads_sent, session, now, age, floor, must_see)
        own.reads[read.number] = read
        if floor is None:
            own.rounds, ask = read_floors.request_floor(own.rounds, now, now)
            if ask:
                self.ask_all(own)
            self.count_floors(own)
        else:
            self.send_read(own, read)

    def count_floors(self, own: Instance) -> None:
        """Give floors to the reads that wait for one."""
        now = self.now(own.number)
        own.rounds, ask = read_floors.advance_rounds(own.rounds, own.view, now)
        if ask:
            self.ask_all(own)
        for read in list(own.reads.values()):
            if read.floor is None:
                self.give_floor(own, read)

    def give_floor(self, own: Instance, read: PendingRead) -> None:
        """Send a read once its floor is known."""
        point = read_floors.floor_for_read(
            own.rounds, own.view, read.arrived_at, read.max_age_seconds
        )
        if point is not None:
            read = read._replace(floor=point)
            own.reads[read.number] = read
            self.send_read(own, read)

    def send_read(self, own: Instance, read: PendingRead) -> None:
        """Read at any member, so that a wrong choice must be caught later."""
        self.post("read", own, self.rng.choice(self.names), read)

    def send_reads(self, own: Instance) -> None:
        """Send again the reads that have a floor and no answer."""
        for number, read in own.reads.items():
            if read.floor is not None and number not in own.held:
                self.send_read(own, read)

    def ask_entries(self, own: Instance) -> None:
        """Ask any member for the entries of undecided writes."""
        for point in own.writes:
            self.post("entry", own, self.rng.choice(self.names), point)

    def suspect(self, own: Instance) -> None:
        """Let an instance believe, rightly or not, that the primary is lost."""
        term = group_view.max_term(own.view)
        suspect = self.rng.choice((*self.names, None)) if self.suspects else None
        self.drive(own, PrimaryLost(term, "suspected", suspect))
        self.drive(own, Tick(len(self.names)))

    def leap(self, own: Instance) -> None:
        """Let time pass on one instance alone, as after a pause."""
        self.offsets[own.number] += LEAP_SECONDS
        self.drive(own, Tick(len(self.names)))

    def restart_instance(self, own: Instance) -> None:
        """Replace an instance by one that remembers nothing."""
        fresh = Instance(own.number, own.incarnation + 1, self.names)
        self.instances[own.number] = fresh
        self.bag = [
            message
            for message in self.bag
            if message.instance != own.number or not message.kind.endswith("-reply")
        ]

    def acknowledged_before(self, number: int, moment: float) -> frozenset[str]:
        """Return the writes acknowledged anywhere before an instance's moment."""
        if moment >= self.now(number):
            return frozenset(self.facts.acknowledged)
        log = self.clock_log[number]
        place = bisect_right(log, (moment, sys.maxsize))
        count = log[place - 1][1] if place else 0
        return frozenset(self.facts.acknowledged[:count])

    def deliver(self, index: int, *, keep: bool = False) -> None:
        """Deliver a message, perhaps keeping it in the bag as a duplicate."""
        message = self.bag[index]
        if not keep or message.kind in ONCE:
            self.drop(index)
        self.handle(message)

    def drop(self, index: int) -> None:
        """Lose a message."""
        self.bag[index] = self.bag[-1]
        self.bag.pop()

    def pass_step(self) -> None:
        """Let every clock go on."""
        self.steps += 1
        for number, log in enumerate(self.clock_log):
            log.append((self.now(number), len(self.facts.acknowledged)))


REPLY_HANDLERS = {
    "status-reply": World.on_status_reply,
    "fence-reply": World.on_fence_reply,
    "promote-reply": World.on_promote_reply,
    "write-reply": World.on_write_reply,
    "read-reply": World.on_read_reply,
    "entry-reply": World.on_entry_reply,
}
